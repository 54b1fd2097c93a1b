"""What is known of a call at the node that plans it, and its own responses."""

import typing

from shallotwharf.components.call import (
    access,
    attempts,
    const,
    context,
    index,
    steps,
    targets,
    timing,
)
from shallotwharf.components.tables import tenant
from shallotwharf.core import calls

# Of a call without a route; nothing is recorded there.
_UNKNOWN_TIMING: typing.Final = timing.RouteTiming()


class Facts:
    """A call with its route, caller and attempts.

    Attributes:
        request: request of the caller.
        entry: matched route; None before the match.
        tenant: tenant of the caller; None if it has none.
        is_inner: whether it counts as a call of the upstream beside this node.
        timing: deadlines and run times of the route.
        age_ms: time that the caller had waited before this call.
        id: unique id of the call.
        attempts: attempts made so far.
    """

    __slots__ = (
        'request',
        'entry',
        'tenant',
        'is_inner',
        '_is_counted',
        'timing',
        'age_ms',
        'id',
        'attempts',
        '_context',
        '_counted_for',
    )

    def __init__(
        self, call_context: context.Context, request: calls.Request
    ) -> None:
        self.request = request
        self.entry: index.RouteEntry | None = None
        self.tenant: tenant.Tenant | None = None
        self.is_inner = False
        # Whether the current attempt counts as an inner call.
        self._is_counted = False
        self.timing = _UNKNOWN_TIMING
        self.age_ms = 0
        self.id = ''
        self.attempts = attempts.Attempts()
        self._context = call_context
        # Tenant in whose quota the call counts; empty if in none.
        self._counted_for = ''

    def read_entry(self) -> index.RouteEntry:
        """Return the matched route.

        Raises:
            RuntimeError: if no route matched.
        """
        if self.entry is None:
            raise RuntimeError('the call has no route')
        return self.entry

    def is_late(self) -> bool:
        """Return whether the call misses its target even if it runs at once."""
        run_ms = self.timing.read_run(self._context.is_scheduled)
        return self.timing.is_late(self.read_entry().row, self.age_ms, run_ms)

    def identify(self, owner: tenant.Tenant | None) -> None:
        """Set the tenant of the caller, and whether it is an inner call."""
        self.tenant = owner
        self.is_inner = (
            owner is None
            and self._context.keyring.is_required
            and self._context.inner_calls.has_room()
        )

    def begin_attempt(self) -> None:
        """Count an attempt of an inner call."""
        self.is_inner = self.is_inner and self._context.inner_calls.begin()
        self._is_counted = self.is_inner

    def end_attempt(self) -> None:
        """Record the end of an attempt."""
        if self._is_counted:
            self._is_counted = False
            self._context.inner_calls.end()

    def compute_rank(self) -> int:
        """Return the rank of the call; 0 is served first."""
        if self.is_inner:
            return 0
        return tenant.compute_rank(self.tenant, self.read_entry().row)

    def is_retry(self) -> bool:
        """Return whether later hops must not retry."""
        return self.request.retried or self.attempts.sent > 1

    def respond(
        self, status: int, reason: str, retry_after_ms: int = 0
    ) -> calls.Step:
        """Return a response made by this node, and log it.

        Args:
            status: HTTP status.
            reason: name of the reason.
            retry_after_ms: time after which a retry may succeed; replaced for
                503.
        """
        self._context.count(f'{const.COUNTER_REFUSED}{reason}')
        described = steps.describe_refusal(
            self.request.label,
            self.id,
            self.entry.row if self.entry else None,
            self.tenant,
            self.attempts,
        )
        decided = {'status': status, 'reason': reason, 'age_ms': self.age_ms}
        self._context.report('call_refused', described | decided)
        if status == const.STATUS_UNAVAILABLE:
            retry_after_ms = self._find_retry_after(reason)
        return calls.Respond(
            status,
            reason,
            not self.attempts.may_have_run,
            retry_after_ms,
        )

    def refuse_access(self, now: int) -> calls.Step | None:
        """Return the response to a caller that may not use the route.

        None if it may; the call then counts in the quota of its tenant.
        """
        called = self.read_entry().row
        refused = access.find_refusal(self._context, called, self.tenant, now)
        if refused is None:
            if self.tenant is not None and not called.is_public:
                self._counted_for = self.tenant.name
            return None
        owner = self.tenant.name if self.tenant else ''
        self._context.log_refusal(refused.reason, owner, called.name, now)
        return self.respond(
            refused.status, refused.reason, refused.retry_after_ms
        )

    def settle_quota(self, step: calls.Step, now: int) -> calls.Step:
        """Give the quota of a call back that ends before any upstream.

        Only calls that reach an upstream count; the caller may repeat others.
        """
        is_end = isinstance(step, (calls.Respond, calls.Replay))
        if is_end and self._counted_for and not self.attempts.arrivals:
            self._context.quotas.give_back(self._counted_for, now)
            self._counted_for = ''
        return step

    def reject(self, reason: str) -> calls.Step:
        """Return a response that the call cannot be served now."""
        return self.respond(const.STATUS_UNAVAILABLE, reason)

    def reject_unmatched(self) -> calls.Step:
        """Return the response to a call without a route."""
        if self._context.has_version():
            return self.respond(
                const.STATUS_NOT_FOUND,
                const.REASON_UNKNOWN_ROUTE,
            )
        return self.reject(const.REASON_NO_VERSION)

    def reject_late(self) -> calls.Step:
        """Return the response to a call without enough time to be sent."""
        status = const.STATUS_TIMEOUT
        if self._context.is_scheduled and not self.attempts.may_have_run:
            status = const.STATUS_UNAVAILABLE
        return self.respond(status, const.REASON_DEADLINE)

    def report_response(
        self,
        result: calls.Result,
        now: int,
        target: targets.Target,
        sent_at: int,
    ) -> None:
        """Log a response that failed or came after the latency target."""
        row = self.read_entry().row
        if result.status >= const.STATUS_SERVER_ERROR:
            reason = f'status_{result.status}'
            self.report('call_failed', now, target, sent_at, reason)
        elif row.aim_ms and now - self.attempts.began_at > row.aim_ms:
            reason = f'aim_{row.aim_ms}'
            self.report('call_late', now, target, sent_at, reason)

    def report(
        self,
        event: str,
        now: int,
        target: targets.Target,
        sent_at: int,
        reason: str,
    ) -> None:
        """Log the end of an attempt with the values behind the decision."""
        described = steps.describe_attempt(
            f'{self.id}.{self.attempts.sent}',
            target,
            self.attempts,
            sent_at,
            now,
        )
        self._context.report(
            event,
            {
                'id': self.request.label,
                'route': self.read_entry().row.name,
                'reason': reason,
                'age_ms': self.age_ms,
                **described,
            },
        )

    def _find_retry_after(self, reason: str) -> int:
        if reason == const.REASON_STOPPING:
            # Another node can take the call at once.
            return timing.MIN_RETRY_AFTER_MS
        if self.entry is None:
            return timing.MAX_RETRY_AFTER_MS
        run_ms = self.timing.read_run(self._context.is_scheduled)
        return self.timing.find_retry_after(self.entry.row, self.age_ms, run_ms)
