"""Log lines about evacuated data centres at a node."""

from shallotwharf.components.call import const
from shallotwharf.components.tables import version
from shallotwharf.core import effects


class Evacuations:
    """The evacuated data centres of the current version.

    Attributes:
        names: names of the data centres.
    """

    __slots__ = ('names', '_began')

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        # By data centre: the version that showed its evacuation to this node,
        # and the time in clock milliseconds.
        self._began: dict[str, tuple[int, int]] = {}

    def apply(self, applied: version.Version, now: int) -> list[effects.Effect]:
        """Replace the names by those of a version; return what is logged."""
        names = frozenset(applied.evacuated)
        if names == self.names:
            return []
        begun = sorted(names - self.names)
        ended = sorted(self.names - names)
        self.names = names
        self._began.update((name, (applied.number, now)) for name in begun)
        return [
            *(self._report(const.EVENT_EVACUATED, name, now) for name in begun),
            *(self._report(const.EVENT_RESTORED, name, now) for name in ended),
            effects.Count(const.COUNTER_EVACUATED, len(begun)),
            effects.Count(const.COUNTER_RESTORED, len(ended)),
        ]

    def _report(self, event: str, name: str, now: int) -> effects.Effect:
        number, began_at = self._began[name]
        return effects.Report(
            event,
            {
                'datacentre': name,
                'since_number': number,
                'since_ms': now - began_at,
            },
        )
