"""The time after the start of a node until it knows what others know."""

from shallotwharf.components.upstream import const
from shallotwharf.core import effects


class Learning:
    """Waits for the entries of another node, but not for long.

    Attributes:
        is_active: whether the node still waits.
    """

    __slots__ = ('is_active', '_limit_ms')

    def __init__(self, limit_ms: int) -> None:
        """Create it for a node that has not started.

        Args:
            limit_ms: longest wait in milliseconds; 0 for none.
        """
        self.is_active = False
        self._limit_ms = limit_ms

    def start(self, now: int) -> list[effects.Effect]:
        """Begin to wait."""
        if not self._limit_ms:
            return []
        self.is_active = True
        return [effects.SetTimer(const.TIMER_LEARN, now + self._limit_ms)]

    def finish(self) -> list[effects.Effect]:
        """Stop to wait: entries have arrived, or nobody answers."""
        if not self.is_active:
            return []
        self.is_active = False
        return [effects.CancelTimer(const.TIMER_LEARN)]
