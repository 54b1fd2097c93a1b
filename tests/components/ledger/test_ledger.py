"""Guards against edits that run twice, get lost or differ between replicas.

Also guards against moves that restart, stay or end when tables change.
"""

import random

import hypothesis
import pytest
from hypothesis import strategies

from shallotwharf.adapters import codec
from shallotwharf.components.ledger import const, ledger, messages
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import pool, route, version
from shallotwharf.core import effects
from tests.components.replica import groups

AT = 1_700_000_000_000
HOUR_MS = 3_600_000


def build_pool(weight='v1', move=None, name='p'):
    declared = None if move is None else pool.MoveDeclaration(*move)
    return pool.Pool(name, 'cutting', {weight: 100}, move=declared)


def build_tables(*pools):
    return version.Tables((), pools)


class Driver:
    """Applies commands to a ledger in place of the replicated log."""

    def __init__(self):
        self.ledger = ledger.Ledger(snapshot_part_bytes=300)
        self.index = 0
        self.requests = 0
        self.published = []

    def apply(self, command):
        self.index += 1
        return self.deliver(
            replica_messages.Committed(self.index, command, 'request'),
        )

    def deliver(self, message):
        reply = None
        for effect in self.ledger.handle(message, '', 0):
            if isinstance(effect, effects.Count):
                continue
            if isinstance(effect, effects.Answer):
                reply = effect.reply
            elif isinstance(effect.message, tables_messages.VersionAccepted):
                self.published.append(effect.message.accepted)
            else:
                reply = effect.message
        return reply

    def edit(self, *pools, base=None, at=AT, request_id=None, id_at=None):
        self.requests += 1
        return self.apply(
            messages.ApplyEdit(
                request_id
                or groups.build_request_id(id_at or at, self.requests),
                f'operator-{self.requests}',
                self.ledger.current.number if base is None else base,
                build_tables(*pools),
                at,
            ),
        )

    def step(self, move_id, share, state=version.STATE_STEPPING):
        return self.apply(messages.StepMove(move_id, share, state, '', AT))

    def read_move(self):
        return self.ledger.current.find_move('p')

    def restore_copy(self):
        """Return a driver that restored this one's snapshot."""
        taken = self.deliver(replica_messages.SnapshotWanted())
        parts = tuple(codec.decode(codec.encode(p)) for p in taken.parts)
        copied = Driver()
        copied.index = taken.index
        copied.requests = self.requests
        copied.deliver(
            replica_messages.SnapshotRestored(taken.index, parts),
        )
        return copied

    def read_state(self):
        answered = self.ledger._requests
        return (
            self.ledger.current,
            self.ledger.list_history(),
            self.ledger.applied,
            answered.dropped_until,
            sorted(answered.list_records(), key=lambda found: found.request_id),
        )


def test_edit_becomes_the_next_version():
    driver = Driver()
    reply = driver.edit(build_pool())
    current = driver.ledger.current
    assert reply == messages.EditAccepted(1, current.compute_digest())
    assert driver.published == [current]
    row = driver.ledger.list_history()[0]
    assert (row.number, row.operator) == (1, 'operator-1')


def test_second_edit_of_a_base_conflicts_and_names_the_first():
    driver = Driver()
    first = groups.build_request_id(AT, 77)
    driver.edit(build_pool(), base=0, request_id=first)
    lost = driver.edit(build_pool('v2'), base=0)
    assert lost == messages.EditConflict(1, first, 'operator-1')
    assert driver.ledger.current.number == 1


def test_conflict_with_a_base_before_the_history_names_no_winner():
    driver = Driver()
    for _ in range(const.HISTORY_LIMIT + 2):
        driver.edit(build_pool())
    lost = driver.edit(build_pool(), base=0)
    assert lost == messages.EditConflict(const.HISTORY_LIMIT + 2, '', '')
    assert len(driver.ledger.list_history()) == const.HISTORY_LIMIT
    assert driver.ledger.find_version(1) is None


def test_steps_of_moves_do_not_conflict_with_edits():
    driver = Driver()
    driver.edit(build_pool(move=('v2', AT)))
    driver.step('1-p', 100)
    driver.step('1-p', 500)
    reply = driver.edit(build_pool(move=('v2', AT)), base=1)
    assert isinstance(reply, messages.EditAccepted)
    assert (driver.read_move().move_id, driver.read_move().share) == (
        '1-p',
        500,
    )
    assert driver.edit(build_pool(), base=9).reason == 'unknown_base'


