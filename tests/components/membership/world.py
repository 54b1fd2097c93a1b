"""Simulated data centres of nodes, with control processes."""

import random

from shallotwharf.adapters import codec
from shallotwharf.components.membership import (
    directory,
    membership,
    messages,
)
from shallotwharf.core import aggregate
from shallotwharf.core import messages as core_messages
from tests import fakes


@core_messages.register('test.membership.note')
class Note(core_messages.Message):
    __slots__ = ('text',)

    def __init__(self, text: str) -> None:
        self.text = text


class Listener(aggregate.Aggregate):
    """Recorder of the messages that membership publishes on a node."""

    name = 'listener'
    handlers = {
        messages.MembersChanged: 'accept_members',
        messages.AnnouncementsChanged: 'accept_announcements',
        messages.LiveNodes: 'accept_members',
        Note: 'accept_note',
    }

    def __init__(self):
        self.members = ()
        self.published = 0
        self.announced = {}
        self.stale = ()
        self.notes = []

    def start(self, now):
        return []

    def accept_members(self, message, sender, now):
        self.members = tuple(member.name for member in message.members)
        self.published += 1
        return []

    def accept_announcements(self, message, sender, now):
        self.announced = {a.node.name: a for a in message.announcements}
        self.stale = message.stale_datacentres
        return []

    def accept_note(self, message, sender, now):
        self.notes.append(message.text)
        return []


class World:
    """A simulated cluster; `sizes` is the number of nodes by data centre."""

    def __init__(self, seed, sizes, controls=()):
        self.cluster = fakes.Cluster(seed)
        self.controls = controls
        self.datacentres = {
            datacentre: [f'{datacentre}{number:02}' for number in range(size)]
            for datacentre, size in sizes.items()
        }
        self.listeners = {}
        self.sent_bytes = {}
        self._count_bytes()
        for control in controls:
            self.start_control(control)
        for name in self.list_nodes():
            self.start(name)

    def list_nodes(self):
        return [name for names in self.datacentres.values() for name in names]

    def list_live(self, datacentre):
        return tuple(
            name
            for name in self.datacentres[datacentre]
            if name in self.cluster.processes
        )

    def start_control(self, name):
        self.listeners[name] = Listener()
        self.cluster.start(name, directory.Directory(), self.listeners[name])

    def start(self, name):
        self.listeners[name] = Listener()
        seeds = self.datacentres[name[0]][:2]
        node = membership.Membership(
            build_member(name),
            self.cluster.clock.read_wall(),
            (*seeds, *self.controls),
            random.Random(f'{name}{self.cluster.clock.read()}'),
            self.controls,
        )
        self.cluster.start(name, node, self.listeners[name])

    def deliver(self, name, message):
        self.cluster.processes[name].dispatcher.deliver(message, name)

    def announce(self, name, state=messages.UPSTREAM_READY, spare=9):
        announced = messages.Announcement(
            build_member(name), 'service-17', 'v1', state, 9, spare, 0
        )
        self.deliver(name, messages.Announce(announced))

    def spread(self, name, text, scope=messages.SCOPE_DATACENTRE):
        self.deliver(name, messages.Broadcast(text, scope, Note(text), 30_000))

    def agrees(self):
        """Return whether live nodes list all live ones of their data centre."""
        return all(
            self.listeners[name].members == self.list_live(datacentre)
            for datacentre in self.datacentres
            for name in self.list_live(datacentre)
        )

    def has_all_announcements(self):
        """Return whether each live node has the announcements of all."""
        live = [
            name
            for datacentre in self.datacentres
            for name in self.list_live(datacentre)
        ]
        return all(
            sorted(self.listeners[name].announced) == sorted(live)
            for name in live
        )

    def count_deaths(self):
        return sum(
            process.counters.read('membership.declared_dead')
            for process in self.cluster.processes.values()
        )

    def _count_bytes(self):
        transmit = self.cluster.transmit

        def count(sender, peer, message):
            size = len(codec.encode(message))
            for name in (sender, peer):
                self.sent_bytes[name] = self.sent_bytes.get(name, 0) + size
            return transmit(sender, peer, message)

        self.cluster.transmit = count


def build_member(name):
    return messages.Member(
        name, name[0], 'region-1', '10.20.30.40', 17000, 18000
    )
