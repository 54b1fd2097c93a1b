"""Sizes of the answers of each route, which decide how far they travel."""

import typing

from shallotwharf.components.call import const
from shallotwharf.components.call import targets as call_targets

# Weight of one answer in the mean.
_WEIGHT: typing.Final = 0.1


class AnswerSizes:
    """Mean size of the answers by route; outlives versions."""

    __slots__ = ('_means',)

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def note(self, route: str, size: int) -> None:
        """Take note of an answer of so many bytes."""
        mean = self._means.get(route)
        if mean is None:
            self._means[route] = size
        else:
            self._means[route] = mean + _WEIGHT * (size - mean)

    def limit_reach(
        self,
        route: str,
        groups: list[call_targets.Group],
    ) -> list[call_targets.Group]:
        """Return the groups that may serve a route, nearest first.

        Large answers stay within the region, unless it has no upstream: the
        ways between regions are paid by volume and limited.
        """
        if self._means.get(route, 0) < const.LARGE_ANSWER_BYTES:
            return groups
        near = [
            group
            for group in groups
            if group.latency_ms <= const.REGION_LATENCY_MS
        ]
        return near or groups
