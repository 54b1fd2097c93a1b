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


class ProbeState:
    """One probe at a time, of all members in random order.

    Attributes:
        target: member whose answer is awaited; empty once it arrived.
        number: number of the latest probe of this node.
        health_factor: factor on the timeouts of this node: 1 while its probes
            succeed in time, up to `MAX_HEALTH_FACTOR`.
    """

    __slots__ = (
        'target',
        'number',
        'health_factor',
        '_last_number',
        '_random',
        '_remaining',
        '_forwarded',
    )

    def __init__(self, source: random.Random) -> None:
        self.target = ''
        self.number = 0
        self.health_factor = 1
        self._last_number = source.randrange(_NUMBER_RANGE)
        self._random = source
        self._remaining: list[str] = []
        self._forwarded: dict[int, Origin] = {}

    def begin(self, peers: tuple[str, ...]) -> str:
        """Begin a probe; return its target, empty if there is no member."""
        if not self._remaining:
            self._remaining = list(peers)
            self._random.shuffle(self._remaining)
        self.target = ''
        while self._remaining and not self.target:
            candidate = self._remaining.pop()
            if candidate in peers:
                self.target = candidate
        self._last_number += 1
        self.number = self._last_number
        return self.target

    def probe_next(self, member: str) -> None:
        """Make a member the next probe target."""
        if member in self._remaining:
            self._remaining.remove(member)
        self._remaining.append(member)

    def forward(self, origin: str, origin_number: int) -> int:
        """Return a new number for a probe on behalf of another member."""
        self._last_number += 1
        if len(self._forwarded) >= _MAX_FORWARDED:
            self._forwarded.pop(next(iter(self._forwarded)))
        self._forwarded[self._last_number] = Origin(origin, origin_number)
        return self._last_number

    def pop_origin(self, number: int) -> Origin | None:
        """Return the requester of a forwarded probe; None for other probes."""
        return self._forwarded.pop(number, None)

    def complete(self) -> None:
        """Record the answer of the target and lower the factor."""
        self.target = ''
        self.health_factor = max(self.health_factor - 1, 1)

    def raise_health_factor(self) -> None:
        """Raise the factor: this process, not its target, may be slow."""
        self.health_factor = min(
            self.health_factor + 1, const.MAX_HEALTH_FACTOR
        )
