"""Refusals of once-only calls and their reasons."""

import typing

from shallotwharf.components.once import attempt, const, keys, messages
from shallotwharf.core import effects

# Verdict of a holder and the reason it leads to. The first match counts.
_REASONS: typing.Final = (
    (const.VERDICT_KEY_REUSED, const.REASON_KEY_REUSED),
    (const.VERDICT_CLAIMED, const.REASON_IN_PROGRESS),
    (const.VERDICT_KEY_EXPIRED, const.REASON_KEY_EXPIRED),
    (const.VERDICT_ABSTAINING, const.REASON_ABSTAINING),
)


def check_key(key: str, wall_now: int) -> messages.CallRefused | None:
    """Return the refusal of a normalized key, or None if it is accepted.

    An empty key is invalid. `wall_now` is in ms since the Unix epoch.
    """
    unknown = messages.OUTCOME_UNKNOWN
    if not key:
        return messages.CallRefused(
            const.REASON_KEY_INVALID,
            messages.OUTCOME_NOT_RUN,
        )
    age_ms = wall_now - keys.read_time(key)
    if age_ms > const.MAX_KEY_AGE_MS:
        return messages.CallRefused(const.REASON_KEY_EXPIRED, unknown)
    if age_ms < -const.MAX_KEY_AHEAD_MS:
        return messages.CallRefused(const.REASON_KEY_IN_FUTURE, unknown)
    return None


def build_refusal(open_attempt: attempt.Attempt) -> messages.CallRefused:
    """Return the refusal for an attempt that got no majority and no result."""
    for verdict, reason in _REASONS:
        if open_attempt.has_verdict(verdict):
            return messages.CallRefused(reason, messages.OUTCOME_UNKNOWN)
    if open_attempt.is_known_absent():
        return messages.CallRefused(
            const.REASON_FULL,
            messages.OUTCOME_NOT_RUN,
        )
    return messages.CallRefused(
        const.REASON_UNREACHABLE,
        messages.OUTCOME_UNKNOWN,
    )


def refuse(
    request: str,
    refusal: messages.CallRefused,
) -> list[effects.Effect]:
    """Return the effects that answer a request with a refusal."""
    return [
        effects.Answer(request, refusal),
        effects.Count(f'once.refused.{refusal.reason}'),
    ]
