"""Guards against votes given twice and entries that commit too early.

A single replica on a fake disk gets the messages of its peers one by one.
"""

import random

import pytest

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
FOUNDING = stored.Entry(1, 1, MEMBERS)
LATER_MS = 5000


class Single:
    """One replica with its disk; collects what it sends and publishes."""

    def __init__(self, *entries, term=1):
        self.data = folders.FakeFolder()
        self.disk = disk.DiskStorage(self.data, 'a1')
        self.disk.execute(storage.SaveState(stored.State(term, '')))
        self.disk.execute(storage.AppendRecords(1, (FOUNDING, *entries)))
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
        )
        self.run(self.replica.start(0))
        self.now = LATER_MS

    def run(self, step):
        done = []
        for effect in step:
            if isinstance(effect, effects.Store):
                try:
                    self.disk.execute(effect.operation)
                except errors.StorageError as error:
                    failed = core_messages.StoreFailed(str(error))
                    return done + self.hand_over(failed)
            elif isinstance(effect, effects.Send | effects.Publish):
                done.append(effect.message)
        return done

    def hand_over(self, message, sender='b'):
        return self.run(self.replica.handle(message, sender, self.now))

    def ask(self, sender, term, last_index=1, last_term=1):
        """Return whether the replica votes for a candidate."""
        request = protocol.RequestVote(
            term,
            f'{sender}1',
            last_index,
            last_term,
            handed_over=False,
        )
        replies = self.hand_over(request, sender)
        return any(
            isinstance(reply, protocol.VoteReply) and reply.granted
            for reply in replies
        )

    def win(self):
        """Become leader with the vote of b."""
        term = self.replica.read_status().term + 1
        self.hand_over(core_messages.TimerFired(const.TIMER_ELECTION), 'a')
        for preliminary in (True, False):
            current = term - int(preliminary)
            self.hand_over(
                protocol.VoteReply(current, term, 'b1', preliminary, True),
            )

    def accept(self, sender, index):
        term = self.replica.read_status().term
        reply = protocol.AppendReply(
            term,
            f'{sender}1',
            accepted=True,
            index=index,
            writable=True,
            sent_at=self.now,
        )
        return self.hand_over(reply, sender)


def test_vote_is_given_once_a_term_also_after_a_restart():
    single = Single()
    assert single.ask('b', 5)
    assert single.ask('b', 5)
    assert not single.ask('c', 5)
    single.boot()
    assert not single.ask('c', 5)
    assert single.ask('c', 6)


def test_candidate_that_lacks_entries_gets_no_vote():
    single = Single(stored.Entry(2, 3, stored.Noop()), term=3)
    assert not single.ask('b', 5, last_index=1, last_term=3)
    assert not single.ask('b', 6, last_index=9, last_term=2)
    assert single.ask('b', 7, last_index=2, last_term=3)


def test_vote_that_cannot_be_stored_is_not_given():
    single = Single()
    single.data.full = True
    assert not single.ask('b', 5)
    assert single.replica.read_status().term == 1
    single.data.full = False
    single.hand_over(core_messages.TimerFired(const.TIMER_PROBE))
    assert single.ask('c', 5)


def test_entry_of_an_earlier_term_commits_only_with_one_of_the_own():
    # Source: D. Ongaro, figure 3.7: a later leader could still replace it.
    command = messages.NotLeader('x')
    single = Single(stored.Entry(2, 2, command), term=3)
    single.win()
    status = single.replica.read_status()
    assert (status.leader, status.last_index) == ('a', 3)
    for sender in 'bc':
        single.accept(sender, 2)
    assert single.replica.read_status().commit == 0
    assert not single.replica.is_leading(single.now)
    published = single.accept('b', 3)
    assert messages.Committed(2, command, '') in published
    assert single.replica.is_leading(single.now)


def test_votes_of_another_disk_do_not_count():
    single = Single()
    single.hand_over(core_messages.TimerFired(const.TIMER_ELECTION), 'a')
    for identity in ('b2', 'c2', 'x'):
        reply = protocol.VoteReply(1, 2, identity, True, True)
        single.hand_over(reply)
    assert single.replica.read_status().term == 1


def test_entries_meant_for_another_disk_are_ignored():
    single = Single()
    message = protocol.AppendEntries(9, 'a0', 1, 1, (), 1, False, 0)
    assert single.hand_over(message) == []
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


def test_founding_by_a_disk_that_was_emptied_since_is_not_adopted():
    empty = replica.Replica(
        'c',
        ('a', 'b', 'c'),
        storage.Recovered('c1'),
        random.Random(1),
    )
    empty.start(0)
    greeting = protocol.Greeting('a1', 'c1', True, FOUNDING, '')
    empty.handle(protocol.Greet('a2'), 'a', 1)
    empty.handle(greeting, 'a', 2)
    assert not empty.read_status().members.voters
    empty.handle(protocol.Greet('a1'), 'a', 3)
    empty.handle(greeting, 'a', 4)
    assert empty.read_status().members == MEMBERS
