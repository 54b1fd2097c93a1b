"""Persistent HTTP/1.1 connections to upstreams and other nodes.

Each connection carries one request at a time, so that an answer belongs to
the request that was sent last; bytes that no request waits for close it. A
read is always pending, so that a connection that the other side closed is
noticed while it is idle.
"""

import asyncio
import socket
import time
import typing
from collections import abc

from tornado import http1connection, httputil, iostream

from shallotwharf.adapters import headers
from shallotwharf.core import calls, counters, logs

# Connecting takes 1 ms within a region and 24 ms between regions.
CONNECT_TIMEOUT_SECONDS: typing.Final = 0.25
# Shorter than usual idle timeouts of HTTP servers, so that a request seldom
# meets a connection that the upstream is about to close.
IDLE_LIMIT_SECONDS: typing.Final = 1.5
IDLE_CONNECTION_LIMIT: typing.Final = 256
DEFAULT_MAX_ANSWER_BYTES: typing.Final = 16_777_216
READ_CHUNK_BYTES: typing.Final = 16_384

REASON_CONNECT: typing.Final = 'connect_failed'
REASON_EXPIRED: typing.Final = 'expired_before_send'
REASON_NO_ANSWER: typing.Final = 'closed_without_answer'
REASON_INCOMPLETE: typing.Final = 'answer_incomplete'
REASON_UNFRAMED: typing.Final = 'answer_without_length'
REASON_TOO_LARGE: typing.Final = 'answer_too_large'


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


class Connection(httputil.HTTPMessageDelegate):
    """One connection and the request that it carries, if any."""

    __slots__ = (
        '_pool',
        '_stream',
        '_http',
        '_current',
        '_sent',
        '_status',
        '_phrase',
        '_headers',
        '_parts',
        '_size',
        '_fault',
        'idle_since',
    )

    def __init__(self, pool: 'ConnectionPool', first: Outgoing) -> None:
        family = socket.AF_INET6 if ':' in pool.host else socket.AF_INET
        opened = socket.socket(family, socket.SOCK_STREAM)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pool = pool
        self._stream = _Stream(opened, read_chunk_size=READ_CHUNK_BYTES)
        self._http = self._make_http()
        self._current: Outgoing | None = first
        self._sent = False
        self._status = 0
        self._phrase = ''
        self._headers = httputil.HTTPHeaders()
        self._parts: list[bytes] = []
        self._size = 0
        self._fault = ''
        self.idle_since: float = 0

    async def async_run(self) -> None:
        """Connect, then read answers until the connection ends."""
        try:
            await self._async_read_all()
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            self._stream.close()
        finally:
            self._leave()

    def send(self, outgoing: Outgoing) -> None:
        """Send a request on an idle connection."""
        self._current = outgoing
        self._sent = False
        if not outgoing.prepare():
            self._fault = REASON_EXPIRED
            self._stream.close()
            return
        self._sent = True
        self._status = 0
        self._parts = []
        self._size = 0
        self._http.write_headers(
            outgoing.start_line,
            outgoing.headers,
            outgoing.body,
        )
        self._http.finish()

    def cancel(self, outgoing: Outgoing) -> None:
        """Close the connection if it still carries a request."""
        if self._current is outgoing:
            self._current = None
            self._stream.close()

    def is_closed(self) -> bool:
        """Tell whether the connection ended."""
        return self._stream.closed()

    def close(self) -> None:
        """End the connection."""
        self._stream.close()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        answer_headers: httputil.HTTPHeaders,
    ) -> None:
        """Take the start of an answer."""
        answer_line = typing.cast(httputil.ResponseStartLine, start_line)
        if self._current is None:
            self._pool.counters.add('outbound.unsolicited')
            self._stream.close()
            return
        if answer_line.code < 200:  # noqa: WPS432
            return
        self._status = answer_line.code
        self._phrase = answer_line.reason
        self._headers = answer_headers
        method = self._current.start_line.method
        if not headers.is_framed(answer_line.code, method, answer_headers):
            self._fault = REASON_UNFRAMED
            self._stream.close()

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._parts.append(chunk)
        self._size += len(chunk)
        if self._size > self._pool.max_answer_bytes:
            self._fault = REASON_TOO_LARGE
            self._stream.close()

    def finish(self) -> None:
        """Hand over the answer, which is whole."""
        if self._fault:
            return
        parts = self._parts
        body = parts[0] if len(parts) == 1 else b''.join(parts)
        self._end(
            calls.Result(calls.OUTCOME_ANSWERED, '', self._status),
            Answer(self._status, self._phrase, self._headers, body),
        )

    def on_connection_close(self) -> None:
        """Leave the report to `async_run`, which sees each end."""

    async def _async_read_all(self) -> None:
        await self._pool.async_connect(self._stream)
        if self._current is None:
            return
        self.send(self._current)
        while await self._http.read_response(self):
            if headers.asks_to_close(self._headers):
                return
            self._http = self._make_http()
            self._pool.add_idle(self)

    def _make_http(self) -> http1connection.HTTP1Connection:
        return http1connection.HTTP1Connection(
            self._stream,
            is_client=True,
            params=self._pool.params,
        )

    def _build_failure(self) -> calls.Result:
        if not self._sent:
            return calls.Result(
                calls.OUTCOME_UNREACHED,
                self._fault or REASON_CONNECT,
            )
        reason = REASON_INCOMPLETE if self._status else REASON_NO_ANSWER
        return calls.Result(calls.OUTCOME_CLOSED, self._fault or reason)

    def _leave(self) -> None:
        self._stream.close()
        self._pool.remove(self)
        self._end(self._build_failure(), None)

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
        'host',
        'params',
        'max_answer_bytes',
        'counters',
        '_port',
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
        self.host = host
        self.max_answer_bytes = max_answer_bytes
        self.counters = process_counters
        self.params = http1connection.HTTP1ConnectionParameters(
            chunk_size=READ_CHUNK_BYTES,
            # The own limit names its reason, so this one must not act first.
            max_body_size=max_answer_bytes * 2,
        )
        self._port = port
        self._idle: list[Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, outgoing: Outgoing) -> Connection:
        """Send on an idle connection or on a new one."""
        limit = time.monotonic() - IDLE_LIMIT_SECONDS
        while self._idle:
            idle = self._idle.pop()
            if idle.is_closed():
                continue
            if idle.idle_since >= limit:
                idle.send(outgoing)
                return idle
            idle.close()
        return self._open(outgoing)

    def add_idle(self, connection: Connection) -> None:
        """Keep a connection for the next request."""
        connection.idle_since = time.monotonic()
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
        for connection in list(self._idle):
            connection.close()

    async def async_connect(self, stream: iostream.IOStream) -> None:
        """Connect a stream.

        Raises:
            StreamClosedError: if it cannot be connected in time.
        """
        timer = asyncio.get_running_loop().call_later(
            CONNECT_TIMEOUT_SECONDS,
            stream.close,
        )
        try:
            await stream.connect((self.host, self._port))
        finally:
            timer.cancel()
        self.counters.add('outbound.connections')

    def _open(self, outgoing: Outgoing) -> Connection:
        connection = Connection(self, outgoing)
        task = asyncio.get_running_loop().create_task(connection.async_run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection


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


class _Stream(iostream.IOStream):
    """A stream whose no-delay flag was set once for good."""

    def set_nodelay(self, value: bool) -> None:  # noqa: WPS110
        """Keep the flag as it is, which saves two system calls a message."""
