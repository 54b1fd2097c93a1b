"""Coordinator of the once-only calls that a node accepts."""

import random
import typing
from collections import abc

from shallotwharf.components.once import (
    attempt,
    const,
    keys,
    messages,
    outbox,
    refusals,
    wire,
)
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import version
from shallotwharf.core import aggregate, effects, rendezvous
from shallotwharf.core import messages as core_messages

Effects: typing.TypeAlias = list[effects.Effect]

_TOKEN_BYTES: typing.Final = 12
_RESULTS_TIMER: typing.Final = 'results'


class Coordinator(aggregate.Aggregate):
    """Runs a call only after a majority of its holders has granted the claim.

    A refusal has `OUTCOME_NOT_RUN` only if it is certain that no earlier
    attempt ran. When holders cannot be reached, an earlier attempt through
    another node may have run, and the outcome is unknown. A resend with the
    same key is safe in both cases.

    Args:
        source: random source of the tokens; no other process may have the
            same sequence.
    """

    name = 'once.coordinator'
    handlers = {
        core_messages.TimerFired: 'handle_timer',
        tables_messages.VersionApplied: 'apply_version',
        messages.BeginCall: 'begin',
        messages.CallFinished: 'finish',
        wire.ClaimAnswered: 'accept_verdict',
        wire.Recorded: 'accept_recorded',
    }

    __slots__ = (
        '_random',
        '_groups',
        '_attempts',
        '_granted',
        '_outbox',
        '_resending',
    )

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._groups: dict[str, version.HolderGroup] = {}
        # Open attempts by token, and granted ones by key.
        self._attempts: dict[bytes, attempt.Attempt] = {}
        self._granted: dict[str, attempt.Attempt] = {}
        self._outbox = outbox.Outbox()
        self._resending = False

    def start(self, _now: int) -> Effects:
        """Return no effects: the first call sets the first timer."""
        return []

    def apply_version(
        self,
        message: tables_messages.VersionApplied,
        _sender: str,
        _now: int,
    ) -> Effects:
        """Store the holder groups of a version."""
        self._groups = {group.name: group for group in message.applied.holders}
        return []

    def begin(
        self,
        message: messages.BeginCall,
        _sender: str,
        now: int,
    ) -> Effects:
        """Claim a call at its holders."""
        key = keys.normalize(message.key)
        refusal = refusals.check_key(key, message.wall_now)
        if refusal is None and not self._groups:
            refusal = messages.CallRefused(
                const.REASON_NO_HOLDERS,
                messages.OUTCOME_UNKNOWN,
            )
        if refusal is not None:
            return refusals.refuse(message.request, refusal)
        # Group names never change in a cluster, so that a key maps to the
        # same group on all nodes and at all times.
        ranked = rendezvous.rank_members(key, self._groups)
        open_attempt = attempt.Attempt(
            message.request,
            key,
            message.digest,
            self._random.randbytes(_TOKEN_BYTES),
            self._groups[ranked[0]],
            now,
        )
        self._attempts[open_attempt.token] = open_attempt
        return self._claim(open_attempt, open_attempt.members, now)

    def accept_verdict(
        self,
        message: wire.ClaimAnswered,
        sender: str,
        now: int,
    ) -> Effects:
        """Record the verdict of a holder and decide the attempt if possible."""
        open_attempt = self._attempts.get(message.token)
        if open_attempt is None:
            return []
        if now >= open_attempt.sent_at + const.CLAIM_TIMEOUT_MS:
            # This process was suspended. The holder may have restarted in the
            # meantime and lost the record of its grant.
            return self._refuse_attempt(open_attempt, now)
        open_attempt.record_verdict(message, sender)
        if open_attempt.has_complete_result():
            return self._replay(open_attempt, now)
        if open_attempt.is_granted():
            return self._grant(open_attempt, now)
        if open_attempt.has_final_verdicts():
            return self._refuse_attempt(open_attempt, now)
        return []

    def accept_recorded(
        self,
        message: wire.Recorded,
        sender: str,
        _now: int,
    ) -> Effects:
        """Record that a holder has the result or release of an attempt."""
        self._outbox.acknowledge(message.token, sender)
        return []

    def finish(
        self,
        message: messages.CallFinished,
        _sender: str,
        now: int,
    ) -> Effects:
        """Send the result of a granted call, or its release, to the holders."""
        ended_attempt = self._granted.pop(keys.normalize(message.key), None)
        if ended_attempt is None:
            return [effects.Count('once.finished.unexpected')]
        if message.outcome == messages.OUTCOME_NOT_RUN:
            return self._release(ended_attempt, ended_attempt.members, now)
        body_complete = len(message.body) <= const.MAX_BODY_BYTES
        result = wire.Result(
            message.outcome,
            message.status,
            message.content_type,
            message.body if body_complete else b'',
            body_complete,
        )
        return self._send_result(
            ended_attempt, result, ended_attempt.members, now
        )

    def handle_timer(
        self,
        message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> Effects:
        """Resend claims, give up an attempt, or resend results and releases."""
        if message.name == _RESULTS_TIMER:
            self._resending = False
            return [*self._outbox.resend(), *self._set_results_timer(now)]
        open_attempt = self._attempts.get(bytes.fromhex(message.name))
        if open_attempt is None:
            return []
        if now >= open_attempt.sent_at + const.CLAIM_TIMEOUT_MS:
            return self._refuse_attempt(open_attempt, now)
        return self._claim(
            open_attempt, open_attempt.list_resend_targets(), now
        )

    def _claim(
        self,
        open_attempt: attempt.Attempt,
        members: abc.Iterable[str],
        now: int,
    ) -> Effects:
        claim = open_attempt.build_claim()
        return [
            *(effects.Send(member, claim) for member in members),
            effects.SetTimer(
                open_attempt.token.hex(),
                now + const.CLAIM_RESEND_MS,
            ),
        ]

    def _grant(self, open_attempt: attempt.Attempt, now: int) -> Effects:
        self._granted[open_attempt.key] = open_attempt
        self._drop_expired_grants(now)
        granted = messages.CallGranted(
            open_attempt.sent_at + const.GRANT_LIFETIME_MS
        )
        return [
            effects.Answer(open_attempt.request, granted),
            effects.Count('once.granted'),
            *self._close(open_attempt),
        ]

    def _replay(self, open_attempt: attempt.Attempt, now: int) -> Effects:
        result = typing.cast(wire.Result, open_attempt.result)
        reply: core_messages.Message = messages.CallReplayed(
            result.status,
            result.content_type,
            result.body,
        )
        if result.outcome != messages.OUTCOME_RUN:
            reply = messages.CallRefused(
                const.REASON_OUTCOME_UNKNOWN,
                messages.OUTCOME_UNKNOWN,
            )
        elif not result.body_complete:
            reply = messages.CallRefused(
                const.REASON_ANSWER_NOT_KEPT,
                messages.OUTCOME_RUN,
            )
        return [
            effects.Answer(open_attempt.request, reply),
            effects.Count('once.replayed'),
            *self._close(open_attempt),
            *self._send_result(
                open_attempt, result, open_attempt.list_claim_holders(), now
            ),
        ]

    def _refuse_attempt(
        self, open_attempt: attempt.Attempt, now: int
    ) -> Effects:
        if open_attempt.result is not None:
            return self._replay(open_attempt, now)
        return [
            *refusals.refuse(
                open_attempt.request, refusals.build_refusal(open_attempt)
            ),
            *self._close(open_attempt),
            *self._release(
                open_attempt, open_attempt.list_claim_holders(), now
            ),
        ]

    def _close(self, open_attempt: attempt.Attempt) -> Effects:
        self._attempts.pop(open_attempt.token, None)
        return [effects.CancelTimer(open_attempt.token.hex())]

    def _release(
        self,
        ended_attempt: attempt.Attempt,
        members: abc.Iterable[str],
        now: int,
    ) -> Effects:
        release = wire.Release(
            ended_attempt.key, ended_attempt.token, ended_attempt.group
        )
        return [
            *self._outbox.add(
                ended_attempt.token,
                release,
                members,
                const.RELEASE_ATTEMPTS,
            ),
            *self._set_results_timer(now),
        ]

    def _send_result(
        self,
        ended_attempt: attempt.Attempt,
        result: wire.Result,
        members: abc.Iterable[str],
        now: int,
    ) -> Effects:
        finish = wire.Finish(
            ended_attempt.key,
            ended_attempt.digest,
            ended_attempt.token,
            ended_attempt.group,
            result,
        )
        return [
            *self._outbox.add(
                ended_attempt.token,
                finish,
                members,
                const.RESULT_ATTEMPTS,
            ),
            *self._set_results_timer(now),
        ]

    def _set_results_timer(self, now: int) -> Effects:
        if self._resending or self._outbox.is_empty():
            return []
        self._resending = True
        resend_at = now + const.RESULT_RESEND_MS
        return [effects.SetTimer(_RESULTS_TIMER, resend_at)]

    def _drop_expired_grants(self, now: int) -> None:
        """Drop grants for which no end was reported."""
        while self._granted:
            oldest = next(iter(self._granted.values()))
            if now - oldest.sent_at <= 2 * const.RECORD_LIFETIME_MS:
                return
            self._granted.pop(oldest.key)
