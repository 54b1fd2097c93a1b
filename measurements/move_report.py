"""Results of the measurement of moves and their formatting as a table."""

import statistics
import typing
from collections import abc

from shallotwharf.core import records

_HEADER: typing.Final = (
    'deployment',
    'version',
    'policy',
    'moves',
    'in time',
    'taken back',
    'calls before',
    'after, median',
    'after, max',
)
_WIDTHS: typing.Final = (10, 24, 11, 5, 7, 10, 12, 13, 10)


class MoveRow(records.Record):
    """Result of one move.

    Attributes:
        deployment: name of the deployment.
        kind: name of the case, as in `move_cases.list_kinds`.
        policy: one of the `POLICY_` constants of `moves`.
        is_bad: whether the new version should be taken back.
        in_time: whether the share was full at all nodes by the due time.
        taken_back: whether the new version was taken back.
        calls_before: calls of the new version before its fault first had an
            effect.
        calls_after: calls of the new version from that call on.
    """

    __slots__ = (
        'deployment',
        'kind',
        'policy',
        'is_bad',
        'in_time',
        'taken_back',
        'calls_before',
        'calls_after',
    )

    def __init__(
        self,
        deployment: str,
        kind: str,
        policy: str,
        is_bad: bool,
        in_time: bool,
        taken_back: bool,
        calls_before: int,
        calls_after: int,
    ) -> None:
        self.deployment = deployment
        self.kind = kind
        self.policy = policy
        self.is_bad = is_bad
        self.in_time = in_time
        self.taken_back = taken_back
        self.calls_before = calls_before
        self.calls_after = calls_after


def format_rows(rows: abc.Sequence[MoveRow]) -> str:
    """Return a table with one line per deployment, kind and policy.

    `calls before` is the median of `calls_before`; `after` stands for
    `calls_after`.
    """
    groups: dict[tuple[str, ...], list[MoveRow]] = {}
    for row in rows:
        key = (row.deployment, row.kind, row.policy)
        groups.setdefault(key, []).append(row)
    lines = [
        (*key, *map(str, _summarize(group))) for key, group in groups.items()
    ]
    return '\n'.join(map(_format_line, [_HEADER, *lines]))


def format_totals(rows: abc.Sequence[MoveRow]) -> str:
    """Return one line per policy with the totals over all rows."""
    policies = dict.fromkeys(row.policy for row in rows)
    return '\n'.join(
        _format_total(policy, [row for row in rows if row.policy == policy])
        for policy in policies
    )


def _format_total(policy: str, rows: abc.Sequence[MoveRow]) -> str:
    good = [row for row in rows if not row.is_bad]
    bad = [row for row in rows if row.is_bad]
    return (
        f'{policy}: '
        f'{sum(row.in_time for row in good)} of {len(good)} good in time, '
        f'{sum(row.taken_back for row in good)} of them taken back; '
        f'{sum(row.taken_back for row in bad)} of {len(bad)} bad taken back'
    )


def _summarize(rows: abc.Sequence[MoveRow]) -> list[int]:
    after = [row.calls_after for row in rows]
    before = statistics.median(row.calls_before for row in rows)
    return [
        len(rows),
        sum(row.in_time for row in rows),
        sum(row.taken_back for row in rows),
        round(before),
        round(statistics.median(after)),
        max(after),
    ]


def _format_line(cells: abc.Iterable[str]) -> str:
    padded = [
        cell.ljust(width) if number < 3 else cell.rjust(width)
        for number, (cell, width) in enumerate(
            zip(cells, _WIDTHS, strict=True),
        )
    ]
    return ' '.join(padded)
