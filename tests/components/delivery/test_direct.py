"""Guards against directly fed nodes that apply an older version, or none.

Control processes with real feeds hand versions to nodes. The messages that the
replicated log would publish are delivered by the test.
"""

import itertools
import random

import pytest

from shallotwharf.components.delivery import direct, feed, messages
from shallotwharf.components.membership import messages as membership
from shallotwharf.components.replica import configuration
from shallotwharf.components.replica import messages as replica
from shallotwharf.components.roster import finder, registrar
from shallotwharf.components.tables import messages as tables
from shallotwharf.components.tables import pool, version
from shallotwharf.core import aggregate, locations
from tests import fakes

CONTROL = ('c1', 'c2', 'c3', 'c4', 'c5')
# The shortest of the users' limits from the acknowledgement of a version to
# its application on a node.
APPLY_LIMIT_MS = 2000


class Recorder(aggregate.Aggregate):
    name = 'recorder'
    handlers = {tables.VersionApplied: 'record'}

    def __init__(self):
        self.numbers = []

    def start(self, now):
        return []

    def record(self, message, sender, now):
        number = message.applied.number
        assert not self.numbers or number > self.numbers[-1]
        self.numbers.append(number)
        return []


class World:
    def __init__(self, seed=1):
        self.cluster = fakes.Cluster(seed)
        self.random = random.Random(seed)
        self.recorders = {}
        self.committed = ()
        for name in CONTROL:
            self.start_control(name)

    def start_control(self, name):
        local_process = messages.ControlProcess(name, f'd{name[1]}', 'r')
        self.cluster.start(
            name,
            feed.Feed(local_process, (local_process,), (), self.random),
            registrar.Registrar(),
        )
        members = configuration.Configuration(
            tuple(
                configuration.Member(
                    other,
                    other,
                    locations.Location(f'd{other[1]}', 'r', other, 1, 2),
                )
                for other in CONTROL
            )
        )
        self.deliver(name, replica.GroupChanged(1, members))
        self.deliver(name, replica.LeaderChanged('c1', name == 'c1'))

    def deliver(self, name, message):
        self.cluster.processes[name].dispatcher.deliver(message, '')

    def start_node(self, name='n', datacentre='d1'):
        local_node = membership.Member(name, datacentre, 'r', name, 1, 2)
        self.recorders[name] = Recorder()
        self.cluster.start(
            name,
            direct.DirectSubscriber(local_node, self.random),
            self.recorders[name],
            finder.Finder(('c1', 'c2', 'c3'), self.random),
        )

    def commit(self, number, *names):
        rows = (pool.Pool('p', f's{number}', {}),)
        accepted = version.Version(number, version.Tables((), rows, number))
        for name in names or CONTROL:
            self.deliver(name, tables.VersionAccepted(accepted))

    def wait_for(self, number, name='n', limit_ms=APPLY_LIMIT_MS):
        return self.cluster.run_until(
            lambda: self.recorders[name].numbers[-1:] == [number], limit_ms
        )


@pytest.mark.parametrize('seed', range(5))
def test_version_is_in_force_soon_after_its_acknowledgement(seed):
    world = World(seed)
    world.start_node()
    world.commit(1)
    world.wait_for(1)
    world.cluster.loss = 0.05
    for number in range(2, 12):
        world.commit(number)
        world.wait_for(number)


def test_version_that_only_a_minority_knows_is_not_applied():
    world = World()
    world.start_node()
    world.commit(1)
    world.wait_for(1)
    world.commit(2, 'c1', 'c2')
    world.cluster.run_for(3000)
    assert world.recorders['n'].numbers == [1]


def kill_source(world):
    world.cluster.kill('c1')
    return CONTROL[1:]


def kill_two(world):
    world.cluster.kill('c2')
    return kill_source(world)[1:]


def freeze_source(world):
    world.cluster.freeze('c1')
    return CONTROL[1:]


