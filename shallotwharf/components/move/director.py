"""Aggregate of control that proposes the steps and take-backs of moves."""

import typing

from shallotwharf.components.move import (
    datacentres,
    messages,
    progress,
    schedule,
    status,
)
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.core import aggregate, clock, effects
from shallotwharf.core import messages as core_messages

_TIMER_SLICE: typing.Final = 'slice'


class Director(aggregate.Aggregate):
    """Merges evidence on every control process; only the leader proposes.

    Args:
        process_clock: provides the wall time, to which due times refer.
        expected: names of the data centres whose evidence is required before
            they have reported for the first time.
    """

    __slots__ = (
        '_clock',
        '_datacentres',
        '_moves',
        '_leading_since',
        '_proposed_at',
        '_timer_running',
    )

    name = 'move.director'
    handlers = {
        tables_messages.VersionAccepted: 'accept_version',
        replica_messages.LeaderChanged: 'change_leader',
        messages.DatacentreEvidence: 'merge',
        messages.FenceRaised: 'record_fence',
        core_messages.TimerFired: 'close_slice',
    }

    def __init__(
        self,
        process_clock: clock.Clock,
        expected: tuple[str, ...] = (),
    ) -> None:
        self._clock = process_clock
        self._datacentres = datacentres.Datacentres(expected)
        self._moves: dict[str, progress.Progress] = {}
        self._leading_since: int | None = None
        self._proposed_at: dict[tuple[str, bool], int] = {}
        self._timer_running = False

    def start(self, now: int) -> list[effects.Effect]:
        """Return no effects; the first accepted version starts the timer."""
        return []

    def list_statuses(self) -> tuple[messages.MoveStatus, ...]:
        """Return the status of each move, ordered by pool."""
        now, wall = self._clock.read(), self._clock.read_wall()
        expected = self._datacentres.list_expected()
        statuses = [
            status.describe(move_progress, expected, now, wall)
            for move_progress in self._moves.values()
        ]
        return tuple(sorted(statuses, key=_read_pool))

    def accept_version(
        self,
        message: tables_messages.VersionAccepted,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Update the moves from a committed version."""
        wall = self._clock.read_wall()
        self._datacentres.replace_evacuated(message.accepted.evacuated, now)
        before = self._moves
        self._moves = {}
        for move in message.accepted.moves:
            move_progress = before.get(move.move_id)
            if move_progress is None:
                first_share = schedule.find_first_share(
                    message.accepted.tables,
                    move.pool,
                )
                move_progress = progress.Progress(move, first_share, now, wall)
            elif move_progress.move != move:
                move_progress.apply(move, now, wall)
                self._proposed_at.pop((move.move_id, False), None)
            self._moves[move.move_id] = move_progress
        if not self._timer_running:
            self._datacentres.reset(now)
        return self._start_timer(now)

    def change_leader(
        self,
        message: replica_messages.LeaderChanged,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Record whether this process leads."""
        if not message.leading:
            self._leading_since = None
        elif self._leading_since is None:
            self._leading_since = now
            self._proposed_at = {}
        return []

    def merge(
        self,
        message: messages.DatacentreEvidence,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Add the evidence of a data centre."""
        move_progress = self._moves.get(message.move_id)
        if move_progress is not None:
            self._datacentres.record_report(message.datacentre, now)
            move_progress.add_report(
                sender,
                message.datacentre,
                (message.generation, message.sequence),
                message.rows,
                now,
            )
        return []

    def record_fence(
        self,
        message: messages.FenceRaised,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Propose the take-back of a fenced move."""
        move_progress = self._moves.get(message.move_id)
        if move_progress is None:
            return []
        move_progress.fault = (
            move_progress.fault or f'{message.reason} by {message.origin}'
        )
        return self._propose(move_progress, now)

    def close_slice(
        self,
        message: core_messages.TimerFired,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Judge the evidence of the last slice and propose due steps."""
        self._timer_running = False
        self._datacentres.mark_lost(now)
        emitted: list[effects.Effect] = []
        for move_progress in self._moves.values():
            if move_progress.is_active:
                move_progress.close_slice(now)
                emitted.extend(self._propose(move_progress, now))
        return [*emitted, *self._start_timer(now)]

    def _propose(
        self,
        move_progress: progress.Progress,
        now: int,
    ) -> list[effects.Effect]:
        if self._leading_since is None or not move_progress.may_propose:
            return []
        # A take-back does not wait for the outcome of a proposed step.
        key = (move_progress.move.move_id, bool(move_progress.fault))
        proposed_at = self._proposed_at.get(key)
        if proposed_at is not None:
            if now - proposed_at < move_progress.timetable.retry_ms:
                return []
        # Steps that the previous leader proposed may not be committed yet.
        settling = now - self._leading_since < move_progress.timetable.settle_ms
        if settling and not move_progress.fault:
            return []
        expected = self._datacentres.list_expected()
        command = move_progress.decide(expected, now, self._clock.read_wall())
        if command is None:
            return self._report_obstacle(move_progress, expected, now)
        self._proposed_at[key] = now
        return [
            effects.Publish(replica_messages.Propose('', command)),
            effects.Count(f'move.proposed.{type(command).__name__}'),
            effects.Report(
                'move_proposed',
                {
                    'move': move_progress.move.move_id,
                    'step': command.tag,
                    'share': getattr(command, 'share', 0),
                    'reason': getattr(command, 'reason', ''),
                },
            ),
        ]

    def _report_obstacle(
        self,
        move_progress: progress.Progress,
        expected: list[str],
        now: int,
    ) -> list[effects.Effect]:
        """Log the obstacle to the next step when it changes."""
        obstacle = move_progress.find_obstacle(expected, now)
        if obstacle == move_progress.obstacle:
            return []
        move_progress.obstacle = obstacle
        fields = {'move': move_progress.move.move_id, 'obstacle': obstacle}
        return [effects.Report('move_obstacle', fields)]

    def _start_timer(self, now: int) -> list[effects.Effect]:
        ticks = [
            move_progress.timetable.tick_ms
            for move_progress in self._moves.values()
            if move_progress.is_active
        ]
        if self._timer_running or not ticks:
            return []
        self._timer_running = True
        return [effects.SetTimer(_TIMER_SLICE, now + min(ticks))]


def _read_pool(described: messages.MoveStatus) -> str:
    return described.pool
