"""Guards against data centres that do not receive each other's changes."""

from shallotwharf.components.membership import messages
from tests.components.membership import world

SIZES = {'a': 5, 'b': 4, 'c': 6}


def start(seed, sizes=None):
    state = world.World(seed, sizes or SIZES, ('k0', 'k1'))
    state.cluster.run_until(state.agrees, 10_000)
    for name in state.list_nodes():
        state.announce(name)
    state.cluster.run_until(state.has_all_announcements, 20_000)
    return state


def cut(state, datacentre):
    inside = state.datacentres[datacentre]
    outside = [name for name in state.cluster.processes if name not in inside]
    state.cluster.cut(inside, outside)


def test_drain_reaches_other_data_centres_without_control():
    state = start(1)
    state.cluster.kill('k0')
    state.cluster.kill('k1')
    state.cluster.run_for(90_000)
    state.announce('a03', messages.UPSTREAM_DRAINING)
    state.cluster.run_until(
        lambda: all(
            state.listeners[name].announced['a03'].state
            == messages.UPSTREAM_DRAINING
            for name in state.list_nodes()
        ),
        4000,
    )
    assert not any(state.listeners[name].stale for name in state.list_nodes())


def test_announcements_of_a_dead_node_are_removed_everywhere():
    state = start(2)
    state.cluster.kill('b02')
    state.cluster.run_until(state.has_all_announcements, 20_000)


def test_data_centre_that_is_cut_off_becomes_stale_and_recovers():
    state = start(3)
    cut(state, 'b')
    state.cluster.run_for(60_000)
    outside = [*state.datacentres['a'], *state.datacentres['c']]
    for name in outside:
        assert state.listeners[name].stale == ('b',)
        assert len(state.listeners[name].announced) == 15
    assert state.listeners['b00'].stale == ('a', 'c')
    state.cluster.heal()
    state.cluster.run_until(
        lambda: (
            not any(state.listeners[name].stale for name in state.list_nodes())
        ),
        15_000,
    )


def test_data_centre_that_restarts_whole_is_found_again():
    state = start(4)
    for name in state.datacentres['b']:
        state.cluster.kill(name)
    state.cluster.run_for(40_000)
    for name in state.datacentres['b']:
        state.start(name)
        state.announce(name)
    state.cluster.run_until(state.has_all_announcements, 20_000)


def test_broadcast_everywhere_reaches_each_node_once():
    state = start(5)
    state.cluster.loss = 0.2
    state.cluster.duplicate = 0.2
    cut(state, 'c')
    state.spread('a01', 'fence', messages.SCOPE_EVERYWHERE)
    state.spread('a01', 'own', messages.SCOPE_DATACENTRE)
    state.cluster.run_for(6000)
    for name in (*state.datacentres['a'], *state.datacentres['b']):
        assert 'fence' in state.listeners[name].notes
    state.cluster.heal()
    state.cluster.run_for(14_000)
    for name in state.list_nodes():
        notes = state.listeners[name].notes
        assert notes.count('fence') == 1
        assert notes.count('own') == (name in state.datacentres['a'])


def test_broadcast_gets_around_a_cut_between_two_data_centres():
    state = start(6)
    state.cluster.cut(state.datacentres['a'], state.datacentres['b'])
    state.spread('a01', 'fence', messages.SCOPE_EVERYWHERE)
    state.cluster.run_for(8000)
    assert all(
        state.listeners[name].notes == ['fence'] for name in state.list_nodes()
    )


def test_control_lists_live_nodes_and_drops_unreachable_data_centres():
    state = start(7)
    state.cluster.run_for(10_000)
    assert state.listeners['k0'].members == tuple(state.list_nodes())
    cut(state, 'a')
    state.cluster.run_for(70_000)
    rest = (*state.datacentres['b'], *state.datacentres['c'])
    assert state.listeners['k0'].members == rest


def test_nodes_find_each_other_through_control_alone():
    state = world.World(8, {'a': 0}, ('k0',))
    state.datacentres['a'] = []
    for name in ('a00', 'a01', 'a02'):
        state.start(name)
    state.datacentres['a'] = ['a00', 'a01', 'a02']
    state.cluster.run_until(state.agrees, 15_000)
