"""HTTP responses to calls, including refusals, and their writing."""

import enum
import json
import typing
from http import client

from tornado import httputil

from shallotwharf.adapters import fields, headers
from shallotwharf.core import calls, clock

_PHRASE_UNKNOWN: typing.Final = 'Unknown'


class Match(enum.Enum):
    """Whether a response belongs to the request that was sent last."""

    # It does, and its repetition would not match a later request.
    PROVED = 'proved'
    # It does, as long as no earlier response of its connection is repeated.
    UNPROVED = 'unproved'
    # It belongs to another request.
    FOREIGN = 'foreign'


class Response:
    """A complete HTTP response."""

    __slots__ = ('status', 'phrase', 'headers', 'body')

    def __init__(
        self,
        status: int,
        phrase: str,
        response_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        self.status = status
        self.phrase = phrase
        self.headers = response_headers
        self.body = body


def build_refusal(step: calls.Respond, *, forwarded: bool) -> Response:
    """Build the response of a node that refuses a call.

    If the call was forwarded by another node, it has the outcome header.
    """
    body = json.dumps({'reason': step.reason, 'not_run': step.not_run})
    refusal = fields.Fields()
    refusal[headers.CONTENT_TYPE] = headers.JSON_TYPE
    refusal[headers.CONTENT_LENGTH] = str(len(body))
    if step.retry_after_ms:
        seconds = -(-step.retry_after_ms // clock.SECOND_MS)
        refusal[headers.RETRY_AFTER] = str(seconds)
    if forwarded:
        refusal[headers.OUTCOME] = headers.write_outcome(step)
    return Response(
        int(step.status),
        find_phrase(step.status),
        refusal,
        body.encode(),
    )


def find_phrase(status: int) -> str:
    """Return the reason phrase of a status, or `Unknown`."""
    return client.responses.get(status, _PHRASE_UNKNOWN)
