"""Guards against gossip above the traffic limit of a node.

The limit is 10 KB/s for each node, sent and received, for all control
traffic; membership may use two thirds of it.
"""

import random

import pytest

from tests.components.membership import world

LIMIT_BYTES_PER_SECOND = 6700
SECONDS = 20


def measure(sizes, changes_load, restarts=0, seconds=SECONDS):
    """Return bytes per second: the mean and the maximum over all nodes.

    With `changes_load`, the spare slots of each node change twice a second.
    """
    state = world.World(1, sizes, ('k0',))
    state.cluster.run_until(state.agrees, 30_000)
    for name in state.list_nodes():
        state.announce(name)
    state.cluster.run_until(state.has_all_announcements, 60_000)
    state.cluster.run_for(40_000)
    state.sent_bytes.clear()
    source = random.Random(2)
    for half in range(2 * seconds):
        if changes_load:
            for name in state.list_nodes():
                state.announce(name, spare=source.randrange(10))
        if half < restarts:
            restarted = source.choice(state.list_nodes())
            state.start(restarted)
            state.announce(restarted)
        state.cluster.run_for(500)
    used = [state.sent_bytes[name] / seconds for name in state.list_nodes()]
    return sum(used) / len(used), max(used)


@pytest.mark.parametrize('size', [5, 10, 20])
def test_idle_data_centre_stays_within_the_limit(size):
    _, highest = measure({'a': size}, changes_load=False)
    assert highest < LIMIT_BYTES_PER_SECOND


@pytest.mark.parametrize('size', [5, 10, 20])
def test_changing_load_and_restarts_stay_within_the_limit(size):
    _, highest = measure({'a': size}, changes_load=True, restarts=1)
    assert highest < LIMIT_BYTES_PER_SECOND


@pytest.mark.parametrize('count', [2, 3, 5])
def test_other_data_centres_stay_within_the_limit(count):
    sizes = dict.fromkeys('abcde'[:count], 4)
    _, highest = measure(sizes, changes_load=True)
    assert highest < LIMIT_BYTES_PER_SECOND


def test_node_whose_only_peer_is_gone_stays_within_the_limit():
    """Guards against a loop of joins and answers that name the lost peer."""
    state = world.World(1, {'a': 2, 'b': 2}, ('k0', 'k1'))
    state.cluster.run_until(state.agrees, 30_000)
    state.cluster.kill('a01')
    state.cluster.run_until(state.agrees, 60_000)
    state.sent_bytes.clear()
    state.cluster.run_for(SECONDS * 1000)
    assert state.sent_bytes['a00'] / SECONDS < LIMIT_BYTES_PER_SECOND
