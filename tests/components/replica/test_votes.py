"""Guards against votes given twice and entries that commit too early.

A single replica on a fake disk receives the messages of its peers one by one.
"""

import random

import hypothesis
import pytest
from hypothesis import strategies

from shallotwharf.adapters import disk
from shallotwharf.components.replica import (
    configuration,
    const,
    log,
    messages,
    protocol,
    replica,
    stored,
)
from shallotwharf.core import effects, errors, storage
from shallotwharf.core import messages as core_messages
from tests import folders

MEMBERS = configuration.Configuration(
    tuple(configuration.Member(name, f'{name}1') for name in 'abc'),
)
INITIAL_ENTRY = stored.Entry(1, 1, MEMBERS)
LATER_MS = 5000


class Single:
    """One replica with its disk; collects what it sends and publishes."""

    def __init__(self, *entries, term=1, snapshot_entries=256):
        self.snapshot_entries = snapshot_entries
        self.data = folders.FakeFolder()
        self.disk = disk.DiskStorage(self.data, 'a1')
        self.disk.execute(storage.SaveState(stored.State(term, '')))
        self.disk.execute(storage.AppendRecords(1, (INITIAL_ENTRY, *entries)))
        self.boot()

    def boot(self):
        self.now = 0
        self.data.crash()
        self.disk = disk.DiskStorage(self.data, 'a1')
        self.replica = replica.Replica(
            'a',
            ('a', 'b', 'c'),
            self.disk.recover(),
            random.Random(1),
            self.snapshot_entries,
        )
        restored = self.run(self.replica.start(0))
        self.now = LATER_MS
        return restored

    def run(self, step):
        done = []
        for effect in step:
            if isinstance(effect, effects.Store):
                try:
                    self.disk.execute(effect.operation)
                except errors.StorageError as error:
                    failed = core_messages.StoreFailed(str(error))
                    return done + self.deliver(failed)
            elif isinstance(effect, effects.Send | effects.Publish):
                done.append(effect.message)
        return done

    def deliver(self, message, sender='b'):
        return self.run(self.replica.handle(message, sender, self.now))

    def request_vote(self, sender, term, last_index=1, last_term=1):
        """Return whether the replica votes for a candidate."""
        request = protocol.RequestVote(
            term,
            f'{sender}1',
            last_index,
            last_term,
            is_transfer=False,
        )
        replies = self.deliver(request, sender)
        return any(
            isinstance(reply, protocol.VoteReply) and reply.granted
            for reply in replies
        )

    def append(self, *entries, commit=0, term=3):
        """Deliver entries of a leader; return what is sent and published."""
        previous = entries[0].index - 1 if entries else 0
        message = protocol.AppendEntries(
            term,
            'a1',
            previous,
            term if previous > 1 else 1,
            entries,
            commit,
            False,
            0,
        )
        return self.deliver(message)

    def become_leader(self):
        """Become leader with the votes of this replica and b."""
        term = self.replica.read_status().term + 1
        self.deliver(core_messages.TimerFired(const.TIMER_ELECTION), 'a')
        for preliminary in (True, False):
            current = term - int(preliminary)
            self.deliver(
                protocol.VoteReply(current, term, 'b1', preliminary, True),
            )

    def acknowledge(self, sender, index):
        term = self.replica.read_status().term
        reply = protocol.AppendReply(
            term,
            f'{sender}1',
            accepted=True,
            index=index,
            writable=True,
            sent_at=self.now,
        )
        return self.deliver(reply, sender)


def test_vote_is_granted_once_per_term_even_after_a_restart():
    single = Single()
    assert single.request_vote('b', 5)
    assert single.request_vote('b', 5)
    assert not single.request_vote('c', 5)
    single.boot()
    assert not single.request_vote('c', 5)
    assert single.request_vote('c', 6)


def test_candidate_that_lacks_entries_gets_no_vote():
    single = Single(stored.Entry(2, 3, stored.Noop()), term=3)
    assert not single.request_vote('b', 5, last_index=1, last_term=3)
    assert not single.request_vote('b', 6, last_index=9, last_term=2)
    assert single.request_vote('b', 7, last_index=2, last_term=3)


def test_vote_that_cannot_be_stored_is_not_granted():
    single = Single()
    single.data.full = True
    assert not single.request_vote('b', 5)
    assert single.replica.read_status().term == 1
    single.data.full = False
    single.deliver(core_messages.TimerFired(const.TIMER_WRITE_RETRY))
    assert single.request_vote('c', 5)


def test_entry_of_an_earlier_term_commits_only_with_one_of_the_current_term():
    # A later leader could still replace it, although a majority has it.
    # Source: D. Ongaro, figure 3.7.
    command = messages.NotLeader('x')
    single = Single(stored.Entry(2, 2, command), term=3)
    single.become_leader()
    status = single.replica.read_status()
    assert (status.leader, status.last_index) == ('a', 3)
    for sender in 'bc':
        single.acknowledge(sender, 2)
    assert single.replica.read_status().commit == 0
    assert not single.replica.is_leading(single.now)
    published = single.acknowledge('b', 3)
    assert messages.Committed(2, command, '') in published
    assert single.replica.is_leading(single.now)


def test_votes_of_another_disk_do_not_count():
    single = Single()
    single.deliver(core_messages.TimerFired(const.TIMER_ELECTION), 'a')
    for identity in ('b2', 'c2', 'x'):
        reply = protocol.VoteReply(1, 2, identity, True, True)
        single.deliver(reply)
    assert single.replica.read_status().term == 1


def test_entries_meant_for_another_disk_are_ignored():
    single = Single()
    message = protocol.AppendEntries(9, 'a0', 1, 1, (), 1, False, 0)
    assert single.deliver(message) == []
    assert single.replica.read_status().term == 1


