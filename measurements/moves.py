"""Measure whether good versions move in time and bad ones are taken back.

Run `python -m measurements.moves --help` for the options.
"""

import random
import typing

import typer

from measurements import (
    move_cases,
    move_kinds,
    move_policies,
    move_report,
)
from shallotwharf.components.move import const
from shallotwharf.components.tables import const as tables_const
from shallotwharf.components.tables import version
from shallotwharf.core import clock

POLICY_TESTED: typing.Final = 'tested'
POLICY_FIXED: typing.Final = 'fixed steps'

_TICK_MS: typing.Final = 250
_LIMIT_MS: typing.Final = (
    move_cases.DUE_MS + const.WATCH_MS + 2 * clock.MINUTE_MS
)
_FULL: typing.Final = tables_const.FULL_SHARE


class _Run:
    """Traffic of one move and counts of the new version's calls."""

    __slots__ = (
        'full_at',
        'first_call_at',
        'fault_seen',
        'calls_before',
        'calls_after',
        '_deployment',
        '_behaviour',
        '_policy',
        '_source',
        '_nodes',
        '_datacentres',
    )

    def __init__(
        self,
        deployment: move_cases.Deployment,
        behaviour: move_kinds.Behaviour,
        policy: move_policies.Policy,
        source: random.Random,
    ) -> None:
        self.full_at: int | None = None
        self.first_call_at: int | None = None
        self.fault_seen = False
        self.calls_before = 0
        self.calls_after = 0
        self._deployment = deployment
        self._behaviour = behaviour
        self._policy = policy
        self._source = source
        self._nodes = list(deployment.place_nodes())
        self._datacentres = list(deployment.place_nodes().values())

    def run(self) -> None:
        """Send calls until the move has ended or `_LIMIT_MS` has passed."""
        for at in range(0, _LIMIT_MS, _TICK_MS):
            self._policy.advance(at)
            shares = [self._policy.find_share(node) for node in self._nodes]
            if min(shares) == _FULL and self.full_at is None:
                self.full_at = at
            if self._has_ended(shares):
                return
            self._send_calls(at, shares)

    def _has_ended(self, shares: list[int]) -> bool:
        state = self._policy.find_state()
        if state == version.STATE_TAKEN_BACK:
            return not any(shares)
        return state == version.STATE_DONE

    def _send_calls(self, at: int, shares: list[int]) -> None:
        routes = list(self._deployment.routes)
        weights = [weight for _, weight in self._deployment.routes.values()]
        calls = self._draw_calls()
        for route in self._source.choices(routes, weights, k=calls):
            number = self._source.randrange(len(self._nodes))
            is_new = self._source.random() * _FULL < shares[number]
            self._send_call(at, route, number, is_new, shares[number])

    def _send_call(
        self,
        at: int,
        route: str,
        number: int,
        is_new: bool,
        share: int,
    ) -> None:
        if is_new and self.first_call_at is None:
            self.first_call_at = at
        call = move_kinds.Call(
            at,
            route,
            is_new,
            _measure_since(self.first_call_at, at),
            self._datacentres[number],
            share / _FULL,
            _measure_since(self.full_at, at),
        )
        outcome = self._behaviour.run(call, self._source)
        self.fault_seen = self.fault_seen or outcome.shows_fault
        if is_new and self.fault_seen:
            self.calls_after += 1
        elif is_new:
            self.calls_before += 1
        self._policy.observe(self._nodes[number], call, outcome)

    def _draw_calls(self) -> int:
        rate = (
            self._deployment.calls_per_second * self._behaviour.calls_factor
        ) / clock.SECOND_MS
        calls = 0
        waited_ms = self._source.expovariate(rate)
        while waited_ms < _TICK_MS:
            calls += 1
            waited_ms += self._source.expovariate(rate)
        return calls


def _measure_since(started_at: int | None, at: int) -> int:
    return -1 if started_at is None else at - started_at


def measure_moves(seed: int, count: int) -> tuple[move_report.MoveRow, ...]:
    """Run `count` moves of each deployment, kind and policy.

    The same seed gives the same rows.
    """
    rows = []
    for deployment in move_cases.DEPLOYMENTS:
        for kind, build in move_cases.list_kinds(deployment).items():
            for policy in (POLICY_TESTED, POLICY_FIXED):
                for number in range(count):
                    text = f'{seed}/{deployment.name}/{kind}/{number}'
                    source = random.Random(text)
                    rows.append(
                        measure_move(
                            deployment,
                            kind,
                            build(source),
                            policy,
                            source,
                        ),
                    )
    return tuple(rows)


def measure_move(
    deployment: move_cases.Deployment,
    kind: str,
    behaviour: move_kinds.Behaviour,
    policy: str,
    source: random.Random,
) -> move_report.MoveRow:
    """Run one move and return its result."""
    run = _Run(
        deployment,
        behaviour,
        _build_policy(policy, deployment, source),
        source,
    )
    run.run()
    state = run._policy.find_state()
    in_time = run.full_at is not None and run.full_at <= move_cases.DUE_MS
    return move_report.MoveRow(
        deployment.name,
        kind,
        policy,
        behaviour.is_bad,
        in_time,
        state == version.STATE_TAKEN_BACK,
        run.calls_before,
        run.calls_after,
    )


def _build_policy(
    name: str,
    deployment: move_cases.Deployment,
    source: random.Random,
) -> move_policies.Policy:
    if name == POLICY_FIXED:
        return move_policies.FixedSteps(move_cases.DUE_MS)
    move = version.Move(
        'move-1',
        move_cases.POOL,
        'old',
        'new',
        move_cases.DUE_MS,
    )
    return move_policies.MoveComponentPolicy(
        deployment.build_tables(),
        move,
        deployment.place_nodes(),
        source,
    )


def main(seed: int = 1, count: int = 5) -> None:
    """Print the results of `count` moves per deployment, kind and policy."""
    rows = measure_moves(seed, count)
    typer.echo(move_report.format_rows(rows))
    typer.echo(move_report.format_totals(rows))


if __name__ == '__main__':
    typer.run(main)
