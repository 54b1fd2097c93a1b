"""Data centres that are expected to report evidence."""

from collections import abc

from shallotwharf.components.move import const


class Datacentres:
    """Data centres with the time of their last report, on the monotonic clock.

    An unresponsive data centre may be isolated by a partition and still
    serve calls. One that does not report for `const.LOST_MS` while a move is
    under way is marked as lost until it reports again. None is expected to
    report while it is evacuated.

    Args:
        expected: names of data centres that are expected to report.
    """

    __slots__ = ('_last_received_at', '_lost', '_evacuated')

    def __init__(self, expected: abc.Iterable[str]) -> None:
        self._last_received_at = dict.fromkeys(expected, 0)
        self._lost: set[str] = set()
        self._evacuated: frozenset[str] = frozenset()

    def reset(self, now: int) -> None:
        """Restart the time limits at the start of a move."""
        self._last_received_at = dict.fromkeys(self._last_received_at, now)

    def replace_evacuated(self, names: abc.Iterable[str], now: int) -> None:
        """Replace the evacuated ones; restart the limits of restored ones."""
        evacuated = frozenset(names)
        left = self._evacuated - evacuated
        restored = left & self._last_received_at.keys()
        self._last_received_at.update(dict.fromkeys(restored, now))
        self._evacuated = evacuated

    def record_report(self, datacentre: str, now: int) -> None:
        """Record a report of a data centre."""
        self._last_received_at[datacentre] = now
        self._lost.discard(datacentre)

    def mark_lost(self, now: int) -> None:
        """Mark data centres without a report for too long as lost."""
        for datacentre, last_received_at in self._last_received_at.items():
            if now - last_received_at > const.LOST_MS:
                self._lost.add(datacentre)

    def list_expected(self) -> list[str]:
        """Return those neither lost nor evacuated, ordered by name."""
        absent = self._lost | self._evacuated
        return sorted(self._last_received_at.keys() - absent)
