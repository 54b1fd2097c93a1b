"""Messages between membership and other components."""

import typing

from shallotwharf.core import messages, records, upstream_notices

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
        host: IP address it listens on.
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
    """An upstream as described by the node beside it.

    Attributes:
        node: the node beside the upstream; a node has one upstream.
        service: name of the service.
        version: version of the service.
        state: one of the `UPSTREAM_` names.
        slots: number of requests that it runs at once.
        spare: free slots at the time of the announcement.
        generation: increases with each announcement of the node; the highest
            one is current.
        incarnation: identifies the start of the upstream; empty if unknown.
        condition: speed at the time of the announcement.
    """

    __slots__ = (
        'node',
        'service',
        'version',
        'state',
        'slots',
        'spare',
        'generation',
        'incarnation',
        'condition',
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
        incarnation: str = '',
        condition: upstream_notices.Condition = (
            upstream_notices.UNKNOWN_CONDITION
        ),
    ) -> None:
        self.node = node
        self.service = service
        self.version = version
        self.state = state
        self.slots = slots
        self.spare = spare
        self.generation = generation
        self.incarnation = incarnation
        self.condition = condition


@messages.register('membership.members_changed')
class MembersChanged(messages.Message):
    """Live members of the local data centre, this node included."""

    __slots__ = ('members',)

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.members = members


@messages.register('membership.announcements_changed')
class AnnouncementsChanged(messages.Message):
    """All announcements known, of this and other data centres.

    Attributes:
        announcements: one for each live node, ordered by the node's name.
        stale_datacentres: data centres without a heartbeat for
            `const.STALE_MS`; their announcements are the last choice.
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
    """Request of the local gate to gossip an announcement."""

    __slots__ = ('announcement',)

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement


@messages.register('membership.spread')
class Broadcast(messages.Message):
    """Request of a component to broadcast a message by gossip.

    The message is published once on each node of the scope, this node
    included.

    Attributes:
        key: identifies the message; a second one with the same key is ignored.
        scope: one of the `SCOPE_` names.
        message: the message to publish.
        lifetime_ms: how long nodes that join later still receive it.
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


@messages.register('membership.entries_learned')
class EntriesLearned(messages.Message):
    """Event: the entries of another node have arrived; published once."""

    __slots__ = ()


@messages.register('membership.leave')
class Leave(messages.Message):
    """Notice that this process is about to stop."""

    __slots__ = ()


@messages.register('membership.peers_found')
class PeersFound(messages.Message):
    """Members that are new or have a new address."""

    __slots__ = ('members',)

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.members = members


@messages.register('membership.live_nodes')
class LiveNodes(messages.Message):
    """Live nodes of all data centres, as relays report them to control."""

    __slots__ = ('members',)

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.members = members