def test_log_that_a_snapshot_was_about_to_replace_is_dropped():
    snapshot = stored.Snapshot(3, 4, MEMBERS)
    old = tuple(stored.Entry(index, 2, stored.Noop()) for index in (2, 3, 4))
    loaded = log.Log()
    loaded.load(snapshot, old)
    assert (loaded.last_index, loaded.last_term) == (3, 4)
    kept = (*old[:1], *(entry.replace(term=4) for entry in old[1:]))
    loaded.load(snapshot, kept)
    assert (loaded.last_index, loaded.find_term(4)) == (4, 4)
    with pytest.raises(errors.CorruptionError):
        log.Log().load(snapshot, (stored.Entry(5, 4, stored.Noop()),))


def test_configuration_from_a_disk_that_was_emptied_since_is_not_adopted():
    empty = replica.Replica(
        'c',
        ('a', 'b', 'c'),
        storage.Recovered('c1'),
        random.Random(1),
    )
    empty.start(0)
    reply = protocol.DiscoveryReply('a1', 'c1', True, INITIAL_ENTRY, '')
    empty.handle(protocol.DiscoveryProbe('a2'), 'a', 1)
    empty.handle(reply, 'a', 2)
    assert not empty.read_status().members.voters
    empty.handle(protocol.DiscoveryProbe('a1'), 'a', 3)
    empty.handle(reply, 'a', 4)
    assert empty.read_status().members == MEMBERS


def test_entries_of_a_step_that_failed_are_not_kept_on_disk():
    single = Single(stored.Entry(2, 1, messages.NotLeader('old')))
    new = (stored.Entry(2, 3, stored.Noop()), stored.Entry(3, 3, stored.Noop()))
    message = protocol.AppendEntries(3, 'a1', 1, 1, new, 0, False, 0)
    # The entries are written; the store of the new term then fails.
    single.data.full_in = 2
    sent = single.deliver(message)
    assert not any(isinstance(m, protocol.AppendReply) for m in sent)
    assert single.replica.read_status().last_index == 2
    single.deliver(core_messages.TimerFired(const.TIMER_WRITE_RETRY))
    single.boot()
    found = single.disk.recover().entries
    assert found[1:] == (stored.Entry(2, 1, messages.NotLeader('old')),)


def test_replica_with_uncommitted_entries_is_not_caught_up():
    single = Single()
    single.append(stored.Entry(2, 3, messages.NotLeader('x')), commit=1)
    assert not single.replica.is_caught_up()
    message = protocol.AppendEntries(3, 'a1', 2, 3, (), 2, False, 0)
    single.deliver(message)
    assert single.replica.is_caught_up()


def test_snapshot_is_requested_again_after_the_disk_was_full():
    single = Single(snapshot_entries=2)
    entries = [
        stored.Entry(index, 3, messages.NotLeader(str(index)))
        for index in range(2, 6)
    ]
    single.append(*entries[:3])
    single.data.full = True
    message = protocol.AppendEntries(3, 'a1', 4, 3, (), 4, False, 0)
    single.deliver(message)
    assert messages.SnapshotWanted() in single.deliver(message)
    single.deliver(messages.SnapshotTaken(4, (stored.Noop(),)))
    single.data.full = False
    single.deliver(core_messages.TimerFired(const.TIMER_WRITE_RETRY))
    published = single.append(entries[3], commit=5)
    assert messages.SnapshotWanted() in published


def test_repeated_part_of_a_snapshot_is_stored_once():
    single = Single()
    header = stored.Snapshot(9, 2, MEMBERS)
    parts = tuple(stored.State(number, '') for number in range(3))
    sent = []
    for part in (0, 0, 2, 1, 1, 2, 2):
        message = protocol.InstallSnapshot(
            3,
            'a1',
            header,
            part,
            len(parts),
            parts[part],
            0,
        )
        sent.extend(single.deliver(message))
    restored = messages.SnapshotRestored(9, parts)
    assert [m for m in sent if isinstance(m, type(restored))] == [restored]
    found = single.disk.recover()
    assert (found.header, found.parts) == (header, parts)


@hypothesis.given(strategies.randoms(use_true_random=False))
def test_log_agrees_with_a_list_of_entries(source):
    found, model, base = log.Log(), [], 0
    for term in range(1, 30):
        saved, kept, saved_base = found.checkpoint(), list(model), base
        last = base + len(model)
        if model and source.random() < 0.3:
            first = source.randint(base + 1, last + 1)
            snapshot = stored.Snapshot(last, model[-1].term, MEMBERS)
            found.compact(snapshot, first)
            base_term = model[first - base - 2].term if first > base + 1 else 0
            model, base = model[first - base - 1 :], first - 1
            assert base_term in {0, found.find_term(base)}
        else:
            first = source.randint(base + 1, last + 1)
            added = tuple(
                stored.Entry(index, term, stored.Noop())
                for index in range(first, first + source.randint(1, 3))
            )
            found.append(added)
            model = [*model[: first - base - 1], *added]
        if source.random() < 0.2:
            found.restore(saved)
            model, base = kept, saved_base
        last = base + len(model)
        assert (found.base, found.last_index) == (base, last)
        assert list(found.read_range(base + 1, last)) == model


def test_crash_between_stores_never_commits_what_the_leader_replaced():
    old, new = messages.NotLeader('old'), messages.NotLeader('new')
    for operations in range(12):
        single = Single(stored.Entry(2, 1, old))
        single.data.crash_in = operations
        try:
            single.append(stored.Entry(2, 3, new), commit=2)
        except folders.CrashError:
            pass
        published = single.boot()
        commands = [
            message.command
            for message in published
            if isinstance(message, messages.Committed)
        ]
        assert commands in ([], [new])
