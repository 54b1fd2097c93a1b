"""Guards against members that disagree, and live members declared dead."""

import random

from shallotwharf.components.membership import membership, messages
from shallotwharf.core import aggregate
from tests import fakes


class Listener(aggregate.Aggregate):
    """Keeps what membership publishes on a node."""

    name = 'listener'
    handlers = {
        messages.MembersChanged: 'accept_members',
        messages.AnnouncementsChanged: 'accept_announcements',
    }

    def __init__(self):
        self.members = []
        self.announcements = []

    def start(self, now):
        return []

    def accept_members(self, message, sender, now):
        self.members.append(tuple(m.name for m in message.members))
        return []

    def accept_announcements(self, message, sender, now):
        self.announcements.append(message)
        return []


def build_member(name, datacentre='a'):
    return messages.Member(name, datacentre, 'r', '10.0.0.1', 7000, 8000)


class Group:
    """A cluster of nodes whose first two are seeds."""

    def __init__(self, seed, count):
        self.cluster = fakes.Cluster(seed)
        self.names = [f'a{number:02}' for number in range(count)]
        self.listeners = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        self.listeners[name] = Listener()
        node = membership.Membership(
            build_member(name),
            self.cluster.clock.read_wall(),
            tuple(self.names[:2]),
            random.Random(f'{name}{self.cluster.clock.read()}'),
        )
        self.cluster.start(name, node, self.listeners[name])

    def agrees(self):
        live = tuple(sorted(self.cluster.processes))
        return all(self.listeners[name].members[-1:] == [live] for name in live)

    def announce(self, name, state, spare=9):
        announced = messages.Announcement(
            build_member(name), 'svc', 'v1', state, 9, spare, 0
        )
        self.cluster.processes[name].dispatcher.deliver(
            messages.Announce(announced), name
        )

    def read_states(self, name):
        return {(node, self.read_announced(name, node)) for node in self.names}

    def read_announced(self, name, node):
        seen = self.listeners[name].announcements
        for announced in seen[-1].announcements if seen else ():
            if announced.node.name == node:
                return announced.state
        return None


def test_members_find_each_other_and_notice_a_death():
    group = Group(1, 20)
    group.cluster.run_until(group.agrees, 10_000)
    group.cluster.kill('a05')
    group.cluster.run_until(group.agrees, 12_000)
    group.start('a05')
    group.cluster.run_until(group.agrees, 5000)


def test_drain_reaches_all_with_loss():
    group = Group(2, 20)
    group.cluster.run_until(group.agrees, 10_000)
    for name in group.names:
        group.announce(name, messages.UPSTREAM_READY)
    group.cluster.run_for(5000)
    group.cluster.loss = 0.2
    group.announce('a07', messages.UPSTREAM_DRAINING)
    group.cluster.run_until(
        lambda: all(
            group.read_announced(name, 'a07') == messages.UPSTREAM_DRAINING
            for name in group.names
        ),
        3000,
    )
