"""Upstreams as seen from announcements and from local calls."""

import random
import typing
from collections import abc

from shallotwharf.components.call import (
    const,
    distance,
    evacuations,
    failure_rate,
    target_speed,
)
from shallotwharf.components.membership import messages as membership
from shallotwharf.components.tables import version as table_version
from shallotwharf.core import effects

OPEN_STATES = frozenset(
    (membership.UPSTREAM_WARMING, membership.UPSTREAM_READY),
)


class Target:
    """An upstream that can be selected.

    Attributes:
        announcement: latest announcement of its node.
        latency_ms: estimated one-way latency to its node.
        in_flight: attempts of this node that are running there.
        avoid_until: until this time, in clock milliseconds, it is selected
            only if there is no alternative.
        failure_rate: recent failure rate of the attempts of this node.
        speed: what is known about its speed.
    """

    __slots__ = (
        'announcement',
        'latency_ms',
        'in_flight',
        'avoid_until',
        'failure_rate',
        'speed',
        '_in_flight_at_spare',
        '_spare',
        '_spare_at',
        '_spare_until',
        '_full_ms',
        '_backoff_ms',
    )

    def __init__(
        self,
        announcement: membership.Announcement,
        latency_ms: int,
        now: int = 0,
    ) -> None:
        self.announcement = announcement
        self.latency_ms = latency_ms
        self.in_flight = 0
        self.avoid_until = 0
        self.failure_rate = failure_rate.FailureRate()
        self.speed = target_speed.TargetSpeed(announcement.condition, now)
        self._in_flight_at_spare = 0
        self._spare = announcement.spare
        self._spare_at = now
        self._spare_until = 0
        # Time for which the target counts as full once it has no spare slot.
        self._full_ms = const.FULL_LIFETIME_MS
        if latency_ms > const.REGION_LATENCY_MS:
            self._full_ms = const.REMOTE_FULL_LIFETIME_MS
        self._backoff_ms = 0

    def update(self, announcement: membership.Announcement, now: int) -> None:
        """Apply a newer announcement, or a newer load of the same one.

        A higher generation shows that the node responds, so penalties from
        earlier failures are reset.
        """
        if announcement.generation > self.announcement.generation:
            self.avoid_until = 0
            self._backoff_ms = 0
            self.failure_rate = failure_rate.FailureRate()
        self.announcement = announcement
        if now >= self._spare_until:
            self._set_spare(announcement.spare, now)
            self.speed.update(announcement.condition, now)

    def update_spare(self, spare: int, now: int) -> None:
        """Set the spare slots that a response reported."""
        self._set_spare(spare, now)
        self._spare_until = now + const.SPARE_LIFETIME_MS

    def begin(self, now: int) -> None:
        """Record an attempt that is sent there."""
        self.in_flight += 1
        self.speed.begin(now)

    def end(self, duration_ms: int, now: int) -> None:
        """Record the end of an attempt."""
        self.in_flight -= 1
        self.speed.end(duration_ms, now)

    def mark_refused(self, reason: str, now: int) -> None:
        """Avoid the target for a time that depends on the reason."""
        self.avoid_until = now + const.AVOID_MS.get(
            reason,
            const.AVOID_REFUSED_MS,
        )

    def mark_reached(self) -> None:
        """Reset the avoidance period, because the node responded."""
        self._backoff_ms = 0

    def mark_unreached(self, now: int) -> None:
        """Avoid the target; the period doubles with each failure in a row."""
        self._backoff_ms = min(
            max(2 * self._backoff_ms, const.AVOID_UNREACHED_MS),
            const.MAX_AVOID_UNREACHED_MS,
        )
        self.avoid_until = now + self._backoff_ms

    def estimate_spare(self, now: int) -> int:
        """Return the last known spare slots minus attempts started since.

        Announcements of load are seconds apart, so a target that was full is
        assumed to have one free slot after a while: one attempt at a time
        tests it.
        """
        spare = self._spare
        if now - self._spare_at >= self._full_ms:
            spare = max(spare, 1)
        started = self.in_flight - self._in_flight_at_spare
        return min(spare - started, self.announcement.slots)

    def _set_spare(self, spare: int, now: int) -> None:
        self._spare = spare
        self._spare_at = now
        self._in_flight_at_spare = self.in_flight


class Group:
    """Upstreams of one version of a service in one data centre."""

    __slots__ = ('latency_ms', 'targets')

    def __init__(self, latency_ms: int, targets: list[Target]) -> None:
        self.latency_ms = latency_ms
        self.targets = targets

    def pick(
        self,
        source: random.Random,
        tried: abc.Container[str],
        now: int,
    ) -> Target:
        """Return the better of two random targets.

        If neither has room, all targets are compared. This is cheap: a group
        holds one version of one service in one data centre.
        """
        if len(self.targets) == 1:
            return self.targets[0]
        picked = self._pick_two(source)
        better = find_best(picked, tried, now)
        if has_room(better, tried, now):
            return better
        return find_best(self.targets, tried, now)

    def _pick_two(self, source: random.Random) -> list[Target]:
        """Return two different random targets."""
        others = len(self.targets) - 1
        first = int(source.random() * (others + 1))
        second = int(source.random() * others)
        if second >= first:
            second += 1
        return [self.targets[first], self.targets[second]]


def has_room(
    target: Target,
    tried: abc.Container[str],
    now: int,
) -> bool:
    """Return whether a target probably accepts an attempt."""
    return (
        target.estimate_spare(now) > 0
        and now >= target.avoid_until
        and target.announcement.node.name not in tried
    )


def find_best(
    candidates: list[Target],
    tried: abc.Container[str],
    now: int,
) -> Target:
    """Return the target with the highest rating."""
    return max(
        candidates,
        key=lambda target: rate_target(target, tried, now),
    )


