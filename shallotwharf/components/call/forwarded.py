"""Plan of a call at the node beside the chosen upstream."""

from shallotwharf.components.call import const, rules
from shallotwharf.core import call_interfaces, calls

# Four parts (rank, service, version, start limit) plus the two of them that
# must be numbers (rank, start limit).
_PART_COUNT = 6


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
        numbers = [part for part in parts[::3] if part.isdecimal()]
        if not request.attempt or len(parts) + len(numbers) != _PART_COUNT:
            return calls.Respond(
                const.STATUS_BAD_REQUEST,
                const.REASON_FORWARDED,
                not_run=True,
            )
        start_ms = int(parts[3])
        return calls.Enter(
            request.attempt,
            int(parts[0]),
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
