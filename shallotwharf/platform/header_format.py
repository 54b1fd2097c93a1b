"""Headers exchanged with callers and upstreams on the users' platform."""

import json
import typing

from tornado import httputil

from shallotwharf.adapters import fields, header_format, headers, responses
from shallotwharf.core import (
    call_interfaces,
    calls,
    clock,
    credentials,
    numbers,
    upstream_notices,
)

# Unique id of a caller's attempt; upstreams echo it in the response.
_ATTEMPT: typing.Final = 'Attempt-Id'
_DEADLINE: typing.Final = 'Deadline-Ms'
# Instance of the upstream that the request is meant for; any other instance
# refuses it.
_INSTANCE: typing.Final = 'Target-Instance'
# Service of the machine that the call originates from.
_CALLER: typing.Final = 'Caller-Service'
# Key of the caller's tenant, and the name of that tenant for the upstream.
_KEY: typing.Final = 'Api-Key'
_TENANT: typing.Final = 'Tenant'
# Signature of the upstream; proves that it produced the response.
_SIGNATURE: typing.Final = 'Response-Signature'
# Set by an upstream that did not run the request.
_NOT_RUN: typing.Final = 'Not-Executed'
_ENCODING: typing.Final = 'Content-Encoding'
# Requests a second that an upstream takes from all machines together.
_LIMIT: typing.Final = 'Server-Limit'
# Set by an upstream that is about to end.
_LEAVING: typing.Final = 'Server-Leaving'
_LEAVING_SET: typing.Final = '1'
_SILENT: typing.Final = upstream_notices.UpstreamNotice()
# Running, waiting and slots of an upstream, and optionally how long work takes
# there at present in percent of the usual time; separated by commas.
_LOAD: typing.Final = 'Server-Load'
_LOAD_PARTS: typing.Final = frozenset((3, 4))
# Higher counts and slower upstreams than these do not occur; such figures
# would distort estimates.
_MAX_LOAD_COUNT: typing.Final = 1_000_000
_MAX_SPEED: typing.Final = 10_000
_USUAL_SPEED: typing.Final = 100

# In health responses: the instance, and how long it stays cold in milliseconds.
_INSTANCE_ID: typing.Final = 'Instance-Id'
_COLD: typing.Final = 'Cold-Ms'
# A longer time is not valid: it would limit an upstream for good.
MAX_COLD_MS: typing.Final = 600_000

_MISDIRECTED: typing.Final = 421
_BAD_GATEWAY: typing.Final = 502
# Statuses that guarantee to a caller that its request has not run.
_NOT_RUN_STATUSES: typing.Final = frozenset((408, _MISDIRECTED, 429, 503))
_OK: typing.Final = 200
_REDIRECT: typing.Final = 300

_REASON_UNSIGNED: typing.Final = 'answer_without_proof'
_REASON_ENCODED: typing.Final = 'answer_encoded'


