"""Guards against two leaders, lost edits and edits that are applied twice.

Each test covers one fault of the design page; `Group.check` runs after each
step.
"""

import pytest

from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.replica import (
    const,
    lifecycle,
    messages,
    protocol,
)
from shallotwharf.core import dispatcher, sizes
from tests.components.replica import groups

SECOND_MS = 1000


def list_others(group, name):
    return [other for other in group.names if other != name]


def read_voters(group):
    status = group.replicas[group.wait_for_leader()].read_status()
    return {member.identity for member in status.members.voters}


def test_single_voter_commits_at_once():
    group = groups.Group('a')
    group.edit('a')
    assert group.watchers['a'].leading
    assert len(group.cluster.processes['a'].requests.answers) == 1
    group.recover()


def test_follower_names_the_leader():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    group.run(SECOND_MS)
    follower = list_others(group, leader)[0]
    group.edit(follower)
    answers = group.cluster.processes[follower].requests.answers
    assert list(answers.values()) == [messages.NotLeader(leader)]


def test_hundred_edits_at_once_commit_in_order():
    group = groups.Group('abc', snapshot_entries=300)
    leader = group.wait_for_leader()
    sent = [group.edit(leader, base=number) for number in range(100)]
    group.run_until(lambda: set(sent) <= set(group.replies), SECOND_MS)
    numbers = [group.replies[request].number for request in sent]
    assert numbers == list(range(1, 101))
    group.recover()


def test_silent_partition_of_the_leader_for_minutes():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    group.commit_edit()
    others = list_others(group, leader)
    group.cluster.cut([leader], others)
    cut_at = group.now
    stuck = group.edit(leader)
    group.run_until(lambda: not group.watchers[leader].leading, 2000)
    assert group.now - cut_at <= const.LEASE_MS + 50
    group.run_until(group.find_leader, 5000)
    assert group.find_leader() in others
    refused = group.edit(leader)
    group.run(180 * SECOND_MS, 500)
    done = [group.commit_edit() for _ in range(20)]
    group.recover()
    assert refused not in group.replies
    assert stuck not in group.replies
    assert all(
        isinstance(group.replies[request], ledger_messages.EditAccepted)
        for request in done
    )


def test_frozen_leader_does_not_answer_once_it_is_thawed():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    group.cluster.freeze(leader)
    request = group.edit(leader)
    group.run(10 * SECOND_MS)
    group.commit_edit()
    # Covers a query that runs before the queued messages are handled.
    assert not group.replicas[leader].is_leading(group.now)
    group.cluster.thaw(leader)
    group.check()
    assert request not in group.replies
    group.recover()


def test_emptied_disk_does_not_vote_and_returns_as_learner():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    first, second = list_others(group, leader)
    group.cluster.cut([second], [leader, first])
    done = group.commit_edit()
    # Only the leader and `first` have the edit. While the leader is down,
    # `second` and `first` with its empty disk must not form a majority.
    group.kill(leader)
    group.wipe(first)
    group.cluster.heal()
    group.run(30 * SECOND_MS, 200)
    assert group.find_leader() is None
    group.start(leader)
    group.recover()
    assert done in group.replies
    assert f'{first}2' in read_voters(group)


def test_second_loss_right_after_a_repair():
    group = groups.Group('abc')
    group.wait_for_leader()
    done = [group.commit_edit() for _ in range(5)]
    for name in ('a', 'b', 'c', 'a'):
        group.wipe(name)
        group.run_until(group.is_whole)
        done.append(group.commit_edit())
    group.recover()
    assert read_voters(group) == {'a3', 'b2', 'c2'}
    assert set(done) <= set(group.replies)


def test_disk_lost_again_while_it_is_repaired():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    group.commit_edit()
    lost = list_others(group, leader)[0]
    for _ in range(5):
        group.wipe(lost)
        group.run(350, 50)
    group.recover()
    assert f'{lost}6' in read_voters(group)


def test_first_start_waits_for_all_voters():
    group = groups.Group('abc')
    group.kill('c')
    group.run(5 * SECOND_MS)
    assert group.find_leader() is None
    group.start('c')
    group.wait_for_leader()


def test_racing_operators_and_a_resend_after_the_leader_died():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    group.commit_edit()
    racers = [group.edit(leader, base=1) for _ in range(4)]
    # The edits reach the followers, but the operators get no answers.
    group.cluster.run_for(20)
    group.cluster.processes[leader].requests.answers.clear()
    group.kill(leader)
    survivor = group.wait_for_leader()
    for request in reversed(racers):
        group.resend(survivor, request)
    group.run_until(lambda: set(racers) <= set(group.replies))
    replies = [group.replies[request] for request in racers]
    accepted = [
        request
        for request, reply in zip(racers, replies, strict=True)
        if isinstance(reply, ledger_messages.EditAccepted)
    ]
    assert len(accepted) == 1
    conflicts = [
        reply
        for reply in replies
        if isinstance(reply, ledger_messages.EditConflict)
    ]
    assert [reply.winner for reply in conflicts] == accepted * 3
    group.recover()


