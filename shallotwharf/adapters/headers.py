"""HTTP headers of calls: names, removal, encoding and decoding."""

import typing

from tornado import httputil

from shallotwharf.core import calls, numbers, upstream_notices

DEADLINE: typing.Final = 'Shallotwharf-Deadline-Ms'
ATTEMPT: typing.Final = 'Shallotwharf-Attempt'
RETRIED: typing.Final = 'Shallotwharf-Retried'
FORWARDED: typing.Final = 'Shallotwharf-Forwarded'
# In responses between nodes: number of free slots at the gate.
SPARE: typing.Final = 'Shallotwharf-Spare'
# In responses between nodes: present speed, usual speed and, if the upstream is
# cold, a 1.
CONDITION: typing.Final = 'Shallotwharf-Condition'
# In responses between nodes: incarnation of an upstream that stated that it
# leaves.
LEAVING: typing.Final = 'Shallotwharf-Leaving'
# In responses between nodes: outcome of the attempt and its reason.
OUTCOME: typing.Final = 'Shallotwharf-Outcome'
# Request id that a caller may set; used in logs.
REQUEST_ID: typing.Final = 'X-Request-Id'
IDEMPOTENCY_KEY: typing.Final = 'Idempotency-Key'
RETRY_AFTER: typing.Final = 'Retry-After'
CONNECTION: typing.Final = 'Connection'
CONTENT_LENGTH: typing.Final = 'Content-Length'
CONTENT_TYPE: typing.Final = 'Content-Type'
TRANSFER_ENCODING: typing.Final = 'Transfer-Encoding'
JSON_TYPE: typing.Final = 'application/json'

_EXPECT: typing.Final = 'Expect'
_KEEP_ALIVE: typing.Final = 'Keep-Alive'
_HOP_BY_HOP: typing.Final = frozenset(
    (
        CONNECTION,
        _KEEP_ALIVE,
        'Proxy-Authenticate',
        'Proxy-Authorization',
        'Proxy-Connection',
        'Te',
        'Trailer',
        TRANSFER_ENCODING,
        'Upgrade',
        _EXPECT,
    )
)
_INTERNAL: typing.Final = frozenset(
    (ATTEMPT, CONDITION, FORWARDED, LEAVING, OUTCOME, SPARE),
)
_RECEIVED_ONLY: typing.Final = _HOP_BY_HOP | _INTERNAL
_ATTEMPT_HEADERS: typing.Final = frozenset(
    (ATTEMPT, DEADLINE, RETRIED, FORWARDED),
)
STATUS_FINAL: typing.Final = 'final'
STATUS_SKIPPED: typing.Final = 'skipped'
STATUS_INVALID: typing.Final = 'invalid'
# All statuses that a response may have (RFC 9110, 15). Connections never change
# their protocol, so that 101 is none of them.
_STATUSES: typing.Final = (
    (100, 100, STATUS_SKIPPED),
    (102, 199, STATUS_SKIPPED),
    (200, 599, STATUS_FINAL),
)
_NO_BODY: typing.Final = frozenset((-1, 0))
CLOSE: typing.Final = 'close'
METHOD_HEAD: typing.Final = 'HEAD'
_FLAG_SET: typing.Final = '1'
_CONDITION_PARTS: typing.Final = 3
_REPORTED: typing.Final = frozenset(
    (
        calls.OUTCOME_REFUSED,
        calls.OUTCOME_UNREACHED,
        calls.OUTCOME_CLOSED,
        calls.OUTCOME_CROSSED,
        calls.OUTCOME_LATE,
        calls.OUTCOME_CANCELLED,
    ),
)


def strip_hop_headers(headers: httputil.HTTPHeaders) -> None:
    """Remove the headers that belong to one connection (RFC 9110, 7.6.1)."""
    _remove_named(headers)
    _remove(headers, _HOP_BY_HOP)


def strip_internal_headers(headers: httputil.HTTPHeaders) -> None:
    """Remove the headers that only nodes may exchange."""
    _remove(headers, _INTERNAL)


def strip_received_headers(headers: httputil.HTTPHeaders) -> None:
    """Remove the headers of one connection and those of nodes."""
    _remove_named(headers)
    _remove(headers, _RECEIVED_ONLY)


def _remove_named(headers: httputil.HTTPHeaders) -> None:
    named = headers.get(CONNECTION)
    if named is not None:
        for name in named.split(','):
            headers.pop(name.strip(), None)


def _remove(
    headers: httputil.HTTPHeaders,
    removed: frozenset[str],
) -> None:
    if not removed.isdisjoint(headers):
        for name in removed.intersection(headers):
            headers.pop(name)


def closes_connection(headers: httputil.HTTPHeaders) -> bool:
    """Return whether the connection closes after this message."""
    named = headers.get(CONNECTION)
    return named is not None and CLOSE in named.lower()


def read_keep_alive(headers: httputil.HTTPHeaders) -> float:
    """Return the keep-alive timeout of the peer in seconds; 0 if not stated.

    Source: RFC 2068, section 19.7.1.1.
    """
    stated = headers.get(_KEEP_ALIVE)
    if stated is None:
        return 0
    for part in stated.split(','):
        name, _, seconds = part.partition('=')
        if name.strip().lower() == 'timeout':
            return float(numbers.parse_count(seconds.strip()) or 0)
    return 0


