"""Upstreams that a call may get, and the reason for or against each."""

import functools
import typing

from shallotwharf.components.call import (
    chooser,
    const,
    dry_run,
    expectation,
    index,
    places,
    targets,
)
from shallotwharf.core import records

REASON_CHOSEN: typing.Final = 'chosen'
REASON_EVACUATED: typing.Final = 'evacuated'
REASON_REGION: typing.Final = 'region_not_allowed'
REASON_FENCED: typing.Final = 'fenced_version'
REASON_NO_SHARE: typing.Final = 'no_share'
REASON_OTHER_VERSION: typing.Final = 'other_version'
REASON_STATE: typing.Final = 'not_serving'
# Large responses of the route stay within the region.
REASON_LARGE: typing.Final = 'large_responses'
REASON_AVOIDED: typing.Final = 'failed_lately'
REASON_FAULTY: typing.Final = 'fails_often'
REASON_FULL: typing.Final = 'full'
# Attempts there take far longer than usual, so that it may have hung.
REASON_SILENT: typing.Final = 'unresponsive'
REASON_COLD: typing.Final = 'cold'
REASON_TARGET: typing.Final = 'too_slow_for_target'
REASON_SCATTER: typing.Final = 'within_scatter'
# Faster, but not by enough for the distance.
REASON_FARTHER: typing.Final = 'farther'
REASON_SLOWER: typing.Final = 'slower'
# Nothing is against it, but the call is refused for another reason.
REASON_USABLE: typing.Final = 'usable'


class Candidate(records.Record):
    """An upstream of the pool's service, and why it is or is not selected.

    Attributes:
        node: name of the node beside it.
        version: version of the service.
        datacentre: its data centre.
        region: its region.
        latency_ms: one-way latency to it.
        spare: estimated spare slots.
        speed: factor of the usual run time; 1 if unknown.
        is_cold: whether it takes only few requests a second.
        expected_ms: expected time of the call there.
        reason: one of the `REASON_` names.
    """

    __slots__ = (
        'node',
        'version',
        'datacentre',
        'region',
        'latency_ms',
        'spare',
        'speed',
        'is_cold',
        'expected_ms',
        'reason',
    )

    def __init__(
        self,
        target: targets.Target,
        expected_ms: float,
        reason: str,
        now: int,
    ) -> None:
        row = target.announcement
        self.node = row.node.name
        self.version = row.version
        self.datacentre = row.node.datacentre
        self.region = row.node.region
        self.latency_ms = target.latency_ms
        self.spare = target.estimate_spare(now)
        self.speed = round(target.speed.estimate(now), 2)
        self.is_cold = target.speed.condition.is_cold
        self.expected_ms = round(expected_ms)
        self.reason = reason


class Review:
    """Reasons for and against the targets of one pool and version."""

    __slots__ = (
        '_directory',
        '_pool',
        '_served',
        '_regions',
        '_groups',
        '_usable',
        '_rating',
        '_now',
    )

    def __init__(
        self,
        directory: targets.Directory,
        pool: index.PoolEntry,
        served: str | None,
        regions: places.Regions,
        usable: list[targets.Group],
        demand: expectation.Demand,
        now: int,
    ) -> None:
        """Create a review.

        Args:
            directory: targets by service.
            pool: pool of the call.
            served: version that was picked; None if there is none.
            regions: allowed regions.
            usable: groups from which the target is chosen.
            demand: what the call needs.
            now: clock milliseconds.
        """
        self._directory = directory
        self._pool = pool
        self._served = served
        self._regions = regions
        self._groups = _list_nodes(
            chooser.find_groups(pool, directory, served or '', regions)
        )
        self._usable = usable
        self._rating = expectation.Expectation(
            demand, dry_run.FixedSource(), now
        )
        self._now = now

    def list_candidates(
        self, chosen: targets.Target | None
    ) -> tuple[Candidate, ...]:
        """Return all targets of the service, nearest first."""
        rows = [
            Candidate(
                target,
                self._rating.estimate_ms(target),
                self._find_reason(target, chosen),
                self._now,
            )
            for target in self._directory.list_targets(self._pool.row.service)
        ]
        return tuple(sorted(rows, key=lambda row: (row.latency_ms, row.node)))

    def _find_reason(
        self, target: targets.Target, chosen: targets.Target | None
    ) -> str:
        if target is chosen:
            return REASON_CHOSEN
        return (
            self._find_exclusion(target)
            or self._find_fault(target)
            or self._compare(target, chosen)
        )

    def _find_exclusion(self, target: targets.Target) -> str:
        """Return why the target is not among those to choose from."""
        row = target.announcement
        regions = self._regions
        is_allowed = regions is None or row.node.region in regions
        is_served = self._serves(row.version)
        has_share = row.version in dict(self._pool.shares)
        checks = (
            (
                self._directory.is_evacuated(row.node.datacentre),
                REASON_EVACUATED,
            ),
            (not is_allowed, REASON_REGION),
            (row.version in self._pool.fenced, REASON_FENCED),
            (not is_served and not has_share, REASON_NO_SHARE),
            (row.state not in targets.OPEN_STATES, REASON_STATE),
            (not is_served, REASON_OTHER_VERSION),
            (row.node.name not in self._groups, REASON_STATE),
            (row.node.name not in _list_nodes(self._usable), REASON_LARGE),
        )
        return next((reason for holds, reason in checks if holds), '')

    def _serves(self, version: str) -> bool:
        """Return whether the picked version includes a version."""
        if self._served == chooser.ANY_VERSION:
            return version not in self._pool.excluded
        return version == self._served

    def _find_fault(self, target: targets.Target) -> str:
        """Return why the target is avoided at present."""
        is_rated = any(expectation.is_known(group) for group in self._usable)
        is_silent = is_rated and self._rating.is_silent(target)
        checks = (
            (self._now < target.avoid_until, REASON_AVOIDED),
            (target.failure_rate.is_high(self._now), REASON_FAULTY),
            (target.estimate_spare(self._now) <= 0, REASON_FULL),
            (is_silent, REASON_SILENT),
        )
        return next((reason for holds, reason in checks if holds), '')

    def _compare(
        self, target: targets.Target, chosen: targets.Target | None
    ) -> str:
        """Return how the target compares with the chosen one."""
        expected_ms = self._rating.estimate_ms(target)
        best_ms = self._rating.estimate_ms(chosen) if chosen else 0
        limit_ms = best_ms * (1 + const.EXPECTATION_SCATTER)
        latency_ms = chosen.latency_ms if chosen else 0
        is_equidistant = target.latency_ms == latency_ms
        is_farther = target.latency_ms > latency_ms
        is_beaten = chosen is not None and not (chosen.speed.condition.is_cold)
        checks = (
            (is_beaten and target.speed.condition.is_cold, REASON_COLD),
            (not self._rating.is_in_time(expected_ms), REASON_TARGET),
            (chosen is None, REASON_USABLE),
            (is_equidistant and expected_ms <= limit_ms, REASON_SCATTER),
            (is_farther and expected_ms <= best_ms, REASON_FARTHER),
        )
        return next((why for holds, why in checks if holds), REASON_SLOWER)


def sort_targets(groups: list[targets.Group], now: int) -> None:
    """Sort the targets of copied groups, the best one first.

    A choice of two by a source that always returns 0 then is the best of all.
    """
    rate = functools.partial(targets.rate_target, tried=(), now=now)
    for group in groups:
        group.targets.sort(key=rate, reverse=True)


def _list_nodes(groups: list[targets.Group]) -> set[str]:
    return {
        target.announcement.node.name
        for group in groups
        for target in group.targets
    }