def test_resend_after_a_snapshot_and_a_restart_of_all():
    group = groups.Group('abc', snapshot_entries=4)
    done = [group.commit_edit() for _ in range(30)]
    group.run(SECOND_MS)
    for name in group.names:
        group.kill(name)
    for name in group.names:
        group.start(name)
    leader = group.wait_for_leader()
    for request in done:
        group.resend(leader, request)
    group.run(SECOND_MS)
    group.recover()
    assert group.ledgers[leader].current.number == len(done)


def test_follower_far_behind_gets_the_snapshot_in_parts():
    group = groups.Group('abc', snapshot_entries=4)
    leader = group.wait_for_leader()
    behind = list_others(group, leader)[0]
    group.kill(behind)
    for _ in range(40):
        group.commit_edit(size=5)
    group.start(behind)
    group.recover()
    assert group.ledgers[behind].current.number == 40


def test_full_disk_refuses_edits_stays_readable_and_recovers():
    group = groups.Group('a')
    group.commit_edit()
    group.folders['a'].full = True
    lost = group.edit('a')
    group.run(100)
    refused = group.edit('a')
    group.run(5 * SECOND_MS, 100)
    assert not {lost, refused} & set(group.replies)
    assert group.find_leader() == 'a'
    assert group.ledgers['a'].current.number == 1
    group.folders['a'].full = False
    group.run(2 * SECOND_MS)
    group.resend('a', lost)
    group.run(100)
    assert group.replies[lost].number == 2
    group.kill('a')
    group.start('a')
    group.recover()


def test_leader_with_a_full_disk_transfers_the_leadership():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    group.folders[leader].full = True
    group.edit(leader)
    group.run(SECOND_MS)
    assert group.find_leader() in list_others(group, leader)
    group.commit_edit()
    group.recover()


def test_leader_with_a_full_disk_stays_if_no_follower_could_replace_it():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    group.kill(list_others(group, leader)[0])
    group.folders[leader].full = True
    group.edit(leader)
    for _ in range(50):
        group.run(100)
        assert group.find_leader() == leader
    group.recover()


def test_all_disks_full_keeps_the_leader_readable():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    group.commit_edit()
    for data in group.folders.values():
        data.full = True
    stuck = group.edit(leader)
    group.run(10 * SECOND_MS, 100)
    assert group.find_leader() == leader
    assert stuck not in group.replies
    group.recover()
    group.commit_edit()


def test_operator_removes_and_adds_a_voter():
    group = groups.Group('abcde')
    leader = group.wait_for_leader()
    group.commit_edit()
    removed = list_others(group, leader)[0]
    deliver = group.cluster.processes[leader].dispatcher.deliver
    deliver(messages.RemoveMember('', removed), '')
    group.run(SECOND_MS)
    assert f'{removed}1' not in read_voters(group)
    group.run(10 * SECOND_MS, 200)
    assert group.find_leader() == leader
    deliver(messages.AddMember('', removed), '')
    group.recover()
    assert f'{removed}1' in read_voters(group)


def test_leader_that_is_removed_is_replaced_by_another():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    deliver = group.cluster.processes[leader].dispatcher.deliver
    deliver(messages.RemoveMember('', leader), '')
    group.run(100)
    assert group.wait_for_leader() != leader
    group.commit_edit()
    assert len(read_voters(group)) == 2


def test_follower_with_a_leader_does_not_vote_for_another_candidate():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    group.cluster.cut([leader], list_others(group, leader)[:1])
    for _ in range(200):
        group.run(50)
        assert group.find_leader() == leader


def test_restarted_follower_does_not_vote_within_the_lease_of_the_leader():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    apart, voter = list_others(group, leader)
    group.cluster.cut([leader], [apart])
    for _ in range(200):
        group.kill(voter)
        group.start(voter)
        group.run(100)
        assert group.find_leader() == leader


def test_learner_without_the_log_does_not_become_voter():
    group = groups.Group('abc', snapshot_entries=4)
    leader = group.wait_for_leader()
    for _ in range(12):
        group.commit_edit(size=20)
    lost = list_others(group, leader)[0]
    group.wipe(lost)
    replica = group.replicas[leader]
    group.run_until(lambda: replica.read_status().members.learners)
    assert group.ledgers[lost].applied == 0
    group.cluster.cut([lost], list_others(group, lost))
    group.run(10 * SECOND_MS)
    assert f'{lost}2' not in read_voters(group)
    group.recover()
    assert f'{lost}2' in read_voters(group)


def test_second_change_of_voters_waits_for_the_first():
    group = groups.Group('abcde')
    leader = group.wait_for_leader()
    others = list_others(group, leader)
    group.cluster.cut([leader], others)
    process = group.cluster.processes[leader]
    for request, name in enumerate(others[:2]):
        change = messages.RemoveMember(f'r{request}', name)
        process.dispatcher.deliver(change, '')
    assert process.requests.answers == {
        'r0': messages.ChangeAccepted(),
        'r1': messages.ProposalRefused('change_in_progress'),
    }


