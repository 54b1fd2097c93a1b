"""Messages between the relays and nodes of a data centre."""

from shallotwharf.components.delivery import messages as delivery_messages
from shallotwharf.core import messages, records


@messages.register('delivery.node_part')
class NodePart(messages.Message):
    """Part of a version for a node."""

    __slots__ = ('part',)

    def __init__(self, part: delivery_messages.VersionPart) -> None:
        self.part = part


class Standing(records.Record):
    """The floor of a relay, and the epochs under which it is valid.

    Attributes:
        epoch: digest of the names, incarnations and generations of the
            relays; empty if the relay does not know all of them.
        floor_valid: whether its floor is valid under this epoch.
        floor: its floor, never below a version that it claimed to hold.
        previous: epoch under which its floor was valid before; empty if none.
        previous_size: number of relays under that epoch.
    """

    __slots__ = ('epoch', 'floor_valid', 'floor', 'previous', 'previous_size')

    def __init__(
        self,
        epoch: bytes,
        floor_valid: bool,
        floor: int,
        previous: bytes,
        previous_size: int,
    ) -> None:
        self.epoch = epoch
        self.floor_valid = floor_valid
        self.floor = floor
        self.previous = previous
        self.previous_size = previous_size


@messages.register('delivery.relay_state')
class RelayState(messages.Message):
    """State of a relay, sent to its peer relays.

    Attributes:
        group: digest of the names of the relays as the sender sees them.
        incarnation: random number of the process.
        generation: increases whenever the sender's view of the relays
            changes.
        standing: its floor and the epochs under which that is valid.
        number: number of the version it holds.
        connected: whether a control process feeds it.
        sequence: increases with each state that the process sends.
        echo: last sequence number that the receiver sent to this process; 0
            if none.
        receiver_incarnation: incarnation of the receiver that this is
            addressed to; 0 if unknown.
    """

    __slots__ = (
        'group',
        'incarnation',
        'generation',
        'standing',
        'number',
        'connected',
        'sequence',
        'echo',
        'receiver_incarnation',
    )

    def __init__(
        self,
        group: bytes,
        incarnation: int,
        generation: int,
        standing: Standing,
        number: int,
        connected: bool,
        sequence: int,
        echo: int,
        receiver_incarnation: int,
    ) -> None:
        self.group = group
        self.incarnation = incarnation
        self.generation = generation
        self.standing = standing
        self.number = number
        self.connected = connected
        self.sequence = sequence
        self.echo = echo
        self.receiver_incarnation = receiver_incarnation


@messages.register('delivery.holds')
class RelayHolds(messages.Message):
    """Version that a relay holds, sent to the nodes.

    Attributes:
        number: number of the version it holds.
        claimed: number that counts towards a quorum; at most `number`.
        epoch: epoch of the relays under which `claimed` counts; empty if it
            does not count.
        size: number of relays under that epoch.
        timestamp: clock of the relay in milliseconds; the node's next state
            returns it.
    """

    __slots__ = ('number', 'claimed', 'epoch', 'size', 'timestamp')

    def __init__(
        self,
        number: int,
        claimed: int,
        epoch: bytes,
        size: int,
        timestamp: int,
    ) -> None:
        self.number = number
        self.claimed = claimed
        self.epoch = epoch
        self.size = size
        self.timestamp = timestamp


@messages.register('delivery.fetch')
class Fetch(messages.Message):
    """Request for a relay's version, with the version the sender holds."""

    __slots__ = ('number', 'digest', 'for_relay')

    def __init__(self, number: int, digest: bytes, for_relay: bool) -> None:
        self.number = number
        self.digest = digest
        self.for_relay = for_relay


@messages.register('delivery.node')
class NodeState(messages.Message):
    """Active version of a node, sent to the relays.

    Attributes:
        active: number of the active version; 0 if none.
        reason: why it refused a newer version; empty if it refused none.
        incarnation: random number of the process.
        sequence: increases with each state of the incarnation.
        echo: last timestamp received from the relay; 0 if none.
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
    """Query of a restarted node for the lowest version it may apply."""

    __slots__ = ('nonce',)

    def __init__(self, nonce: int) -> None:
        self.nonce = nonce


@messages.register('delivery.relay_floor_reply')
class RelayFloorReply(messages.Message):
    """Answer of a relay whose floor is valid under `epoch`."""

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