def cut_source(world):
    world.cluster.cut(['c1'], CONTROL[1:])
    return CONTROL[1:]


def lag_source(world):
    return CONTROL[1:]


def lag_two(world):
    return CONTROL[2:]


@pytest.mark.parametrize(
    'cause',
    [kill_source, kill_two, freeze_source, cut_source, lag_source, lag_two],
)
def test_unusable_control_process_does_not_keep_a_version_from_a_node(cause):
    """Guards against a node that waits for the one process that feeds it."""
    for seed in range(10):
        world = World(seed)
        world.start_node()
        world.commit(1)
        world.wait_for(1)
        holders = cause(world)
        world.cluster.run_for(100)
        world.commit(2, *holders)
        world.wait_for(2, limit_ms=APPLY_LIMIT_MS)


def test_any_minority_may_be_unusable():
    """Guards against watching too few processes, or the wrong ones."""

    def kill(world, name):
        world.cluster.kill(name)

    def cut(world, name):
        world.cluster.cut([name], [other for other in CONTROL if other != name])

    def lag(world, name):
        """Do nothing: each faulty process lacks the version."""

    minorities = itertools.combinations(CONTROL, 2)
    faults = itertools.product((kill, cut, lag), repeat=2)
    cases = itertools.product(minorities, faults)
    for seed, (minority, (first, second)) in enumerate(cases):
        world = World(seed)
        world.start_node()
        world.commit(1)
        world.wait_for(1)
        first(world, minority[0])
        second(world, minority[1])
        world.cluster.run_for(100)
        world.commit(2, *sorted(set(CONTROL) - set(minority)))
        world.wait_for(2)


def test_majority_that_another_voter_found_counts():
    """Guards against waiting for a voter whose messages are lost."""
    world = World()
    world.cluster.kill('c4')
    world.cluster.kill('c5')
    world.cluster.run_for(1000)
    world.cluster.cut(['c2'], ['c3'])
    world.commit(1, 'c1', 'c2', 'c3')
    world.cluster.run_for(1000)
    world.start_node(datacentre='d2')
    world.wait_for(1, limit_ms=1000)
    assert 'source_left' not in read_counts(world, 'n')


def read_counts(world, name):
    return {
        counter.removeprefix('delivery.'): count
        for counter, count in world.cluster.processes[name]
        .counters.read_all()
        .items()
    }


@pytest.mark.parametrize(
    ('holders', 'process', 'counter'),
    [
        (CONTROL[1:], 'c1', 'control_lags'),
        (CONTROL[:2], 'c1', 'release_waits'),
    ],
)
def test_lag_of_a_control_process_is_counted(holders, process, counter):
    world = World()
    world.commit(1)
    world.cluster.run_for(1000)
    world.commit(2, *holders)
    world.cluster.run_for(2000)
    assert read_counts(world, process)[counter] == 1


@pytest.mark.parametrize('seed', range(5))
def test_restarted_node_applies_nothing_older_than_before(seed):
    world = World(seed)
    world.start_node()
    world.commit(1)
    world.commit(2)
    world.wait_for(2)
    # The control process of the local data centre has not read the whole log.
    world.cluster.kill('c1')
    world.start_control('c1')
    world.deliver('c1', replica.LeaderChanged('c2', False))
    world.deliver('c2', replica.LeaderChanged('c2', True))
    world.commit(1, 'c1')
    world.cluster.kill('n')
    world.start_node()
    world.wait_for(2, limit_ms=6000)
    assert world.recorders['n'].numbers == [2]


@pytest.mark.parametrize('seed', range(5))
def test_node_that_starts_beside_an_empty_control_process_soon_leaves_it(seed):
    """Guards against waiting for the time-out of a process without versions.

    A control process that lost its disk answers, but has no versions.
    """
    world = World(seed)
    world.commit(1, 'c2', 'c3', 'c4', 'c5')
    world.start_node()
    world.wait_for(1, limit_ms=700)
