"""Guards against effects that run out of order or after a failed store."""

import pytest

from shallotwharf.adapters import codec
from shallotwharf.core import (
    aggregate,
    dispatcher,
    effects,
    messages,
    records,
)
from tests import fakes


@messages.register('test.ping')
class Ping(messages.Message):
    __slots__ = ('number',)

    def __init__(self, number: int) -> None:
        self.number = number


class Operation(records.Record):
    __slots__ = ()


class Echo(aggregate.Aggregate):
    name = 'echo'
    handlers = {
        Ping: 'receive',
        messages.StoreFailed: 'fail',
        messages.TimerFired: 'fire',
    }

    def __init__(self):
        self.seen = []

    def start(self, now):
        return [effects.SetTimer('tick', now + 50)]

    def receive(self, message, sender, now):
        self.seen.append((sender, message.number))
        if message.number == 0:
            return []
        return [
            effects.Store(Operation()),
            effects.Send('b', Ping(message.number - 1)),
        ]

    def fail(self, message, sender, now):
        self.seen.append(('failed', message.reason))
        return []

    def fire(self, message, sender, now):
        self.seen.append(('timer', now))
        return []


def start_pair(seed=1):
    cluster = fakes.Cluster(seed)
    echoes = {name: Echo() for name in 'ab'}
    for name, echo in echoes.items():
        cluster.start(name, echo)
    return cluster, echoes


def test_message_is_sent_after_the_store():
    cluster, echoes = start_pair()
    cluster.processes['a'].dispatcher.deliver(Ping(1), 'x')
    cluster.run_for(100)
    assert cluster.processes['a'].storage.operations == [Operation()]
    assert ('a', 0) in echoes['b'].seen


def test_failed_store_drops_the_message_behind_it():
    cluster, echoes = start_pair()
    cluster.processes['a'].storage.full = True
    cluster.processes['a'].dispatcher.deliver(Ping(1), 'x')
    cluster.run_for(100)
    assert echoes['a'].seen[1][0] == 'failed'
    assert ('a', 0) not in echoes['b'].seen


class Queueing(Echo):
    def receive(self, message, sender, now):
        self.seen.append(message.number)
        if message.number:
            return []
        return [effects.Publish(Ping(1)), effects.Store(Operation())]


def test_failed_store_is_handled_before_messages_that_wait():
    cluster = fakes.Cluster(1)
    echo = Queueing()
    process = cluster.start('a', echo)
    process.storage.full = True
    process.dispatcher.deliver(Ping(0), 'x')
    assert [echo.seen[0], echo.seen[1][0], echo.seen[2]] == [0, 'failed', 1]


class Tree(aggregate.Aggregate):
    """Publishes two messages for each one, down to number 0."""

    name = 'tree'
    handlers = {Ping: 'receive'}

    def __init__(self):
        self.seen = []

    def start(self, now):
        return []

    def receive(self, message, sender, now):
        self.seen.append(message.number)
        if message.number % 10 == 0:
            return []
        below = message.number * 10 + message.number % 10 - 1
        return [effects.Publish(Ping(below)), effects.Publish(Ping(below))]


def test_what_follows_from_a_message_is_handled_before_the_next_one():
    """Guards against a leader that is known before what it has committed."""
    cluster = fakes.Cluster(1)
    tree = Tree()
    cluster.start('a', tree).dispatcher.deliver(Ping(2), 'x')
    assert tree.seen == [2, 21, 210, 210, 21, 210, 210]


def test_timer_of_a_killed_process_does_not_fire():
    cluster, echoes = start_pair()
    cluster.kill('a')
    cluster.run_for(100)
    assert echoes['a'].seen == []
    assert echoes['b'].seen == [('timer', 1050)]


class Failing(aggregate.Aggregate):
    """Changes its state, then fails in a step or in one of its effects."""

    name = 'failing'
    handlers = {Ping: 'receive', messages.StoreFailed: 'roll_back'}

    def __init__(self, step, error=None):
        self.step = step
        self.error = error
        self.state = []
        self.rolled_back = 0

    def start(self, now):
        return []

    def receive(self, message, sender, now):
        self.state.append(message.number)
        if message.number == 0:
            return []
        if self.error is not None:
            raise self.error
        return self.step

    def roll_back(self, message, sender, now):
        self.state.pop()
        self.rolled_back += 1
        return []


SURROGATE = 'caf\ud83d'


class BrokenText(messages.Message):
    __slots__ = ('text',)
    tag = 'test.broken'

    def __init__(self, text: str) -> None:
        self.text = text


@pytest.mark.parametrize(
    ('step', 'error', 'rolled_back', 'effects_failed'),
    [
        (
            [effects.Store(BrokenText(SURROGATE)), effects.Count('late')],
            None,
            1,
            0,
        ),
        ([effects.Store(5), effects.Count('late')], None, 1, 0),
        ([], ValueError('x'), 1, 0),
        ([], UnicodeEncodeError('utf-8', 'x', 0, 1, 'x'), 1, 0),
        (
            [effects.Send('b', BrokenText(SURROGATE)), effects.Count('late')],
            None,
            0,
            1,
        ),
        ([effects.Count([]), effects.Count('late')], None, 0, 1),
        ([effects.SetTimer('x', None), effects.Count('late')], None, 0, 1),
        ([effects.Report(5, {}), effects.Count('late')], None, 0, 0),
    ],
)
def test_step_that_fails_is_rolled_back_or_run_to_its_end(
    step, error, rolled_back, effects_failed
):
    """Guards against a step that an odd input leaves half done.

    The messages behind it must be handled, and the caller must not be hit.
    """
    cluster = fakes.Cluster(1)
    failing = Failing(step, error)
    process = cluster.start('a', failing, storage=EncodingStorage())
    cluster.start('b', Echo())
    process.counters.allows_faults = True
    process.dispatcher.deliver(Ping(1), 'x')
    process.dispatcher.deliver(Ping(0), 'x')
    assert failing.rolled_back == rolled_back
    assert failing.state == ([0] if rolled_back else [1, 0])
    failed = process.counters.read(dispatcher.EFFECTS_FAILED)
    assert failed == effects_failed
    assert process.counters.read('late') == int(not rolled_back)


class EncodingStorage(fakes.FakeStorage):
    """Disk that encodes what it stores."""

    def execute(self, operation):
        codec.encode(operation)
        super().execute(operation)
