"""Messages between control and relays.

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
        """Return 0 from the same data centre, 1 from the region, else 2."""
        if self.datacentre == datacentre:
            return 0
        return 1 if self.region == region else 2


class VersionPart(records.Record):
    """Part `index` of `total` of a difference; entries are spread over parts.

    A part has the numbers and digests of the whole difference.
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
    """A node that lacks the newest version of its relays.

    Attributes:
        name: name of the node.
        active: number of its active version; 0 if none or not known.
        reason: why it refused a version; empty if it did not.
    """

    __slots__ = ('name', 'active', 'reason')

    def __init__(self, name: str, active: int, reason: str) -> None:
        self.name = name
        self.active = active
        self.reason = reason


class ActiveCount(records.Record):
    """How many members have a version active."""

    __slots__ = ('number', 'members')

    def __init__(self, number: int, members: int) -> None:
        self.number = number
        self.members = members


@messages.register('delivery.peer')
class PeerProgress(messages.Message):
    """A control process tells another which version it knows as committed.

    Attributes:
        number: highest committed version known to the sender.
        leading: whether the sender leads the log and holds its lease.
        incarnation: random number of the sender's process.
        seen: incarnation of the receiver last heard of; 0 if none.
    """

    __slots__ = ('number', 'leading', 'incarnation', 'seen')

    def __init__(
        self,
        number: int,
        leading: bool,
        incarnation: int,
        seen: int,
    ) -> None:
        self.number = number
        self.leading = leading
        self.incarnation = incarnation
        self.seen = seen


@messages.register('delivery.subscribe')
class Subscribe(messages.Message):
    """A relay names the version it holds; also renews and acknowledges."""

    __slots__ = ('number', 'digest')

    def __init__(self, number: int, digest: bytes) -> None:
        self.number = number
        self.digest = digest


@messages.register('delivery.unsubscribe')
class Unsubscribe(messages.Message):
    """A relay is fed by another process."""

    __slots__ = ()

    def __init__(self) -> None:
        """Create the message; the codec needs a constructor of its own."""


@messages.register('delivery.retry_later')
class RetryLater(messages.Message):
    """A subscription was not admitted; the relay may ask again later."""

    __slots__ = ('after_ms',)

    def __init__(self, after_ms: int) -> None:
        self.after_ms = after_ms


@messages.register('delivery.feed_status')
class FeedStatus(messages.Message):
    """Answer to a subscription or a report.

    Attributes:
        number: highest version that the control process hands out.
        current: whether it hears a majority of the voters.
        stamp: its clock; the next report returns it as `echo`.
        noted: highest version it knows a relay of its data centre to hold.
        subscribed: whether the receiver has a subscription.
        incarnation: random number of the process.
    """

    __slots__ = (
        'number',
        'current',
        'stamp',
        'noted',
        'subscribed',
        'incarnation',
    )

    def __init__(
        self,
        number: int,
        current: bool,
        stamp: int,
        noted: int,
        subscribed: bool,
        incarnation: int,
    ) -> None:
        self.number = number
        self.current = current
        self.stamp = stamp
        self.noted = noted
        self.subscribed = subscribed
        self.incarnation = incarnation


@messages.register('delivery.relay_part')
class RelayPart(messages.Message):
    """Part of a version for a relay."""

    __slots__ = ('part',)

    def __init__(self, part: VersionPart) -> None:
        self.part = part


@messages.register('delivery.report')
class DatacentreReport(messages.Message):
    """What a relay knows of the nodes of its data centre.

    Attributes:
        datacentre: name of the data centre.
        held: number of the version that the relay holds.
        actives: number of members by the number of their active version.
        lagging: members whose active version is not `held`, at most
            `const.MAX_NAMED_NODES`.
        age_ms: upper bound of the age of the oldest state it is made of.
        echo: last stamp received from the control process; 0 if none.
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
    """A process that restarted asks control for the lowest version."""

    __slots__ = ('nonce',)

    def __init__(self, nonce: int) -> None:
        self.nonce = nonce


@messages.register('delivery.floor_reply')
class FloorReply(messages.Message):
    """Answer of a control process that has caught up with the log.

    Attributes:
        nonce: from the query.
        number: highest committed version; counts in a majority of voters.
        local_number: highest version that nodes of the data centre of the
            control process may have applied as far as it knows.
    """

    __slots__ = ('nonce', 'number', 'local_number')

    def __init__(self, nonce: int, number: int, local_number: int) -> None:
        self.nonce = nonce
        self.number = number
        self.local_number = local_number
