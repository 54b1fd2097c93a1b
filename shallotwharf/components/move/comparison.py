"""Statistical tests of the new version against the old one."""

import math
import typing
from collections import abc

from shallotwharf.components.move import (
    const,
    eprocess,
    evidence,
    reference,
)

# The alternatives state that the odds are this many times those of the null
# hypothesis. The lowest multiple is well above 1, so that a slight difference
# does not take a good version back when there are many calls.
_MULTIPLES: typing.Final = tuple(
    (multiple, math.log(multiple)) for multiple in (2.5, 8, 40, 400)
)
# Decay factors of the numbers of calls per slice, for about 10 s and 2 s. The
# shorter one follows a change of share while the nodes apply it one after the
# other; it is used from `_MIN_FAST_CALLS` calls on, below which it is noise.
_DECAY: typing.Final = 0.95
_FAST_DECAY: typing.Final = 0.75
_MIN_FAST_CALLS: typing.Final = 50

TESTS: typing.Final = 2 * len(reference.KINDS)
# Kinds of failure with a higher allowed rate during the warm-up.
_LENIENT: typing.Final = frozenset(
    kind.name for kind in reference.KINDS if kind.warm_up_rate
)


class KindTest:
    """The two tests of one kind of failure.

    `concurrent` takes the number of failures of both versions as given and
    tests how many of them are the new version's, which is valid however the
    common rate changes. `absolute` compares the new version's rate with the
    bound derived from the old version; only this one has power when the old
    version has few calls or none. Once the share is full, it cannot
    distinguish a fault that would have affected both versions from one of
    the new version.
    """

    __slots__ = ('concurrent', 'absolute')

    def __init__(self) -> None:
        self.concurrent = eprocess.EProcess(len(_MULTIPLES))
        self.absolute = eprocess.EProcess(len(_MULTIPLES))

    def read(self) -> float:
        """Return the value of the test with the stronger evidence."""
        return max(self.concurrent.total, self.absolute.total)


class Exposure:
    """Exponentially decaying numbers of calls of the two versions."""

    __slots__ = ('_decay', 'old', 'new')

    def __init__(self, decay: float) -> None:
        self._decay = decay
        self.old: float = 0
        self.new: float = 0

    def add(self, row: evidence.Row) -> None:
        """Decay the numbers and add the calls of one slice."""
        self.old = self.old * self._decay + row.old.calls
        self.new = self.new * self._decay + row.new.calls

    def read_odds(self) -> float:
        """Return the new version's calls divided by the old one's."""
        return self.new / self.old if self.old else math.inf


class Comparison:
    """Tests of the new version on one route, or on all routes together.

    Args:
        threshold: natural logarithm of the evidence that causes a take-back.
        slices_needed: fewest slices in which the evidence can reach it.
        lenient: names of the kinds allowed more during the warm-up.
    """

    __slots__ = (
        'reference',
        'old',
        'new',
        '_threshold',
        '_required',
        '_limit',
        '_lenient',
        '_exposure',
        '_fast_exposure',
        '_tests',
    )

    def __init__(
        self,
        threshold: float,
        slices_needed: int = const.SLICES_NEEDED,
        lenient: abc.Container[str] = _LENIENT,
    ) -> None:
        self.reference = reference.Reference()
        self.old = evidence.EMPTY_COUNTS
        self.new = evidence.EMPTY_COUNTS
        self._threshold = threshold
        self._required = math.exp(threshold)
        required_log_ratio = threshold + math.log(len(_MULTIPLES))
        self._limit = required_log_ratio / slices_needed
        self._lenient = lenient
        self._exposure = Exposure(_DECAY)
        self._fast_exposure = Exposure(_FAST_DECAY)
        self._tests = tuple(KindTest() for _ in reference.KINDS)

    def reset_exposure(self) -> None:
        """Reset the ratio of calls after a change of the share."""
        self._exposure = Exposure(_DECAY)
        self._fast_exposure = Exposure(_FAST_DECAY)

    def update(self, row: evidence.Row, warming_up: bool) -> None:
        """Add one slice; `warming_up` is true during the warm-up."""
        self.old = self.old.add(row.old)
        self.new = self.new.add(row.new)
        self._exposure.add(row)
        self._fast_exposure.add(row)
        self.reference.add(row.old)
        new_failures = row.new.read_failures()
        old_failures = row.old.read_failures()
        for number, kind in enumerate(reference.KINDS):
            lenient = warming_up and kind.name in self._lenient
            hits = new_failures[number]
            total = hits + old_failures[number]
            if total and not lenient:
                self._update_concurrent(number, hits, total)
            if row.new.calls:
                self._update_absolute(number, hits, row.new.calls, lenient)

    def read_level(self) -> float:
        """Return the logarithm of the evidence divided by the threshold.

        0 means no evidence; from 1 on the version is taken back.
        """
        highest = max(test.read() for test in self._tests)
        return math.log(max(highest, 1)) / self._threshold

    def find_kind(self) -> reference.Kind | None:
        """Return the kind of failure with enough evidence, or None."""
        for kind, test in zip(reference.KINDS, self._tests, strict=True):
            if test.read() >= self._required:
                return kind
        return None

    def _update_concurrent(self, number: int, hits: int, total: int) -> None:
        odds = self.reference.compute_max_ratio(number) * self._read_odds()
        if odds < math.inf:
            self._tests[number].concurrent.update(
                _compute_log_ratios(hits, total, odds),
                self._limit,
            )

    def _read_odds(self) -> float:
        fast = self._fast_exposure
        odds = self._exposure.read_odds()
        if fast.old + fast.new < _MIN_FAST_CALLS:
            return odds
        return max(odds, fast.read_odds())

    def _update_absolute(
        self,
        number: int,
        hits: int,
        calls: int,
        lenient: bool,
    ) -> None:
        rate = self.reference.compute_max_rate(number)
        if lenient:
            rate = max(rate, reference.KINDS[number].warm_up_rate)
        self._tests[number].absolute.update(
            _compute_log_ratios(hits, calls, rate / (1 - rate)),
            self._limit,
        )


def _compute_log_ratios(
    hits: int, total: int, odds: float
) -> abc.Sequence[float]:
    # For each multiple, the logarithm of the likelihood ratio of `hits` in
    # `total` draws with odds of `multiple * odds` against odds of `odds`.
    base = math.log1p(odds)
    return [
        hits * logarithm - total * (math.log1p(multiple * odds) - base)
        for multiple, logarithm in _MULTIPLES
    ]
