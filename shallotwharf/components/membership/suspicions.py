"""Suspected members and the time they have left to refute."""


class Suspicions:
    """Deadlines of suspicions by member."""

    __slots__ = ('_deadlines',)

    def __init__(self) -> None:
        self._deadlines: dict[str, int] = {}

    def begin(self, name: str, deadline: int) -> None:
        """Suspect a member; a suspicion that runs keeps its deadline."""
        self._deadlines.setdefault(name, deadline)

    def end(self, name: str) -> None:
        """Drop the suspicion of a member."""
        self._deadlines.pop(name, None)

    def postpone(self, duration_ms: int) -> None:
        """Move all deadlines, since this process did not run meanwhile."""
        for name in self._deadlines:
            self._deadlines[name] += duration_ms

    def take_due(self, now: int) -> list[str]:
        """Return and drop the suspicions whose deadline has passed."""
        due = [name for name, at in self._deadlines.items() if at <= now]
        for name in due:
            self._deadlines.pop(name)
        return due

    def find_next(self) -> int | None:
        """Return the earliest deadline."""
        return min(self._deadlines.values(), default=None)
