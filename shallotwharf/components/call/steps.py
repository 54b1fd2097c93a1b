"""Steps that send an attempt to a target, and its description in logs."""

from collections import abc

from shallotwharf.components.call import attempts, const, targets
from shallotwharf.core import calls


def build_enter(
    attempt: str,
    rank: int,
    target: targets.Target,
    made: attempts.Attempts,
    is_retry: bool,
) -> calls.Step:
    """Return the step that enters the gate of this node."""
    return calls.Enter(
        attempt,
        rank,
        target.announcement.service,
        target.announcement.version,
        made.deadline_at - const.HOP_MARGIN_MS,
        made.start_by,
        is_retry,
    )


def build_forward(
    attempt: str,
    rank: int,
    target: targets.Target,
    made: attempts.Attempts,
    is_retry: bool,
    now: int,
) -> calls.Step:
    """Return the step that sends the attempt to the node of the target."""
    row = target.announcement
    start_ms = 0
    if made.start_by != const.NO_LIMIT_AT:
        start_ms = max(made.start_by - now - const.START_MARGIN_MS, 1)
    return calls.Forward(
        attempt,
        row.node.host,
        row.node.call_port,
        f'{rank} {row.service} {row.version} {start_ms}',
        made.deadline_at,
        const.HOP_MARGIN_MS + target.latency_ms,
        is_retry,
    )


def describe_attempt(
    attempt: str,
    target: targets.Target,
    made: attempts.Attempts,
    sent_at: int,
    now: int,
) -> abc.Mapping[str, object]:
    """Return the values behind a decision about the end of an attempt."""
    announced = target.announcement
    return {
        'call': attempt,
        'node': announced.node.name,
        'served': announced.version,
        'attempt_ms': now - sent_at,
        'call_ms': now - made.began_at,
        'left_ms': made.deadline_at - now,
        'spare': target.estimate_spare(now),
        'generation': announced.generation,
    }
