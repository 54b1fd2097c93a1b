"""One persistent HTTP/1.1 connection to an upstream or another node.

It carries one request at a time, so that a response belongs to the request
that was sent last. Bytes that arrive without a pending request close it. An
upstream may repeat a response, so only a response that can be told from its
repetition lets the connection carry another request.
"""

import abc
import asyncio
import typing

from tornado import httputil

from shallotwharf.adapters import (
    headers,
    message_memory,
    responses,
    sending,
    slicer,
    wire,
    writer,
)
from shallotwharf.core import calls, counters, logs

REASON_CONNECT: typing.Final = 'connect_failed'
REASON_EXPIRED: typing.Final = 'deadline_too_short'
REASON_NO_ANSWER: typing.Final = 'closed_without_answer'
REASON_INCOMPLETE: typing.Final = 'answer_incomplete'
REASON_WITHOUT_LENGTH: typing.Final = 'answer_without_length'
REASON_TOO_LARGE: typing.Final = 'answer_too_large'
REASON_MALFORMED: typing.Final = 'answer_malformed'

# Limit of informational responses, and late ones to earlier requests, that
# precede the response to a request.
_MAX_SKIPPED_RESPONSES: typing.Final = 16
# Limit of the ids that a connection remembers; it closes at the limit.
MAX_FAILED_IDS: typing.Final = 256


class Owner(abc.ABC):
    """Holder of the connections to one address.

    Attributes:
        counters: counters of the process.
        max_response_bytes: limit of a response body; a larger one fails.
        memory: limit of all responses that are being received.
        slicer: lets the connections parse by turns.
    """

    __slots__ = ()

    counters: counters.Counters
    max_response_bytes: int
    memory: message_memory.ResponseMemory
    slicer: slicer.Slicer

    @abc.abstractmethod
    def add_idle(self, idle: 'Connection') -> None:
        """Add an idle connection for reuse."""

    @abc.abstractmethod
    def remove(self, ended: 'Connection') -> None:
        """Remove a connection that ended."""


