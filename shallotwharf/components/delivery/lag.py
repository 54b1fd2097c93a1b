"""Log lines about a process that lags behind the newest version it knows of."""

from collections import abc

from shallotwharf.components.delivery import const
from shallotwharf.core import effects


class Lag:
    """How long a version number has been below the highest known one.

    A lag of `const.LAG_REPORT_MS` is logged once when it is noticed and once
    when it ends, so that the volume is bounded by the number of versions.
    """

    __slots__ = ('_event', '_since', '_is_reported')

    def __init__(self, event: str) -> None:
        """Create a lag whose lines carry an event name."""
        self._event = event
        self._since: int | None = None
        self._is_reported = False

    def update(
        self,
        number: int,
        highest: int,
        now: int,
        fields: abc.Mapping[str, object],
    ) -> list[effects.Effect]:
        """Compare two version numbers; return the log line that is due.

        Args:
            number: number of the version at hand.
            highest: highest number that is known.
            now: current time in milliseconds.
            fields: fields of the line in addition to the numbers.
        """
        if number >= highest:
            return self._end(number, now)
        if self._since is None:
            self._since = now
        lag_ms = now - self._since
        if self._is_reported or lag_ms < const.LAG_REPORT_MS:
            return []
        self._is_reported = True
        return [
            effects.Count(f'delivery.{self._event}'),
            effects.Report(
                self._event,
                {
                    'number': number,
                    'highest': highest,
                    'lag_ms': lag_ms,
                    **fields,
                },
            ),
        ]

    def _end(self, number: int, now: int) -> list[effects.Effect]:
        since = self._since
        was_reported = self._is_reported
        self._since = None
        self._is_reported = False
        if since is None or not was_reported:
            return []
        return [
            effects.Report(
                f'{self._event}_ended',
                {'number': number, 'lag_ms': now - since},
            ),
        ]
