"""Choice of the member that is probed next, and the probe's progress."""

import random
import typing

from shallotwharf.components.membership import const

# Numbers of probes start at random, so that an answer to an earlier run of
# this process does not count.
_NUMBER_RANGE: typing.Final = 1_000_000
# Probes on behalf of others that may be open; older ones are forgotten.
_MAX_FORWARDED: typing.Final = 64


class Origin:
    """The member for whom another one is probed, and its number."""

    __slots__ = ('name', 'number')

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.number = number


class Prober:
    """One probe at a time, over all members in random order.

    Attributes:
        target: member whose answer is awaited; empty if it came.
        number: number of the latest own probe.
        factor: 1 while own probes succeed in time, up to
            `MAX_HEALTH_FACTOR`; own timeouts are multiplied by it.
    """

    __slots__ = (
        'target',
        'number',
        'factor',
        '_last',
        '_random',
        '_round',
        '_forwarded',
    )

    def __init__(self, source: random.Random) -> None:
        self.target = ''
        self.number = 0
        self.factor = 1
        self._last = source.randrange(_NUMBER_RANGE)
        self._random = source
        self._round: list[str] = []
        self._forwarded: dict[int, Origin] = {}

    def begin(self, others: tuple[str, ...]) -> str:
        """Begin a probe; return its target, empty if there is no member."""
        if not self._round:
            self._round = list(others)
            self._random.shuffle(self._round)
        self.target = ''
        while self._round and not self.target:
            candidate = self._round.pop()
            if candidate in others:
                self.target = candidate
        self._last += 1
        self.number = self._last
        return self.target

    def hasten(self, member: str) -> None:
        """Probe a member next."""
        if member in self._round:
            self._round.remove(member)
        self._round.append(member)

    def forward(self, origin: str, origin_number: int) -> int:
        """Return the number of a probe on behalf of another member."""
        self._last += 1
        if len(self._forwarded) >= _MAX_FORWARDED:
            self._forwarded.pop(next(iter(self._forwarded)))
        self._forwarded[self._last] = Origin(origin, origin_number)
        return self._last

    def find_origin(self, number: int) -> Origin | None:
        """Return for whom a probe was made and that member's number."""
        return self._forwarded.pop(number, None)

    def succeed(self) -> None:
        """Note that the target answered."""
        self.target = ''
        self.factor = max(self.factor - 1, 1)

    def slow_down(self) -> None:
        """Note a sign that this process, not its target, may be slow."""
        self.factor = min(self.factor + 1, const.MAX_HEALTH_FACTOR)
