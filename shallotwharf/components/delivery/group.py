"""The relays of a data centre as a quorum with changing members.

An epoch stands for a set of relays with their incarnations and generations. A
node applies a version that a majority of the relays of one epoch hold. A new
set of relays takes the floor over from an earlier set only if enough of its
members were in the earlier set to intersect each majority of it; the new floor
then covers all that nodes may have applied. A relay offers its earlier floor
to one new set only, as otherwise two sets could take over from the same one.
If too few of the earlier relays are left, the floor comes from control.
"""

import random as random_module
import typing
from collections import abc

from shallotwharf.components.delivery import const, exchange, peer_relay, quorum
from shallotwharf.core import digest

_NO_EPOCH: typing.Final = b''


class Group:
    """States of the peer relays, and the floor of the local relay.

    Attributes:
        names: the relays in order of rank; empty if the local node is not
            one of them.
        epoch: epoch that the local node and its peers agree on; empty while
            they do not agree.
        floor_valid: whether the floor is valid under this epoch.
        floor: lowest version that a node may apply, as far as known.
        agreed_at: when the epoch was set.
    """

    __slots__ = (
        'names',
        'epoch',
        'floor_valid',
        'floor',
        'agreed_at',
        '_local_name',
        '_incarnation',
        '_generation',
        '_first_sequence',
        '_last_sequence',
        '_peers',
        '_digest',
        '_previous',
        '_previous_size',
    )

    def __init__(self, local_name: str, random: random_module.Random) -> None:
        self.names: tuple[str, ...] = ()
        self.epoch = _NO_EPOCH
        self.floor_valid = False
        self.floor = 0
        self.agreed_at = 0
        self._local_name = local_name
        self._incarnation = 1 + random.getrandbits(const.INCARNATION_BITS)
        self._generation = 0
        # Starts at a random number, so that sequence numbers of an earlier
        # process of this name do not look valid.
        self._first_sequence = 1 + random.getrandbits(const.SEQUENCE_BITS)
        self._last_sequence = self._first_sequence
        self._peers: dict[str, peer_relay.PeerRelay] = {}
        self._digest = _NO_EPOCH
        self._previous = _NO_EPOCH
        self._previous_size = 0

    def change_names(self, names: tuple[str, ...], now: int) -> bool:
        """Set the relays by rank; return whether they changed."""
        if self._local_name not in names:
            names = ()
        if names == self.names:
            return False
        self._set_epoch(_NO_EPOCH, now)
        self.names = names
        self._digest = _compute_epoch(sorted(names))
        self._generation += 1
        if not names:
            self._previous = _NO_EPOCH
        for name in list(self._peers):
            if name not in names:
                self._peers.pop(name)
        for name in names:
            if name != self._local_name:
                self._peers.setdefault(
                    name, peer_relay.PeerRelay(self._last_sequence)
                )
        self._update_epoch(now)
        return True

    def reset(self, now: int) -> None:
        """Make the floor invalid under any epoch, as after a restart."""
        self._set_epoch(_NO_EPOCH, now)
        self._previous = _NO_EPOCH
        self._generation += 1
        self._update_epoch(now)

    def raise_floor(self, number: int) -> None:
        """Raise the floor to a version; it is never lowered."""
        self.floor = max(self.floor, number)

    def accept_floor(self, number: int) -> None:
        """Raise the floor to a stated one and make it valid in this epoch."""
        self.raise_floor(number)
        self.floor_valid = bool(self.epoch)

    def receive(
        self,
        sender: str,
        state: exchange.RelayState,
        now: int,
    ) -> bool:
        """Store a peer's state; return whether to answer it at once."""
        peer = self._peers.get(sender)
        if peer is None:
            return False
        before = (peer.read_incarnation(), peer.read_epoch())
        kept = peer.receive(
            state,
            self._incarnation,
            self._last_sequence,
            now,
        )
        if kept:
            self._update_epoch(now)
            self._adopt_floor()
        return before != (peer.read_incarnation(), peer.read_epoch())

    def make_state(
        self,
        name: str,
        number: int,
        connected: bool,
    ) -> exchange.RelayState:
        """Return the state to send to a peer."""
        peer = self._peers[name]
        self._last_sequence += 1
        return exchange.RelayState(
            self._digest,
            self._incarnation,
            self._generation,
            exchange.Standing(
                self.epoch,
                self.floor_valid,
                self.floor,
                self._previous,
                self._previous_size,
            ),
            number,
            connected,
            self._last_sequence,
            peer.last_sequence,
            peer.read_incarnation(),
        )

    def list_peers(self) -> list[str]:
        """Return the names of the other relays."""
        return list(self._peers)

    def list_responsive(
        self, now: int
    ) -> list[tuple[str, exchange.RelayState]]:
        """Return the states of the responsive peers, in order of rank."""
        responsive = []
        for name in self.names:
            peer = self._peers.get(name)
            if peer is None or peer.state is None:
                continue
            if now - peer.last_received_at < const.RESPONSE_TIMEOUT_MS:
                responsive.append((name, peer.state))
        return responsive

    def list_ahead(self, held: int, now: int) -> list[str]:
        """Return the peers that hold a newer version, in order of rank.

        A version that a peer holds need not be sent to the data centre again.
        """
        return [
            peer
            for peer, state in self.list_responsive(now)
            if state.number > held
        ]

    def is_higher_rank_connected(self, now: int) -> bool:
        """Return whether control feeds a peer of a higher rank."""
        before = self.names[: self.names.index(self._local_name)]
        return any(
            name in before and state.connected
            for name, state in self.list_responsive(now)
        )

    def _update_epoch(self, now: int) -> None:
        generations = {self._local_name: (self._incarnation, self._generation)}
        for name, peer in self._peers.items():
            state = peer.state
            if state is not None and state.group == self._digest:
                generations[name] = (state.incarnation, state.generation)
        if not self.names or len(generations) < len(self.names):
            return
        epoch = _compute_epoch(
            f'{member} {generation}'
            for member, generation in sorted(generations.items())
        )
        if epoch != self.epoch:
            self._set_epoch(epoch, now)
            self._adopt_floor()

    def _set_epoch(self, epoch: bytes, now: int) -> None:
        if self.floor_valid:
            self._previous = self.epoch
            self._previous_size = len(self.names)
        elif self.epoch:
            # The earlier floor was already offered under this epoch.
            self._previous = _NO_EPOCH
        self.floor_valid = False
        self.epoch = epoch
        self.agreed_at = now

    def _adopt_floor(self) -> None:
        if self.floor_valid or not self.epoch:
            return
        agreeing = [
            peer.state.standing
            for peer in self._peers.values()
            if peer.state is not None
            and peer.state.standing.epoch == self.epoch
        ]
        floors = [
            standing.floor for standing in agreeing if standing.floor_valid
        ]
        if not floors and self._previous:
            floors = self._combine_offers(agreeing)
        if floors:
            self.accept_floor(max(floors))

    def _combine_offers(
        self,
        agreeing: abc.Iterable[exchange.Standing],
    ) -> list[int]:
        floors = [
            self.floor,
            *(
                standing.floor
                for standing in agreeing
                if standing.previous == self._previous
            ),
        ]
        needed = quorum.compute_intersecting(self._previous_size)
        return floors if len(floors) >= needed else []


def _compute_epoch(parts: abc.Iterable[str]) -> bytes:
    return digest.compute_digest(*parts)[: const.EPOCH_BYTES]
