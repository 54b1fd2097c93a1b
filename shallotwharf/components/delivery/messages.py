"""Messages between control processes, relays and directly fed nodes.

A whole version is sent as the difference from the empty version.
"""

from shallotwharf.components.tables import difference
from shallotwharf.core import messages, records


class ControlProcess(records.Record):
    """A control process and where it runs."""

    __slots__ = ('name', 'datacentre', 'region')

    def __init__(self, name: str, datacentre: str, region: str) -> None:
        self.name = name
        self.datacentre = datacentre
        self.region = region

    def rank_distance(self, datacentre: str, region: str) -> int:
        """Return 0 for the same data centre, 1 for the same region, else 2."""
        if self.datacentre == datacentre:
            return 0
        return 1 if self.region == region else 2


class VersionPart(records.Record):
    """Part `index` of `total` of a difference, with some of its entries.

    Each part has the numbers and digests of the whole difference.
    """

    __slots__ = ('index', 'total', 'change')

    def __init__(
        self,
        index: int,
        total: int,
        change: difference.Difference,
    ) -> None:
        self.index = index
        self.total = total
        self.change = change


class NodeStatus(records.Record):
    """A node that does not have the newest version of its relays.

    Attributes:
        name: name of the node.
        active: number of its active version; 0 if none or unknown.
        reason: why it refused a version; empty if it refused none.
    """

    __slots__ = ('name', 'active', 'reason')

    def __init__(self, name: str, active: int, reason: str) -> None:
        self.name = name
        self.active = active
        self.reason = reason


class ActiveCount(records.Record):
    """Number of members on which a version is active."""

    __slots__ = ('number', 'members')

    def __init__(self, number: int, members: int) -> None:
        self.number = number
        self.members = members


@messages.register('delivery.peer')
class PeerProgress(messages.Message):
    """Highest committed version that a control process knows, for its peers.

    Attributes:
        number: highest committed version known to the sender.
        leading: whether the sender leads the log and holds its lease.
        incarnation: random number of the sender's process.
        receiver_incarnation: last incarnation of the receiver that the sender
            received a message from; 0 if none.
        released: highest version that a majority of the voters know, as far
            as the sender knows.
    """

    __slots__ = (
        'number',
        'leading',
        'incarnation',
        'receiver_incarnation',
        'released',
    )

    def __init__(
        self,
        number: int,
        leading: bool,
        incarnation: int,
        receiver_incarnation: int,
        released: int = 0,
    ) -> None:
        self.number = number
        self.leading = leading
        self.incarnation = incarnation
        self.receiver_incarnation = receiver_incarnation
        self.released = released


@messages.register('delivery.subscribe')
class Subscribe(messages.Message):
    """Start or renew a subscription and acknowledge the version held.

    Attributes:
        number: number of the version held.
        digest: digest of that version.
        status_only: whether the sender wants the status of the process after
            each version, and no version.
    """

    __slots__ = ('number', 'digest', 'status_only')

    def __init__(
        self,
        number: int,
        digest: bytes,
        status_only: bool = False,
    ) -> None:
        self.number = number
        self.digest = digest
        self.status_only = status_only


@messages.register('delivery.unsubscribe')
class Unsubscribe(messages.Message):
    """End a subscription; the subscriber is fed by another process."""

    __slots__ = ()

    def __init__(self) -> None:
        """Create the message; the codec needs a constructor of its own."""


@messages.register('delivery.retry_later')
class RetryLater(messages.Message):
    """Subscription not admitted; it may be retried after `after_ms`."""

    __slots__ = ('after_ms',)

    def __init__(self, after_ms: int) -> None:
        self.after_ms = after_ms


@messages.register('delivery.feed_status')
class FeedStatus(messages.Message):
    """Answer to a subscription or a report.

    Attributes:
        number: highest version that the control process hands out.
        current: whether it has recent messages from a majority of the voters.
        timestamp: its clock in milliseconds; the next report returns it as
            `echo`.
        recorded: highest version recorded as held by a relay of its data
            centre.
        subscribed: whether the receiver has a subscription.
        incarnation: random number of the process.
    """

    __slots__ = (
        'number',
        'current',
        'timestamp',
        'recorded',
        'subscribed',
        'incarnation',
    )

    def __init__(
        self,
        number: int,
        current: bool,
        timestamp: int,
        recorded: int,
        subscribed: bool,
        incarnation: int,
    ) -> None:
        self.number = number
        self.current = current
        self.timestamp = timestamp
        self.recorded = recorded
        self.subscribed = subscribed
        self.incarnation = incarnation


@messages.register('delivery.relay_part')
class RelayPart(messages.Message):
    """Part of a version for a relay or a directly fed node."""

    __slots__ = ('part',)

    def __init__(self, part: VersionPart) -> None:
        self.part = part


@messages.register('delivery.report')
class DatacentreReport(messages.Message):
    """Active versions of the nodes of a data centre, sent by a relay.

    Attributes:
        datacentre: name of the data centre.
        held: number of the version that the relay holds.
        actives: number of members by the number of their active version.
        lagging: members whose active version is not `held`, at most
            `const.MAX_NAMED_NODES`.
        age_ms: upper bound of the age of the oldest state in the report.
        echo: last timestamp received from the control process; 0 if none.
    """

    __slots__ = (
        'datacentre',
        'held',
        'actives',
        'lagging',
        'age_ms',
        'echo',
    )

    def __init__(
        self,
        datacentre: str,
        held: int,
        actives: tuple[ActiveCount, ...],
        lagging: tuple[NodeStatus, ...],
        age_ms: int,
        echo: int,
    ) -> None:
        self.datacentre = datacentre
        self.held = held
        self.actives = actives
        self.lagging = lagging
        self.age_ms = age_ms
        self.echo = echo


@messages.register('delivery.floor_query')
class FloorQuery(messages.Message):
    """Query of a restarted process for the lowest version it may apply."""

    __slots__ = ('nonce',)

    def __init__(self, nonce: int) -> None:
        self.nonce = nonce


@messages.register('delivery.floor_reply')
class FloorReply(messages.Message):
    """Answer of a control process that has caught up with the log.

    Attributes:
        nonce: from the query.
        number: highest committed version that it knows; the highest answer
            of a majority of the voters is a floor.
        local_number: highest version that, as far as it knows, nodes of its
            data centre may have applied.
    """

    __slots__ = ('nonce', 'number', 'local_number')

    def __init__(self, nonce: int, number: int, local_number: int) -> None:
        self.nonce = nonce
        self.number = number
        self.local_number = local_number


@messages.register('delivery.source_changed')
class SourceChanged(messages.Message):
    """Event: the local node is fed by another control process.

    Attributes:
        source: name of the process; empty if none is known.
    """

    __slots__ = ('source',)

    def __init__(self, source: str) -> None:
        self.source = source


@messages.register('delivery.source_heard')
class SourceHeard(messages.Message):
    """Event: a control process that knows a majority has sent its status.

    Attributes:
        source: name of the process.
        incarnation: random number of the process.
    """

    __slots__ = ('source', 'incarnation')

    def __init__(self, source: str, incarnation: int) -> None:
        self.source = source
        self.incarnation = incarnation
