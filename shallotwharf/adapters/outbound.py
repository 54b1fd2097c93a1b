"""Persistent HTTP/1.1 connections to upstreams and other nodes.

Each connection carries one request at a time, so that an answer belongs to
the request that was sent last; bytes that no request waits for close it.
"""

import asyncio
import typing
from collections import abc

from tornado import httputil

from shallotwharf.adapters import headers, wire
from shallotwharf.core import calls, counters, logs

# Connecting takes 1 ms within a region and 24 ms between regions.
CONNECT_TIMEOUT_SECONDS: typing.Final = 0.25
# Shorter than usual idle timeouts of HTTP servers, so that a request seldom
# meets a connection that the upstream is about to close.
IDLE_LIMIT_SECONDS: typing.Final = 1.5
IDLE_CONNECTION_LIMIT: typing.Final = 256
DEFAULT_MAX_ANSWER_BYTES: typing.Final = 16_777_216
# Larger bodies are written on their own, so that they are not copied.
COPY_LIMIT_BYTES: typing.Final = 16_384

REASON_CONNECT: typing.Final = 'connect_failed'
REASON_EXPIRED: typing.Final = 'expired_before_send'
REASON_NO_ANSWER: typing.Final = 'closed_without_answer'
REASON_INCOMPLETE: typing.Final = 'answer_incomplete'
REASON_UNFRAMED: typing.Final = 'answer_without_length'
REASON_TOO_LARGE: typing.Final = 'answer_too_large'
REASON_MALFORMED: typing.Final = 'answer_malformed'


