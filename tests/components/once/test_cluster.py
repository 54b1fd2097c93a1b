"""Guards against components that work alone but not together.

Membership, directory, assignment, holders and coordinators run as one cluster.
Only the replicated log and the delivery of versions are replaced by a fake.
"""

import random

from shallotwharf.components.membership import directory, membership
from shallotwharf.components.membership import messages as member_messages
from shallotwharf.components.once import (
    assignment,
    coordinator,
    holder,
    messages,
)
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import version
from shallotwharf.core import aggregate, clock, effects
from tests import fakes

NODES = tuple(
    f'{datacentre}{number}' for datacentre in 'abc' for number in '123'
)


class Log(aggregate.Aggregate):
    """Fake log that commits all proposals and sends versions to all nodes."""

    name = 'log'
    handlers = {replica_messages.Propose: 'accept'}

    def __init__(self):
        self.current = version.EMPTY

    def start(self, now):
        leading = replica_messages.LeaderChanged('k0', True)
        return [effects.Publish(leading)]

    def accept(self, message, sender, now):
        groups = message.command.groups
        assert version.is_next_assignment(self.current.holders, groups)
        self.current = self.current.replace(
            number=self.current.number + 1, holders=groups
        )
        applied = tables_messages.VersionApplied(self.current)
        return [
            effects.Publish(tables_messages.VersionAccepted(self.current)),
            *(effects.Send(name, applied) for name in NODES),
        ]


class Cluster:
    def __init__(self, seed):
        self.cluster = fakes.Cluster(seed)
        self.log = Log()
        self.holders = {}
        self.cluster.start(
            'k0',
            directory.Directory(),
            assignment.HolderAssignment(1_700_000_000_000),
            self.log,
        )
        for name in NODES:
            self.start(name, version.EMPTY)

    def start(self, name, applied):
        clocks = self.cluster.clock
        source = random.Random(f'{name} {clocks.read()}')
        member = member_messages.Member(name, name[0], 'r', '10.0.0.1', 1, 2)
        self.holders[name] = holder.Holder(
            name,
            source.getrandbits(63),
            clocks.read_wall() - clocks.read(),
            ('k0',),
        )
        process = self.cluster.start(
            name,
            membership.Membership(
                member, clocks.read_wall(), ('k0',), source, ('k0',)
            ),
            self.holders[name],
            coordinator.Coordinator(source),
        )
        process.dispatcher.deliver(
            tables_messages.VersionApplied(applied), name
        )

    def is_settled(self):
        groups = self.log.current.holders
        return bool(groups) and all(
            slot is not None and slot.settled and slot.epoch == group.epoch
            for group in groups
            for slot in (
                self.holders[member.name]._slots.find(group.name)
                for member in group.members
            )
        )

    def call(self, node, key):
        """Send a call, end it if it was granted, and return the reply."""
        process = self.cluster.processes[node]
        request = f'{node} {self.cluster.clock.read()}'
        begin = messages.BeginCall(
            request, key, b'd', self.cluster.clock.read_wall()
        )
        process.dispatcher.deliver(begin, node)
        self.cluster.run_for(1500)
        reply = process.requests.answers[request]
        if isinstance(reply, messages.CallGranted):
            ended = messages.CallFinished(key, 'run', 200, 't', b'done')
            process.dispatcher.deliver(ended, node)
            self.cluster.run_for(500)
        return reply


def build_key(cluster, number):
    moment = cluster.clock.read_wall()
    text = f'{moment << 80 | 7 << 76 | 2 << 62 | number:032x}'
    return '-'.join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def test_new_cluster_runs_calls_within_half_a_minute():
    state = Cluster(1)
    state.cluster.run_until(state.is_settled, 30_000, 100)
    for number in range(20):
        key = build_key(state.cluster, number)
        assert isinstance(state.call('a1', key), messages.CallGranted)
        assert state.call('c3', key).body == b'done'


def test_rolling_restart_keeps_calls_running():
    state = Cluster(2)
    state.cluster.run_until(state.is_settled, 30_000, 100)
    keys = [build_key(state.cluster, number) for number in range(10)]
    for key in keys:
        state.call('a1', key)
    for name in NODES:
        state.start(name, state.log.current)
        state.cluster.run_until(state.is_settled, 10_000, 100)
    for key in keys:
        assert state.call('b2', key).body == b'done'


def test_lost_member_is_replaced_and_its_calls_are_replayed():
    state = Cluster(3)
    state.cluster.run_until(state.is_settled, 30_000, 100)
    state.cluster.kill('a1')
    state.cluster.run_for(9 * clock.MINUTE_MS)
    keys = [build_key(state.cluster, number) for number in range(10)]
    for key in keys:
        state.call('b1', key)
    state.cluster.run_until(
        lambda: state.is_settled() and 'a1' not in read_holders(state),
        3 * clock.MINUTE_MS,
        100,
    )
    for key in keys:
        assert state.call('c2', key).body == b'done'


def read_holders(state):
    return {
        member.name
        for group in state.log.current.holders
        for member in group.members
    }