def test_second_process_with_the_name_of_a_voter_does_not_replace_it():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    follower = list_others(group, leader)[0]
    deliver = group.cluster.processes[leader].dispatcher.deliver
    deliver(protocol.DiscoveryProbe('other'), follower)
    group.run(SECOND_MS)
    status = group.replicas[leader].read_status()
    assert not status.members.learners
    assert f'{follower}1' in read_voters(group)


def test_log_is_compacted_again_after_the_disk_was_full():
    group = groups.Group('abc', snapshot_entries=4)
    leader = group.wait_for_leader()
    follower = list_others(group, leader)[0]
    group.folders[follower].full = True
    for _ in range(10):
        group.commit_edit()
    group.recover()
    for _ in range(10):
        group.commit_edit()
    log = group.replicas[follower]._state.log
    assert log.last_index - log.base < 3 * 4


def test_isolated_process_shows_its_latest_version_after_a_restart():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    for _ in range(5):
        group.commit_edit()
    follower = list_others(group, leader)[0]
    group.run(SECOND_MS)
    group.cluster.cut([follower], list_others(group, follower))
    group.kill(follower)
    group.start(follower)
    assert group.ledgers[follower].current.number == 5
    group.recover()


def test_disk_that_comes_back_while_its_replacement_is_a_learner():
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    group.commit_edit()
    lost, other = list_others(group, leader)
    kept = group.folders[lost]
    group.wipe(lost)
    replica = group.replicas[leader]
    group.run_until(lambda: replica.read_status().members.learners, 5000)
    group.kill(other)
    group.kill(lost)
    group.folders[lost] = kept
    group.disks[lost] = 1
    group.start(lost)
    group.start(other)
    group.recover()
    assert read_voters(group) == {'a1', 'b1', 'c1'}


@pytest.mark.parametrize('seed', range(6))
def test_disks_that_were_full_one_after_another_delay_no_later_edit(seed):
    """Guards against a group that never recovers from disks without room."""
    group = groups.Group('abcdef', seed)
    group.commit_edit()
    for name in group.names:
        group.folders[name].full = True
        for _ in range(6):
            group.edit(group.find_leader() or name)
            group.run(100 + 150 * seed)
        group.folders[name].full = False
        group.run(50 * seed)
    began_at = group.now
    group.commit_edit()
    # The users' shortest limit of an acknowledgement.
    assert group.now - began_at < 4000


# The bounds of the sites: an edit is acknowledged within 4 s (`ackS`).
ACK_MS = 4000


@pytest.mark.parametrize('names', ['a', 'abc'])
@pytest.mark.parametrize('is_checked', [True, False])
def test_edit_that_cannot_be_encoded_delays_no_later_edit(
    names, is_checked, monkeypatch
):
    """Guards against a command that stays in memory and never on a disk.

    Without the check of proposals, the failed step must be rolled back.
    """
    if not is_checked:
        monkeypatch.setattr(sizes, 'is_encodable', lambda _: True)
    group = groups.Group(names)
    leader = group.wait_for_leader()
    group.commit_edit()
    process = group.cluster.processes[leader]
    command = next(iter(group.edits.values())).replace(operator='caf\ud83d')
    process.dispatcher.deliver(messages.Propose('odd', command), '')
    group.cluster.run_for(50)
    answer = process.requests.answers.pop('odd')
    if is_checked:
        assert answer == messages.ProposalRefused('not_encodable')
    else:
        assert answer == messages.OutcomeUnknown()
    began_at = group.now
    group.commit_edit()
    assert group.now - began_at <= ACK_MS
    group.recover()


@pytest.mark.parametrize('role', ['leader', 'follower'])
def test_error_in_a_step_is_rolled_back(role, monkeypatch):
    """Guards against a log in memory that is ahead of the disk for good."""
    group = groups.Group('abc')
    leader = group.wait_for_leader()
    group.commit_edit()
    name = leader if role == 'leader' else list_others(group, leader)[0]
    process = group.cluster.processes[name]
    process.counters.allows_faults = True
    before = group.replicas[name].read_status().last_index
    monkeypatch.setattr(lifecycle.Lifecycle, 'finish', fail_once(name))
    group.edit(leader)
    group.cluster.run_for(60)
    assert process.counters.read(dispatcher.STEPS_FAILED) == 1
    assert group.replicas[name].read_status().last_index >= before
    began_at = group.now
    group.commit_edit()
    assert group.now - began_at <= ACK_MS
    group.recover()


def fail_once(name):
    """Return a `finish` that fails at the end of a step that stores."""
    original = lifecycle.Lifecycle.finish
    failed = []

    def finish(self, now):
        if self._state.name != name or failed or not self._state.outbox._stores:
            return original(self, now)
        failed.append(now)
        raise ValueError('odd input')

    return finish


# Service must be back this long after all control processes are.
RECOVERY_MS = 15_000


@pytest.mark.parametrize('seed', range(1, 5))
def test_votes_slower_than_a_candidacy_elect_a_leader(seed):
    """Guards against candidates that end each other's elections for good."""
    group = groups.Group('abcdef', seed)
    group.wait_for_leader()
    group.cluster.delay_ms = (180, 250)
    for name in group.names:
        group.kill(name)
    for name in group.names:
        group.start(name)
    group.wait_for_leader(RECOVERY_MS)
