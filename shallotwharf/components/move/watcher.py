"""Aggregate of a node that judges new versions and fences bad ones."""

import typing

from shallotwharf.components.membership import messages as membership_messages
from shallotwharf.components.move import const, fences, messages, watch
from shallotwharf.components.roster import messages as roster
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import version
from shallotwharf.core import (
    aggregate,
    effects,
    rendezvous,
)
from shallotwharf.core import messages as core_messages

_TIMER_SLICE: typing.Final = 'slice'


class Watcher(aggregate.Aggregate):
    """Collects and judges the evidence of a data centre without control.

    Each node reports to the move's collector, which is one of the relays. The
    evidence of this node and that of the data centre are judged separately.

    Args:
        name: name of this process.
        datacentre: name of its data centre.
        control: names of the control processes.
        generation: differs after each restart, such as the wall time of
            the start in milliseconds.
    """

    __slots__ = (
        '_name',
        '_datacentre',
        '_control',
        '_generation',
        '_sequence',
        '_relays',
        '_watches',
        '_moves',
        '_fences',
        '_timer_running',
        '_slices',
    )

    name = 'move.watcher'
    handlers = {
        tables_messages.VersionApplied: 'apply_version',
        membership_messages.MembersChanged: 'change_members',
        messages.NodeEvidence: 'collect',
        roster.ControlChanged: 'change_control',
        messages.FenceRaised: 'record_fence',
        core_messages.TimerFired: 'close_slice',
    }

    def __init__(
        self,
        name: str,
        datacentre: str,
        control: tuple[str, ...],
        generation: int,
    ) -> None:
        self._name = name
        self._datacentre = datacentre
        self._control = control
        self._generation = generation
        self._sequence = 0
        self._relays = [name]
        self._watches: dict[str, watch.Watch] = {}
        self._moves: tuple[version.Move, ...] = ()
        self._fences = fences.Fences()
        self._timer_running = False
        self._slices = 0

    def start(self, now: int) -> list[effects.Effect]:
        """Return no effects; the first applied version starts the timer."""
        return []

    def observe(
        self,
        route: str,
        pool: str,
        upstream_version: str,
        outcome: str,
        duration_ms: float,
        now: int,
    ) -> None:
        """Count the result of one attempt; called for each of them.

        `outcome` is one of the `OUTCOME_` names of `move.evidence`. The
        caller leaves out attempts that certainly did not run, which are no
        evidence.
        """
        watched = self._watches.get(pool)
        if watched is not None:
            watched.local.calls.count(
                route,
                upstream_version,
                outcome,
                duration_ms,
            )

    def is_fenced(self, move_id: str) -> bool:
        """Return whether the new version of a move gets no traffic."""
        return self._fences.is_fenced(move_id)

    def apply_version(
        self,
        message: tables_messages.VersionApplied,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Update the moves from a version that this node applied."""
        applied = message.applied
        self._moves = applied.moves
        self._fences.update_moves(applied.moves, now)
        previous = self._watches
        self._watches = {}
        for move in watch.select_active(applied.moves):
            served = applied.find_pool(move.pool)
            if served is None or self._fences.is_fenced(move.move_id):
                continue
            watched = previous.get(move.pool)
            if watched is None or watched.move.move_id != move.move_id:
                watched = watch.Watch(move, served.slow_ms)
            watched.apply(move)
            self._watches[move.pool] = watched
        return self._start_timer(now)

    def change_members(
        self,
        message: membership_messages.MembersChanged,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Update the relays of the data centre."""
        names = {member.name for member in message.members}
        names.add(self._name)
        ranked = rendezvous.rank_members(self._datacentre, names)
        self._relays = ranked[: const.RELAYS_PER_DATACENTRE]
        return []

    def change_control(
        self,
        message: roster.ControlChanged,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Update the control processes that receive reports."""
        self._control = message.roster.list_names()
        return []

    def collect(
        self,
        message: messages.NodeEvidence,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Add the evidence of a node of this data centre."""
        for watched in self._watches.values():
            if watched.move.move_id == message.move_id:
                watched.collected.add_report(message, sender)
        return []

    def record_fence(
        self,
        message: messages.FenceRaised,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Store a fence and stop judging its version."""
        if not self._fences.add(message, now):
            return []
        # Marks the fence as seen if the present version contains its move.
        self._fences.update_moves(self._moves, now)
        watched = self._watches.get(message.pool)
        if watched is not None and watched.move.move_id == message.move_id:
            self._watches.pop(message.pool)
        return [effects.Count('move.fences')]

    def close_slice(
        self,
        message: core_messages.TimerFired,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Judge and report the evidence of the last slice."""
        self._timer_running = False
        emitted: list[effects.Effect] = []
        for watched in list(self._watches.values()):
            emitted.extend(self._report_calls(watched, now))
            emitted.extend(self._report_summary(watched, now))
            fault = watched.find_fault()
            if fault:
                emitted.extend(self._raise_fence(watched.move, fault, now))
        return [*emitted, *self._repeat_fences(), *self._start_timer(now)]

    def _report_calls(
        self,
        watched: watch.Watch,
        now: int,
    ) -> list[effects.Effect]:
        rows = watched.local.close_slice(watched.move.share, now)
        if not rows:
            return []
        collector = self._find_collector(watched.move.pool)
        self._sequence += 1
        report = messages.NodeEvidence(
            watched.move.move_id,
            self._generation,
            self._sequence,
            rows,
            watched.local.pop_history(collector),
        )
        if collector == self._name:
            watched.collected.add_report(report, self._name)
            return []
        return [effects.Send(collector, report)]

    def _report_summary(
        self,
        watched: watch.Watch,
        now: int,
    ) -> list[effects.Effect]:
        if not watched.collected.close_slice(watched.move.share, now):
            return []
        rows = watched.collected.drain_summary()
        # A summary without calls shows that the data centre is reachable.
        if not rows and self._find_collector(watched.move.pool) != self._name:
            return []
        self._sequence += 1
        return self._send_to_control(
            messages.DatacentreEvidence(
                watched.move.move_id,
                self._datacentre,
                self._generation,
                self._sequence,
                rows,
            ),
        )

    def _raise_fence(
        self,
        move: version.Move,
        fault: str,
        now: int,
    ) -> list[effects.Effect]:
        fence = messages.FenceRaised(
            move.move_id,
            move.pool,
            move.to_version,
            f'{fault} ({self._datacentre})',
            self._name,
        )
        recorded = self.record_fence(fence, self._name, now)
        broadcast = membership_messages.Broadcast(
            f'move.fence/{move.move_id}',
            membership_messages.SCOPE_EVERYWHERE,
            fence,
            const.FENCE_LIFETIME_MS,
        )
        return [
            *recorded,
            effects.Publish(fence),
            effects.Publish(broadcast),
            *self._send_to_control(fence),
            effects.Report(
                'fence_raised',
                {'move': move.move_id, 'pool': move.pool, 'reason': fault},
            ),
        ]

    def _repeat_fences(self) -> list[effects.Effect]:
        # Control may have been unreachable when the fence was raised.
        self._slices += 1
        if self._slices % const.SLICES_PER_SUMMARY:
            return []
        emitted: list[effects.Effect] = []
        for fence in self._fences.list_unrecorded(self._moves):
            if self._find_collector(fence.pool) == self._name:
                emitted.extend(self._send_to_control(fence))
        return emitted

    def _send_to_control(
        self,
        message: core_messages.Message,
    ) -> list[effects.Effect]:
        return [effects.Send(peer, message) for peer in self._control]

    def _find_collector(self, pool: str) -> str:
        return rendezvous.rank_members(pool, self._relays)[0]

    def _start_timer(self, now: int) -> list[effects.Effect]:
        unrecorded = self._fences.list_unrecorded(self._moves)
        if self._timer_running or not (self._watches or unrecorded):
            return []
        self._timer_running = True
        return [effects.SetTimer(_TIMER_SLICE, now + const.SLICE_MS)]
