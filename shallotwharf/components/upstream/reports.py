"""Ordering of the reports of an upstream."""

import typing

from shallotwharf.core import call_interfaces

# Maximum number of ended instances that are stored. A late report of an
# instance that ended long ago is older than its successor's in any case.
_ENDED_LIMIT: typing.Final = 64
# Reports may arrive seconds late. For this time after the end of an instance
# whose start is not known, its reports may be older than the end.
_LATE_LIMIT_MS: typing.Final = 10_000


class Reports:
    """Filter that rejects reports older than the latest one.

    A later start replaces an earlier one. Reports of the same start are
    ordered by sequence. An instance that ended is rejected, but a later start
    may reuse its name.

    After a restart of the node, an end may be reported before any report of
    the instance, and need not state its start. All reports of the instance are
    then rejected for a while.
    """

    __slots__ = ('_latest', '_ended', '_unknown_until')

    def __init__(self) -> None:
        self._latest: call_interfaces.UpstreamReport | None = None
        # Start time of each ended instance, by name.
        self._ended: dict[str, int] = {}
        # Instances that ended without a known start, and until when, in clock
        # milliseconds, their reports are rejected.
        self._unknown_until: dict[str, int] = {}

    def accept(self, report: call_interfaces.UpstreamReport, now: int) -> bool:
        """Return whether a report is current; store it if so."""
        latest = self._latest
        instance = report.description.instance
        ended_at = self._ended.get(instance)
        if ended_at is not None and report.started_at <= ended_at:
            return False
        if now < self._unknown_until.get(instance, now):
            return False
        if latest is not None and _is_late(report, latest):
            return False
        self._latest = report
        return True

    def is_new_start(self, report: call_interfaces.UpstreamReport) -> bool:
        """Return whether a report has a later start than the latest one."""
        latest = self._latest
        return latest is None or report.started_at > latest.started_at

    def end(self, instance: str, started_at: int, now: int) -> None:
        """Record the end of an instance.

        A `started_at` of 0 refers to its latest known start.
        """
        latest = self._latest
        is_latest = (
            latest is not None and latest.description.instance == instance
        )
        if latest is not None and is_latest:
            if started_at and started_at < latest.started_at:
                return
            started_at = max(started_at, latest.started_at)
        if not started_at:
            self._unknown_until[instance] = now + _LATE_LIMIT_MS
        self._ended[instance] = started_at
        if len(self._ended) > _ENDED_LIMIT:
            oldest = next(iter(self._ended))
            self._ended.pop(oldest)
            self._unknown_until.pop(oldest, None)

    def has_ended(self, instance: str) -> bool:
        """Return whether the latest start of an instance ended."""
        latest = self._latest
        if latest is None or latest.description.instance != instance:
            return False
        return latest.started_at <= self._ended.get(instance, -1)


def _is_late(
    report: call_interfaces.UpstreamReport,
    latest: call_interfaces.UpstreamReport,
) -> bool:
    if report.started_at != latest.started_at:
        return report.started_at < latest.started_at
    if report.description.instance != latest.description.instance:
        return False
    return report.sequence <= latest.sequence
