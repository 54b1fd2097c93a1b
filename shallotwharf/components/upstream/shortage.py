"""Times in which the upstream has less room than is asked for."""

from collections import abc

from shallotwharf.components.upstream import const
from shallotwharf.core import effects


class Shortage:
    """Begins with a refusal for lack of room, and ends some time after one.

    Answers demand above the capacity that lasts: late attempts would wait in
    vain then, behind all that can still be in time.

    Attributes:
        is_active: whether there is too little room.
    """

    __slots__ = ('is_active', '_since', '_latest_at', '_refused')

    def __init__(self) -> None:
        self.is_active = False
        self._since = 0
        self._latest_at = 0
        self._refused = 0

    def record(
        self, now: int, state: abc.Mapping[str, object]
    ) -> list[effects.Effect]:
        """Record a refusal of an attempt that could have been in time.

        Args:
            now: clock milliseconds.
            state: state of the queue for the log.
        """
        self._latest_at = now
        self._refused += 1
        if self.is_active:
            return []
        self.is_active = True
        self._since = now
        return [
            effects.Report(const.EVENT_SHORT, {'since': now, **state}),
            effects.SetTimer(const.TIMER_ROOM, now + const.ROOM_RESTORED_MS),
        ]

    def update(
        self, now: int, state: abc.Mapping[str, object]
    ) -> list[effects.Effect]:
        """End the shortage if nothing was refused for a while."""
        if not self.is_active:
            return []
        ends_at = self._latest_at + const.ROOM_RESTORED_MS
        if now < ends_at:
            return [effects.SetTimer(const.TIMER_ROOM, ends_at)]
        self.is_active = False
        refused = self._refused
        self._refused = 0
        return [
            effects.Report(
                const.EVENT_RESTORED,
                {
                    'since': self._since,
                    'lasted_ms': now - self._since,
                    'refused': refused,
                    **state,
                },
            ),
        ]
