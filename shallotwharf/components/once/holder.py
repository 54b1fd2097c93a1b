"""Holder: the replica of the records of once-only calls on a node."""

import typing

from shallotwharf.components.once import (
    const,
    holder_messages,
    keys,
    replica_slots,
    store,
    wire,
)
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

Effects: typing.TypeAlias = list[effects.Effect]

_TICK: typing.Final = 'tick'


class Holder(aggregate.Aggregate):
    """Stores claims and results of once-only calls in memory.

    Args:
        local_node: name of this node.
        instance: random number that identifies the process.
        wall_offset: wall time less monotonic time at the start, in ms.
        controls: names of the control processes that reports are sent to.
    """

    name = 'once.holder'
    handlers = {
        core_messages.TimerFired: 'tick',
        tables_messages.VersionApplied: 'apply_version',
        wire.Claim: 'answer_claim',
        wire.Finish: 'finish',
        wire.Release: 'release',
        holder_messages.SlotState: 'accept_state',
        holder_messages.CopyRequest: 'send_page',
        holder_messages.CopyPage: 'accept_page',
    }

    __slots__ = (
        '_wall_offset',
        '_controls',
        '_slots',
        '_is_fresh',
        '_has_groups',
        '_reported_at',
    )

    def __init__(
        self,
        local_node: str,
        instance: int,
        wall_offset: int,
        controls: tuple[str, ...],
    ) -> None:
        self._wall_offset = wall_offset
        self._controls = controls
        self._slots = replica_slots.ReplicaSlots(local_node, instance)
        self._is_fresh = False
        self._has_groups = False
        self._reported_at: int | None = None

    def start(self, now: int) -> Effects:
        """Set the timer of the periodic state messages."""
        return [effects.SetTimer(_TICK, now + const.STATE_PERIOD_MS)]

    def apply_version(
        self,
        message: tables_messages.VersionApplied,
        _sender: str,
        now: int,
    ) -> Effects:
        """Apply the holder groups of a version."""
        groups = message.applied.holders
        # Only a process that never applied a version with groups is fresh.
        if not groups and not self._has_groups:
            self._is_fresh = True
        self._has_groups = self._has_groups or bool(groups)
        step = self._slots.apply_groups(groups, self._is_fresh, now)
        if groups:
            self._is_fresh = False
        return [*step, self._set_tick(now)]

    def answer_claim(
        self,
        message: wire.Claim,
        sender: str,
        now: int,
    ) -> Effects:
        """Send the verdict on a claim."""
        verdict, result = self._decide_verdict(message, now)
        answer = wire.ClaimAnswered(message.token, verdict, result)
        return [
            effects.Send(sender, answer),
            effects.Count(f'once.claim.{verdict}'),
        ]

    def finish(
        self,
        message: wire.Finish,
        sender: str,
        now: int,
    ) -> Effects:
        """Store the result of a call."""
        slot = self._slots.find(message.group)
        if slot is None:
            return []
        slot.records.finish(message, now)
        return [effects.Send(sender, wire.Recorded(message.token))]

    def release(
        self,
        message: wire.Release,
        sender: str,
        _now: int,
    ) -> Effects:
        """Drop the claim of an attempt that did not run."""
        slot = self._slots.find(message.group)
        if slot is not None:
            slot.records.release(message.key, message.token)
        return [effects.Send(sender, wire.Recorded(message.token))]

    def accept_state(
        self,
        message: holder_messages.SlotState,
        sender: str,
        now: int,
    ) -> Effects:
        """Record the state of another member and reply if it is not settled."""
        slot = self._slots.find(message.group)
        if slot is None:
            return []
        slot.record_state(message, sender, now)
        if slot.settled:
            if message.settled:
                return []
            return [effects.Send(sender, slot.build_state())]
        return self._slots.advance(slot, now)

    def send_page(
        self,
        message: holder_messages.CopyRequest,
        sender: str,
        now: int,
    ) -> Effects:
        """Send a page of records."""
        slot = self._slots.find(message.group)
        if slot is None or not slot.settled or slot.epoch != message.epoch:
            return []
        page = slot.records.read_page(message.after, now)
        reply = holder_messages.CopyPage(
            message.group,
            message.number,
            message.after,
            tuple(_copy_entry(entry, now) for entry in page),
            page[-1].position if page else message.after,
            len(page) < const.MAX_PAGE_RECORDS,
        )
        return [effects.Send(sender, reply)]

    def accept_page(
        self,
        message: holder_messages.CopyPage,
        sender: str,
        now: int,
    ) -> Effects:
        """Store a page of records and request the next one."""
        return self._slots.accept_page(message, sender, now)

    def tick(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> Effects:
        """Send the state of this holder to the other members and to control."""
        step: Effects = []
        for slot in self._slots.list_all():
            slot.records.expire(now)
            step.extend(replica_slots.send_state(slot))
            step.extend(self._slots.advance(slot, now))
        if self._is_report_due(now):
            self._reported_at = now
            step.extend(self._send_reports())
        step.append(self._set_tick(now))
        return step

    def _decide_verdict(
        self,
        claim: wire.Claim,
        now: int,
    ) -> tuple[str, wire.Result | None]:
        slot = self._slots.find(claim.group)
        if slot is None or slot.epoch != claim.epoch:
            return const.VERDICT_GROUP_CHANGED, None
        slot.records.expire(now)
        entry = slot.records.find(claim.key)
        if entry is not None:
            return _decide_recorded(entry, claim)
        if not slot.settled:
            return const.VERDICT_ABSTAINING, None
        age_ms = now + self._wall_offset - keys.read_time(claim.key)
        if (
            not -const.HOLDER_MAX_KEY_AHEAD_MS
            <= age_ms
            <= const.HOLDER_MAX_KEY_AGE_MS
        ):
            return const.VERDICT_KEY_EXPIRED, None
        return slot.records.claim(claim, now), None

    def _is_report_due(self, now: int) -> bool:
        period = const.REPORT_PERIOD_MS
        if self._is_fresh:
            period = const.FIRST_REPORT_PERIOD_MS
        return self._reported_at is None or now >= self._reported_at + period

    def _send_reports(self) -> Effects:
        if not self._slots.list_all() and not self._is_fresh:
            return []
        report = holder_messages.HolderReport(
            tuple(
                holder_messages.SlotReport(
                    slot.group,
                    slot.epoch,
                    slot.settled,
                    slot.sealed,
                )
                for slot in self._slots.list_all()
            ),
            self._is_fresh,
        )
        return [effects.Send(control, report) for control in self._controls]

    def _set_tick(self, now: int) -> effects.Effect:
        is_waiting = not self._has_groups or any(
            not (slot.settled and slot.sealed)
            for slot in self._slots.list_all()
        )
        period = const.SETTLED_STATE_PERIOD_MS
        if is_waiting:
            period = const.STATE_PERIOD_MS
        return effects.SetTimer(_TICK, now + period)


def _decide_recorded(
    entry: store.Entry,
    claim: wire.Claim,
) -> tuple[str, wire.Result | None]:
    """Return the verdict on a claim of a key that has a record."""
    if entry.digest != claim.digest:
        return const.VERDICT_KEY_REUSED, None
    if entry.result is not None:
        return const.VERDICT_FINISHED, entry.result
    if entry.token == claim.token:
        return const.VERDICT_GRANTED, None
    return const.VERDICT_CLAIMED, None


def _copy_entry(entry: store.Entry, now: int) -> holder_messages.CopiedRecord:
    return holder_messages.CopiedRecord(
        entry.key,
        entry.digest,
        entry.token,
        entry.expires_at - now,
        _drop_large_body(entry.result),
    )


def _drop_large_body(result: wire.Result | None) -> wire.Result | None:
    if result is None or len(result.body) <= const.MAX_COPY_BODY_BYTES:
        return result
    return result.replace(body=b'', body_complete=False)
