"""Response sizes by route, which limit traffic between regions."""

import typing

from shallotwharf.components.call import const
from shallotwharf.components.call import targets as call_targets

# Weight of one response in the moving average.
_WEIGHT: typing.Final = 0.1


class ResponseSizes:
    """Mean response size by route; kept when a new version is applied."""

    __slots__ = ('_means',)

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, route: str, size: int) -> None:
        """Update the mean of a route with a response of `size` bytes."""
        mean = self._means.get(route)
        if mean is None:
            self._means[route] = size
        else:
            self._means[route] = mean + _WEIGHT * (size - mean)

    def filter_groups(
        self,
        route: str,
        groups: list[call_targets.Group],
    ) -> list[call_targets.Group]:
        """Return the groups that may serve a route, nearest first.

        Large responses stay within the region, unless it has no upstream,
        because traffic between regions is limited and billed by volume.
        """
        if self._means.get(route, 0) < const.LARGE_RESPONSE_BYTES:
            return groups
        near = [
            group
            for group in groups
            if group.latency_ms <= const.REGION_LATENCY_MS
        ]
        return near or groups