def rate_target(
    target: Target,
    tried: abc.Container[str],
    now: int,
) -> tuple[bool, bool, bool, int, int]:
    """Return a sort key; the target with the highest one is selected."""
    return (
        target.announcement.node.name not in tried,
        now >= target.avoid_until,
        not target.failure_rate.is_high(now),
        target.estimate_spare(now),
        -target.in_flight,
    )


# A service and its excluded versions.
_Selection: typing.TypeAlias = tuple[str, frozenset[str]]


class Directory:
    """Targets by service and version, nearest data centre first.

    An upstream that stated that it leaves is excluded for good, also if its
    node restarts and offers it again.
    """

    __slots__ = (
        '_local',
        '_targets',
        '_leaving',
        '_evacuated',
        '_groups',
        '_any_version_groups',
    )

    def __init__(self, local: membership.Member) -> None:
        self._local = local
        self._targets: dict[str, Target] = {}
        # Incarnations of the upstreams that leave, by the node beside them.
        self._leaving: dict[str, str] = {}
        self._evacuated = evacuations.Evacuations()
        self._groups: dict[tuple[str, str], list[Group]] = {}
        self._any_version_groups: dict[_Selection, list[Group]] = {}

    def find_target(self, node: str) -> Target | None:
        """Return the target beside a node, or None."""
        return self._targets.get(node)

    def find_groups(self, service: str, version: str) -> list[Group]:
        """Return the groups of a version, nearest first."""
        return self._groups.get((service, version), [])

    def find_any(
        self,
        service: str,
        excluded: frozenset[str],
    ) -> list[Group]:
        """Return the groups of all versions not excluded, nearest first."""
        key = (service, excluded)
        found = self._any_version_groups.get(key)
        if found is None:
            by_datacentre: dict[str, list[Target]] = {}
            for target in self.list_targets(service):
                row = target.announcement
                if self._is_open(row) and row.version not in excluded:
                    by_datacentre.setdefault(row.node.datacentre, []).append(
                        target
                    )
            found = _sort_groups(
                Group(targets[0].latency_ms, targets)
                for _, targets in sorted(by_datacentre.items())
            )
            self._any_version_groups[key] = found
        return found

    def has_speeds(self) -> bool:
        """Return whether any target states its speed."""
        known = self._targets.values()
        return any(target.speed.condition.speed for target in known)

    def list_targets(self, service: str) -> list[Target]:
        """Return all targets of a service in any state, for explanations."""
        return [
            target
            for target in self._targets.values()
            if target.announcement.service == service
        ]

    def exclude(self, target: Target, incarnation: str) -> None:
        """Exclude the incarnation of an upstream that leaves."""
        node = target.announcement.node.name
        if self._leaving.get(node) != incarnation:
            self._leaving[node] = incarnation
            self._build_groups()

    def apply_version(
        self, applied: table_version.Version, now: int
    ) -> list[effects.Effect]:
        """Exclude the upstreams of evacuated data centres."""
        reported = self._evacuated.apply(applied, now)
        if reported:
            self._build_groups()
        return reported

    def is_evacuated(self, datacentre: str) -> bool:
        """Return whether the current version evacuates a data centre."""
        return datacentre in self._evacuated.names

    def replace(
        self,
        announcements: tuple[membership.Announcement, ...],
        now: int = 0,
    ) -> None:
        """Replace all announcements.

        Groups are rebuilt only if an upstream was added, removed or changed;
        new numbers of spare slots do not affect them.
        """
        changed = self._drop_missing(announcements)
        for announcement in announcements:
            if self._apply(announcement, now):
                changed = True
        if changed:
            self._build_groups()

    def _drop_missing(
        self,
        announcements: tuple[membership.Announcement, ...],
    ) -> bool:
        if len(announcements) >= len(self._targets):
            known = self._targets
            if all(row.node.name in known for row in announcements):
                return False
        names = {row.node.name for row in announcements}
        missing = [name for name in self._targets if name not in names]
        for name in missing:
            self._targets.pop(name)
        return bool(missing)

    def _apply(
        self,
        announcement: membership.Announcement,
        now: int,
    ) -> bool:
        target = self._targets.get(announcement.node.name)
        if target is None:
            self._targets[announcement.node.name] = Target(
                announcement,
                distance.estimate_latency_ms(self._local, announcement.node),
                now,
            )
            return True
        previous = target.announcement
        if announcement.generation < previous.generation:
            return False
        if announcement == previous:
            return False
        target.update(announcement, now)
        return _read_grouping(announcement) != _read_grouping(previous)

    def _is_open(self, row: membership.Announcement) -> bool:
        if self.is_evacuated(row.node.datacentre):
            return False
        leaving = self._leaving.get(row.node.name, '')
        return row.state in OPEN_STATES and (
            not leaving or row.incarnation != leaving
        )

    def _build_groups(self) -> None:
        by_group: dict[tuple[str, str, str], list[Target]] = {}
        for target in self._targets.values():
            row = target.announcement
            if self._is_open(row):
                key = (row.service, row.version, row.node.datacentre)
                by_group.setdefault(key, []).append(target)
        self._any_version_groups = {}
        self._groups = {}
        for (service, version, _), targets in sorted(by_group.items()):
            self._groups.setdefault((service, version), []).append(
                Group(targets[0].latency_ms, targets),
            )
        for selected, groups in self._groups.items():
            self._groups[selected] = _sort_groups(groups)


def _sort_groups(groups: abc.Iterable[Group]) -> list[Group]:
    return sorted(groups, key=lambda group: group.latency_ms)


def _read_grouping(row: membership.Announcement) -> tuple[object, ...]:
    return row.service, row.version, row.state, row.node, row.incarnation
