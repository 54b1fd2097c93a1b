"""Guards against one odd entry that stops the nodes which receive it.

Another writer may have left it: a port out of range, a host that is no
address, or a number too large for the arithmetic of this process.
"""

import pytest

from shallotwharf.components.membership import const, messages, wire
from shallotwharf.core import records
from tests.components.membership import world as worlds

NUMBERS = (-1, 70_000, 2**63, 10**400, 10**5000)
TEXTS = ('', '\0', 'no-address', 'x' * 5000)
RUN = 1_700_000_010_000
MEMBER = messages.Member('odd', 'a', 'region-1', '10.20.30.41', 1, 2)
STATE = wire.MemberState(MEMBER, RUN, 0, const.STATUS_ALIVE)
ANNOUNCEMENT = messages.Announcement(MEMBER, 's', 'v1', 'ready', 9, 9, RUN)
LOAD = wire.Load('odd', RUN, 3)
BROADCAST = wire.BroadcastItem(
    'key', messages.SCOPE_EVERYWHERE, worlds.Note('n'), 1000
)


def list_variants(record):
    """Return copies of a record, each with one odd value."""
    variants = []
    for name in records.list_fields(type(record)):
        known = getattr(record, name)
        values = ()
        if isinstance(known, int):
            values = NUMBERS
        elif isinstance(known, str):
            values = TEXTS
        elif isinstance(known, messages.Member):
            values = list_variants(known)
        variants.extend(record.replace(**{name: odd}) for odd in values)
    return variants


BATCHES = (
    *(wire.Batch((odd,), (ANNOUNCEMENT,)) for odd in list_variants(STATE)),
    *(wire.Batch((STATE,), (odd,)) for odd in list_variants(ANNOUNCEMENT)),
    *(wire.Batch((STATE,), loads=(odd,)) for odd in list_variants(LOAD)),
    *(wire.Batch(broadcasts=(odd,)) for odd in list_variants(BROADCAST)),
    *(
        wire.Batch(heartbeats=(odd,))
        for odd in list_variants(wire.Heartbeat('b', 5))
    ),
)


def run(batch):
    """Merge a batch at one node; return the world some seconds later."""
    world = worlds.World(1, {'a': 3, 'b': 2}, ('c0',))
    for name in world.list_nodes():
        world.announce(name)
    world.cluster.run_for(3000)
    world.deliver('a00', wire.Push(batch))
    world.cluster.run_for(4000)
    world.announce('b01', messages.UPSTREAM_DRAINING)
    world.cluster.run_for(4000)
    return world


def test_odd_entry_stops_no_node():
    for batch in BATCHES:
        world = run(batch)
        for name in world.list_nodes():
            announced = world.listeners[name].announced
            assert set(world.list_nodes()) <= announced.keys(), batch
            state = announced['b01'].state
            assert state == messages.UPSTREAM_DRAINING, batch


@pytest.mark.parametrize(
    'odd', [{'link_port': 70_000}, {'call_port': -1}, {'host': 'no-address'}]
)
def test_entry_without_a_valid_address_is_dropped_alone(odd):
    whole = wire.Batch(
        (STATE, STATE.replace(member=MEMBER.replace(name='next', **odd))),
        (ANNOUNCEMENT,),
    )
    world = run(whole)
    assert world.cluster.processes['a00'].counters.read(
        'membership.entries_refused'
    )
    assert 'next' not in world.listeners['a01'].members
