"""Behaviours of good and bad versions for the measurement of moves."""

import abc
import random
import typing

from shallotwharf.components.move import evidence
from shallotwharf.core import records

_MEDIAN_MS: typing.Final = 20.0
_DURATION_SIGMA: typing.Final = 0.5
_BASE_ERRORS: typing.Final = 0.002


class Call(records.Record):
    """A simulated call.

    Attributes:
        at: milliseconds since the start of the move.
        route: name of the route.
        is_new: whether the new version runs the call.
        age_ms: milliseconds since the new version's first call; -1 before.
        datacentre: data centre of the node that runs the call.
        share: share of the new version at that node, from 0 to 1.
        full_for_ms: milliseconds since the share became full at all nodes; -1
            before.
    """

    __slots__ = (
        'at',
        'route',
        'is_new',
        'age_ms',
        'datacentre',
        'share',
        'full_for_ms',
    )

    def __init__(
        self,
        at: int,
        route: str,
        is_new: bool,
        age_ms: int,
        datacentre: str,
        share: float,
        full_for_ms: int,
    ) -> None:
        self.at = at
        self.route = route
        self.is_new = is_new
        self.age_ms = age_ms
        self.datacentre = datacentre
        self.share = share
        self.full_for_ms = full_for_ms


class Outcome(records.Record):
    """Result of a call.

    Attributes:
        name: one of the `OUTCOME_` constants of `evidence`.
        duration_ms: time that the call took.
        shows_fault: whether a fault of the new version affected the call.
    """

    __slots__ = ('name', 'duration_ms', 'shows_fault')

    def __init__(
        self, name: str, duration_ms: float, shows_fault: bool
    ) -> None:
        self.name = name
        self.duration_ms = duration_ms
        self.shows_fault = shows_fault


class Effects(records.Record):
    """Effects of a fault on a call.

    Attributes:
        errors: probability of an error.
        crashes: probability that the upstream crashes.
        slowdown: factor on the duration.
    """

    __slots__ = ('errors', 'crashes', 'slowdown')

    def __init__(
        self,
        errors: float = 0,
        crashes: float = 0,
        slowdown: float = 1,
    ) -> None:
        self.errors = errors
        self.crashes = crashes
        self.slowdown = slowdown


ORDINARY: typing.Final = Effects()


class Behaviour(abc.ABC):
    """Model of how the old and the new version answer.

    Attributes:
        is_bad: whether the new version should be taken back.
        calls_factor: factor on the calls per second of the deployment.
    """

    __slots__ = ('calls_factor',)

    is_bad: typing.ClassVar[bool] = True

    def __init__(self, calls_factor: float = 1) -> None:
        self.calls_factor = calls_factor

    @abc.abstractmethod
    def find_effects(self, call: Call) -> Effects:
        """Return the effects of faults on a call."""

    def run(self, call: Call, source: random.Random) -> Outcome:
        """Draw the result of a call."""
        changed = self.find_effects(call)
        duration_ms = (
            _MEDIAN_MS
            * source.lognormvariate(0, _DURATION_SIGMA)
            * changed.slowdown
        )
        shows_fault = self.is_bad and call.is_new
        drawn = source.random()
        if drawn < changed.crashes:
            return Outcome(evidence.OUTCOME_CRASH, duration_ms, shows_fault)
        if drawn < changed.crashes + changed.errors:
            return Outcome(evidence.OUTCOME_ERROR, duration_ms, shows_fault)
        if drawn > 1 - _BASE_ERRORS:
            return Outcome(evidence.OUTCOME_ERROR, duration_ms, False)
        shows_fault = shows_fault and changed.slowdown > 1
        return Outcome(evidence.OUTCOME_OK, duration_ms, shows_fault)


class Bad(Behaviour):
    """A new version with a permanent fault, on all routes or on one."""

    __slots__ = ('effects', 'route')

    def __init__(
        self,
        effects: Effects,
        route: str = '',
        calls_factor: float = 1,
    ) -> None:
        super().__init__(calls_factor)
        self.effects = effects
        self.route = route

    def find_effects(self, call: Call) -> Effects:
        """Return the fault for calls of the new version on the route."""
        if call.is_new and self.route in {'', call.route}:
            return self.effects
        return ORDINARY


