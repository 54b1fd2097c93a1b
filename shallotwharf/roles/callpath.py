"""Wiring of the call path: components, dispatcher and HTTP."""

import types
import typing
from collections import abc

from shallotwharf.adapters import (
    capacity,
    header_format,
    outbound,
    services,
    waiting,
)
from shallotwharf.components.call import router
from shallotwharf.components.once import messages as once
from shallotwharf.components.quota import limiter
from shallotwharf.components.upstream import gate
from shallotwharf.components.upstream import messages as upstream
from shallotwharf.core import (
    access_interfaces,
    call_interfaces,
    call_replies,
    calls,
    clock,
    counters,
    direct,
    dispatcher,
    messages,
    upstream_notices,
)


class EffectRunner:
    """Runs the effects that direct calls of an aggregate leave behind."""

    __slots__ = ('_dispatcher', '_source')

    def __init__(
        self,
        process_dispatcher: dispatcher.Dispatcher,
        source: direct.DirectAggregate,
    ) -> None:
        self._dispatcher = process_dispatcher
        self._source = source

    def run(self) -> None:
        """Run the pending effects through the dispatcher."""
        if self._source.outbox:
            self._dispatcher.run(self._source, self._source.drain_effects())


class WiredGate(call_interfaces.Gate):
    """The gate; runs its effects after each call."""

    __slots__ = ('_gate', '_runner')

    def __init__(self, wired: gate.Gate, runner: EffectRunner) -> None:
        self._gate = wired
        self._runner = runner

    def enter(
        self,
        step: calls.Enter,
        request: calls.Request,
        now: int,
    ) -> call_replies.Admission:
        """Admit, queue or refuse an attempt."""
        admission = self._gate.enter(step, request, now)
        self._runner.run()
        return admission

    def count_spare_slots(self, now: int) -> int:
        """Return how many slots are free at `now`."""
        return self._gate.count_spare_slots(now)

    def describe_upstream(self, now: int) -> upstream_notices.Standing:
        """Return what other nodes should know about the upstream."""
        return self._gate.describe_upstream(now)

    def leave(self, attempt: str, result: calls.Result, now: int) -> None:
        """Release the slot or the queue entry of an attempt that ended."""
        self._gate.leave(attempt, result, now)
        self._runner.run()


class WiredQuotas(access_interfaces.Quotas):
    """The limiter of a node; runs its effects after each call."""

    __slots__ = ('_limiter', '_runner')

    def __init__(self, wired: limiter.Limiter, runner: EffectRunner) -> None:
        self._limiter = wired
        self._runner = runner

    def read(self, tenant: str, now: int) -> access_interfaces.QuotaStanding:
        """Return the state of a tenant's quota without counting a call."""
        return self._limiter.read(tenant, now)

    def take(self, tenant: str, now: int) -> int:
        """Count a call; return 0 if admitted, else the time to wait in ms."""
        wait_ms = self._limiter.take(tenant, now)
        self._runner.run()
        return wait_ms

    def give_back(self, tenant: str, now: int) -> None:
        """Uncount an admitted call that ended without reaching an upstream."""
        self._limiter.give_back(tenant, now)


class WiredPlan(call_interfaces.Plan):
    """A plan; runs the effects of its router after each call."""

    __slots__ = ('_plan', '_runner')

    def __init__(
        self, wired: call_interfaces.Plan, runner: EffectRunner
    ) -> None:
        self._plan = wired
        self._runner = runner

    def start(self, now: int) -> calls.Step:
        """Return the first step."""
        step = self._plan.start(now)
        self._runner.run()
        return step

    def resume(self, result: calls.Result, now: int) -> calls.Step:
        """Return the step that follows the end of an attempt."""
        step = self._plan.resume(result, now)
        self._runner.run()
        return step

    def handle_guard_reply(
        self, reply: call_replies.GuardReply, now: int
    ) -> calls.Step:
        """Return the step that follows a reply of the guard."""
        step = self._plan.handle_guard_reply(reply, now)
        self._runner.run()
        return step

    def cancel(self, now: int) -> bool:
        """Handle a caller that disconnected; return whether to stop."""
        stops = self._plan.cancel(now)
        self._runner.run()
        return stops


class WiredCallPlanner(call_interfaces.CallPlanner):
    """The call router, whose plans run its effects after each call."""

    __slots__ = ('_router', '_runner')

    def __init__(self, wired: router.CallRouter, runner: EffectRunner) -> None:
        self._router = wired
        self._runner = runner

    def plan(self, request: calls.Request) -> call_interfaces.Plan:
        """Return the plan of a request."""
        return WiredPlan(self._router.plan(request), self._runner)

    def find_room(
        self, request: calls.Request, now: int
    ) -> call_interfaces.Room:
        """Return whether upstreams have room for a request."""
        return self._router.find_room(request, now)


