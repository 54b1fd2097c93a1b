"""Detects that all voters have restarted, so that no lease is held."""

from shallotwharf.components.replica import const, protocol, shared_state
from shallotwharf.core import effects


class Restarts:
    """Voters that restarted and have received nothing from a leader since.

    Before its restart a process may have answered a leader, whose lease
    depends on this process not voting for another candidate; so it delays its
    votes by the shortest election timeout. It need not wait when every other
    voter has reported a restart as well, because then none of them leads. The
    lease of a leader that is elected afterwards is protected by the voters
    that received its messages; any other majority includes one of them.
    """

    __slots__ = ('_state', '_configuration_indices', '_leader_seen')

    def __init__(self, shared: shared_state.SharedState) -> None:
        self._state = shared
        # Index of the latest configuration in each restarted voter's log.
        self._configuration_indices: dict[str, int] = {}
        self._leader_seen = False

    def record_leader(self) -> None:
        """Record a message from a leader, or that this process leads."""
        self._leader_seen = True

    def record(self, sender: str, configuration_index: int) -> bool:
        """Record that a voter restarted.

        Return whether it was the last voter that was missing.
        """
        before = self.is_complete()
        self._configuration_indices[sender] = configuration_index
        return self.is_complete() and not before

    def is_complete(self) -> bool:
        """Return whether all voters restarted and none has led since.

        A voter with a later configuration does not count: a leader unknown
        to this process may have been elected under that configuration.
        """
        if self._leader_seen or not self._state.has_configuration:
            return False
        latest = self._state.log.configuration_index
        return all(
            self._configuration_indices.get(voter.name, latest + 1) <= latest
            for voter in self._state.members.voters
            if voter.name != self._state.name
        )

    def send_notice(self, now: int) -> None:
        """Notify the other voters of the restart of this process.

        Repeats until a message from a leader arrives.
        """
        if self._leader_seen or not self._state.has_configuration:
            return
        notice = protocol.Restarted(self._state.log.configuration_index)
        for voter in self._state.members.voters:
            if voter.name != self._state.name:
                self._state.outbox.send(voter.name, notice)
        self._state.outbox.add(
            effects.SetTimer(
                const.TIMER_RESTARTED,
                now + const.RESTART_NOTICE_INTERVAL_MS,
            ),
        )
