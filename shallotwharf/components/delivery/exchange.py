"""Messages within a data centre: between relays, and relays and nodes."""

from shallotwharf.components.delivery import messages as delivery_messages
from shallotwharf.core import messages, records


@messages.register('delivery.node_part')
class NodePart(messages.Message):
    """Part of a version for a node."""

    __slots__ = ('part',)

    def __init__(self, part: delivery_messages.VersionPart) -> None:
        self.part = part


class Standing(records.Record):
    """What the floor of a relay is worth.

    Attributes:
        epoch: digest of the names, processes and generations of the relays;
            empty if the relay does not know all of them.
        floored: whether its floor counts under this epoch.
        floor: its floor, never below a version it claimed to hold.
        previous: epoch under which its floor counted before; empty if none.
        previous_size: number of relays under that epoch.
    """

    __slots__ = ('epoch', 'floored', 'floor', 'previous', 'previous_size')

    def __init__(
        self,
        epoch: bytes,
        floored: bool,
        floor: int,
        previous: bytes,
        previous_size: int,
    ) -> None:
        self.epoch = epoch
        self.floored = floored
        self.floor = floor
        self.previous = previous
        self.previous_size = previous_size


@messages.register('delivery.relay_state')
class RelayState(messages.Message):
    """A relay tells its fellow relays where it stands.

    Attributes:
        group: digest of the names of the relays as the sender sees them.
        incarnation: random number of the process.
        generation: grows whenever the sender sees other relays.
        standing: what its floor is worth.
        number: number of the version it holds.
        connected: whether a control process feeds it.
        stamp: grows with each state that the process sends.
        echo: last stamp that the receiver addressed to this process; 0 if
            none.
        seen: incarnation of the receiver that this is addressed to.
    """

    __slots__ = (
        'group',
        'incarnation',
        'generation',
        'standing',
        'number',
        'connected',
        'stamp',
        'echo',
        'seen',
    )

    def __init__(
        self,
        group: bytes,
        incarnation: int,
        generation: int,
        standing: Standing,
        number: int,
        connected: bool,
        stamp: int,
        echo: int,
        seen: int,
    ) -> None:
        self.group = group
        self.incarnation = incarnation
        self.generation = generation
        self.standing = standing
        self.number = number
        self.connected = connected
        self.stamp = stamp
        self.echo = echo
        self.seen = seen


@messages.register('delivery.holds')
class RelayHolds(messages.Message):
    """A relay tells a node which version it holds.

    Attributes:
        number: number of the version it holds.
        claimed: number that counts towards a quorum; at most `number`.
        epoch: epoch of the relays under which it counts; empty if it does not.
        size: number of relays under that epoch.
        stamp: clock of the relay; the node's next state returns it.
    """

    __slots__ = ('number', 'claimed', 'epoch', 'size', 'stamp')

    def __init__(
        self,
        number: int,
        claimed: int,
        epoch: bytes,
        size: int,
        stamp: int,
    ) -> None:
        self.number = number
        self.claimed = claimed
        self.epoch = epoch
        self.size = size
        self.stamp = stamp


@messages.register('delivery.fetch')
class Fetch(messages.Message):
    """Ask a relay for its version; names the version the sender holds."""

    __slots__ = ('number', 'digest', 'for_relay')

    def __init__(self, number: int, digest: bytes, for_relay: bool) -> None:
        self.number = number
        self.digest = digest
        self.for_relay = for_relay


@messages.register('delivery.node')
class NodeState(messages.Message):
    """A node tells a relay its active version.

    Attributes:
        active: number of the active version; 0 if none.
        reason: why it refused a newer version; empty if it did not.
        incarnation: random number of the process.
        sequence: grows with each state of the incarnation.
        echo: last stamp received from the relay; 0 if none.
    """

    __slots__ = ('active', 'reason', 'incarnation', 'sequence', 'echo')

    def __init__(
        self,
        active: int,
        reason: str,
        incarnation: int,
        sequence: int,
        echo: int,
    ) -> None:
        self.active = active
        self.reason = reason
        self.incarnation = incarnation
        self.sequence = sequence
        self.echo = echo


@messages.register('delivery.relay_floor_query')
class RelayFloorQuery(messages.Message):
    """A node that restarted asks a relay for the lowest version."""

    __slots__ = ('nonce',)

    def __init__(self, nonce: int) -> None:
        self.nonce = nonce


@messages.register('delivery.relay_floor_reply')
class RelayFloorReply(messages.Message):
    """Answer of a relay that has a floor under `epoch`."""

    __slots__ = ('nonce', 'number', 'epoch', 'size')

    def __init__(
        self,
        nonce: int,
        number: int,
        epoch: bytes,
        size: int,
    ) -> None:
        self.nonce = nonce
        self.number = number
        self.epoch = epoch
        self.size = size