class BadLater(Bad):
    """A new version whose fault begins some time after its first call."""

    __slots__ = ('from_age_ms',)

    def __init__(self, effects: Effects, from_age_ms: int) -> None:
        super().__init__(effects)
        self.from_age_ms = from_age_ms

    def find_effects(self, call: Call) -> Effects:
        """Return the fault from the age `from_age_ms` on."""
        if call.age_ms < self.from_age_ms:
            return ORDINARY
        return super().find_effects(call)


class BadAfterFull(Bad):
    """A new version whose fault begins some time after its share is full."""

    __slots__ = ('from_full_ms',)

    def __init__(self, effects: Effects, from_full_ms: int) -> None:
        super().__init__(effects)
        self.from_full_ms = from_full_ms

    def find_effects(self, call: Call) -> Effects:
        """Return the fault once the share was full for `from_full_ms`."""
        if call.full_for_ms < self.from_full_ms:
            return ORDINARY
        return super().find_effects(call)


class BadUnderLoad(Bad):
    """A new version that fails only from a certain share on."""

    __slots__ = ('from_share',)

    def __init__(self, effects: Effects, from_share: float) -> None:
        super().__init__(effects)
        self.from_share = from_share

    def find_effects(self, call: Call) -> Effects:
        """Return the fault at nodes where the share is high enough."""
        if call.share < self.from_share:
            return ORDINARY
        return super().find_effects(call)


class Good(Behaviour):
    """A new version without a fault, optionally slightly slower."""

    __slots__ = ('slowdown',)

    is_bad = False

    def __init__(self, slowdown: float = 1, calls_factor: float = 1) -> None:
        super().__init__(calls_factor)
        self.slowdown = slowdown

    def find_effects(self, call: Call) -> Effects:
        """Return the slowdown of the new version."""
        return Effects(slowdown=self.slowdown) if call.is_new else ORDINARY


class GoodEpisode(Good):
    """A good version, with a temporary fault that affects both versions."""

    __slots__ = ('effects', 'begin_ms', 'end_ms')

    def __init__(self, effects: Effects, begin_ms: int, end_ms: int) -> None:
        super().__init__()
        self.effects = effects
        self.begin_ms = begin_ms
        self.end_ms = end_ms

    def find_effects(self, call: Call) -> Effects:
        """Return the fault for both versions while it lasts."""
        if self.begin_ms <= call.at < self.end_ms:
            return self.effects
        return ORDINARY


class GoodColdStart(Good):
    """A good version that fails and is slow while it warms up."""

    __slots__ = ('effects', 'until_age_ms')

    def __init__(self, effects: Effects, until_age_ms: int) -> None:
        super().__init__()
        self.effects = effects
        self.until_age_ms = until_age_ms

    def find_effects(self, call: Call) -> Effects:
        """Return the effects of the cold start on calls of the new version."""
        if call.is_new and call.age_ms < self.until_age_ms:
            return self.effects
        return ORDINARY


class GoodBursts(Good):
    """A good version whose calls in one data centre fail for short times.

    A data centre has about one target of a service, so these are the calls of
    one VM. Either the VM is lost, or a request crashes its upstream and is
    resent.
    """

    __slots__ = ('effects', 'datacentre', 'begins_ms', 'duration_ms')

    def __init__(
        self,
        effects: Effects,
        datacentre: str,
        begins_ms: tuple[int, ...],
        duration_ms: int,
    ) -> None:
        super().__init__()
        self.effects = effects
        self.datacentre = datacentre
        self.begins_ms = begins_ms
        self.duration_ms = duration_ms

    def find_effects(self, call: Call) -> Effects:
        """Return the failures of that data centre during the bursts."""
        if not call.is_new or call.datacentre != self.datacentre:
            return ORDINARY
        if any(
            begin_ms <= call.at < begin_ms + self.duration_ms
            for begin_ms in self.begins_ms
        ):
            return self.effects
        return ORDINARY