class DispatchedGuard(call_interfaces.OnceGuard):
    """Sends requests to the once-only coordinator via the dispatcher."""

    __slots__ = ('_dispatcher', '_waiting', '_clock', '_count')

    def __init__(
        self,
        process_dispatcher: dispatcher.Dispatcher,
        waiting_requests: waiting.WaitingRequests,
        process_clock: clock.Clock,
    ) -> None:
        self._dispatcher = process_dispatcher
        self._waiting = waiting_requests
        self._clock = process_clock
        self._count = 0

    def begin(
        self,
        request: calls.Request,
        receive: abc.Callable[[call_replies.GuardReply], None],
    ) -> None:
        """Request a grant for a call; `receive` is called with the reply."""
        self._count += 1
        waiting_id = f'once-{self._count}'
        self._waiting.expect(
            waiting_id,
            lambda reply: receive(translate_reply(reply)),
        )
        self._dispatcher.deliver(
            once.BeginCall(
                waiting_id,
                request.key,
                request.compute_digest(),
                self._clock.read_wall(),
            ),
            self._dispatcher.name,
        )

    def finish(
        self,
        request: calls.Request,
        answer: call_replies.Replayed | None,
        not_run: bool,
    ) -> None:
        """Report the end of a granted call."""
        outcome = once.OUTCOME_NOT_RUN if not_run else once.OUTCOME_UNKNOWN
        finished = once.CallFinished(request.key, outcome, 0, '', b'')
        if answer is not None:
            finished = once.CallFinished(
                request.key,
                once.OUTCOME_RUN,
                answer.status,
                answer.content_type,
                answer.body,
            )
        self._dispatcher.deliver(finished, self._dispatcher.name)


def translate_reply(reply: messages.Message) -> call_replies.GuardReply:
    """Convert a reply of the coordinator to the reply that a plan expects.

    Raises:
        KeyError: if the message is not a reply of the coordinator.
    """
    translated: call_replies.GuardReply = _REPLIES[type(reply)](reply)
    return translated


def _translate_granted(reply: once.CallGranted) -> call_replies.GuardReply:
    return call_replies.Granted(reply.expires_at)


def _translate_replayed(reply: once.CallReplayed) -> call_replies.GuardReply:
    return call_replies.Replayed(reply.status, reply.content_type, reply.body)


def _translate_refused(reply: once.CallRefused) -> call_replies.GuardReply:
    return call_replies.Denied(
        reply.reason,
        reply.outcome == once.OUTCOME_NOT_RUN,
    )


_REPLIES: typing.Final[typing.Any] = types.MappingProxyType(
    {
        once.CallGranted: _translate_granted,
        once.CallReplayed: _translate_replayed,
        once.CallRefused: _translate_refused,
    }
)


class DispatchedRegistry(call_interfaces.UpstreamRegistry):
    """Delivers announcements and reports of the upstream to the gate."""

    __slots__ = ('_dispatcher', '_gate')

    def __init__(
        self,
        process_dispatcher: dispatcher.Dispatcher,
        node_gate: gate.Gate,
    ) -> None:
        self._dispatcher = process_dispatcher
        self._gate = node_gate

    def announce(
        self, description: call_interfaces.UpstreamDescription
    ) -> None:
        """Register the upstream as serving."""
        self._deliver(upstream.UpstreamStarted(description))

    def drain(self) -> None:
        """Mark the upstream as draining: it accepts no new work."""
        self._deliver(upstream.DrainRequested())

    def remove(self) -> None:
        """Remove the upstream."""
        self._deliver(upstream.UpstreamLeft())

    def report(self, report: call_interfaces.UpstreamReport) -> bool:
        """Deliver a report; return whether it may be acknowledged."""
        self._deliver(upstream.UpstreamReported(report))
        return not self._gate.reports.is_pending(report)

    def end(self, instance: str, started_at: int) -> None:
        """Remove an instance for good."""
        self._deliver(upstream.UpstreamEnded(instance, started_at))

    def _deliver(self, message: messages.Message) -> None:
        self._dispatcher.deliver(message, self._dispatcher.name)


def build_services(
    process_dispatcher: dispatcher.Dispatcher,
    node_router: router.CallRouter,
    node_gate: gate.Gate,
    waiting_requests: waiting.WaitingRequests,
    process_clock: clock.Clock,
    process_counters: counters.Counters,
    chosen_format: header_format.HeaderFormat | None = None,
    sender: outbound.Outbound | None = None,
    shared_capacity: capacity.Capacity | None = None,
) -> services.Services:
    """Return the services of the call server; must be called on the loop.

    `waiting_requests` must be the `requests` that the dispatcher was created
    with, and the dispatcher must start the router and the gate.
    """
    return services.Services(
        process_clock,
        WiredCallPlanner(
            node_router,
            EffectRunner(process_dispatcher, node_router),
        ),
        WiredGate(node_gate, EffectRunner(process_dispatcher, node_gate)),
        DispatchedGuard(process_dispatcher, waiting_requests, process_clock),
        waiting_requests,
        sender or outbound.Outbound(process_counters),
        process_counters,
        chosen_format or header_format.StandardHeaderFormat(),
        shared_capacity or capacity.Capacity(process_counters),
    )
