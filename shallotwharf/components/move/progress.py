"""State of one move in a control process, and its next step."""

from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.move import (
    const,
    evidence,
    obstacles,
    schedule,
    timetable,
    verdict,
    watch,
)
from shallotwharf.components.tables import const as tables_const
from shallotwharf.components.tables import version
from shallotwharf.core import messages


class Progress:
    """Evidence on a move from all data centres, and its schedule.

    Times named `wall` are milliseconds since the epoch; `now` is on the
    monotonic clock.

    Attributes:
        fault: the evidence that shows the new version bad; else empty.
        obstacle: the last obstacle that was logged.
    """

    __slots__ = (
        'move',
        'fault',
        'trial',
        'traffic',
        'obstacle',
        '_first_share',
        '_since',
        '_slack_ms',
        '_timetable',
        '_wall_offset_ms',
        '_incoming',
        '_sequences',
        '_blocked_since',
    )

    def __init__(
        self,
        move: version.Move,
        first_share: int,
        now: int,
        wall: int,
    ) -> None:
        self.move = move
        self.fault = ''
        self._timetable = timetable.build_timetable(move, wall)
        # The wall clock may jump, so the times of a period of seconds are read
        # from the monotonic clock with this offset.
        self._wall_offset_ms = wall - now
        self.trial = verdict.Trial(1, self._timetable)
        self.traffic = obstacles.Traffic(now)
        self.obstacle = ''
        self._first_share = first_share
        self._since = wall
        self._slack_ms = schedule.compute_slack(move.due_at - wall)
        self._incoming = evidence.Slice()
        self._sequences = watch.Sequences()
        self._blocked_since: int | None = None

    @property
    def is_active(self) -> bool:
        """Return whether control still steps or judges the move."""
        return self.move.state in watch.ACTIVE_STATES

    @property
    def may_propose(self) -> bool:
        """Return whether control may have to propose a command.

        The fence of a data centre that was isolated may arrive after the move
        is done.
        """
        late = self.fault and self.move.state == version.STATE_DONE
        return self.is_active or bool(late)

    @property
    def timetable(self) -> timetable.Timetable:
        """Return the timetable of the move."""
        return self._timetable

    def apply(self, move: version.Move, now: int, wall: int) -> None:
        """Update the move from a newly accepted version."""
        previous = self.move
        wall = self._read_wall(now, wall)
        self.move = move
        changed = move.state != previous.state
        if move.due_at != previous.due_at:
            self._slack_ms = schedule.compute_slack(move.due_at - wall)
        if move.share != previous.share:
            self.trial.reset_exposure()
            self.traffic.restart()
            self._blocked_since = None
            self._since = wall
        elif changed and move.state == version.STATE_WATCHING:
            self._since = wall

    def add_report(
        self,
        sender: str,
        datacentre: str,
        position: tuple[int, int],
        rows: tuple[evidence.Row, ...],
        now: int,
    ) -> None:
        """Add a data centre's report unless it is a duplicate.

        `position` is the sender's generation and sequence.
        """
        if self._sequences.accept(sender, *position):
            self.traffic.add_report(
                datacentre, evidence.find_overall(rows), now
            )
            self._incoming.merge(rows)

    def close_slice(self, now: int) -> None:
        """Judge the evidence that arrived since the last slice."""
        rows = self._incoming.drain()
        self.traffic.measure(evidence.find_overall(rows), now)
        if rows:
            self.trial.update(rows, self.move.share, now)
            self.fault = self.fault or self.trial.fault

    def plan(self) -> tuple[schedule.Step, ...]:
        """Return the steps that remain."""
        return self._timetable.plan_steps(self._read_position())

    def decide(
        self,
        expected: list[str],
        now: int,
        wall: int,
    ) -> messages.Message | None:
        """Return the command to propose, or None.

        `expected` names the data centres whose evidence is required.
        """
        timestamp = wall
        wall = self._read_wall(now, wall)
        if self.fault:
            return ledger_messages.TakeBack(
                self.move.move_id,
                self.fault,
                timestamp,
            )
        if self.move.share >= tables_const.FULL_SHARE:
            return self._finish(expected, now, wall)
        next_step = self.plan()[0]
        if wall < next_step.at:
            return None
        reason = self.find_obstacle(expected, now)
        if reason:
            return self._hold(reason, now, wall)
        state = version.STATE_STEPPING
        if next_step.share == tables_const.FULL_SHARE:
            state = version.STATE_FULL
        return self._step(next_step.share, state, '', wall)

    def find_obstacle(self, expected: list[str], now: int) -> str:
        """Return why the next step is blocked; empty if it is not."""
        shares = [step.share for step in self.plan()[:1]]
        if self.trial.read_level() > obstacles.SUSPICIOUS_LEVEL:
            return 'evidence against the new version is growing'
        return self.traffic.find_obstacle(
            expected,
            self.move.share,
            shares[0] if shares else tables_const.FULL_SHARE,
            now,
        )

    def _finish(
        self,
        expected: list[str],
        now: int,
        wall: int,
    ) -> messages.Message | None:
        state = version.STATE_WATCHING
        begins_at = self._since + self._timetable.full_ms
        if self.move.state == version.STATE_WATCHING:
            state = version.STATE_DONE
            begins_at = self._timetable.find_done_at(self._read_position())
        if wall < begins_at or self.find_obstacle(expected, now):
            return None
        return self._step(tables_const.FULL_SHARE, state, '', wall)

    def _read_wall(self, now: int, wall: int) -> int:
        return now + self._wall_offset_ms if self.move.period_ms else wall

    def _read_position(self) -> schedule.Position:
        return schedule.Position(
            self.move.share,
            self._since,
            self.move.due_at - self._slack_ms,
            self._first_share,
            self.traffic.calls_per_second,
        )

    def _hold(
        self,
        reason: str,
        now: int,
        wall: int,
    ) -> messages.Message | None:
        if self._blocked_since is None:
            self._blocked_since = now
        recorded = (version.STATE_HELD, reason)
        if (self.move.state, self.move.reason) == recorded:
            return None
        if now - self._blocked_since < const.HOLD_RECORD_MS:
            return None
        return self._step(self.move.share, version.STATE_HELD, reason, wall)

    def _step(
        self,
        share: int,
        state: str,
        reason: str,
        wall: int,
    ) -> ledger_messages.StepMove:
        return ledger_messages.StepMove(
            self.move.move_id,
            share,
            state,
            reason,
            wall,
        )
