"""Last known state of a peer relay."""

from shallotwharf.components.delivery import exchange


class Fellow:
    """The last state of a peer relay, from the newest of its processes.

    States of one process are ordered by their sequence numbers. A state of a
    new process is accepted only if it returns a sequence number that was
    sent to that process and is newer than what the known process returned. A
    delayed message of an earlier process cannot do so.

    Attributes:
        state: last accepted state; None if there is none yet.
        heard_at: when that state was received.
        stamp: last sequence number that it sent to the local process; 0 if
            none.
    """

    __slots__ = (
        'state',
        'heard_at',
        'stamp',
        '_stamped_by',
        '_proof',
        '_candidate',
    )

    def __init__(self, proof: int) -> None:
        """Create a peer that must return a sequence number above `proof`."""
        self.state: exchange.RelayState | None = None
        self.heard_at = 0
        self.stamp = 0
        self._stamped_by = 0
        self._proof = proof
        self._candidate = 0

    def receive(
        self,
        state: exchange.RelayState,
        own_incarnation: int,
        last_stamp: int,
        now: int,
    ) -> bool:
        """Store a state if it is the newest; return whether it is.

        `last_stamp` is the last sequence number that the local process
        issued.
        """
        if state.seen == own_incarnation:
            self._note_stamp(state)
        if not self._is_proven(state, last_stamp):
            self._candidate = state.incarnation
            return False
        self._candidate = 0
        self._proof = max(self._proof, state.echo)
        known = self.state
        if known is not None and known.incarnation == state.incarnation:
            if state.stamp <= known.stamp:
                return False
        self.state = state
        self.heard_at = now
        return True

    def read_incarnation(self) -> int:
        """Return the incarnation to address the next message to; 0 if none."""
        if self._candidate or self.state is None:
            return self._candidate
        return self.state.incarnation

    def read_epoch(self) -> bytes | None:
        """Return the epoch in its last state; None if there is no state."""
        return None if self.state is None else self.state.standing.epoch

    def _note_stamp(self, state: exchange.RelayState) -> None:
        if state.incarnation != self._stamped_by:
            self._stamped_by = state.incarnation
            self.stamp = 0
        self.stamp = max(self.stamp, state.stamp)

    def _is_proven(
        self,
        state: exchange.RelayState,
        last_stamp: int,
    ) -> bool:
        known = self.state
        if known is not None and known.incarnation == state.incarnation:
            return True
        return self._proof < state.echo <= last_stamp
