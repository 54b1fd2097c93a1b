"""Data centres that are expected to report evidence."""

from collections import abc

from shallotwharf.components.move import const


class Datacentres:
    """Data centres with the time of their last report, on the monotonic clock.

    An unresponsive data centre may be isolated by a partition and still
    serve calls. One that does not report for `const.LOST_MS` while a move is
    under way is marked as lost until it reports again.

    Args:
        expected: names of data centres that are expected to report.
    """

    __slots__ = ('_heard', '_lost')

    def __init__(self, expected: abc.Iterable[str]) -> None:
        self._heard = dict.fromkeys(expected, 0)
        self._lost: set[str] = set()

    def begin(self, now: int) -> None:
        """Restart the time limits at the start of a move."""
        self._heard = dict.fromkeys(self._heard, now)

    def hear(self, datacentre: str, now: int) -> None:
        """Record a report of a data centre."""
        self._heard[datacentre] = now
        self._lost.discard(datacentre)

    def find_lost(self, now: int) -> None:
        """Mark data centres without a report for too long as lost."""
        for datacentre, heard_at in self._heard.items():
            if now - heard_at > const.LOST_MS:
                self._lost.add(datacentre)

    def list_expected(self) -> list[str]:
        """Return the data centres that are not lost, ordered by name."""
        return sorted(self._heard.keys() - self._lost)