class PlatformHeaderFormat(header_format.HeaderFormat):
    """Reads and writes the platform's headers."""

    __slots__ = ('_service',)

    allows_eof_body = True
    has_notices = True

    def __init__(self, service: str) -> None:
        """Set the service of the upstream beside this node."""
        self._service = service

    def read_request(
        self,
        start_line: httputil.RequestStartLine,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> calls.Request:
        """Return a request from a caller or from another node."""
        label = request_headers.get(_ATTEMPT, '')
        if request_headers.get(headers.FORWARDED):
            return headers.read_request(
                start_line, request_headers, body, label
            )
        return calls.Request(
            start_line.method,
            start_line.path,
            body,
            numbers.parse_count(request_headers.get(_DEADLINE, '')),
            attempt=request_headers.get(headers.ATTEMPT, ''),
            host=headers.read_host(request_headers),
            label=label,
            key_digest=credentials.compute_key_digest(
                request_headers.get(_KEY, '').strip(' \t')
            ),
        )

    def mark_origin(self, request_headers: httputil.HTTPHeaders) -> None:
        """Set the service of the machine that the request originates from."""
        request_headers[_CALLER] = self._service
        _strip_tenant(request_headers)

    def write_attempt(
        self,
        request_headers: httputil.HTTPHeaders,
        attempt: header_format.UpstreamAttempt,
    ) -> None:
        """Set the remaining time and the target instance."""
        headers.strip_attempt(request_headers)
        # A node of a release before tenants forwards both.
        _strip_tenant(request_headers)
        request_headers[_DEADLINE] = str(max(attempt.deadline_ms, 0))
        request_headers[_INSTANCE] = attempt.instance
        if attempt.tenant:
            request_headers[_TENANT] = attempt.tenant

    def find_request_id(self, request_headers: httputil.HTTPHeaders) -> str:
        """Return the id of the caller's attempt."""
        return request_headers.get(_ATTEMPT, '')

    def match_response(
        self,
        request_headers: httputil.HTTPHeaders,
        response_headers: httputil.HTTPHeaders,
    ) -> responses.Match:
        """Compare the attempt ids; a refusal may come without one."""
        echoed = response_headers.get(_ATTEMPT)
        if not echoed:
            return responses.Match.UNPROVED
        if echoed == request_headers.get(_ATTEMPT):
            return responses.Match.PROVED
        return responses.Match.FOREIGN

    def mark_probe(
        self, request_headers: httputil.HTTPHeaders, number: int
    ) -> None:
        """Set the id of a probe, which a response may echo."""
        request_headers[_ATTEMPT] = f'probe-{number}'

    def read_health(
        self,
        response_headers: httputil.HTTPHeaders,
        instance: str,
    ) -> call_interfaces.HealthAnswer:
        """Return what an instance states in its health response.

        Nothing if another instance responded. A warm one may leave the header
        out.
        """
        if response_headers.get(_INSTANCE_ID) != instance:
            return call_interfaces.UNKNOWN_HEALTH
        cold_ms = numbers.parse_count(response_headers.get(_COLD, '0'))
        if cold_ms is not None and cold_ms > MAX_COLD_MS:
            cold_ms = None
        return call_interfaces.HealthAnswer(
            cold_ms, read_load(response_headers.get(_LOAD, ''))
        )

    def read_result(
        self,
        status: int,
        response_headers: httputil.HTTPHeaders,
    ) -> calls.Result:
        """Return the result of an attempt that an upstream responded to.

        These must not reach a caller: an unsigned success, an encoded body,
        and a status that guarantees that the request did not run, unless the
        upstream confirmed it.
        """
        ended = _read_outcome(status, response_headers)
        ended.notice = _read_notice(ended.outcome, response_headers)
        return ended

    def build_refusal(
        self,
        step: calls.Respond,
        request_headers: httputil.HTTPHeaders,
    ) -> responses.Response:
        """Return the response of this node that refuses a caller's request."""
        body = json.dumps({'reason': step.reason, 'not_run': step.not_run})
        refusal = fields.Fields()
        refusal[headers.CONTENT_TYPE] = headers.JSON_TYPE
        refusal[headers.CONTENT_LENGTH] = str(len(body))
        attempt = request_headers.get(_ATTEMPT)
        if attempt is not None:
            refusal[_ATTEMPT] = attempt
        if step.retry_after_ms and step.not_run:
            seconds = step.retry_after_ms / clock.SECOND_MS
            refusal[headers.RETRY_AFTER] = f'{seconds:.3f}'
        status = int(step.status)
        if status in _NOT_RUN_STATUSES and not step.not_run:
            status = _BAD_GATEWAY
        return responses.Response(
            status,
            responses.find_phrase(status),
            refusal,
            body.encode(),
        )


def _strip_tenant(request_headers: httputil.HTTPHeaders) -> None:
    for name in (_KEY, _TENANT):
        if name in request_headers:
            request_headers.pop(name)


def _read_outcome(
    status: int,
    response_headers: httputil.HTTPHeaders,
) -> calls.Result:
    if status in _NOT_RUN_STATUSES:
        return _read_refusal(status, response_headers)
    if _ENCODING in response_headers:
        return calls.Result(calls.OUTCOME_CROSSED, _REASON_ENCODED)
    signed = _SIGNATURE in response_headers and _ATTEMPT in response_headers
    if _OK <= status < _REDIRECT and not signed:
        return calls.Result(calls.OUTCOME_CROSSED, _REASON_UNSIGNED)
    return calls.Result(calls.OUTCOME_ANSWERED, '', status)


def _read_notice(
    outcome: str,
    response_headers: httputil.HTTPHeaders,
) -> upstream_notices.UpstreamNotice | None:
    """Return what a response states; None if it states nothing.

    Only the upstream's own answer without a limit shows that there is none: a
    refusal may come from a part of it that does not know.
    """
    limit = response_headers.get(_LIMIT)
    leaving = response_headers.get(_LEAVING)
    stated = response_headers.get(_LOAD)
    is_silent = limit is None and leaving is None
    is_answered = outcome == calls.OUTCOME_ANSWERED
    if stated is None and is_silent:
        return _SILENT if is_answered else None
    load = None if stated is None else read_load(stated)
    return upstream_notices.UpstreamNotice(
        None if limit is None else numbers.parse_decimal(limit),
        leaving == _LEAVING_SET,
        load,
        stated is not None and load is None,
        is_silent and not is_answered,
    )


def read_load(text: str) -> upstream_notices.UpstreamLoad | None:
    """Return the load in a header; None if it is not valid."""
    parts = [numbers.parse_count(part.strip()) for part in text.split(',')]
    counts = [part for part in parts if part is not None]
    if len(parts) not in _LOAD_PARTS or len(counts) < len(parts):
        return None
    running, waiting, slots, *rest = counts
    speed = rest[0] if rest else _USUAL_SPEED
    is_valid = (
        max(running, waiting, slots) <= _MAX_LOAD_COUNT
        and slots > 0
        and 0 < speed <= _MAX_SPEED
    )
    if not is_valid:
        return None
    return upstream_notices.UpstreamLoad(
        running, waiting, slots, speed if rest else 0
    )


def _read_refusal(
    status: int,
    response_headers: httputil.HTTPHeaders,
) -> calls.Result:
    if status == _MISDIRECTED:
        return calls.Result(calls.OUTCOME_REFUSED, calls.REASON_UPSTREAM_OTHER)
    if _NOT_RUN in response_headers:
        return calls.Result(calls.OUTCOME_REFUSED, calls.REASON_UPSTREAM_FULL)
    return calls.Result(calls.OUTCOME_CROSSED, _REASON_UNSIGNED)
