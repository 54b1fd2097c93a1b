"""Failure rates of the old version, against which the new one is judged."""

import math
import typing

from shallotwharf.components.move import evidence
from shallotwharf.core import records

# The long-run counts are halved above this many calls so that they follow slow
# changes of the old version.
_MAX_LONG_RUN_CALLS: typing.Final = 4096
# Decay factors of the recent counts per slice. At two slices a second they
# cover the last slice, about 2 s and about 10 s: the short ones follow a fault
# that affects both versions at once, the long one is more accurate where calls
# are few.
_DECAYS: typing.Final = (0, 0.75, 0.95)  # noqa: WPS432
# The new version's rate may be this many times the old version's at the same
# time, plus the margin of the kind (concurrent test).
_MAX_RATIO: typing.Final = 1.5
# It may be this many times the old version's present rate or the upper bound of
# its long-run rate, whichever is higher (absolute test).
_MAX_RATE_FACTOR: typing.Final = 2
_MAX_RATE: typing.Final = 0.9
# Below this many calls of the old version, `Kind.unknown_rate` limits the
# rate that its long run allows.
_MIN_CALLS: typing.Final = 20
# The last calls of the old version are evaluated in groups of at least this
# many, and discarded after this many slices without a call. That is 4 s; a
# move with a period of seconds ends 2 s after the last call.
_GROUP_CALLS: typing.Final = 10
_MAX_EMPTY_SLICES: typing.Final = 8


class Kind(records.Record):
    """A kind of failure of a call.

    Attributes:
        name: field of `evidence.Counts`; the kinds are in the order of
            `Counts.read_failures`.
        floor: rate that is always allowed.
        margin: allowed difference to the old version's rate.
        warm_up_rate: rate allowed during the warm-up; 0 if the warm-up makes
            no difference.
        unknown_rate: highest rate that the long run of the old version may
            allow while it has few calls, such as in a process that started
            after the share was full.
    """

    __slots__ = (
        'name',
        'floor',
        'margin',
        'warm_up_rate',
        'unknown_rate',
    )

    def __init__(
        self,
        name: str,
        floor: float,
        margin: float,
        warm_up_rate: float,
        unknown_rate: float,
    ) -> None:
        self.name = name
        self.floor = floor
        self.margin = margin
        self.warm_up_rate = warm_up_rate
        self.unknown_rate = unknown_rate


KINDS: typing.Final = (
    Kind('errors', 0.005, 0.002, 0.2, 0.2),  # noqa: WPS432
    Kind('slow', 0.05, 0.02, 0.8, 0.5),  # noqa: WPS432
    Kind('crashes', 0.001, 0, 0, 0.02),  # noqa: WPS432
)


class DecayingCounts:
    """Exponentially decaying counts of the old version."""

    __slots__ = ('_decay', 'calls', 'failures')

    def __init__(self, decay: float) -> None:
        self._decay = decay
        self.calls: float = 0
        self.failures: list[float] = [0 for _ in KINDS]

    def add(self, counts: evidence.Counts) -> None:
        """Decay the counts and add those of one slice."""
        self.calls = self.calls * self._decay + counts.calls
        self.failures = [
            previous * self._decay + failed
            for previous, failed in zip(
                self.failures,
                counts.read_failures(),
                strict=True,
            )
        ]


class LastCalls:
    """The last calls of the old version, held for a few seconds.

    Once the share is full they are the only evidence of a fault that affects
    both versions. Slices are grouped until they have enough calls, so that a
    single call that ends late has little weight.
    """

    __slots__ = ('_last_group', '_current_group', '_empty_slices')

    def __init__(self) -> None:
        self._last_group = evidence.EMPTY_COUNTS
        self._current_group = evidence.EMPTY_COUNTS
        self._empty_slices = 0

    def add(self, counts: evidence.Counts) -> None:
        """Add the counts of one slice."""
        self._empty_slices = 0 if counts.calls else self._empty_slices + 1
        if self._empty_slices > _MAX_EMPTY_SLICES:
            self._last_group = evidence.EMPTY_COUNTS
            self._current_group = evidence.EMPTY_COUNTS
        self._current_group = self._current_group.add(counts)
        if self._current_group.calls >= _GROUP_CALLS:
            self._last_group = self._current_group
            self._current_group = evidence.EMPTY_COUNTS

    def read_rate(self, number: int) -> float:
        """Return the rate of a kind of failure."""
        combined = self._last_group.add(self._current_group)
        return combined.read_failures()[number] / (combined.calls + 1)


class Reference:
    """Failure rates of the old version, in the long run and at present.

    The present rate is included so that a fault that affects both versions
    does not count against the new one.
    """

    __slots__ = ('long_run', '_recent', '_last_calls')

    def __init__(self) -> None:
        self.long_run = evidence.EMPTY_COUNTS
        self._recent = tuple(DecayingCounts(decay) for decay in _DECAYS)
        self._last_calls = LastCalls()

    def add(self, counts: evidence.Counts) -> None:
        """Add the counts of one slice."""
        for recent in self._recent:
            recent.add(counts)
        self._last_calls.add(counts)
        self.add_history(counts)

    def add_history(self, counts: evidence.Counts) -> None:
        """Add counts to the long run only, such as those of another trial."""
        total = self.long_run.add(counts)
        if total.calls > _MAX_LONG_RUN_CALLS:
            total = evidence.Counts(
                *(count // 2 for count in total.read_fields()),
            )
        self.long_run = total

    def compute_max_ratio(self, number: int) -> float:
        """Return the highest allowed ratio of the new rate to the old one."""
        failures = self.long_run.read_failures()[number]
        rate = (failures + 1) / (self.long_run.calls + 1)
        return _MAX_RATIO + KINDS[number].margin / rate

    def compute_max_rate(self, number: int) -> float:
        """Return the highest rate allowed to the new version for a kind."""
        failures = self.long_run.read_failures()[number]
        # Two standard deviations and two failures above the mean.
        upper = (failures + 2 + 2 * math.sqrt(failures + 1)) / (
            self.long_run.calls + 1
        )
        present = max(
            recent.failures[number] / (recent.calls + 1)
            for recent in self._recent
        )
        present = max(present, self._last_calls.read_rate(number))
        if self.long_run.calls < _MIN_CALLS:
            upper = min(upper, KINDS[number].unknown_rate / _MAX_RATE_FACTOR)
        allowed = _MAX_RATE_FACTOR * max(upper, present)
        return min(max(allowed, KINDS[number].floor), _MAX_RATE)
