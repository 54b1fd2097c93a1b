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
    known: progress.Progress,
    expected: list[str],
    now: int,
    wall: int,
) -> messages.MoveStatus:
    """Return the status of a move."""
    ended = _ENDED.get(known.move.state)
    if ended is not None:
        return _build(known, ended, None, known.move.reason)
    if known.fault:
        detail = f'being taken back: {known.fault}'
        return _build(known, messages.STATUS_UNDER_WAY, None, detail)
    steps = known.plan()
    if not steps:
        return _build(known, messages.STATUS_UNDER_WAY, None, '')
    obstacle = ''
    if steps[0].at <= wall:
        obstacle = known.find_obstacle(expected, now)
    if obstacle:
        return _build(known, messages.STATUS_HELD, None, obstacle)
    forecast_at = max(steps[-1].at, wall)
    return _build(known, messages.STATUS_UNDER_WAY, forecast_at, '')


def _build(
    known: progress.Progress,
    name: str,
    forecast_at: int | None,
    detail: str,
) -> messages.MoveStatus:
    return messages.MoveStatus(
        known.move.move_id,
        known.move.pool,
        name,
        known.move.share,
        known.move.due_at,
        forecast_at,
        detail,
    )
