"""Order of what an upstream says of itself."""

import typing

from shallotwharf.core import call_interfaces

# Ended instances that are remembered; a late report of one that left long
# ago is older than its successor's in any case.
_ENDED_LIMIT: typing.Final = 64


class Reports:
    """Accepts a report only if nothing later is known.

    A later start replaces an earlier one. Of one start, the higher sequence
    is later. An instance that left does not come back, but its name may be
    used by a later start.
    """

    __slots__ = ('_latest', '_ended')

    def __init__(self) -> None:
        self._latest: call_interfaces.UpstreamReport | None = None
        # Start of each instance that left.
        self._ended: dict[str, int] = {}

    def accept(self, report: call_interfaces.UpstreamReport) -> bool:
        """Return whether to follow a report, and remember it if so."""
        latest = self._latest
        ended_at = self._ended.get(report.description.instance)
        if ended_at is not None and report.started_at <= ended_at:
            return False
        if latest is not None and _is_late(report, latest):
            return False
        self._latest = report
        return True

    def is_new_start(self, report: call_interfaces.UpstreamReport) -> bool:
        """Tell whether a report is of a later start than the latest one."""
        latest = self._latest
        return latest is None or report.started_at > latest.started_at

    def end(self, instance: str, started_at: int) -> None:
        """Note that an instance leaves; 0 stands for its latest start."""
        latest = self._latest
        known = latest is not None and latest.description.instance == instance
        if latest is not None and known:
            if started_at and started_at < latest.started_at:
                return
            started_at = max(started_at, latest.started_at)
        self._ended[instance] = started_at
        if len(self._ended) > _ENDED_LIMIT:
            self._ended.pop(next(iter(self._ended)))

    def has_ended(self, instance: str) -> bool:
        """Tell whether the latest start of an instance left."""
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
