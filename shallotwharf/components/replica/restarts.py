"""Detects that all voters have restarted, so that no lease is held."""

from shallotwharf.components.replica import const, kernel, protocol
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

    __slots__ = ('_kernel', '_known', '_has_led')

    def __init__(self, shared: kernel.Kernel) -> None:
        self._kernel = shared
        # Index of the latest configuration in each restarted voter's log.
        self._known: dict[str, int] = {}
        self._has_led = False

    def note_leader(self) -> None:
        """Record a message from a leader, or that this process leads."""
        self._has_led = True

    def note(self, sender: str, members_index: int) -> bool:
        """Record that a voter restarted.

        Return whether it was the last voter that was missing.
        """
        before = self.is_complete()
        self._known[sender] = members_index
        return self.is_complete() and not before

    def is_complete(self) -> bool:
        """Return whether all voters restarted and none has led since.

        A voter with a later configuration does not count: a leader unknown
        to this process may have been elected under that configuration.
        """
        if self._has_led or not self._kernel.founded:
            return False
        latest = self._kernel.log.changed_at
        return all(
            self._known.get(voter.name, latest + 1) <= latest
            for voter in self._kernel.members.voters
            if voter.name != self._kernel.name
        )

    def tell(self, now: int) -> None:
        """Notify the other voters of the restart of this process.

        Repeats until a message from a leader arrives.
        """
        if self._has_led or not self._kernel.founded:
            return
        told = protocol.Restarted(self._kernel.log.changed_at)
        for voter in self._kernel.members.voters:
            if voter.name != self._kernel.name:
                self._kernel.outbox.send(voter.name, told)
        self._kernel.outbox.add(
            effects.SetTimer(
                const.TIMER_RESTARTED,
                now + const.RESTARTED_MS,
            ),
        )
