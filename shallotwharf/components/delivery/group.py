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

from shallotwharf.components.delivery import const, exchange, fellows, quorum
from shallotwharf.core import digest

_NO_EPOCH: typing.Final = b''


class Group:
    """States of the peer relays, and the floor of the local relay.

    Attributes:
        names: the relays in order of rank; empty if the local node is not
            one of them.
        epoch: epoch that the local node and its peers agree on; empty while
            they do not agree.
        floored: whether the floor is valid under this epoch.
        floor: lowest version that a node may apply, as far as known.
        agreed_at: when the epoch was set.
    """

    __slots__ = (
        'names',
        'epoch',
        'floored',
        'floor',
        'agreed_at',
        '_own',
        '_incarnation',
        '_generation',
        '_first_stamp',
        '_last_stamp',
        '_fellows',
        '_digest',
        '_previous',
        '_previous_size',
    )

    def __init__(self, own: str, random: random_module.Random) -> None:
        self.names: tuple[str, ...] = ()
        self.epoch = _NO_EPOCH
        self.floored = False
        self.floor = 0
        self.agreed_at = 0
        self._own = own
        self._incarnation = 1 + random.getrandbits(const.INCARNATION_BITS)
        self._generation = 0
        # Starts at a random number, so that sequence numbers of an earlier
        # process of this name do not look valid.
        self._first_stamp = 1 + random.getrandbits(const.STAMP_BITS)
        self._last_stamp = self._first_stamp
        self._fellows: dict[str, fellows.Fellow] = {}
        self._digest = _NO_EPOCH
        self._previous = _NO_EPOCH
        self._previous_size = 0

    def change_names(self, names: tuple[str, ...], now: int) -> bool:
        """Set the relays by rank; return whether they changed."""
        if self._own not in names:
            names = ()
        if names == self.names:
            return False
        self._set_epoch(_NO_EPOCH, now)
        self.names = names
        self._digest = _compute_epoch(sorted(names))
        self._generation += 1
        if not names:
            self._previous = _NO_EPOCH
        for name in list(self._fellows):
            if name not in names:
                self._fellows.pop(name)
        for name in names:
            if name != self._own:
                self._fellows.setdefault(name, fellows.Fellow(self._last_stamp))
        self._agree(now)
        return True

    def reset(self, now: int) -> None:
        """Make the floor invalid under any epoch, as after a restart."""
        self._set_epoch(_NO_EPOCH, now)
        self._previous = _NO_EPOCH
        self._generation += 1
        self._agree(now)

    def note_floor(self, number: int) -> None:
        """Raise the floor to a version; it is never lowered."""
        self.floor = max(self.floor, number)

    def accept_floor(self, number: int) -> None:
        """Raise the floor to a stated one and make it valid in this epoch."""
        self.note_floor(number)
        self.floored = bool(self.epoch)

    def receive(
        self,
        sender: str,
        state: exchange.RelayState,
        now: int,
    ) -> bool:
        """Store a peer's state; return whether to answer it at once."""
        fellow = self._fellows.get(sender)
        if fellow is None:
            return False
        before = (fellow.read_incarnation(), fellow.read_epoch())
        kept = fellow.receive(
            state,
            self._incarnation,
            self._last_stamp,
            now,
        )
        if kept:
            self._agree(now)
            self._take_over()
        return before != (fellow.read_incarnation(), fellow.read_epoch())

    def make_state(
        self,
        peer: str,
        number: int,
        connected: bool,
    ) -> exchange.RelayState:
        """Return the state to send to a peer."""
        fellow = self._fellows[peer]
        self._last_stamp += 1
        return exchange.RelayState(
            self._digest,
            self._incarnation,
            self._generation,
            exchange.Standing(
                self.epoch,
                self.floored,
                self.floor,
                self._previous,
                self._previous_size,
            ),
            number,
            connected,
            self._last_stamp,
            fellow.stamp,
            fellow.read_incarnation(),
        )

    def list_fellows(self) -> list[str]:
        """Return the names of the other relays."""
        return list(self._fellows)

    def list_heard(self, now: int) -> list[tuple[str, exchange.RelayState]]:
        """Return the states of the responsive peers, in order of rank."""
        heard = []
        for name in self.names:
            fellow = self._fellows.get(name)
            if fellow is None or fellow.state is None:
                continue
            if now - fellow.heard_at < const.SILENCE_MS:
                heard.append((name, fellow.state))
        return heard

    def list_ahead(self, held: int, now: int) -> list[str]:
        """Return the peers that hold a newer version, in order of rank.

        A version that a peer holds need not be sent to the data centre again.
        """
        return [
            fellow
            for fellow, state in self.list_heard(now)
            if state.number > held
        ]

    def is_fed(self, now: int) -> bool:
        """Return whether control feeds a peer of a higher rank."""
        before = self.names[: self.names.index(self._own)]
        return any(
            name in before and state.connected
            for name, state in self.list_heard(now)
        )

    def _agree(self, now: int) -> None:
        generations = {self._own: (self._incarnation, self._generation)}
        for name, fellow in self._fellows.items():
            state = fellow.state
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
            self._take_over()

    def _set_epoch(self, epoch: bytes, now: int) -> None:
        if self.floored:
            self._previous = self.epoch
            self._previous_size = len(self.names)
        elif self.epoch:
            # The earlier floor was already offered under this epoch.
            self._previous = _NO_EPOCH
        self.floored = False
        self.epoch = epoch
        self.agreed_at = now

    def _take_over(self) -> None:
        if self.floored or not self.epoch:
            return
        agreeing = [
            fellow.state.standing
            for fellow in self._fellows.values()
            if fellow.state is not None
            and fellow.state.standing.epoch == self.epoch
        ]
        floors = [standing.floor for standing in agreeing if standing.floored]
        if not floors and self._previous:
            floors = self._join_offers(agreeing)
        if floors:
            self.accept_floor(max(floors))

    def _join_offers(
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
