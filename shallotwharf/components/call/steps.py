"""Steps that send an attempt to a target, and its description in logs."""

from collections import abc

from shallotwharf.components.call import attempts, const, envelope, targets
from shallotwharf.components.tables import route, tenant
from shallotwharf.core import calls, records


class Traits(records.Record):
    """What all attempts of a call have in common.

    Attributes:
        rank: priority in the queue of a gate; 0 is served first.
        tenant: name of the caller's tenant; empty if it has none.
        route: name of the route.
        aim_at: latest time at which the response has its full value, in clock
            milliseconds; 0 if unknown.
        work_ms: usual run time of such a call; 0 if unknown.
    """

    __slots__ = ('rank', 'tenant', 'route', 'aim_at', 'work_ms')

    def __init__(
        self,
        rank: int,
        tenant: str,
        route: str,
        aim_at: int,
        work_ms: int,
    ) -> None:
        self.rank = rank
        self.tenant = tenant
        self.route = route
        self.aim_at = aim_at
        self.work_ms = work_ms


def build_traits(
    rank: int,
    owner: tenant.Tenant | None,
    called: route.Route,
    made: attempts.Attempts,
    age_ms: int,
    work_ms: int,
) -> Traits:
    """Return the traits of a call.

    Args:
        rank: priority of the attempt; 0 is served first.
        owner: tenant of the caller; None if it has none.
        called: route of the call.
        made: its attempts and time limits.
        age_ms: time that the caller had waited before this call.
        work_ms: usual run time of such a call; 0 if unknown.
    """
    return Traits(
        rank,
        owner.name if owner else '',
        called.name,
        find_aim(called, made, age_ms),
        work_ms,
    )


def find_aim(called: route.Route, made: attempts.Attempts, age_ms: int) -> int:
    """Return until when a response has its full value; 0 if unknown."""
    if not called.aim_ms:
        return 0
    return made.began_at + called.aim_ms - age_ms


def build_enter(
    attempt: str,
    traits: Traits,
    target: targets.Target,
    made: attempts.Attempts,
    is_retry: bool,
) -> calls.Step:
    """Return the step that enters the gate of this node."""
    return calls.Enter(
        attempt,
        traits.rank,
        target.announcement.service,
        target.announcement.version,
        made.deadline_at - const.HOP_MARGIN_MS,
        made.start_by,
        is_retry,
        traits.tenant,
        traits.route,
        traits.aim_at,
        traits.work_ms,
    )


def build_forward(
    attempt: str,
    traits: Traits,
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
    aim_ms = traits.aim_at - now - target.latency_ms if traits.aim_at else 0
    sent = envelope.Envelope(
        traits.rank,
        row.service,
        row.version,
        start_ms,
        aim_ms,
        traits.work_ms,
        traits.route,
        traits.tenant,
    )
    return calls.Forward(
        attempt,
        row.node.host,
        row.node.call_port,
        sent.encode(),
        made.deadline_at,
        const.HOP_MARGIN_MS + target.latency_ms,
        is_retry,
    )


def describe_refusal(
    label: str,
    call: str,
    called: route.Route | None,
    owner: tenant.Tenant | None,
    made: attempts.Attempts,
) -> dict[str, object]:
    """Return the values behind a refusal by this node."""
    return {
        'id': label,
        'call': call,
        'route': called.name if called else '',
        'tenant': owner.name if owner else '',
        'not_run': not made.may_have_run,
        'attempts': made.sent,
        'reached': made.arrivals,
    }


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