def expects_continue(headers: httputil.HTTPHeaders) -> bool:
    """Return whether the caller waits for 100 Continue before the body."""
    return _EXPECT in headers and headers[_EXPECT].lower() == '100-continue'


def classify_status(status: int) -> str:
    """Return what a response with this status is, one of `STATUS_...`."""
    for first, last, kind in _STATUSES:
        if first <= status <= last:
            return kind
    return STATUS_INVALID


def is_valid(status: int, length: int | None) -> bool:
    """Return whether a response may have this status and stated length.

    An informational response with a body (RFC 9110, 8.6) is the final one for
    the upstream that sent it, so that waiting for another would be in vain.

    Args:
        status: status code.
        length: stated length of the body; None if chunked, -1 if not stated.
    """
    kind = classify_status(status)
    if kind == STATUS_SKIPPED:
        return length in _NO_BODY
    return kind == STATUS_FINAL


def is_informational(status: int) -> bool:
    """Return whether another response follows (RFC 9110, 15.2)."""
    return status < 200  # noqa: WPS432


def is_success(status: int) -> bool:
    """Return whether a request succeeded (RFC 9110, 15.3)."""
    return 200 <= status < 300  # noqa: WPS432


def is_empty(status: int, method: str) -> bool:
    """Return whether a response has no body, regardless of its headers."""
    return (
        method == METHOD_HEAD
        or status in {204, 304}  # noqa: WPS432
        or is_informational(status)
    )


def read_request(
    start_line: httputil.RequestStartLine,
    headers: httputil.HTTPHeaders,
    body: bytes,
    label: str | None = None,
) -> calls.Request:
    """Parse a request of a caller or of another node.

    Args:
        start_line: method and target.
        headers: headers of the request.
        body: its body.
        label: id for logs; None for that of the standard interface.
    """
    return calls.Request(
        start_line.method,
        start_line.path,
        body,
        numbers.parse_count(headers.get(DEADLINE, '')),
        RETRIED in headers,
        headers.get(ATTEMPT, ''),
        headers.get(FORWARDED, ''),
        headers.get(IDEMPOTENCY_KEY, ''),
        read_host(headers),
        headers.get(REQUEST_ID, '') if label is None else label,
    )


def read_host(headers: httputil.HTTPHeaders) -> str:
    """Return the host of a request in lower case, without the port."""
    return headers.get('Host', '').partition(':')[0].lower()


def write_attempt(
    headers: httputil.HTTPHeaders,
    attempt: str,
    deadline_ms: int,
    retried: bool,
) -> None:
    """Set the headers of an attempt; `deadline_ms` is the time left."""
    headers[ATTEMPT] = attempt
    headers[DEADLINE] = str(max(deadline_ms, 0))
    if retried:
        headers[RETRIED] = _FLAG_SET


def strip_attempt(headers: httputil.HTTPHeaders) -> None:
    """Remove the headers of an attempt that was sent to another node."""
    _remove(headers, _ATTEMPT_HEADERS)


def read_result(
    status: int,
    headers: httputil.HTTPHeaders,
    attempt: str,
) -> calls.Result:
    """Return the result of an attempt from another node's response."""
    if headers.get(ATTEMPT) != attempt:
        return calls.Result(calls.OUTCOME_CROSSED, 'attempt_mismatch')
    stated = numbers.parse_count(headers.get(SPARE, ''))
    spare = -1 if stated is None else stated
    leaving = headers.get(LEAVING, '')
    reported = headers.get(OUTCOME)
    if reported is None:
        return calls.Result(
            calls.OUTCOME_ANSWERED,
            '',
            status,
            spare,
            leaving=leaving,
            condition=read_condition(headers),
        )
    outcome, _, reason = reported.partition(' ')
    if outcome not in _REPORTED:
        return calls.Result(calls.OUTCOME_CROSSED, 'unknown_outcome')
    return calls.Result(
        outcome,
        reason,
        spare=spare,
        leaving=leaving,
        condition=read_condition(headers),
    )


def write_standing(
    headers: httputil.HTTPHeaders, standing: upstream_notices.Standing
) -> None:
    """Set the headers of what is known about an upstream."""
    if standing.leaving:
        headers[LEAVING] = standing.leaving
    condition = standing.condition
    if condition != upstream_notices.UNKNOWN_CONDITION:
        cold = int(condition.is_cold)
        headers[CONDITION] = f'{condition.speed} {condition.usual_speed} {cold}'


def read_condition(
    headers: httputil.HTTPHeaders,
) -> upstream_notices.Condition | None:
    """Return the condition in a response; None without a valid one."""
    stated = headers.get(CONDITION)
    if stated is None:
        return None
    parts = [numbers.parse_count(part) for part in stated.split(' ')]
    if len(parts) != _CONDITION_PARTS:
        return None
    speed, usual_speed, cold = parts
    if speed is None or usual_speed is None or cold is None:
        return None
    return upstream_notices.Condition(speed, usual_speed, bool(cold))


def write_outcome(step: calls.Respond) -> str:
    """Return the value of the outcome header of a response."""
    return f'{step.outcome} {step.reason}'
