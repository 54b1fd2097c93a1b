"""Choice of the next probe target, and the state of the probe."""

import random
import typing

from shallotwharf.components.membership import const

# Probe numbers start at a random value, so that answers to an earlier run of
# this process do not match.
_NUMBER_RANGE: typing.Final = 1_000_000
# Limit of open probes on behalf of other members; the oldest is dropped.
_MAX_FORWARDED: typing.Final = 64


class Origin:
    """The member that requested a probe, and its number for the probe."""

    __slots__ = ('name', 'number')

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.number = number


class Prober:
    """One probe at a time, of all members in random order.

    Attributes:
        target: member whose answer is awaited; empty once it arrived.
        number: number of the latest probe of this node.
        factor: factor on the timeouts of this node: 1 while its probes
            succeed in time, up to `MAX_HEALTH_FACTOR`.
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
        """Make a member the next probe target."""
        if member in self._round:
            self._round.remove(member)
        self._round.append(member)

    def forward(self, origin: str, origin_number: int) -> int:
        """Return a new number for a probe on behalf of another member."""
        self._last += 1
        if len(self._forwarded) >= _MAX_FORWARDED:
            self._forwarded.pop(next(iter(self._forwarded)))
        self._forwarded[self._last] = Origin(origin, origin_number)
        return self._last

    def find_origin(self, number: int) -> Origin | None:
        """Return the requester of a forwarded probe; None for other probes."""
        return self._forwarded.pop(number, None)

    def succeed(self) -> None:
        """Record the answer of the target and lower the factor."""
        self.target = ''
        self.factor = max(self.factor - 1, 1)

    def slow_down(self) -> None:
        """Raise the factor: this process, not its target, may be slow."""
        self.factor = min(self.factor + 1, const.MAX_HEALTH_FACTOR)
