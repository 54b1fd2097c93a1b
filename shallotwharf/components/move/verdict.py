"""Judgement whether a new version of a service is bad."""

import math
import typing
from collections import abc

from shallotwharf.components.move import (
    comparison,
    const,
    evidence,
    reference,
    timetable,
)

# Half of the false-positive rate is assigned to the overall row, the other
# half to the routes.
_OVERALL_PART: typing.Final = 2


class Trial:
    """Evidence at one level: a node, a data centre or all data centres.

    Args:
        parts: number of trials that share the false-positive rate of the
            level.
        move_timetable: timetable of the move; None for a move with a due time.

    Attributes:
        fault: the evidence that shows the version bad; empty if it is not.
    """

    __slots__ = (
        'fault',
        '_timetable',
        '_threshold',
        '_comparisons',
        '_warm_until',
    )

    def __init__(
        self, parts: int, move_timetable: timetable.Timetable | None = None
    ) -> None:
        self.fault = ''
        self._timetable = move_timetable or timetable.DueTimetable()
        self._threshold = math.log(
            const.LEVELS
            * parts
            * comparison.TESTS
            * _OVERALL_PART
            / const.FALSE_POSITIVE_RATE,
        )
        self._comparisons = {
            evidence.OVERALL: self._make_comparison(self._threshold),
        }
        self._warm_until: int | None = None

    def reset_exposure(self) -> None:
        """Reset the ratios of calls after a change of the share."""
        for compared in self._comparisons.values():
            compared.reset_exposure()

    def update(
        self,
        rows: abc.Iterable[evidence.Row],
        share: int,
        now: int,
    ) -> None:
        """Add the rows of one slice, the overall row included.

        `share` is the new version's, in hundredths of a percent.
        """
        for row in rows:
            if self._warm_until is None and row.new.calls:
                self._warm_until = now + self._timetable.warm_up_ms
            warming_up = share <= const.WARM_UP_SHARE and (
                self._warm_until is None or now < self._warm_until
            )
            compared = self._find_or_add(row.route)
            compared.update(row, warming_up)
            kind = compared.find_kind()
            if kind is not None:
                self.fault = _describe(row.route, compared, kind)

    def add_history(self, rows: abc.Iterable[evidence.Row]) -> None:
        """Add long-run counts of the old version from another trial."""
        for row in rows:
            self._find_or_add(row.route).reference.add_history(row.old)

    def read_history(self) -> tuple[evidence.Row, ...]:
        """Return the long-run counts of the old version by route."""
        return tuple(
            evidence.Row(
                route,
                compared.reference.long_run,
                evidence.EMPTY_COUNTS,
            )
            for route, compared in self._comparisons.items()
        )

    def read_level(self) -> float:
        """Return the highest evidence level; from 1 on the version is bad."""
        return max(
            compared.read_level() for compared in self._comparisons.values()
        )

    def _find_or_add(self, route: str) -> comparison.Comparison:
        compared = self._comparisons.get(route)
        if compared is None:
            # The parts 1 / (i * (i + 1)) of the i-th route sum to 1.
            position = len(self._comparisons)
            compared = self._make_comparison(
                self._threshold + math.log(position * (position + 1)),
            )
            self._comparisons[route] = compared
        return compared

    def _make_comparison(self, threshold: float) -> comparison.Comparison:
        return comparison.Comparison(
            threshold,
            self._timetable.slices_needed,
            self._timetable.lenient,
        )


def _describe(
    route: str,
    compared: comparison.Comparison,
    kind: reference.Kind,
) -> str:
    scope = f'route {route}' if route else 'all routes'
    new, old = compared.new, compared.old
    return (
        f'{kind.name} on {scope}: '
        f'new {getattr(new, kind.name)} of {new.calls} calls, '
        f'old {getattr(old, kind.name)} of {old.calls}'
    )