class Answer:
    """A whole answer."""

    __slots__ = ('status', 'phrase', 'headers', 'body')

    def __init__(
        self,
        status: int,
        phrase: str,
        answer_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        self.status = status
        self.phrase = phrase
        self.headers = answer_headers
        self.body = body


Done: typing.TypeAlias = abc.Callable[[calls.Result, Answer | None], None]


class Outgoing:
    """A request to send.

    Attributes:
        start_line: method and target.
        headers: headers, complete but for what `prepare` sets.
        body: the whole body.
        prepare: called at the moment of sending; returns False if it is too
            late to send.
        done: called once with the result, unless it was cancelled.
    """

    __slots__ = ('start_line', 'headers', 'body', 'prepare', 'done')

    def __init__(
        self,
        start_line: httputil.RequestStartLine,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
        prepare: abc.Callable[[], bool],
        done: Done,
    ) -> None:
        self.start_line = start_line
        self.headers = request_headers
        self.body = body
        self.prepare = prepare
        self.done = done


class Connection(asyncio.Protocol, wire.Receiver):
    """One connection and the request that it carries, if any."""

    __slots__ = (
        '_pool',
        '_reader',
        '_transport',
        '_current',
        '_sent',
        '_answer',
        '_fault',
        '_closed',
        '_last',
        'idle_since',
    )

    def __init__(self, pool: 'ConnectionPool', first: Outgoing) -> None:
        self._pool = pool
        self._reader = wire.Reader(self)
        self._transport: asyncio.Transport | None = None
        self._current: Outgoing | None = first
        self._sent = False
        self._answer: Answer | None = None
        self._fault = ''
        self._closed = False
        self._last = False
        self.idle_since: float = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._pool.counters.add('outbound.connections')
        if self._current is None:
            self.close()
        else:
            self.send(self._current)

    def send(self, outgoing: Outgoing) -> None:
        """Send a request on an idle connection."""
        self._current = outgoing
        self._sent = False
        self._answer = None
        if not outgoing.prepare():
            self.fail(REASON_EXPIRED)
            return
        self._sent = True
        line = outgoing.start_line
        write_message(
            typing.cast(asyncio.Transport, self._transport),
            wire.build_head(
                f'{line.method} {line.path} HTTP/1.1',
                outgoing.headers,
            ),
            outgoing.body,
        )

    def cancel(self, outgoing: Outgoing) -> None:
        """Close the connection if it still carries a request."""
        if self._current is outgoing:
            self._current = None
            self.close()

    def is_closed(self) -> bool:
        """Tell whether the connection ended."""
        return self._closed

    def close(self) -> None:
        """End the connection."""
        self._closed = True
        self._reader.stop()
        if self._transport is not None:
            self._transport.abort()

    def fail(self, fault: str) -> None:
        """End the connection and the request that it carries."""
        self._fault = self._fault or fault
        self.close()
        self._end(self._build_failure(), None)

    def data_received(self, received: bytes) -> None:
        """Take bytes of an answer."""
        if self._current is None:
            # Bytes that nobody waits for belong to no request.
            self._pool.counters.add('outbound.unsolicited')
            self.close()
            return
        try:
            self._reader.feed(received)
        except httputil.HTTPInputError:
            self.fail(REASON_MALFORMED)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a request whose answer is not whole."""
        self._closed = True
        self._pool.remove(self)
        self._end(self._build_failure(), None)

    def receive_head(
        self,
        start_line: str,
        answer_headers: httputil.HTTPHeaders,
    ) -> int | None:
        """Take the start of an answer; return the length of its body."""
        line = httputil.parse_response_start_line(start_line)
        self._answer = Answer(line.code, line.reason, answer_headers, b'')
        outgoing = typing.cast(Outgoing, self._current)
        self._last = line.version != 'HTTP/1.1' or headers.asks_to_close(
            answer_headers,
        )
        length = wire.find_body_length(answer_headers)
        if headers.is_empty(line.code, outgoing.start_line.method):
            return 0
        if length == -1:
            self.fail(REASON_UNFRAMED)
            return 0
        if length is not None and length > self._pool.max_answer_bytes:
            self.fail(REASON_TOO_LARGE)
            return 0
        return length

    def receive_size(self, size: int) -> bool:
        """Take note of the length of the body so far."""
        if size > self._pool.max_answer_bytes:
            self.fail(REASON_TOO_LARGE)
        return not self._closed

    def receive_end(self, body: bytes) -> None:
        """Hand over the answer, which is whole, and wait for the next."""
        answer = typing.cast(Answer, self._answer)
        if headers.is_informational(answer.status):
            self._answer = None
            self._reader.resume()
            return
        answer.body = body
        self._end(
            calls.Result(calls.OUTCOME_ANSWERED, '', answer.status),
            answer,
        )
        if self._last or self._reader.count_waiting():
            self.close()
        elif not self._closed:
            self._reader.resume()
            self._pool.add_idle(self)

    def _build_failure(self) -> calls.Result:
        if not self._sent:
            return calls.Result(
                calls.OUTCOME_UNREACHED,
                self._fault or REASON_CONNECT,
            )
        reason = REASON_NO_ANSWER
        if self._answer is not None:
            reason = REASON_INCOMPLETE
        return calls.Result(calls.OUTCOME_CLOSED, self._fault or reason)

    def _end(self, ended: calls.Result, answer: Answer | None) -> None:
        outgoing = self._current
        if outgoing is None:
            return
        self._current = None
        try:
            outgoing.done(ended, answer)
        except Exception as error:
            # One call's fault must not end the connection's reader.
            self._pool.counters.add('outbound.faults')
            logs.warn('call_failed', error=repr(error))


class ConnectionPool:
    """Connections to one address; the one used last is used next."""

    __slots__ = (
        'max_answer_bytes',
        'counters',
        '_host',
        '_port',
        '_loop',
        '_idle',
        '_tasks',
    )

    def __init__(
        self,
        host: str,
        port: int,
        max_answer_bytes: int,
        process_counters: counters.Counters,
    ) -> None:
        self.max_answer_bytes = max_answer_bytes
        self.counters = process_counters
        self._host = host
        self._port = port
        self._loop = asyncio.get_running_loop()
        self._idle: list[Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, outgoing: Outgoing) -> Connection:
        """Send on an idle connection or on a new one."""
        limit = self._loop.time() - IDLE_LIMIT_SECONDS
        while self._idle:
            idle = self._idle.pop()
            if idle.idle_since >= limit and not idle.is_closed():
                idle.send(outgoing)
                return idle
            idle.close()
        return self._open(outgoing)

    def add_idle(self, connection: Connection) -> None:
        """Keep a connection for the next request."""
        connection.idle_since = self._loop.time()
        if len(self._idle) >= IDLE_CONNECTION_LIMIT:
            connection.close()
            return
        self._idle.append(connection)

    def remove(self, connection: Connection) -> None:
        """Forget a connection that ended."""
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _open(self, outgoing: Outgoing) -> Connection:
        connection = Connection(self, outgoing)
        task = self._loop.create_task(self._async_connect(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection

    async def _async_connect(self, connection: Connection) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await self._loop.create_connection(
                    lambda: connection,
                    self._host,
                    self._port,
                )
        except (OSError, TimeoutError):
            connection.fail(REASON_CONNECT)


class Outbound:
    """Connection pools by address."""

    __slots__ = ('_counters', '_max_answer_bytes', '_pools')

    def __init__(
        self,
        process_counters: counters.Counters,
        max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
    ) -> None:
        self._counters = process_counters
        self._max_answer_bytes = max_answer_bytes
        self._pools: dict[tuple[str, int], ConnectionPool] = {}

    def send(self, host: str, port: int, outgoing: Outgoing) -> Connection:
        """Send a request to an IP number and port; return its connection."""
        pool = self._pools.get((host, port))
        if pool is None:
            pool = ConnectionPool(
                host,
                port,
                self._max_answer_bytes,
                self._counters,
            )
            self._pools[host, port] = pool
        return pool.send(outgoing)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()


def write_message(
    transport: asyncio.Transport,
    head: bytes,
    body: bytes,
) -> None:
    """Write a message, in one piece unless its body is large."""
    if len(body) <= COPY_LIMIT_BYTES:
        transport.write(head + body)
        return
    transport.write(head)
    transport.write(body)
