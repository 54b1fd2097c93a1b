"""Behaviours of new versions, good and bad, for the measurement of moves."""

import abc
import random
import typing

from shallotwharf.components.move import evidence
from shallotwharf.core import records

_MEDIAN_MS: typing.Final = 20.0
_SPREAD: typing.Final = 0.5
_BASE_ERRORS: typing.Final = 0.002


class Call(records.Record):
    """One call that an upstream runs.

    Attributes:
        at: time since the start of the move, in milliseconds.
        route: name of the route.
        is_new: whether the new version runs it.
        age_ms: time since the new version's first call.
        datacentre: name of the data centre it runs in.
        share: share of the new version, from 0 to 1.
        full_for_ms: time since the share became full; negative before.
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
    """Result of a call; `caused` if the new version's fault shows in it."""

    __slots__ = ('name', 'duration_ms', 'caused')

    def __init__(self, name: str, duration_ms: float, caused: bool) -> None:
        self.name = name
        self.duration_ms = duration_ms
        self.caused = caused


class Effects(records.Record):
    """How a call differs from an ordinary one."""

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
    """How the two versions of a service answer.

    Attributes:
        is_bad: whether the new version should be taken back.
        calls_part: calls a second as a part of the deployment's.
    """

    __slots__ = ('calls_part',)

    is_bad: typing.ClassVar[bool] = True

    def __init__(self, calls_part: float = 1) -> None:
        self.calls_part = calls_part

    @abc.abstractmethod
    def find_effects(self, call: Call) -> Effects:
        """Return how a call differs from an ordinary one."""

    def run(self, call: Call, source: random.Random) -> Outcome:
        """Return the result of a call."""
        changed = self.find_effects(call)
        duration_ms = (
            _MEDIAN_MS * source.lognormvariate(0, _SPREAD) * changed.slowdown
        )
        caused = self.is_bad and call.is_new
        drawn = source.random()
        if drawn < changed.crashes:
            return Outcome(evidence.OUTCOME_CRASH, duration_ms, caused)
        if drawn < changed.crashes + changed.errors:
            return Outcome(evidence.OUTCOME_ERROR, duration_ms, caused)
        if drawn > 1 - _BASE_ERRORS:
            return Outcome(evidence.OUTCOME_ERROR, duration_ms, False)
        caused = caused and changed.slowdown > 1
        return Outcome(evidence.OUTCOME_OK, duration_ms, caused)


class Bad(Behaviour):
    """A new version with a constant fault."""

    __slots__ = ('effects', 'route')

    def __init__(
        self,
        effects: Effects,
        route: str = '',
        calls_part: float = 1,
    ) -> None:
        super().__init__(calls_part)
        self.effects = effects
        self.route = route

    def find_effects(self, call: Call) -> Effects:
        """Return the fault on the new version's calls of the route."""
        if call.is_new and self.route in {'', call.route}:
            return self.effects
        return ORDINARY


class BadLater(Bad):
    """A fault that begins some time after the first call."""

    __slots__ = ('from_age_ms',)

    def __init__(self, effects: Effects, from_age_ms: int) -> None:
        super().__init__(effects)
        self.from_age_ms = from_age_ms

    def find_effects(self, call: Call) -> Effects:
        """Return the fault once the new version is old enough."""
        if call.age_ms < self.from_age_ms:
            return ORDINARY
        return super().find_effects(call)


class BadAfterFull(Bad):
    """A fault that begins some time after the share became full."""

    __slots__ = ('from_full_ms',)

    def __init__(self, effects: Effects, from_full_ms: int) -> None:
        super().__init__(effects)
        self.from_full_ms = from_full_ms

    def find_effects(self, call: Call) -> Effects:
        """Return the fault once the share has been full for long enough."""
        if call.full_for_ms < self.from_full_ms:
            return ORDINARY
        return super().find_effects(call)


class BadUnderLoad(Bad):
    """A fault that shows only above a share of the traffic."""

    __slots__ = ('from_share',)

    def __init__(self, effects: Effects, from_share: float) -> None:
        super().__init__(effects)
        self.from_share = from_share

    def find_effects(self, call: Call) -> Effects:
        """Return the fault at a high share."""
        if call.share < self.from_share:
            return ORDINARY
        return super().find_effects(call)


class Good(Behaviour):
    """A new version that answers like the old one, at times slower."""

    __slots__ = ('slowdown',)

    is_bad = False

    def __init__(self, slowdown: float = 1, calls_part: float = 1) -> None:
        super().__init__(calls_part)
        self.slowdown = slowdown

    def find_effects(self, call: Call) -> Effects:
        """Return a slight slowdown of the new version."""
        return Effects(slowdown=self.slowdown) if call.is_new else ORDINARY


class GoodEpisode(Good):
    """Both versions suffer from a shared fault for some time."""

    __slots__ = ('effects', 'begin_ms', 'end_ms')

    def __init__(self, effects: Effects, begin_ms: int, end_ms: int) -> None:
        super().__init__()
        self.effects = effects
        self.begin_ms = begin_ms
        self.end_ms = end_ms

    def find_effects(self, call: Call) -> Effects:
        """Return the shared fault while it lasts."""
        if self.begin_ms <= call.at < self.end_ms:
            return self.effects
        return ORDINARY


class GoodColdStart(Good):
    """Errors and slow answers in the first seconds of the new version."""

    __slots__ = ('effects', 'until_age_ms')

    def __init__(self, effects: Effects, until_age_ms: int) -> None:
        super().__init__()
        self.effects = effects
        self.until_age_ms = until_age_ms

    def find_effects(self, call: Call) -> Effects:
        """Return the errors of a cold start."""
        if call.is_new and call.age_ms < self.until_age_ms:
            return self.effects
        return ORDINARY


class GoodBursts(Good):
    """All calls of the new version in one data centre fail at times.

    Today a data centre has about one target of a service, so that these are
    the calls of one VM: it is lost, or a request crashes its upstream and is
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
        """Return failures during the bursts."""
        if not call.is_new or call.datacentre != self.datacentre:
            return ORDINARY
        if any(
            begin_ms <= call.at < begin_ms + self.duration_ms
            for begin_ms in self.begins_ms
        ):
            return self.effects
        return ORDINARY
