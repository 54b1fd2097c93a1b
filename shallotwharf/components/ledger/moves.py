"""Moves that are declared in the tables or ordered, and their steps."""

import typing

from shallotwharf.components.ledger import const, messages
from shallotwharf.components.tables import const as tables_const
from shallotwharf.components.tables import pool, version

# States that `StepMove` may set; `TakeBack` sets `STATE_TAKEN_BACK`.
_STEP_STATES: typing.Final = frozenset(
    (
        version.STATE_PENDING,
        version.STATE_STEPPING,
        version.STATE_FULL,
        version.STATE_WATCHING,
        version.STATE_DONE,
        version.STATE_HELD,
    ),
)
_FINAL_STATES: typing.Final = frozenset(
    (version.STATE_DONE, version.STATE_TAKEN_BACK),
)


def build_ordered_moves(
    current: version.Version,
    command: messages.OrderMove,
) -> tuple[version.Move, ...]:
    """Return the moves that an order adds; none if it is a repetition."""
    return tuple(
        version.Move(
            f'{current.number + 1}-{row.name}',
            row.name,
            _find_served_version(row),
            command.to_version,
            command.at + command.period_ms,
            period_ms=command.period_ms,
            ordered_at=command.at,
        )
        for row in current.tables.pools
        if row.service == command.service
        and not _is_repetition(current.find_move(row.name), command)
    )


def find_split_pool(tables: version.Tables, service: str) -> str:
    """Return a pool of a service with several weighted versions, or ''.

    A move has one old version; the others would get no calls.
    """
    for row in tables.pools:
        weighted = [name for name, weight in row.weights.items() if weight]
        if row.service == service and len(weighted) > 1:
            return row.name
    return ''


def _is_repetition(
    existing: version.Move | None,
    command: messages.OrderMove,
) -> bool:
    if existing is None or existing.to_version != command.to_version:
        return False
    age_ms = abs(command.at - existing.ordered_at)
    return is_open(existing) or age_ms < const.ORDER_REPEAT_WINDOW_MS


def derive_version(
    current: version.Version,
    tables: version.Tables,
) -> version.Version:
    """Return the version after `current`, with new tables."""
    number = current.number + 1
    return version.Version(
        number,
        tables,
        derive_moves(current, tables, number),
        current.holders,
        current.evacuated,
    )


def derive_moves(
    current: version.Version,
    tables: version.Tables,
    number: int,
) -> tuple[version.Move, ...]:
    """Return the moves of version `number` with new tables.

    A declared move exists as long as its declaration is in the table of
    pools, an ordered move as long as its pool.
    """
    existing = {move.pool: move for move in current.moves}
    derived = [
        _derive_move(row, row.move, existing.get(row.name), number)
        for row in tables.pools
        if row.move is not None
    ]
    declared = {move.pool for move in derived}
    names = {row.name for row in tables.pools}
    kept = [
        move
        for move in current.moves
        if move.ordered_at and move.pool in names - declared
    ]
    return (*derived, *kept)


def find_move(
    current: version.Version,
    move_id: str,
) -> version.Move | None:
    """Return the move with an id; None if there is none."""
    for move in current.moves:
        if move.move_id == move_id:
            return move
    return None


def is_open(move: version.Move | None) -> bool:
    """Return whether a move may be stepped."""
    return move is not None and move.state not in _FINAL_STATES


def is_valid_step(move: version.Move, command: messages.StepMove) -> bool:
    """Return whether a step is allowed; the share never decreases."""
    return (
        move.share <= command.share <= tables_const.FULL_SHARE
        and command.state in _STEP_STATES
    )


def replace_move(
    current: version.Version,
    changed: version.Move,
) -> version.Version:
    """Return the version after `current`, with one move changed."""
    others = [move for move in current.moves if move.pool != changed.pool]
    return current.replace(
        number=current.number + 1,
        moves=(*others, changed),
    )


def _derive_move(
    row: pool.Pool,
    declared: pool.MoveDeclaration,
    existing: version.Move | None,
    number: int,
) -> version.Move:
    served = _find_served_version(row)
    if existing is not None and _matches_declaration(
        existing,
        declared,
        served,
    ):
        return existing.replace(due_at=declared.due_at)
    return version.Move(
        f'{number}-{row.name}',
        row.name,
        served,
        declared.to_version,
        declared.due_at,
    )


def _matches_declaration(
    existing: version.Move,
    declared: pool.MoveDeclaration,
    served: str,
) -> bool:
    """Return whether an existing move belongs to a declaration.

    A new due time alone does not restart a running move. If the move was
    taken back, a new due time declares another move.
    """
    if existing.from_version != served:
        return False
    if existing.to_version != declared.to_version:
        return False
    if existing.state == version.STATE_TAKEN_BACK:
        return existing.due_at == declared.due_at
    return True


def _find_served_version(row: pool.Pool) -> str:
    # A pool that moves has one version with all the weight, or no weights.
    return max(
        row.weights,
        key=lambda name: (row.weights[name], name),
        default=version.ANY_VERSION,
    )
