"""A request that is to be sent on a connection."""

import typing
from collections import abc as collections_abc

from tornado import httputil

from shallotwharf.adapters import responses
from shallotwharf.core import calls

OnDone: typing.TypeAlias = collections_abc.Callable[
    [calls.Result, responses.Response | None], None
]

MatchResponse: typing.TypeAlias = collections_abc.Callable[
    [httputil.HTTPHeaders], responses.Match
]


class Outgoing:
    """A request to send.

    Attributes:
        start_line: method and target.
        headers: headers, complete except for those that `prepare` sets.
        body: the complete body.
        prepare: called immediately before sending; returns False if too
            little time is left to send.
        match_response: returns whether a response with the given headers
            belongs to the request.
        allows_eof_body: whether the body of a response may be delimited by the
            close of the connection instead of a length.
        request_id: id that the response echoes; may be sent again in a retry.
            Empty if the response is not matched by such an id.
        on_done: called once with the result, unless the request was cancelled.
    """

    __slots__ = (
        'start_line',
        'headers',
        'body',
        'prepare',
        'on_done',
        'match_response',
        'allows_eof_body',
        'request_id',
    )

    def __init__(
        self,
        start_line: httputil.RequestStartLine,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
        prepare: collections_abc.Callable[[], bool],
        on_done: OnDone,
        match_response: MatchResponse,
        allows_eof_body: bool = False,
        request_id: str = '',
    ) -> None:
        self.start_line = start_line
        self.headers = request_headers
        self.body = body
        self.prepare = prepare
        self.on_done = on_done
        self.match_response = match_response
        self.allows_eof_body = allows_eof_body
        self.request_id = request_id
