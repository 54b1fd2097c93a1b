"""Which data centres report evidence."""

from collections import abc

from shallotwharf.components.move import const


class Datacentres:
    """Data centres and when each was last heard, on the monotonic clock.

    A silent data centre may be isolated by a partition and still serve. One
    that stays silent for `const.LOST_MS` while a move is under way is given
    up as lost until it reports again.

    Args:
        expected: names of data centres that count before they report.
    """

    __slots__ = ('_heard', '_lost')

    def __init__(self, expected: abc.Iterable[str]) -> None:
        self._heard = dict.fromkeys(expected, 0)
        self._lost: set[str] = set()

    def begin(self, now: int) -> None:
        """Expect reports from now on, since a move is under way."""
        self._heard = dict.fromkeys(self._heard, now)

    def hear(self, datacentre: str, now: int) -> None:
        """Note a report."""
        self._heard[datacentre] = now
        self._lost.discard(datacentre)

    def find_lost(self, now: int) -> None:
        """Give up data centres that have been silent for too long."""
        for datacentre, heard_at in self._heard.items():
            if now - heard_at > const.LOST_MS:
                self._lost.add(datacentre)

    def list_expected(self) -> list[str]:
        """Return the data centres that are not lost, ordered by name."""
        return sorted(self._heard.keys() - self._lost)
