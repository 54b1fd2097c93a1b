"""Suspected members and their deadlines for a refutation."""


class Suspicions:
    """Deadlines of suspicions by member."""

    __slots__ = ('_deadlines',)

    def __init__(self) -> None:
        self._deadlines: dict[str, int] = {}

    def begin(self, name: str, deadline: int) -> None:
        """Suspect a member; an existing suspicion keeps its deadline."""
        self._deadlines.setdefault(name, deadline)

    def end(self, name: str) -> None:
        """Drop the suspicion of a member."""
        self._deadlines.pop(name, None)

    def postpone(self, duration_ms: int) -> None:
        """Move all deadlines by the time in which this process did not run."""
        for name in self._deadlines:
            self._deadlines[name] += duration_ms

    def pop_due(self, now: int) -> list[str]:
        """Remove and return the members whose deadline has passed."""
        due = [name for name, at in self._deadlines.items() if at <= now]
        for name in due:
            self._deadlines.pop(name)
        return due

    def find_next_deadline(self) -> int | None:
        """Return the earliest deadline; None if there is no suspicion."""
        return min(self._deadlines.values(), default=None)
