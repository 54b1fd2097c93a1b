"""Last known state of a peer relay."""

from shallotwharf.components.delivery import exchange


class PeerRelay:
    """The last state of a peer relay, from the newest of its processes.

    States of one process are ordered by their sequence numbers. A state of a
    new process is accepted only if it returns a sequence number that was
    sent to that process and is newer than what the known process returned. A
    delayed message of an earlier process cannot do so.

    Attributes:
        state: last accepted state; None if there is none yet.
        last_received_at: when that state was received.
        last_sequence: last sequence number that it sent to the local process;
            0 if none.
    """

    __slots__ = (
        'state',
        'last_received_at',
        'last_sequence',
        '_sequence_incarnation',
        '_last_echo',
        '_unverified_incarnation',
    )

    def __init__(self, last_echo: int) -> None:
        """Create a peer whose first state must return more than `last_echo`."""
        self.state: exchange.RelayState | None = None
        self.last_received_at = 0
        self.last_sequence = 0
        self._sequence_incarnation = 0
        self._last_echo = last_echo
        self._unverified_incarnation = 0

    def receive(
        self,
        state: exchange.RelayState,
        local_incarnation: int,
        last_local_sequence: int,
        now: int,
    ) -> bool:
        """Store a state if it is the newest; return whether it is.

        `last_local_sequence` is the last sequence number that the local process
        issued.
        """
        if state.receiver_incarnation == local_incarnation:
            self._update_sequence(state)
        if not self._is_verified(state, last_local_sequence):
            self._unverified_incarnation = state.incarnation
            return False
        self._unverified_incarnation = 0
        self._last_echo = max(self._last_echo, state.echo)
        known = self.state
        if known is not None and known.incarnation == state.incarnation:
            if state.sequence <= known.sequence:
                return False
        self.state = state
        self.last_received_at = now
        return True

    def read_incarnation(self) -> int:
        """Return the incarnation to address the next message to; 0 if none."""
        if self._unverified_incarnation or self.state is None:
            return self._unverified_incarnation
        return self.state.incarnation

    def read_epoch(self) -> bytes | None:
        """Return the epoch in its last state; None if there is no state."""
        return None if self.state is None else self.state.standing.epoch

    def _update_sequence(self, state: exchange.RelayState) -> None:
        if state.incarnation != self._sequence_incarnation:
            self._sequence_incarnation = state.incarnation
            self.last_sequence = 0
        self.last_sequence = max(self.last_sequence, state.sequence)

    def _is_verified(
        self,
        state: exchange.RelayState,
        last_local_sequence: int,
    ) -> bool:
        known = self.state
        if known is not None and known.incarnation == state.incarnation:
            return True
        return self._last_echo < state.echo <= last_local_sequence
