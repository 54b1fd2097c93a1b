"""Conditions that block the next step of a move."""

import typing

from shallotwharf.components.move import const, evidence
from shallotwharf.components.tables import const as tables_const
from shallotwharf.core import clock

# Evidence level (see `Trial.read_level`) above which no step is taken.
SUSPICIOUS_LEVEL: typing.Final = 0.5
# Weight of a new measurement in the moving average of the call rate.
_RATE_WEIGHT: typing.Final = 0.1


class Traffic:
    """Calls of a move's pool and the data centres that report them.

    Attributes:
        calls_per_second: moving average over both versions.
    """

    __slots__ = (
        'calls_per_second',
        '_started_at',
        '_measured_at',
        '_last_received_at',
        '_step',
    )

    def __init__(self, now: int) -> None:
        self.calls_per_second: float = 0
        self._started_at = now
        self._measured_at = now
        self._last_received_at: dict[str, int] = {}
        self._step = evidence.EMPTY_ROW

    def restart(self) -> None:
        """Reset the calls counted at the present share."""
        self._step = evidence.EMPTY_ROW

    def add_report(self, datacentre: str, row: evidence.Row, now: int) -> None:
        """Add the calls of a data centre's report."""
        self._last_received_at[datacentre] = now
        self._step = self._step.add(row)

    def measure(self, row: evidence.Row, now: int) -> None:
        """Update the call rate with the calls since the last measurement."""
        elapsed_ms = now - self._measured_at
        if elapsed_ms <= 0:
            return
        self._measured_at = now
        calls = row.old.calls + row.new.calls
        rate = calls * clock.SECOND_MS / elapsed_ms
        self.calls_per_second += _RATE_WEIGHT * (rate - self.calls_per_second)

    def find_obstacle(
        self,
        expected: list[str],
        share: int,
        next_share: int,
        now: int,
    ) -> str:
        """Return why the next step is blocked; empty if it is not.

        A step needs reports from at least one data centre. While an expected
        data centre is unresponsive, the share grows to at most
        `const.PARTIAL_EVIDENCE_SHARE`. The new version must get its part of
        the calls.
        """
        unresponsive = [
            name for name in expected if self._is_unresponsive(name, now)
        ]
        if all(
            self._is_unresponsive(name, now) for name in self._last_received_at
        ):
            return 'no data centre reports evidence'
        if unresponsive and next_share > const.PARTIAL_EVIDENCE_SHARE:
            return f'no evidence from {", ".join(unresponsive)}'
        expected_calls = self._count_calls() * share // tables_const.FULL_SHARE
        if expected_calls >= const.MIN_EXPECTED_CALLS:
            if (
                self._step.new.calls * const.MAX_SHORTFALL_FACTOR
                < expected_calls
            ):
                return 'the new version gets too few calls'
        return ''

    def _is_unresponsive(self, datacentre: str, now: int) -> bool:
        last_received_at = self._last_received_at.get(
            datacentre, self._started_at
        )
        return now - last_received_at > const.UNRESPONSIVE_MS

    def _count_calls(self) -> int:
        return self._step.old.calls + self._step.new.calls
