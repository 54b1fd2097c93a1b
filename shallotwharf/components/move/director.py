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
        '_ticking',
    )

    name = 'move.director'
    handlers = {
        tables_messages.VersionAccepted: 'accept_version',
        replica_messages.LeaderChanged: 'change_leader',
        messages.DatacentreEvidence: 'merge',
        messages.FenceRaised: 'note_fence',
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
        self._ticking = False

    def start(self, now: int) -> list[effects.Effect]:
        """Return no effects; the first accepted version starts the timer."""
        return []

    def list_statuses(self) -> tuple[messages.MoveStatus, ...]:
        """Return the status of each move, ordered by pool."""
        now, wall = self._clock.read(), self._clock.read_wall()
        expected = self._datacentres.list_expected()
        statuses = [
            status.describe(known, expected, now, wall)
            for known in self._moves.values()
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
        before = self._moves
        self._moves = {}
        for move in message.accepted.moves:
            known = before.get(move.move_id)
            if known is None:
                first_share = schedule.find_first_share(
                    message.accepted.tables,
                    move.pool,
                )
                known = progress.Progress(move, first_share, now, wall)
            elif known.move != move:
                known.apply(move, now, wall)
                self._proposed_at.pop((move.move_id, False), None)
            self._moves[move.move_id] = known
        if not self._ticking:
            self._datacentres.begin(now)
        return self._keep_ticking(now)

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
        known = self._moves.get(message.move_id)
        if known is not None:
            self._datacentres.hear(message.datacentre, now)
            known.accept(
                sender,
                message.datacentre,
                (message.generation, message.sequence),
                message.rows,
                now,
            )
        return []

    def note_fence(
        self,
        message: messages.FenceRaised,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Propose the take-back of a fenced move."""
        known = self._moves.get(message.move_id)
        if known is None:
            return []
        known.fault = known.fault or f'{message.reason} by {message.origin}'
        return self._propose(known, now)

    def close_slice(
        self,
        message: core_messages.TimerFired,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Judge the evidence of the last slice and propose due steps."""
        self._ticking = False
        self._datacentres.find_lost(now)
        step: list[effects.Effect] = []
        for known in self._moves.values():
            if known.is_active:
                known.close_slice(now)
                step.extend(self._propose(known, now))
        return [*step, *self._keep_ticking(now)]

    def _propose(
        self,
        known: progress.Progress,
        now: int,
    ) -> list[effects.Effect]:
        if self._leading_since is None or not known.is_open:
            return []
        # A take-back does not wait for the outcome of a proposed step.
        key = (known.move.move_id, bool(known.fault))
        proposed_at = self._proposed_at.get(key)
        if proposed_at is not None:
            if now - proposed_at < known.pace.retry_ms:
                return []
        # Steps that the previous leader proposed may not be committed yet.
        settling = now - self._leading_since < known.pace.settle_ms
        if settling and not known.fault:
            return []
        expected = self._datacentres.list_expected()
        command = known.decide(expected, now, self._clock.read_wall())
        if command is None:
            return self._report_obstacle(known, expected, now)
        self._proposed_at[key] = now
        return [
            effects.Publish(replica_messages.Propose('', command)),
            effects.Count(f'move.proposed.{type(command).__name__}'),
            effects.Report(
                'move_proposed',
                {
                    'move': known.move.move_id,
                    'step': command.tag,
                    'share': getattr(command, 'share', 0),
                    'reason': getattr(command, 'reason', ''),
                },
            ),
        ]

    def _report_obstacle(
        self,
        known: progress.Progress,
        expected: list[str],
        now: int,
    ) -> list[effects.Effect]:
        """Log the obstacle to the next step when it changes."""
        obstacle = known.find_obstacle(expected, now)
        if obstacle == known.obstacle:
            return []
        known.obstacle = obstacle
        fields = {'move': known.move.move_id, 'obstacle': obstacle}
        return [effects.Report('move_obstacle', fields)]

    def _keep_ticking(self, now: int) -> list[effects.Effect]:
        ticks = [
            known.pace.tick_ms
            for known in self._moves.values()
            if known.is_active
        ]
        if self._ticking or not ticks:
            return []
        self._ticking = True
        return [effects.SetTimer(_TIMER_SLICE, now + min(ticks))]


def _read_pool(described: messages.MoveStatus) -> str:
    return described.pool
