"""Guards against a restarted node that applies an older version than before.

Each test makes one source of the floor unavailable and checks that the others
keep the node from applying an older version, or that it applies none.
"""

import pytest

from tests.components.delivery import world as worlds

SETTLE_MS = 3000
GRACE_MS = 14000


def start_world(**arguments):
    world = worlds.World(**arguments)
    world.run(SETTLE_MS)
    world.commit()
    world.run_until(world.is_everywhere, 3000)
    return world


def list_control(world):
    return [process.name for process in world.control]


def restart(world, names):
    for name in names:
        world.restart(name)


def read_active(world, names):
    return {world.subscribers[name].active.number for name in names}


def test_version_below_the_floor_is_not_applied():
    world = start_world()
    relays = world.list_relays('b')
    world.withhold_versions(world.list_nodes('b'))
    world.commit()
    world.run(2000)
    # Two relays restart and receive version 1 from the third one. Control
    # states the floor 2, but cannot send version 2.
    world.cluster.withheld.clear()
    world.withhold_versions(list_control(world))
    restart(world, relays[:2])
    world.run(5000)
    assert {world.relays[name]._group.floor for name in relays} == {2}
    assert {world.relays[name]._fetcher.newest.number for name in relays} == {1}
    other = world.list_nodes('b')
    other = [name for name in other if name not in relays]
    restart(world, other)
    world.run(5000)
    assert read_active(world, other) == {0}
    world.remove_faults()
    world.run_until(world.is_everywhere, 3500)


def test_control_restarts_with_an_older_log_state():
    world = start_world()
    world.commit()
    world.run_until(world.is_everywhere, 3000)
    # Without a leader none of them knows the last committed version.
    for name in list_control(world):
        world.kill(name)
    world.run(1000)
    world.restart('control-a')
    world.restart('control-c')
    restart(world, [*world.list_nodes('a'), *world.list_nodes('b')])
    world.run(GRACE_MS)
    assert read_active(world, world.members) == {0}
    # A relay without a floor states none either.
    assert {one.floor for one in world.subscribers.values()} == {None}
    world.remove_faults()
    world.run_until(world.is_everywhere, 3500)


def test_two_relays_state_the_floor_while_control_is_down():
    world = start_world()
    for name in list_control(world):
        world.kill(name)
    world.run(1000)
    relay = world.list_relays('a')[0]
    restart(world, [relay])
    world.run_until(world.is_everywhere, 3000)


def test_one_relay_that_is_left_states_no_floor():
    world = start_world()
    relays = world.list_relays('a')
    for name in list_control(world):
        world.kill(name)
    world.run(1000)
    restart(world, relays[:2])
    world.run(GRACE_MS)
    assert read_active(world, relays[:2]) == {0}
    world.remove_faults()
    world.run_until(world.is_everywhere, 3500)


@pytest.mark.parametrize('size', [1, 2])
def test_few_members_use_all_relays(size):
    world = start_world(nodes=size)
    restart(world, world.list_nodes('a')[:1])
    world.run_until(world.is_everywhere, 3000)
    for name in list_control(world):
        world.kill(name)
    restart(world, world.list_nodes('a')[:1])
    world.run(GRACE_MS)
    # Each version was held by both of two relays, so the remaining one can
    # state a floor. A single relay that restarted cannot.
    assert read_active(world, world.list_nodes('a')[:1]) == {size - 1}


def test_isolated_and_restarted_datacentre_uses_its_control_process():
    world = start_world()
    world.run(2000)
    inside = world.list_inside('a')
    world.cluster.cut(inside, world.list_others(inside))
    restart(world, world.list_nodes('a'))
    world.run(9000)
    assert read_active(world, world.list_nodes('a')) == {0}
    world.run(GRACE_MS - 9000)
    assert read_active(world, world.list_nodes('a')) == {1}


def test_nodes_wait_until_the_local_control_process_recorded_it():
    world = worlds.World()
    world.kill('control-a')
    world.run(SETTLE_MS)
    world.commit()
    world.run_until(world.is_everywhere, 3000)
    # The relays stay subscribed to the control process that they have chosen
    # in the meantime.
    world.restart('control-a')
    world.run(3000)
    nodes = world.list_nodes('a')
    world.withhold_versions(['control-a'])
    world.cluster.cut(nodes, ['control-a'])
    world.commit()
    world.run(900)
    assert read_active(world, nodes) == {1}
    world.cluster.heal()
    inside = world.list_inside('a')
    world.cluster.cut(inside, world.list_others(inside))
    restart(world, nodes)
    world.run(GRACE_MS)
    assert read_active(world, nodes) <= {0, 1}


def test_unresponsive_local_control_process_is_not_waited_for():
    world = start_world()
    world.kill('control-a')
    world.commit()
    world.run_until(world.is_everywhere, 3000)


def test_version_held_by_one_relay_is_not_applied():
    world = start_world()
    relays = world.list_relays('a')
    other = [name for name in world.list_nodes('a') if name not in relays]
    world.withhold_versions(relays[1:])
    world.commit()
    world.run(1500)
    assert world.relays[relays[0]]._fetcher.newest.number == 2
    assert read_active(world, other) == {1}
    for name in [relays[0], *list_control(world)]:
        world.kill(name)
    world.cluster.withheld.clear()
    restart(world, other)
    world.run(4000)
    assert read_active(world, other) == {1}


def test_version_known_to_one_control_process_is_not_handed_out():
    world = start_world()
    leader = world.leader
    others = [name for name in list_control(world) if name != leader]
    world.withhold_versions(others)
    world.commit()
    world.run(3000)
    # The followers have the entry in their logs, but do not know that it is
    # committed.
    for name in others:
        world.cluster.cut([name], list_control(world))
    world.cluster.cut([leader], world.list_others([leader]))
    world.cluster.withheld.clear()
    restart(world, [*world.list_nodes('a'), *world.list_nodes('b')])
    world.run(5000)
    assert read_active(world, world.members) == {1}


def test_new_relays_wait_until_views_agree():
    world = worlds.World(nodes=6)
    ranked = worlds.rendezvous.rank_members('a', world.list_nodes('a'))
    for name in ranked[:2]:
        world.kill(name)
    world.run(SETTLE_MS)
    world.commit()
    world.run(1000)
    # The second relay is fed instead of the first one.
    world.cluster.cut([ranked[2]], list_control(world))
    world.run(4000)
    # Two nodes join and replace two relays. The replaced relays and one other
    # node receive the new view late, and receive a version that is withheld
    # from the new relays.
    restart(world, ranked[:2])
    late = [ranked[3], ranked[4], ranked[5]]
    due = world.cluster.clock.read() + 1000
    world.view_due.update({name: due for name in late})
    world.view_due[ranked[2]] = 0
    world.run(500)
    world.withhold_versions(ranked[:3])
    world.commit()
    world.run(400)
    for name in [ranked[3], ranked[4], *list_control(world)]:
        world.kill(name)
    world.cluster.withheld.clear()
    restart(world, ranked[5:])
    world.run(GRACE_MS)
    world.remove_faults()
    world.run_until(world.is_everywhere, 3500)


def test_relay_that_was_frozen_gives_up_its_floor():
    world = start_world()
    relays = world.list_relays('a')
    for name in relays:
        world.freeze(name)
    world.run(2000)
    for name in relays:
        assert world.relays[name]._group.floor_valid
        world.thaw(name)
    world.run(50)
    assert not any(world.relays[name]._group.floor_valid for name in relays)
    world.commit()
    world.run_until(world.is_everywhere, 3000)
