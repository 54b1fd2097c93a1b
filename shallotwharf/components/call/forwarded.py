"""Plan of a call at the node beside the chosen upstream."""

from shallotwharf.components.call import const, envelope, rules
from shallotwharf.core import call_interfaces, call_replies, calls


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
        received = envelope.decode(request.forwarded)
        if received is None or not request.attempt:
            return _refuse()
        start_by = const.NO_LIMIT_AT
        if received.start_ms:
            start_by = now + received.start_ms
        return calls.Enter(
            request.attempt,
            received.rank,
            received.service,
            received.version,
            now + (request.deadline_ms or 0),
            start_by,
            request.retried,
            received.tenant,
            received.route,
            now + received.aim_ms if received.aim_ms else 0,
            received.work_ms,
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
        self, reply: call_replies.GuardReply, now: int
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
