"""Membership messages between processes."""

from collections import abc

from shallotwharf.components.membership import const
from shallotwharf.components.membership import messages as events
from shallotwharf.core import messages, records, upstream_notices


class MemberState(records.Record):
    """State of a member, written by itself or by a member that suspects it.

    Attributes:
        member: the member.
        run: start of its process, in milliseconds since the epoch.
        incarnation: incremented by the member to refute a suspicion.
        status: one of the `STATUS_` numbers.
    """

    __slots__ = ('member', 'run', 'incarnation', 'status')

    def __init__(
        self,
        member: events.Member,
        run: int,
        incarnation: int,
        status: int,
    ) -> None:
        self.member = member
        self.run = run
        self.incarnation = incarnation
        self.status = status

    def is_live(self) -> bool:
        """Return whether the member is alive or only suspected."""
        return self.status < const.STATUS_DEAD

    def is_newer(self, other: 'MemberState') -> bool:
        """Return whether this state replaces the other one."""
        return (self.run, self.incarnation, self.status) > (
            other.run,
            other.incarnation,
            other.status,
        )


class Load(records.Record):
    """Load of a node's upstream; the higher number is newer."""

    __slots__ = ('node', 'number', 'spare', 'condition')

    def __init__(
        self,
        node: str,
        number: int,
        spare: int,
        condition: upstream_notices.Condition = (
            upstream_notices.UNKNOWN_CONDITION
        ),
    ) -> None:
        self.node = node
        self.number = number
        self.spare = spare
        self.condition = condition


class BroadcastItem(records.Record):
    """The message of a `Broadcast` with its remaining lifetime."""

    __slots__ = ('key', 'scope', 'message', 'remaining_ms')

    def __init__(
        self,
        key: str,
        scope: str,
        message: messages.Message,
        remaining_ms: int,
    ) -> None:
        self.key = key
        self.scope = scope
        self.message = message
        self.remaining_ms = remaining_ms


class Heartbeat(records.Record):
    """Heartbeat of another data centre; a higher number is newer."""

    __slots__ = ('datacentre', 'number')

    def __init__(self, datacentre: str, number: int) -> None:
        self.datacentre = datacentre
        self.number = number


class Batch(records.Record):
    """Entries sent in one message."""

    __slots__ = ('states', 'announcements', 'loads', 'broadcasts', 'heartbeats')

    def __init__(
        self,
        states: tuple[MemberState, ...] = (),
        announcements: tuple[events.Announcement, ...] = (),
        loads: tuple[Load, ...] = (),
        broadcasts: tuple[BroadcastItem, ...] = (),
        heartbeats: tuple[Heartbeat, ...] = (),
    ) -> None:
        self.states = states
        self.announcements = announcements
        self.loads = loads
        self.broadcasts = broadcasts
        self.heartbeats = heartbeats


@messages.register('membership.ping')
class Ping(messages.Message):
    """Probe, to be answered by an `Ack` with the same number."""

    __slots__ = ('number', 'batch')

    def __init__(self, number: int, batch: Batch) -> None:
        self.number = number
        self.batch = batch


@messages.register('membership.ack')
class Ack(messages.Message):
    """Answer to a probe, from the target or forwarded by the sender."""

    __slots__ = ('number', 'batch')

    def __init__(self, number: int, batch: Batch) -> None:
        self.number = number
        self.batch = batch


@messages.register('membership.ping_request')
class PingRequest(messages.Message):
    """Request to probe `target` and to forward its `Ack`."""

    __slots__ = ('number', 'target')

    def __init__(self, number: int, target: str) -> None:
        self.number = number
        self.target = target


@messages.register('membership.push')
class Push(messages.Message):
    """Urgent entries, sent without waiting for the next probe."""

    __slots__ = ('batch',)

    def __init__(self, batch: Batch) -> None:
        self.batch = batch


@messages.register('membership.sync')
class Sync(messages.Message):
    """Request for the entries that differ; a joining node has no digests.

    Attributes:
        state: state of the sender.
        digests: digest of the entries of each data centre that it knows.
    """

    __slots__ = ('state', 'digests')

    def __init__(
        self,
        state: MemberState,
        digests: abc.Mapping[str, int],
    ) -> None:
        self.state = state
        self.digests = digests


@messages.register('membership.snapshot')
class Snapshot(messages.Message):
    """Entries of data centres whose digests differed.

    Attributes:
        batch: a part of the entries.
        wanted: data centres whose entries the sender requests in return.
    """

    __slots__ = ('batch', 'wanted')

    def __init__(self, batch: Batch, wanted: tuple[str, ...]) -> None:
        self.batch = batch
        self.wanted = wanted
