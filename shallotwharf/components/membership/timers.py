"""Timers of an aggregate, with the delay at which each one fires."""

from shallotwharf.core import effects


class Timers:
    """Due times of the timers of one aggregate, by timer name."""

    __slots__ = ('_due',)

    def __init__(self) -> None:
        self._due: dict[str, int] = {}

    def set_timer(self, name: str, at: int) -> effects.Effect:
        """Return the effect that sets or moves a timer."""
        self._due[name] = at
        return effects.SetTimer(name, at)

    def advance_timer(self, name: str, at: int) -> list[effects.Effect]:
        """Return the effect that moves a timer forward to `at`.

        Returns an empty list if the timer is already due by then.
        """
        if self._due.get(name, at + 1) <= at:
            return []
        return [self.set_timer(name, at)]

    def fire(self, name: str, now: int) -> int:
        """Clear a timer that fired; return how late it is, in ms."""
        return now - self._due.pop(name, now)
