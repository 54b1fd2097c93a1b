"""Holder: the replica of the records of once-only calls on a node."""

import typing

from shallotwharf.components.once import const, keys, peers, seats, store, wire
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

Effects: typing.TypeAlias = list[effects.Effect]

_TICK: typing.Final = 'tick'


class Holder(aggregate.Aggregate):
    """Stores claims and results of once-only calls in memory.

    Args:
        own_name: name of this node.
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
        peers.Peek: 'accept_peek',
        peers.Copy: 'answer_copy',
        peers.Copied: 'accept_copied',
    }

    __slots__ = (
        '_wall_offset',
        '_controls',
        '_seats',
        '_saw_empty',
        '_has_groups',
        '_reported_at',
    )

    def __init__(
        self,
        own_name: str,
        instance: int,
        wall_offset: int,
        controls: tuple[str, ...],
    ) -> None:
        self._wall_offset = wall_offset
        self._controls = controls
        self._seats = seats.Seats(own_name, instance)
        self._saw_empty = False
        self._has_groups = False
        self._reported_at: int | None = None

    def start(self, now: int) -> Effects:
        """Set the timer of the periodic state messages."""
        return [effects.SetTimer(_TICK, now + const.PEEK_PERIOD_MS)]

    def apply_version(
        self,
        message: tables_messages.VersionApplied,
        _sender: str,
        now: int,
    ) -> Effects:
        """Apply the holder groups of a version."""
        groups = message.applied.holders
        # Only a process that never had groups can be fresh in the first ones.
        if not groups and not self._has_groups:
            self._saw_empty = True
        self._has_groups = self._has_groups or bool(groups)
        step = self._seats.apply_groups(groups, self._saw_empty, now)
        if groups:
            self._saw_empty = False
        return [*step, self._set_tick(now)]

    def answer_claim(
        self,
        message: wire.Claim,
        sender: str,
        now: int,
    ) -> Effects:
        """Send the verdict on a claim."""
        verdict, result = self._judge(message, now)
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
        held = self._seats.find(message.group)
        if held is None:
            return []
        held.records.finish(message, now)
        return [effects.Send(sender, wire.Recorded(message.token))]

    def release(
        self,
        message: wire.Release,
        sender: str,
        _now: int,
    ) -> Effects:
        """Drop the claim of an attempt that did not run."""
        held = self._seats.find(message.group)
        if held is not None:
            held.records.release(message.key, message.token)
        return [effects.Send(sender, wire.Recorded(message.token))]

    def accept_peek(
        self,
        message: peers.Peek,
        sender: str,
        now: int,
    ) -> Effects:
        """Record the state of another member and reply if it is not settled."""
        held = self._seats.find(message.group)
        if held is None:
            return []
        held.hear(message, sender, now)
        if held.settled:
            if message.settled:
                return []
            return [effects.Send(sender, held.build_peek())]
        return self._seats.advance(held, now)

    def answer_copy(
        self,
        message: peers.Copy,
        sender: str,
        now: int,
    ) -> Effects:
        """Send a page of records."""
        held = self._seats.find(message.group)
        if held is None or not held.settled or held.epoch != message.epoch:
            return []
        page = held.records.read_page(message.after, now)
        copied = peers.Copied(
            message.group,
            message.number,
            message.after,
            tuple(_copy_entry(entry, now) for entry in page),
            page[-1].position if page else message.after,
            len(page) < const.COPY_RECORDS,
        )
        return [effects.Send(sender, copied)]

    def accept_copied(
        self,
        message: peers.Copied,
        sender: str,
        now: int,
    ) -> Effects:
        """Store a page of records and request the next one."""
        return self._seats.accept_page(message, sender, now)

    def tick(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> Effects:
        """Send the state of this holder to the other members and to control."""
        step: Effects = []
        for held in self._seats.list_all():
            held.records.expire(now)
            step.extend(seats.send_peek(held))
            step.extend(self._seats.advance(held, now))
        if self._is_report_due(now):
            self._reported_at = now
            step.extend(self._report())
        step.append(self._set_tick(now))
        return step

    def _judge(
        self,
        claim: wire.Claim,
        now: int,
    ) -> tuple[str, wire.Result | None]:
        held = self._seats.find(claim.group)
        if held is None or held.epoch != claim.epoch:
            return const.VERDICT_GROUP_CHANGED, None
        held.records.expire(now)
        entry = held.records.find(claim.key)
        if entry is not None:
            return _judge_again(entry, claim)
        if not held.settled:
            return const.VERDICT_ABSTAINING, None
        age_ms = now + self._wall_offset - keys.read_time(claim.key)
        if not -const.HOLDER_KEY_FUTURE_MS <= age_ms <= const.HOLDER_KEY_AGE_MS:
            return const.VERDICT_KEY_EXPIRED, None
        return held.records.claim(claim, now), None

    def _is_report_due(self, now: int) -> bool:
        period = const.REPORT_PERIOD_MS
        if self._saw_empty:
            period = const.FIRST_REPORT_PERIOD_MS
        return self._reported_at is None or now >= self._reported_at + period

    def _report(self) -> Effects:
        if not self._seats.list_all() and not self._saw_empty:
            return []
        report = peers.HolderReport(
            tuple(
                peers.SeatReport(
                    held.group,
                    held.epoch,
                    held.settled,
                    held.sealed,
                )
                for held in self._seats.list_all()
            ),
            self._saw_empty,
        )
        return [effects.Send(control, report) for control in self._controls]

    def _set_tick(self, now: int) -> effects.Effect:
        waits = not self._has_groups or any(
            not (held.settled and held.sealed)
            for held in self._seats.list_all()
        )
        period = const.SETTLED_PEEK_PERIOD_MS
        if waits:
            period = const.PEEK_PERIOD_MS
        return effects.SetTimer(_TICK, now + period)


def _judge_again(
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


def _copy_entry(entry: store.Entry, now: int) -> peers.CopiedRecord:
    return peers.CopiedRecord(
        entry.key,
        entry.digest,
        entry.token,
        entry.expires_at - now,
        _shorten(entry.result),
    )


def _shorten(result: wire.Result | None) -> wire.Result | None:
    if result is None or len(result.body) <= const.COPY_BODY_BYTES:
        return result
    return result.replace(body=b'', kept=False)
