"""One request of a caller and its response, following the plan of the call."""

import asyncio
import functools
import types
import typing

from tornado import httputil

from shallotwharf.adapters import (
    connection,
    fields,
    handling,
    header_format,
    headers,
    responses,
    sending,
    services,
)
from shallotwharf.core import call_interfaces, call_replies, calls, clock, logs

_SECOND_US: typing.Final = 1_000_000


class Exchange(handling.Handling):
    """Handling of a complete request until its response is written."""

    __slots__ = (
        '_services',
        '_responder',
        '_start_line',
        '_headers',
        '_request',
        '_plan',
        '_step',
        '_response',
        '_outgoing',
        '_connection',
        '_instance',
        '_timer',
        '_grant_held',
        '_is_forwarded',
        '_started_at',
        '_open',
    )

    def __init__(
        self,
        shared: services.Services,
        responder: services.Responder,
        start_line: httputil.RequestStartLine,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        self._services = shared
        self._responder = responder
        self._start_line = start_line
        self._headers = request_headers
        self._request = shared.header_format.read_request(
            start_line,
            request_headers,
            body,
        )
        self._plan = shared.call_planner.plan(self._request)
        self._step: calls.Enter | calls.Forward | None = None
        self._response: responses.Response | None = None
        self._outgoing: sending.Outgoing | None = None
        self._connection: connection.Connection | None = None
        self._instance = ''
        self._timer: asyncio.TimerHandle | None = None
        self._grant_held = False
        self._is_forwarded = bool(self._request.forwarded)
        self._started_at = shared.loop.time()
        self._open = True

    def start(self) -> None:
        """Execute the first step of the plan."""
        self._services.active += 1
        headers.strip_received_headers(self._headers)
        if not self._is_forwarded:
            self._services.header_format.mark_origin(self._headers)
        if self._request.body:
            length = str(len(self._request.body))
            self._headers[headers.CONTENT_LENGTH] = length
        self._run(self._plan.start(self._services.clock.read()))

    def find_room(self) -> call_interfaces.Room:
        """Return whether upstreams have room for the request."""
        return self._services.call_planner.find_room(
            self._request, self._services.clock.read()
        )

    def cancel(self) -> bool:
        """Stop the attempt because the caller disconnected.

        Returns False if it continues: it may be running and is not idempotent.
        """
        if not self._open:
            return True
        now = self._services.clock.read()
        if self._plan.cancel(now):
            self._services.counters.add('inbound.cancelled')
            self._stop_attempt(calls.Result(calls.OUTCOME_CANCELLED), now)
            self._close()
        return not self._open

    def expire(self) -> None:
        """End the current step, because its time is over."""
        if not self._open:
            return
        now = self._services.clock.read()
        if self._step is None:
            # The guard did not reply.
            late = call_replies.Denied('guard_late', not_run=False)
            self._run(self._plan.handle_guard_reply(late, now))
            return
        ended = calls.Result(calls.OUTCOME_LATE, 'deadline_passed')
        if self._outgoing is None:
            # It waited in the queue of the gate and was not sent.
            ended = calls.Result(
                calls.OUTCOME_REFUSED,
                connection.REASON_EXPIRED,
            )
        self._stop_attempt(ended, now)
        self._resume(ended)

    def report_cut(self, connection_opened_at: float) -> None:
        """Log that a stop of the node ends the call.

        Args:
            connection_opened_at: loop time, in seconds.
        """
        now = self._services.loop.time()
        connection_age = now - connection_opened_at
        logs.write_call(
            'call_cut',
            id=self._request.label,
            forwarded=self._is_forwarded,
            sent=self._outgoing is not None,
            call_ms=int((now - self._started_at) * clock.SECOND_MS),
            connection_ms=int(connection_age * clock.SECOND_MS),
        )

    def _run(self, step: calls.Step) -> None:
        _STEPS[type(step)](self, step)

    def _resume(self, ended: calls.Result) -> None:
        self._run(self._plan.resume(ended, self._services.clock.read()))

    def _enter(self, step: calls.Enter) -> None:
        now = self._services.clock.read()
        self._step = step
        self._outgoing = None
        self._set_timer(step.deadline_at, now)
        self._handle_admission(
            self._services.gate.enter(step, self._request, now),
        )

    def _handle_admission(self, admission: typing.Any) -> None:
        step = typing.cast(calls.Enter, self._step)
        if isinstance(admission, call_replies.Admitted):
            headers.strip_internal_headers(self._headers)
            self._instance = admission.instance
            used_format = self._services.header_format
            self._send(
                admission.host,
                admission.port,
                self._end_entered,
                functools.partial(used_format.match_response, self._headers),
                used_format.find_request_id(self._headers),
            )
        elif isinstance(admission, call_replies.Refused):
            self._resume(
                calls.Result(calls.OUTCOME_REFUSED, admission.reason),
            )
        else:
            self._services.waiting.expect(step.attempt, self._handle_admission)

    def _forward(self, step: calls.Forward) -> None:
        self._step = step
        now = self._services.clock.read()
        self._set_timer(step.deadline_at, now)
        self._headers[headers.FORWARDED] = step.forwarded
        self._send(step.host, step.port, self._end_forwarded, _accept_any)

    def _send(
        self,
        host: str,
        port: int,
        on_done: sending.OnDone,
        match_response: sending.MatchResponse,
        request_id: str = '',
    ) -> None:
        self._outgoing = sending.Outgoing(
            self._start_line,
            self._headers,
            self._request.body,
            self._prepare,
            on_done,
            match_response,
            allows_eof_body=self._services.header_format.allows_eof_body,
            request_id=request_id,
        )
        self._connection = self._services.outbound.send(
            host,
            port,
            self._outgoing,
        )

    def _prepare(self) -> bool:
        """Set the headers that depend on the time of sending.

        Returns False if too little time is left to send the request.
        """
        step = self._step
        now = self._services.clock.read()
        if isinstance(step, calls.Forward):
            limit_at = step.deadline_at - step.margin_ms
            headers.write_attempt(
                self._headers,
                step.attempt,
                limit_at - now,
                step.retried,
            )
            return now < limit_at
        if step is None or now >= min(step.start_by, step.deadline_at):
            return False
        self._services.header_format.write_attempt(
            self._headers,
            header_format.UpstreamAttempt(
                step.attempt,
                step.deadline_at - now,
                step.retried,
                self._instance,
                step.tenant,
            ),
        )
        return True

    def _end_entered(
        self,
        ended: calls.Result,
        response: responses.Response | None,
    ) -> None:
        step = typing.cast(calls.Enter, self._step)
        now = self._services.clock.read()
        if response is not None:
            headers.strip_internal_headers(response.headers)
            ended = self._services.header_format.read_result(
                response.status,
                response.headers,
            )
        self._services.gate.leave(step.attempt, ended, now)
        ended.condition = self._services.gate.describe_upstream(now).condition
        if response is not None:
            ended.size = len(response.body)
        self._response = response
        self._resume(ended)

    def _end_forwarded(
        self,
        ended: calls.Result,
        response: responses.Response | None,
    ) -> None:
        step = typing.cast(calls.Forward, self._step)
        if response is not None:
            ended = headers.read_result(
                response.status,
                response.headers,
                step.attempt,
            )
            headers.strip_internal_headers(response.headers)
            ended.size = len(response.body)
            if ended.outcome == calls.OUTCOME_CROSSED and self._connection:
                self._services.counters.add('outbound.crossed')
                self._connection.close()
        self._response = response
        self._resume(ended)

    def _request_grant(self, step: calls.Guard) -> None:
        now = self._services.clock.read()
        self._set_timer(step.deadline_at, now)
        self._services.guard.begin(self._request, self._handle_guard_reply)

    def _handle_guard_reply(self, reply: call_replies.GuardReply) -> None:
        granted = isinstance(reply, call_replies.Granted)
        if self._open:
            self._grant_held = granted
            now = self._services.clock.read()
            self._run(self._plan.handle_guard_reply(reply, now))
        elif granted:
            # The exchange has ended, so the key must be released.
            self._services.guard.finish(self._request, None, not_run=True)

    def _relay(self, _step: calls.Relay) -> None:
        response = typing.cast(responses.Response, self._response)
        headers.strip_hop_headers(response.headers)
        empty = headers.is_empty(response.status, self._start_line.method)
        if not empty:
            length = str(len(response.body))
            response.headers[headers.CONTENT_LENGTH] = length
        if self._grant_held:
            content_type = response.headers.get(headers.CONTENT_TYPE, '')
            self._services.guard.finish(
                self._request,
                call_replies.Replayed(
                    response.status, content_type, bytes(response.body)
                ),
                not_run=False,
            )
        self._write(response)

    def _respond(self, step: calls.Respond) -> None:
        if self._grant_held:
            self._services.guard.finish(self._request, None, step.not_run)
        if self._is_forwarded:
            self._write(responses.build_refusal(step, forwarded=True))
            return
        self._write(
            self._services.header_format.build_refusal(step, self._headers),
        )

    def _replay(self, step: calls.Replay) -> None:
        replayed = fields.Fields()
        replayed[headers.CONTENT_LENGTH] = str(len(step.body))
        if step.content_type:
            replayed[headers.CONTENT_TYPE] = step.content_type
        self._write(
            responses.Response(
                step.status,
                responses.find_phrase(step.status),
                replayed,
                step.body,
            ),
        )

    def _write(self, response: responses.Response) -> None:
        self._close()
        duration = self._services.loop.time() - self._started_at
        self._services.counters.record_time(
            'gate.duration' if self._is_forwarded else 'call.duration',
            int(duration * _SECOND_US),
        )
        if self._is_forwarded:
            response.headers[headers.ATTEMPT] = self._request.attempt
            now = self._services.clock.read()
            spare = self._services.gate.count_spare_slots(now)
            response.headers[headers.SPARE] = str(spare)
            headers.write_standing(
                response.headers, self._services.gate.describe_upstream(now)
            )
        self._responder.respond(response)

    def _set_timer(self, deadline_at: int, now: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._services.loop.call_later(
            (deadline_at - now) / clock.SECOND_MS,
            self.expire,
        )

    def _stop_attempt(self, ended: calls.Result, now: int) -> None:
        if self._connection is not None and self._outgoing is not None:
            self._connection.cancel(self._outgoing)
        if isinstance(self._step, calls.Enter):
            self._services.waiting.discard(self._step.attempt)
            self._services.gate.leave(self._step.attempt, ended, now)

    def _close(self) -> None:
        self._open = False
        self._services.active -= 1
        # Breaks reference cycles, to save work of the garbage collector.
        self._outgoing = None
        self._connection = None
        if self._timer is not None:
            self._timer.cancel()


def _accept_any(_response_headers: httputil.HTTPHeaders) -> responses.Match:
    """Accept any response of a node: `_end_forwarded` checks its attempt."""
    return responses.Match.PROVED


# Methods that execute the steps of a plan.
_STEPS: typing.Final[typing.Any] = types.MappingProxyType(
    {
        calls.Enter: Exchange._enter,
        calls.Forward: Exchange._forward,
        calls.Guard: Exchange._request_grant,
        calls.Relay: Exchange._relay,
        calls.Respond: Exchange._respond,
        calls.Replay: Exchange._replay,
    }
)