def test_resent_id_gets_its_first_answer_whatever_its_time():
    driver = Driver()
    sent = groups.build_request_id(AT, 1)
    first = driver.edit(build_pool(), base=0, request_id=sent)
    driver.edit(build_pool('v2'))
    command = messages.ApplyEdit(
        sent,
        'operator-1',
        0,
        build_tables(build_pool()),
        AT + 5,
    )
    assert driver.apply(command) == first
    assert driver.restore_copy().apply(command) == first
    other = command.replace(tables=build_tables(build_pool('v3')))
    assert driver.apply(other).reason == const.REASON_REQUEST_ID_REUSED
    assert driver.ledger.current.number == 2
    assert driver.ledger.find_outcome(sent) == first


@pytest.mark.parametrize(
    ('request_id', 'reason'),
    [
        ('x', const.REASON_BAD_REQUEST_ID),
        ('018bcfe5-6800-4000-8000-000000000001', const.REASON_BAD_REQUEST_ID),
        (groups.build_request_id(AT, 1).upper(), const.REASON_BAD_REQUEST_ID),
        (
            groups.build_request_id(AT - 25 * HOUR_MS, 1),
            const.REASON_REQUEST_EXPIRED,
        ),
        (
            groups.build_request_id(AT + HOUR_MS, 1),
            const.REASON_REQUEST_FROM_FUTURE,
        ),
    ],
)
def test_unusable_ids_are_refused(request_id, reason):
    driver = Driver()
    reply = driver.edit(build_pool(), request_id=request_id)
    assert reply.reason == reason
    assert driver.ledger.current.number == 0


def test_edit_is_not_run_again_after_its_record_was_dropped():
    driver = Driver()
    sent = groups.build_request_id(AT, 1)
    driver.edit(build_pool(), request_id=sent)
    driver.edit(build_pool(), at=AT + 25 * HOUR_MS)
    assert driver.ledger.find_outcome(sent) is None
    # The clock of this proposer is behind: by that time alone the id would
    # not have expired.
    reply = driver.restore_copy().edit(build_pool(), request_id=sent, at=AT + 1)
    assert reply.reason == const.REASON_REQUEST_EXPIRED


def test_clock_that_was_far_ahead_does_not_block_later_edits():
    driver = Driver()
    driver.edit(build_pool())
    driver.edit(build_pool(), at=AT + 1000 * HOUR_MS)
    reply = driver.edit(build_pool(), at=AT + HOUR_MS)
    assert isinstance(reply, messages.EditAccepted)


def test_stored_answers_are_bounded(monkeypatch):
    monkeypatch.setattr(const, 'REQUEST_LIMIT', 5)
    driver = Driver()
    sent = [
        groups.build_request_id(AT + number, number) for number in range(20)
    ]
    for request_id in sent:
        driver.edit(build_pool(), request_id=request_id, at=AT + 20)
    kept = [driver.ledger.find_outcome(request_id) for request_id in sent]
    assert sum(reply is not None for reply in kept) <= 6
    reply = driver.edit(build_pool(), request_id=sent[0], at=AT + 20)
    assert reply.reason == const.REASON_REQUEST_EXPIRED


def test_invalid_tables_are_refused_with_their_paths():
    driver = Driver()
    dangling = route.Route('r', '/', ('GET',), 'missing')
    reply = driver.apply(
        messages.ApplyEdit(
            groups.build_request_id(AT, 1),
            'operator',
            0,
            version.Tables((dangling,), ()),
            AT,
        ),
    )
    assert reply.reason == const.REASON_INVALID_TABLES
    assert 'routes.r.pool' in reply.detail


def test_revert_makes_a_new_version_with_old_tables():
    driver = Driver()
    driver.edit(build_pool())
    driver.edit(build_pool('v2'))
    revert = messages.Revert(
        groups.build_request_id(AT, 50),
        'operator',
        2,
        1,
        AT,
    )
    assert driver.apply(revert).number == 3
    assert driver.ledger.current.tables == build_tables(build_pool())
    again = revert.replace(request_id=groups.build_request_id(AT, 51), base=3)
    assert driver.apply(again.replace(number=99)).reason == 'unknown_version'


def test_move_begins_and_ends_with_its_declaration():
    driver = Driver()
    driver.edit(build_pool())
    driver.edit(build_pool(move=('v2', AT)))
    assert driver.read_move() == version.Move('2-p', 'p', 'v1', 'v2', AT)
    driver.step('2-p', 10_000, version.STATE_DONE)
    assert driver.read_move().state == version.STATE_DONE
    assert driver.step('2-p', 0).reason == const.REASON_MOVE_NOT_ACTIVE
    driver.edit(build_pool('v2'))
    assert driver.read_move() is None


def test_new_due_time_keeps_a_running_move():
    driver = Driver()
    driver.edit(build_pool(move=('v2', AT)))
    driver.step('1-p', 500)
    driver.edit(build_pool(move=('v2', AT + 1)))
    move = driver.read_move()
    assert (move.move_id, move.share, move.due_at) == ('1-p', 500, AT + 1)
    driver.edit(build_pool(move=('v3', AT + 1)))
    assert driver.read_move().move_id == '4-p'


