"""Deployments and kinds of versions that the measurement covers."""

import random
import typing
from collections import abc

from shallotwharf.components.tables import pool, route, version
from shallotwharf.core import clock, records
from shallotwharf.measure import move_kinds

POOL: typing.Final = 'measured'
DUE_MS: typing.Final = 10 * clock.MINUTE_MS
_DATACENTRES: typing.Final = 6
_MINUTE: typing.Final = clock.MINUTE_MS

Factory: typing.TypeAlias = abc.Callable[
    [random.Random],
    move_kinds.Behaviour,
]


class Deployment(records.Record):
    """Size and traffic of a deployment.

    Attributes:
        name: name of the deployment.
        nodes: targets of both services, each with its node.
        calls_per_second: of the pool that is moved; an assumption, about
            a tenth of what the slots can do.
        routes: priority and weight of each route by its name.
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
        """Return the tables of the deployment."""
        return version.Tables(
            tuple(
                route.Route(name, f'/{name}', ('GET',), POOL, priority)
                for name, (priority, _) in self.routes.items()
            ),
            (pool.Pool(POOL, 'service', {'old': 100}),),
        )

    def place_nodes(self) -> dict[str, str]:
        """Return the data centre of each node."""
        return {
            f'node-{number}': f'datacentre-{number % _DATACENTRES}'
            for number in range(self.nodes)
        }


VALBREMBO: typing.Final = Deployment(
    'Valbrembo',
    13,
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
    12,
    50,
    {
        'booking': ('confirmation', 10),
        'deposit': ('confirmation', 5),
        'availability': ('internal', 20),
        'menu': ('browsing', 65),
    },
)
DEPLOYMENTS: typing.Final = (VALBREMBO, CAJOVNA)


def list_kinds(deployment: Deployment) -> abc.Mapping[str, Factory]:
    """Return the factories of the versions' behaviours by kind."""
    effects = move_kinds.Effects
    confirming = next(iter(deployment.routes))
    return {
        'good': lambda source: move_kinds.Good(),
        'good, 15% slower': lambda source: move_kinds.Good(1.15),
        'good, few calls': lambda source: move_kinds.Good(calls_part=0.01),
        'good, both slow': lambda source: _build_episode(
            source,
            effects(slowdown=8),
        ),
        'good, both failing': lambda source: _build_episode(
            source,
            effects(errors=0.3),
        ),
        'good, cold start': lambda source: move_kinds.GoodColdStart(
            effects(errors=0.1, slowdown=4),
            clock.MINUTE_MS // 3,
        ),
        'good, VM lost': lambda source: move_kinds.GoodLostVm(
            source.randint(_MINUTE, 15 * _MINUTE),
            1 / 6,
        ),
        'bad at once, 20% errors': lambda source: move_kinds.Bad(
            effects(errors=0.2),
        ),
        'bad at once, 5% errors': lambda source: move_kinds.Bad(
            effects(errors=0.05),
        ),
        'bad at once, all errors': lambda source: move_kinds.Bad(
            effects(errors=1),
        ),
        'bad later': lambda source: move_kinds.BadLater(
            effects(errors=0.2),
            source.randint(_MINUTE, 7 * _MINUTE),
        ),
        'bad after full': lambda source: move_kinds.BadAfterFull(
            effects(errors=0.2),
            source.randint(0, 8 * _MINUTE),
        ),
        'slow after full': lambda source: move_kinds.BadAfterFull(
            effects(slowdown=4),
            source.randint(0, 8 * _MINUTE),
        ),
        'bad under load': lambda source: move_kinds.BadUnderLoad(
            effects(errors=0.2),
            source.choice((0.25, 0.5, 1)),
        ),
        'bad on one route': lambda source: move_kinds.Bad(
            effects(errors=0.3),
            confirming,
        ),
        'slow only': lambda source: move_kinds.Bad(effects(slowdown=4)),
        'crash only': lambda source: move_kinds.Bad(effects(crashes=0.02)),
        'bad, few calls': lambda source: move_kinds.Bad(
            effects(errors=0.5),
            calls_part=0.01,
        ),
    }


def _build_episode(
    source: random.Random,
    effects: move_kinds.Effects,
) -> move_kinds.Behaviour:
    begin_ms = source.randint(_MINUTE, 6 * _MINUTE)
    return move_kinds.GoodEpisode(effects, begin_ms, begin_ms + _MINUTE)
