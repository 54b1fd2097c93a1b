"""Whether all voters restarted, so that nobody can hold a lease."""

from shallotwharf.components.replica import const, kernel, protocol
from shallotwharf.core import effects


class Restarts:
    """Voters that restarted and heard no leader since.

    A process that restarted may have promised a leader not to vote for
    another one for a while, and waits for that time. It need not wait once
    every other voter told that it restarted as well: none of them leads. A
    leader that is elected after that is protected by those who hear it, and
    any other majority includes one of them.
    """

    __slots__ = ('_kernel', '_known', '_has_led')

    def __init__(self, shared: kernel.Kernel) -> None:
        self._kernel = shared
        # Index of the configuration that each restarted voter knows.
        self._known: dict[str, int] = {}
        self._has_led = False

    def note_leader(self) -> None:
        """Note that a leader was heard, or that this process leads."""
        self._has_led = True

    def note(self, sender: str, members_index: int) -> bool:
        """Note a voter that restarted; return whether all have by now."""
        before = self.is_complete()
        self._known[sender] = members_index
        return self.is_complete() and not before

    def is_complete(self) -> bool:
        """Tell whether all voters restarted and none of them led since.

        A voter that knows a later configuration may know a leader that this
        process has never heard of.
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
        """Tell the other voters, and repeat it until a leader is heard."""
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
