"""Status of moves as shown to operators."""

import types
import typing

from shallotwharf.components.move import messages, progress
from shallotwharf.components.tables import version

_ENDED: typing.Final = types.MappingProxyType(
    {
        version.STATE_DONE: messages.STATUS_DONE,
        version.STATE_TAKEN_BACK: messages.STATUS_TAKEN_BACK,
    },
)


def describe(
    move_progress: progress.Progress,
    expected: list[str],
    now: int,
    wall: int,
) -> messages.MoveStatus:
    """Return the status of a move."""
    ended = _ENDED.get(move_progress.move.state)
    if ended is not None:
        return _build(move_progress, ended, None, move_progress.move.reason)
    if move_progress.fault:
        detail = f'being taken back: {move_progress.fault}'
        return _build(move_progress, messages.STATUS_UNDER_WAY, None, detail)
    steps = move_progress.plan()
    if not steps:
        return _build(move_progress, messages.STATUS_UNDER_WAY, None, '')
    obstacle = ''
    if steps[0].at <= wall:
        obstacle = move_progress.find_obstacle(expected, now)
    if obstacle:
        return _build(move_progress, messages.STATUS_HELD, None, obstacle)
    forecast_at = max(steps[-1].at, wall)
    return _build(move_progress, messages.STATUS_UNDER_WAY, forecast_at, '')


def _build(
    move_progress: progress.Progress,
    name: str,
    forecast_at: int | None,
    detail: str,
) -> messages.MoveStatus:
    return messages.MoveStatus(
        move_progress.move.move_id,
        move_progress.move.pool,
        name,
        move_progress.move.share,
        move_progress.move.due_at,
        forecast_at,
        detail,
    )
