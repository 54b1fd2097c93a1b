"""Calls that a node still takes while it shuts down."""

from shallotwharf.components.call import messages


class Shutdown:
    """Limit on the deadlines of new calls; without effect until it begins."""

    __slots__ = ('_began',)

    def __init__(self) -> None:
        self._began: messages.StopBegan | None = None

    def begin(self, began: messages.StopBegan) -> None:
        """Apply the times of the shutdown."""
        self._began = began

    def admits(self, deadline_at: int, now: int) -> bool:
        """Return whether to take a call that arrives now.

        Until callers have noticed the shutdown, calls with any deadline are
        taken: most of the grace period is left for them to run.

        Args:
            deadline_at: latest time of the response, in clock milliseconds.
            now: clock milliseconds.
        """
        if self._began is None or now < self._began.notice_until:
            return True
        return deadline_at <= self._began.latest_deadline_at
