"""Ordering of the reports of an upstream."""

import collections
import typing

from shallotwharf.core import call_interfaces

# A start of the upstream: its instance, and when it started by its own clock.
Start: typing.TypeAlias = tuple[str, int]

ACCEPTED: typing.Final = 'accepted'
# Accepted, from another start of the upstream than the last one.
RESTARTED: typing.Final = 'restarted'
LATE: typing.Final = 'late'
# It may come from a later start, or be a late report of an earlier one.
PENDING: typing.Final = 'pending'

# Maximum number of starts that are stored of those that ended or were replaced.
_PAST_LIMIT: typing.Final = 64
# Reports may arrive seconds late. For this time after the end of an instance
# whose start is not known, its reports may be older than the end.
_LATE_LIMIT_MS: typing.Final = 10_000
# Highest sequence of a report that shows by itself that its start is new: the
# first reports of a start may be lost.
_FIRST_SEQUENCES: typing.Final = 3
# Reports that were delayed together arrive within a shorter time.
_CONFIRM_AFTER_MS: typing.Final = 100


class _Pending:
    """First report of a start that may be an earlier one."""

    __slots__ = ('report', 'at')

    def __init__(self, report: call_interfaces.UpstreamReport, at: int) -> None:
        self.report = report
        self.at = at


class Reports:
    """Filter that rejects reports older than the latest one.

    Reports of the same start are ordered by sequence. A start says when it
    began by its own clock, which may have gone back since an earlier start, so
    that alone does not order two starts. What does is what this node has
    seen: a start that was replaced or has ended never returns. A start that is
    not known replaces the current one at once if it began later and its reports
    have just begun. Otherwise its first report is pending until another one
    follows while the current start is silent, as only one of them can run.

    The same holds for a node that has just started and knows no start: the
    upstream may have left before. After a restart of the node an end may be
    reported before any report of the instance, and need not state its start;
    all reports of the instance are then rejected for a while.
    """

    __slots__ = ('_current', '_pending', '_past', '_unknown_until')

    def __init__(self) -> None:
        self._current: call_interfaces.UpstreamReport | None = None
        self._pending: _Pending | None = None
        # Starts that ended or were replaced, the latest last.
        self._past: collections.OrderedDict[Start, None] = (
            collections.OrderedDict()
        )
        # Instances that ended without a known start, and until when, in clock
        # milliseconds, their reports are rejected.
        self._unknown_until: dict[str, int] = {}

    def accept(self, report: call_interfaces.UpstreamReport, now: int) -> str:
        """Return the verdict on a report; store it if it is accepted."""
        start = _read_start(report)
        if start in self._past or self._may_be_older_than_end(start, now):
            return LATE
        current = self._current
        if current is not None and start == _read_start(current):
            return self._accept_next(report, current)
        if self._is_new(report) or self._confirms(report, now):
            self._replace(report)
            return RESTARTED
        if not self._is_pending_start(start):
            self._pending = _Pending(report, now)
        return PENDING

    def is_pending(self, report: call_interfaces.UpstreamReport) -> bool:
        """Return whether it is not known yet if a report is a late one."""
        return self._is_pending_start(_read_start(report))

    def end(self, instance: str, started_at: int, now: int) -> bool:
        """Record the end of an instance.

        Args:
            instance: the instance.
            started_at: its start; 0 for its latest known one.
            now: current time in milliseconds.

        Returns whether no start of the upstream is current from now on.
        """
        pending = self._pending
        if pending is not None and _names(pending.report, instance, started_at):
            # It was the later start, as it still runs.
            self._replace(pending.report)
        current = self._current
        if current is not None and _names(current, instance, started_at):
            self._add_past(_read_start(current))
            return True
        if started_at:
            self._add_past((instance, started_at))
        elif current is None or current.description.instance != instance:
            self._add_unknown(instance, now)
        return False

    def _is_new(self, report: call_interfaces.UpstreamReport) -> bool:
        """Return whether a report by itself shows a later start."""
        current = self._current
        has_begun = report.sequence <= _FIRST_SEQUENCES
        if current is None:
            return has_begun
        if report.started_at == current.started_at:
            # Neither states its start.
            return not report.started_at
        return has_begun and report.started_at > current.started_at

    def _confirms(
        self, report: call_interfaces.UpstreamReport, now: int
    ) -> bool:
        """Return whether a report shows that a pending start runs."""
        pending = self._pending
        return (
            pending is not None
            and _read_start(report) == _read_start(pending.report)
            and report.sequence > pending.report.sequence
            and now - pending.at >= _CONFIRM_AFTER_MS
        )

    def _accept_next(
        self,
        report: call_interfaces.UpstreamReport,
        current: call_interfaces.UpstreamReport,
    ) -> str:
        if report.sequence <= current.sequence:
            return LATE
        self._current = report
        if self._pending is not None:
            # The current start still runs, so the other one does not.
            self._add_past(_read_start(self._pending.report))
            self._pending = None
        return ACCEPTED

    def _replace(self, report: call_interfaces.UpstreamReport) -> None:
        if self._current is not None:
            self._add_past(_read_start(self._current))
        self._current = report
        self._pending = None

    def _is_pending_start(self, start: Start) -> bool:
        pending = self._pending
        return pending is not None and start == _read_start(pending.report)

    def _may_be_older_than_end(self, start: Start, now: int) -> bool:
        return now < self._unknown_until.get(start[0], now)

    def _add_past(self, start: Start) -> None:
        self._past[start] = None
        self._past.move_to_end(start)
        if len(self._past) > _PAST_LIMIT:
            self._past.popitem(last=False)

    def _add_unknown(self, instance: str, now: int) -> None:
        self._unknown_until[instance] = now + _LATE_LIMIT_MS
        if len(self._unknown_until) > _PAST_LIMIT:
            self._unknown_until.pop(next(iter(self._unknown_until)))
        # One that never states its start does not return.
        self._add_past((instance, 0))


def _read_start(report: call_interfaces.UpstreamReport) -> Start:
    return report.description.instance, report.started_at


def _names(
    report: call_interfaces.UpstreamReport, instance: str, started_at: int
) -> bool:
    """Return whether an end refers to the start of a report."""
    return report.description.instance == instance and started_at in {
        0,
        report.started_at,
    }
