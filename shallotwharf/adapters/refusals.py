"""Refusals of requests that no plan handles."""

import http
import typing

from shallotwharf.adapters import headers, responses
from shallotwharf.core import calls

BAD_REQUEST: typing.Final = calls.Respond(
    http.HTTPStatus.BAD_REQUEST,
    'malformed_request',
    not_run=True,
)
TOO_LARGE: typing.Final = calls.Respond(
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    'body_too_large',
    not_run=True,
)
TOO_COMPLEX: typing.Final = calls.Respond(
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    'document_too_complex',
    not_run=True,
)
HEAD_TOO_LARGE: typing.Final = calls.Respond(
    http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    'head_too_large',
    not_run=True,
)
# The requests that hold the memory have deadlines of seconds.
NO_MEMORY: typing.Final = calls.Respond(
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    'memory_full',
    not_run=True,
    retry_after_ms=1000,
)
TIMED_OUT: typing.Final = calls.Respond(
    http.HTTPStatus.REQUEST_TIMEOUT,
    'request_incomplete',
    not_run=True,
)
# The request has run; its response found no room until its turn.
RESPONSE_DROPPED: typing.Final = calls.Respond(
    http.HTTPStatus.BAD_GATEWAY,
    'memory_full',
    not_run=False,
)


def build_refusal(step: calls.Respond, attempt: str) -> responses.Response:
    """Return the response; `attempt` is the id that another node gave."""
    if not attempt:
        return responses.build_refusal(step, forwarded=False)
    # The node that chose this one may send the call elsewhere.
    refusal = responses.build_refusal(step, forwarded=True)
    refusal.headers[headers.ATTEMPT] = attempt
    return refusal