class Connection(asyncio.Protocol, wire.Receiver, message_memory.Holder):
    """A connection and the request that it carries, if any."""

    __slots__ = (
        '_pool',
        '_reader',
        '_transport',
        '_writer',
        '_current',
        '_sent',
        '_response',
        '_failure_reason',
        '_closed',
        '_close_after',
        '_close_delimited',
        '_skipped',
        '_failed_ids',
        '_has_carried_head',
        'idle_since',
        'idle_limit',
    )

    def __init__(self, pool: Owner, first: sending.Outgoing) -> None:
        self._pool = pool
        self._reader = wire.ResponseReader(self)
        self._transport: asyncio.Transport | None = None
        self._writer: writer.MessageWriter | None = None
        self._current: sending.Outgoing | None = first
        self._sent = False
        self._response: responses.Response | None = None
        self._failure_reason = ''
        self._closed = False
        self._close_after = False
        self._close_delimited = False
        self._skipped = 0
        # Ids of the requests that did not succeed on this connection.
        self._failed_ids: set[str] = set()
        # Whether a request on this connection had the method HEAD.
        self._has_carried_head = False
        self.idle_since: float = 0
        # Keep-alive timeout of the peer in seconds; 0 if not stated.
        self.idle_limit: float = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._writer = writer.MessageWriter(self._transport)
        self._pool.counters.add('outbound.connections')
        if self._current is None:
            self.close()
        else:
            self.send(self._current)

    def send(self, outgoing: sending.Outgoing) -> None:
        """Send a request on an idle connection."""
        self._current = outgoing
        self._sent = False
        self._response = None
        self._skipped = 0
        if not outgoing.prepare():
            self.fail(REASON_EXPIRED)
            return
        self._sent = True
        line = outgoing.start_line
        if line.method == headers.METHOD_HEAD:
            self._has_carried_head = True
        typing.cast(writer.MessageWriter, self._writer).write(
            wire.build_head(
                f'{line.method} {line.path} HTTP/1.1',
                outgoing.headers,
            ),
            outgoing.body,
            _ignore_end,
        )

    def pause_writing(self) -> None:
        """Write no more: the peer does not read."""
        if self._writer is not None:
            self._writer.pause()

    def resume_writing(self) -> None:
        """Write the rest of the request."""
        if self._writer is not None:
            self._writer.resume()

    def may_carry(self, outgoing: sending.Outgoing) -> bool:
        """Return whether a response could be told from an earlier one.

        A retry has the id of the failed attempt, so a repetition of the
        earlier response would match it.
        """
        return outgoing.request_id not in self._failed_ids

    def cancel(self, outgoing: sending.Outgoing) -> None:
        """Close the connection if it still carries this request."""
        if self._current is outgoing:
            self._pool.memory.resize(self, 0)
            self._current = None
            self.close()

    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._closed

    def close(self) -> None:
        """Close the connection without sending buffered data."""
        self._closed = True
        self._reader.stop()
        if self._writer is not None:
            self._writer.discard()
        if self._transport is not None:
            self._transport.abort()

    def drop_response(self) -> None:
        """Fail the request: its response takes too much memory."""
        self.fail(REASON_TOO_LARGE)

    def fail(self, fault: str) -> None:
        """Close the connection and fail the request that it carries."""
        self._failure_reason = self._failure_reason or fault
        self.close()
        self._finish_request(self._build_failure(), None)

    def data_received(self, received: bytes) -> None:
        """Parse bytes of a response."""
        if self._current is None:
            self._refuse_unsolicited()
            return
        try:
            self._reader.feed(received)
        except httputil.HTTPInputError:
            self.fail(REASON_MALFORMED)
        self._defer_rest()

    def read_rest(self) -> None:
        """Parse a part of what was received."""
        if self._closed:
            return
        typing.cast(asyncio.Transport, self._transport).resume_reading()
        if self._reader.is_pending():
            try:
                self._reader.resume()
            except httputil.HTTPInputError:
                self.fail(REASON_MALFORMED)
        self._defer_rest()

    def eof_received(self) -> None:
        """Complete a response that ends here; prevent the reuse."""
        if self._close_delimited and self._current is not None:
            self._reader.finish()
        # The transport drops what is written until it calls connection_lost.
        self._closed = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request whose response is incomplete."""
        self._closed = True
        if self._writer is not None:
            self._writer.discard()
        self._pool.remove(self)
        self._finish_request(self._build_failure(), None)

    def receive_head(
        self,
        start_line: str,
        response_headers: httputil.HTTPHeaders,
    ) -> int | None:
        """Store the head of a response; return the length of its body.

        Returns None if the body is chunked or ends with the connection.
        """
        line = wire.parse_status_line(start_line)
        self._response = responses.Response(
            line.code, line.reason, response_headers, b''
        )
        outgoing = typing.cast(sending.Outgoing, self._current)
        length = wire.find_body_length(response_headers)
        # A response to an earlier request may or may not have a body, if that
        # may have had the method HEAD.
        has_unknown_end = self._has_carried_head and (
            outgoing.match_response(response_headers) is responses.Match.FOREIGN
        )
        if has_unknown_end or not headers.is_valid(line.code, length):
            self.fail(REASON_MALFORMED)
            return 0
        self._close_after = (
            line.version != 'HTTP/1.1'
            or headers.closes_connection(
                response_headers,
            )
        )
        if headers.is_empty(line.code, outgoing.start_line.method):
            return 0
        if length == -1 and not outgoing.allows_eof_body:
            self.fail(REASON_WITHOUT_LENGTH)
            return 0
        self._close_delimited = length == -1
        if self._close_delimited:
            # The close of the connection delimits the body (RFC 9112, 6.3).
            self._close_after = True
            return None
        if length is not None and length > self._pool.max_response_bytes:
            self.fail(REASON_TOO_LARGE)
            return 0
        return length

    def receive_size(self, size: int) -> bool:
        """Fail the request if the body exceeds a limit."""
        if size > self._pool.max_response_bytes:
            self.fail(REASON_TOO_LARGE)
        else:
            self._pool.memory.resize(self, size)
        return not self._closed

    def receive_end(self, body: bytes) -> None:
        """Deliver the complete response and make the connection idle."""
        response = typing.cast(responses.Response, self._response)
        if headers.is_informational(response.status):
            self._skip_response()
            return
        outgoing = typing.cast(sending.Outgoing, self._current)
        match = outgoing.match_response(response.headers)
        if match is responses.Match.FOREIGN:
            # A late response to an earlier request; the right one may follow.
            self._pool.counters.add('outbound.foreign')
            self._skip_response()
            return
        if match is responses.Match.UNPROVED:
            self._pool.counters.add('outbound.unproved')
            self._close_after = True
        if outgoing.request_id and not headers.is_success(response.status):
            self._remember_failure(outgoing.request_id)
        if typing.cast(writer.MessageWriter, self._writer).is_writing:
            # The peer answered early and reads on: nothing else may follow.
            self._close_after = True
        response.body = body
        self.idle_limit = headers.read_keep_alive(response.headers)
        self._finish_request(
            calls.Result(calls.OUTCOME_ANSWERED, '', response.status),
            response,
        )
        if not self._reader.is_empty():
            self._refuse_unsolicited()
        elif self._close_after:
            self.close()
        elif not self._closed:
            self._reader.resume()
            self._pool.add_idle(self)

    def _defer_rest(self) -> None:
        """Let other connections parse before the rest."""
        if self._reader.is_pending() and not self._closed:
            typing.cast(asyncio.Transport, self._transport).pause_reading()
            self._pool.slicer.add(self.read_rest)

    def _remember_failure(self, request_id: str) -> None:
        self._failed_ids.add(request_id)
        if len(self._failed_ids) >= MAX_FAILED_IDS:
            self._close_after = True

    def _skip_response(self) -> None:
        """Wait for another response to the same request."""
        self._pool.memory.resize(self, 0)
        self._response = None
        self._skipped += 1
        if self._skipped > _MAX_SKIPPED_RESPONSES:
            self.fail(REASON_MALFORMED)
        elif self._close_after:
            self.fail(REASON_NO_ANSWER)
        else:
            self._reader.resume()

    def _refuse_unsolicited(self) -> None:
        """Close the connection because of bytes without a pending request."""
        self._pool.counters.add('outbound.unsolicited')
        self.close()

    def _build_failure(self) -> calls.Result:
        if self._failure_reason == REASON_EXPIRED:
            return calls.Result(calls.OUTCOME_REFUSED, REASON_EXPIRED)
        if not self._sent:
            return calls.Result(
                calls.OUTCOME_UNREACHED,
                self._failure_reason or REASON_CONNECT,
            )
        reason = REASON_NO_ANSWER
        if self._response is not None:
            reason = REASON_INCOMPLETE
        return calls.Result(
            calls.OUTCOME_CLOSED, self._failure_reason or reason
        )

    def _finish_request(
        self, ended: calls.Result, response: responses.Response | None
    ) -> None:
        self._pool.memory.resize(self, 0)
        outgoing = self._current
        if outgoing is None:
            return
        self._current = None
        try:
            outgoing.on_done(ended, response)
        except Exception as error:
            # An error in one call must not break the connection's reader.
            self._pool.counters.add('outbound.faults')
            logs.warn('call_failed', error=repr(error))


def _ignore_end() -> None:
    """Do nothing at the end of a request: its response is awaited."""