def test_taken_back_move_stays_until_another_is_declared():
    driver = Driver()
    driver.edit(build_pool(move=('v2', AT)))
    driver.step('1-p', 500)
    driver.apply(messages.TakeBack('1-p', 'errors', AT))
    assert (driver.read_move().state, driver.read_move().share) == (
        version.STATE_TAKEN_BACK,
        0,
    )
    assert driver.step('1-p', 800).reason == const.REASON_MOVE_NOT_ACTIVE
    again = driver.apply(messages.TakeBack('1-p', 'more', AT))
    assert again.reason == const.REASON_MOVE_NOT_ACTIVE
    driver.edit(build_pool(move=('v2', AT)), build_pool(name='q'))
    assert driver.read_move().state == version.STATE_TAKEN_BACK
    driver.edit(build_pool(move=('v2', AT + 1)))
    assert driver.read_move().state == version.STATE_PENDING
    assert driver.read_move().move_id == '5-p'


@pytest.mark.parametrize(
    ('share', 'state'),
    [(-1, 'stepping'), (10_001, 'full'), (5, 'taken_back'), (5, 'unknown')],
)
def test_invalid_steps_are_refused(share, state):
    driver = Driver()
    driver.edit(build_pool(move=('v2', AT)))
    assert driver.step('1-p', share, state).reason == const.REASON_INVALID_STEP


def test_share_of_a_move_never_falls():
    driver = Driver()
    driver.edit(build_pool(move=('v2', AT)))
    driver.step('1-p', 500, 'stepping')
    assert (
        driver.step('1-p', 499, 'stepping').reason == const.REASON_INVALID_STEP
    )
    assert driver.read_move().share == 500


def build_group(*names, epoch=0):
    members = tuple(version.Holder(name, '10.0.0.1', 1) for name in names)
    return version.HolderGroup('g', members, epoch)


def test_holder_groups_change_one_member_at_a_time():
    driver = Driver()

    def assign(*found):
        return driver.apply(messages.AssignHolders(found, AT))

    assert isinstance(assign(build_group(*'abc')), messages.EditAccepted)
    changed = build_group(*'abd', epoch=1)
    assert isinstance(assign(changed), messages.EditAccepted)
    for wrong in (
        (build_group(*'axy', epoch=2),),
        (build_group(*'ab', epoch=2),),
        (build_group(*'aab', epoch=2),),
        (changed, changed),
        # Late command of a deposed leader: its epoch is the current one.
        (build_group(*'abe', epoch=1),),
        (build_group(*'abd', epoch=2),),
        (),
    ):
        assert assign(*wrong).reason == const.REASON_INVALID_HOLDERS
    assert driver.ledger.current.holders == (changed,)


def test_commands_are_applied_once_and_others_ignored():
    driver = Driver()
    driver.edit(build_pool())
    assert driver.apply(messages.EditAccepted(9, b'')) is None
    driver.index = 0
    assert driver.edit(build_pool('v2')) is None
    assert driver.ledger.current.number == 1


def choose_command(driver, source):
    kind = source.randrange(10)
    moves = driver.ledger.current.moves
    at = AT + source.randrange(40) * HOUR_MS
    if kind < 5:
        move = source.choice((None, ('v2', AT), ('v3', AT)))
        row = build_pool(source.choice(('v1', 'v2')), move)
        base = max(driver.ledger.current.number - source.randrange(2), 0)
        request_id = groups.build_request_id(at, source.randrange(9))
        return messages.ApplyEdit(request_id, 'o', base, build_tables(row), at)
    if kind < 6:
        request_id = groups.build_request_id(at, source.randrange(9))
        return messages.Revert(
            request_id, 'o', driver.ledger.current.number, 1, at
        )
    if kind < 7:
        group = build_group(*source.sample('abcd', 3))
        return messages.AssignHolders((group,), at)
    move_id = source.choice(moves).move_id if moves else '1-p'
    if kind < 8:
        return messages.TakeBack(move_id, 'errors', at)
    share = source.randrange(10_001)
    state = source.choice((version.STATE_STEPPING, version.STATE_DONE))
    return messages.StepMove(move_id, share, state, '', at)


@hypothesis.settings(max_examples=60)
@hypothesis.given(strategies.integers(0, 10**9), strategies.integers(1, 80))
def test_snapshot_at_any_point_leads_to_the_same_state(seed, count):
    source = random.Random(seed)
    driver = Driver()
    copied = driver.restore_copy()
    for _ in range(count):
        command = choose_command(driver, source)
        assert driver.apply(command) == copied.apply(command)
        assert driver.read_state() == copied.read_state()
        if source.random() < 0.2:
            copied = driver.restore_copy()
