"""Tells a crash of the upstream from the loss of single connections."""

import typing

from shallotwharf.components.poison import messages as poison
from shallotwharf.components.upstream import const
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


class _Suspected:
    """A possible crash that is not confirmed yet."""

    __slots__ = ('start', 'at', 'digests', 'latest')

    def __init__(
        self, start: int, at: int, digests: tuple[bytes, ...], latest: bytes
    ) -> None:
        self.start = start
        self.at = at
        self.digests = set(digests)
        self.latest = latest


class CrashDetector:
    """Reports the requests that ran when the upstream crashed.

    A connection that closes before its response is complete may be the
    fault of that response alone. It counts as a crash once the upstream
    refuses a connection or starts again, or if it has answered no request for
    `CRASH_CONFIRM_MS`.
    """

    __slots__ = ('_node', '_crashes', '_suspected', '_crashed_start')

    def __init__(self, node: str) -> None:
        self._node = node
        self._crashes = 0
        self._suspected: _Suspected | None = None
        # The start of the upstream that ended with the last crash.
        self._crashed_start: int | None = None

    def suspect(
        self, digests: tuple[bytes, ...], latest: bytes, start: int, now: int
    ) -> Effects:
        """Record that a connection closed while requests were running.

        Args:
            digests: digests of the running requests.
            latest: the one of them that began last.
            start: number of the upstream's start that ran them.
            now: current time in milliseconds.
        """
        if start == self._crashed_start:
            return []
        if self._suspected is not None and self._suspected.start == start:
            self._suspected.digests.update(digests)
            self._suspected.latest = latest
            return []
        step = self.confirm()
        self._suspected = _Suspected(start, now, digests, latest)
        confirm_at = now + const.CRASH_CONFIRM_MS
        return [*step, effects.SetTimer(const.TIMER_CRASH, confirm_at)]

    def record_response(self, start: int, began_at: int, now: int) -> Effects:
        """Record a complete response of a start of the upstream.

        Args:
            start: number of the start.
            began_at: when the request was sent, in clock milliseconds.
            now: current time in milliseconds.
        """
        if start == self._crashed_start:
            self._crashed_start = None
        suspected = self._suspected
        if suspected is None or suspected.start != start:
            return []
        # A response that was written before a crash may be read after it.
        lag_ms = now - suspected.at
        if began_at <= suspected.at and lag_ms < const.CRASH_RESPONSE_LAG_MS:
            return []
        self._suspected = None
        return [effects.CancelTimer(const.TIMER_CRASH)]

    def confirm(self) -> Effects:
        """Report the suspected crash, if there is one."""
        suspected = self._suspected
        if suspected is None:
            return []
        self._suspected = None
        self._crashed_start = suspected.start
        self._crashes += 1
        seen = poison.CrashSeen(
            self._node,
            self._crashes,
            tuple(sorted(suspected.digests)),
            latest=suspected.latest,
        )
        return [
            effects.CancelTimer(const.TIMER_CRASH),
            effects.Count(const.COUNTER_CRASHES),
            effects.Publish(seen),
        ]
