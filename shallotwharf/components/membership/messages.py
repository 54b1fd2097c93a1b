"""Events of the membership that other components use."""

import typing

from shallotwharf.core import messages, records

# States of an announced upstream.
UPSTREAM_WARMING: typing.Final = 'warming'
UPSTREAM_READY: typing.Final = 'ready'
UPSTREAM_DRAINING: typing.Final = 'draining'
UPSTREAM_GONE: typing.Final = 'gone'

SCOPE_DATACENTRE: typing.Final = 'datacentre'
SCOPE_EVERYWHERE: typing.Final = 'everywhere'


class Member(records.Record):
    """A node of a data centre.

    Attributes:
        name: unique name of the process.
        datacentre: name of its data centre.
        region: name of its region.
        host: IP number it listens on.
        link_port: port for connections between processes.
        call_port: port for calls.
    """

    __slots__ = (
        'name',
        'datacentre',
        'region',
        'host',
        'link_port',
        'call_port',
    )

    def __init__(
        self,
        name: str,
        datacentre: str,
        region: str,
        host: str,
        link_port: int,
        call_port: int,
    ) -> None:
        self.name = name
        self.datacentre = datacentre
        self.region = region
        self.host = host
        self.link_port = link_port
        self.call_port = call_port


class Announcement(records.Record):
    """An upstream as its own node describes it.

    Attributes:
        node: the node beside the upstream; one upstream a node.
        service: name of the service.
        version: version of the service.
        state: one of the `UPSTREAM_` names.
        slots: requests it runs at once.
        spare: slots that were free at the time of the announcement.
        generation: grows with each announcement of the node; the higher one
            replaces the lower one.
    """

    __slots__ = (
        'node',
        'service',
        'version',
        'state',
        'slots',
        'spare',
        'generation',
    )

    def __init__(
        self,
        node: Member,
        service: str,
        version: str,
        state: str,
        slots: int,
        spare: int,
        generation: int,
    ) -> None:
        self.node = node
        self.service = service
        self.version = version
        self.state = state
        self.slots = slots
        self.spare = spare
        self.generation = generation


@messages.register('membership.members_changed')
class MembersChanged(messages.Message):
    """Live members of the own data centre, the own node included."""

    __slots__ = ('members',)

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.members = members


@messages.register('membership.announcements_changed')
class AnnouncementsChanged(messages.Message):
    """All announcements known, of this and other data centres.

    Attributes:
        announcements: one for each live node, ordered by the node's name.
        stale_datacentres: data centres that were not heard of for
            `const.STALE_MS`; their announcements are a last choice.
    """

    __slots__ = ('announcements', 'stale_datacentres')

    def __init__(
        self,
        announcements: tuple[Announcement, ...],
        stale_datacentres: tuple[str, ...] = (),
    ) -> None:
        self.announcements = announcements
        self.stale_datacentres = stale_datacentres


@messages.register('membership.announce')
class Announce(messages.Message):
    """The own gate describes its upstream; membership spreads it."""

    __slots__ = ('announcement',)

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement


@messages.register('membership.spread')
class Broadcast(messages.Message):
    """A component asks to gossip a message.

    The message is published once on each node of the scope, the own node
    included.

    Attributes:
        key: identifies the message; a second one with the key is ignored.
        scope: one of the `SCOPE_` names.
        message: what is published.
        lifetime_ms: how long nodes that join later still get it.
    """

    __slots__ = ('key', 'scope', 'message', 'lifetime_ms')

    def __init__(
        self,
        key: str,
        scope: str,
        message: messages.Message,
        lifetime_ms: int,
    ) -> None:
        self.key = key
        self.scope = scope
        self.message = message
        self.lifetime_ms = lifetime_ms


@messages.register('membership.leave')
class Leave(messages.Message):
    """The own process is about to stop; the other members are told."""

    __slots__ = ()


@messages.register('membership.peers_found')
class PeersFound(messages.Message):
    """Addresses of members that are new or have moved."""

    __slots__ = ('members',)

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.members = members


@messages.register('membership.live_nodes')
class LiveNodes(messages.Message):
    """Live nodes of all data centres as relays report them to control."""

    __slots__ = ('members',)

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.members = members
