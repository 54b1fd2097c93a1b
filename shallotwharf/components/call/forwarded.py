"""Plan of a call at the node beside the chosen upstream."""

from shallotwharf.components.call import const, rules
from shallotwharf.core import call_interfaces, calls, numbers

# Rank, service, version and start limit.
_PART_COUNT = 4


class ForwardedPlan(call_interfaces.Plan):
    """Plan with a single attempt; the sending node decides on retries."""

    __slots__ = ('_request',)

    def __init__(self, request: calls.Request) -> None:
        self._request = request

    def start(self, now: int) -> calls.Step:
        """Return the step that enters the gate, or a refusal.

        The call is refused if its `Shallotwharf-Forwarded` header is invalid.
        """
        request = self._request
        parts = request.forwarded.split(' ')
        rank = numbers.parse_count(parts[0])
        start_ms = numbers.parse_count(parts[-1])
        is_valid = (
            bool(request.attempt)
            and len(parts) == _PART_COUNT
            and rank is not None
        )
        if not is_valid or start_ms is None:
            return _refuse()
        return calls.Enter(
            request.attempt,
            rank or 0,
            parts[1],
            parts[2],
            now + (request.deadline_ms or 0),
            now + start_ms if start_ms else const.NO_LIMIT_AT,
            request.retried,
        )

    def resume(self, result: calls.Result, now: int) -> calls.Step:
        """Relay the response, or respond with the outcome of the attempt."""
        rule = rules.find_rule(result.outcome, repeatable=False)
        if not rule.status:
            return calls.Relay()
        return calls.Respond(
            rule.status,
            result.reason or result.outcome,
            rule.not_run,
            outcome=result.outcome,
        )

    def handle_guard_reply(
        self, reply: calls.GuardReply, now: int
    ) -> calls.Step:
        """Fail, because the sending node already asked the guard.

        Raises:
            RuntimeError: always.
        """
        raise RuntimeError('a forwarded call has no guard')

    def cancel(self, now: int) -> bool:
        """Stop the attempt, because the sending node gave up."""
        return True


def _refuse() -> calls.Step:
    return calls.Respond(
        const.STATUS_BAD_REQUEST,
        const.REASON_FORWARDED,
        not_run=True,
    )
