"""Deployments and behaviours of versions for the measurement of moves."""

import random
import types
import typing
from collections import abc

from measurements import move_kinds
from shallotwharf.components.tables import pool, route, version
from shallotwharf.core import clock, records

POOL: typing.Final = 'measured'
DUE_MS: typing.Final = 10 * clock.MINUTE_MS
_DATACENTRES: typing.Final = 6

Factory: typing.TypeAlias = abc.Callable[
    [random.Random],
    move_kinds.Behaviour,
]


# Error and crash values are fractions of calls; slowdowns are factors.
_FAILING: typing.Final = move_kinds.Effects(errors=0.2)  # noqa: WPS432
_FAILING_RARELY: typing.Final = move_kinds.Effects(errors=0.05)  # noqa: WPS432
_FAILING_OFTEN: typing.Final = move_kinds.Effects(errors=0.5)
_FAILING_ALWAYS: typing.Final = move_kinds.Effects(errors=1)
_CRASHING: typing.Final = move_kinds.Effects(crashes=0.02)  # noqa: WPS432
_SLOW: typing.Final = move_kinds.Effects(slowdown=4)
_COLD: typing.Final = move_kinds.Effects(errors=0.1, slowdown=4)
_FEW_CALLS: typing.Final = 0.01
_SLIGHT_SLOWDOWN: typing.Final = 1.15
_CRASHING_ALWAYS: typing.Final = move_kinds.Effects(crashes=1)
# Members detect a lost node within about 1 s. Callers stop selecting a crashed
# upstream at once, and the second attempt of the caller follows 2 s later.
_VM_LOST_MS: typing.Final = clock.SECOND_MS
_CRASH_BURST_MS: typing.Final = clock.SECOND_MS // 4
_RESEND_MS: typing.Final = 2 * clock.SECOND_MS
_COLD_START_MS: typing.Final = clock.MINUTE_MS // 3


class Deployment(records.Record):
    """Size and traffic of a deployment.

    Attributes:
        name: name of the deployment.
        nodes: number of targets of both services; each target has a node.
        calls_per_second: calls to the moved pool; assumed to be about a tenth
            of the capacity of the slots.
        routes: priority and traffic weight by route name.
    """

    __slots__ = ('name', 'nodes', 'calls_per_second', 'routes')

    def __init__(
        self,
        name: str,
        nodes: int,
        calls_per_second: int,
        routes: abc.Mapping[str, tuple[str, int]],
    ) -> None:
        self.name = name
        self.nodes = nodes
        self.calls_per_second = calls_per_second
        self.routes = routes

    def build_tables(self) -> version.Tables:
        """Return tables with the routes and the moved pool."""
        return version.Tables(
            tuple(
                route.Route(name, f'/{name}', ('GET',), POOL, priority)
                for name, (priority, _) in self.routes.items()
            ),
            (pool.Pool(POOL, 'service', {'old': 100}),),
        )

    def place_nodes(self) -> dict[str, str]:
        """Return the data centre by node name."""
        return {
            f'node-{number}': _build_datacentre_name(number % _DATACENTRES)
            for number in range(self.nodes)
        }


VALBREMBO: typing.Final = Deployment(
    'Valbrembo',
    6 + 7,
    100,
    {
        'cut': ('confirmation', 10),
        'pattern': ('download', 10),
        'lookup': ('internal', 20),
        'status': ('browsing', 60),
    },
)
CAJOVNA: typing.Final = Deployment(
    'Čajovna',
    6 + 6,
    100 // 2,
    {
        'booking': ('confirmation', 10),
        'deposit': ('confirmation', 5),
        'availability': ('internal', 20),
        'menu': ('browsing', 65),
    },
)
DEPLOYMENTS: typing.Final = (VALBREMBO, CAJOVNA)


def list_kinds(deployment: Deployment) -> abc.Mapping[str, Factory]:
    """Return a factory of the version's behaviour by name of the case."""
    confirming = next(iter(deployment.routes))
    return {
        **_GOOD,
        **_BAD,
        'bad on one route': lambda source: move_kinds.Bad(
            _FAILING,
            confirming,
        ),
    }


def _draw_time_ms(
    source: random.Random,
    low_minutes: int,
    high_minutes: int,
) -> int:
    return source.randint(
        low_minutes * clock.MINUTE_MS,
        high_minutes * clock.MINUTE_MS,
    )


def _build_datacentre_name(number: int) -> str:
    return f'datacentre-{number}'


def _build_poison(source: random.Random) -> move_kinds.Behaviour:
    begin_ms = _draw_time_ms(source, 1, 15)  # noqa: WPS432 (minutes)
    return move_kinds.GoodBursts(
        _CRASHING_ALWAYS,
        _build_datacentre_name(0),
        (begin_ms, begin_ms + _RESEND_MS),
        _CRASH_BURST_MS,
    )


def _build_episode(
    source: random.Random,
    effects: move_kinds.Effects,
) -> move_kinds.Behaviour:
    begin_ms = _draw_time_ms(source, 1, 6)
    return move_kinds.GoodEpisode(
        effects,
        begin_ms,
        begin_ms + clock.MINUTE_MS,
    )


_GOOD: typing.Final[abc.Mapping[str, Factory]] = types.MappingProxyType(
    {
        'good': lambda source: move_kinds.Good(),
        'good, 15% slower': lambda source: move_kinds.Good(_SLIGHT_SLOWDOWN),
        'good, few calls': lambda source: move_kinds.Good(
            calls_factor=_FEW_CALLS,
        ),
        'good, both 5% errors': lambda source: move_kinds.GoodEpisode(
            _FAILING_RARELY,
            0,
            clock.HOUR_MS,
        ),
        'good, both slow': lambda source: _build_episode(source, _SLOW),
        'good, both failing': lambda source: _build_episode(source, _FAILING),
        'good, cold start': lambda source: move_kinds.GoodColdStart(
            _COLD,
            _COLD_START_MS,
        ),
        'good, VM lost': lambda source: move_kinds.GoodBursts(
            _FAILING_ALWAYS,
            _build_datacentre_name(0),
            (_draw_time_ms(source, 1, 15),),  # noqa: WPS432 (minutes)
            _VM_LOST_MS,
        ),
        'good, poison request': _build_poison,
    },
)
_BAD: typing.Final[abc.Mapping[str, Factory]] = types.MappingProxyType(
    {
        'bad at once, all errors': lambda source: move_kinds.Bad(
            _FAILING_ALWAYS,
        ),
        'bad at once, 20% errors': lambda source: move_kinds.Bad(_FAILING),
        'bad at once, 5% errors': lambda source: move_kinds.Bad(
            _FAILING_RARELY,
        ),
        'bad later': lambda source: move_kinds.BadLater(
            _FAILING,
            _draw_time_ms(source, 1, 7),
        ),
        'bad after full': lambda source: move_kinds.BadAfterFull(
            _FAILING,
            _draw_time_ms(source, 0, 8),
        ),
        'slow after full': lambda source: move_kinds.BadAfterFull(
            _SLOW,
            _draw_time_ms(source, 0, 8),
        ),
        'bad under load': lambda source: move_kinds.BadUnderLoad(
            _FAILING,
            source.choice((1 / 4, 1 / 2, 1)),
        ),
        'slow only': lambda source: move_kinds.Bad(_SLOW),
        'crash only': lambda source: move_kinds.Bad(_CRASHING),
        'bad, few calls': lambda source: move_kinds.Bad(
            _FAILING_OFTEN,
            calls_factor=_FEW_CALLS,
        ),
    },
)
