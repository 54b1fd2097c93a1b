"""HTTP/1.1 server for calls, below tornado's handlers."""

import asyncio
import socket
import typing

from tornado import http1connection, httputil, iostream, tcpserver

from shallotwharf.adapters import exchange, outbound
from shallotwharf.core import calls, errors

DEFAULT_MAX_BODY_BYTES: typing.Final = 4 * 1024 * 1024
MAX_HEADER_BYTES: typing.Final = 32_768
_BACKLOG: typing.Final = 1024
_CLOSE_POLL_SECONDS: typing.Final = 0.02
_STATUS_TOO_LARGE: typing.Final = 413
# The own limit names its reason, so tornado's must not act first.
_NO_LIMIT_BYTES: typing.Final = 1 << 40  # noqa: WPS432


class CallServer(
    tcpserver.TCPServer,
    httputil.HTTPServerConnectionDelegate,
):
    """Accepts calls of callers and of other nodes on one port."""

    def __init__(
        self,
        services: exchange.Services,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        """Create a server; it does not listen yet.

        Args:
            services: shared by all exchanges.
            max_body_bytes: a longer request is answered with 413.
        """
        super().__init__(read_chunk_size=outbound.READ_CHUNK_BYTES)
        self._services = services
        self._max_body_bytes = max_body_bytes
        self._params = http1connection.HTTP1ConnectionParameters(
            chunk_size=outbound.READ_CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=_NO_LIMIT_BYTES,
        )
        self._serving: set[object] = set()

    def listen_at(self, host: str, port: int) -> int:
        """Listen on an IP number; return the port.

        Raises:
            LinkError: if the address cannot be bound.
        """
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        opened = socket.socket(family, socket.SOCK_STREAM)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.setblocking(False)
        try:
            opened.bind((host, port))
        except OSError as error:
            opened.close()
            raise errors.LinkError(
                f'cannot listen: {error.strerror}',
                'inbound.listen',
                f'{host}:{port}',
            ) from error
        opened.listen(_BACKLOG)
        self.add_socket(opened)
        return int(opened.getsockname()[1])

    async def async_close(self, limit_seconds: float) -> bool:
        """Accept no more connections and let running exchanges finish.

        Returns whether all of them finished within the limit.
        """
        self.stop()
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_seconds
        while self._services.active and loop.time() < end:
            await asyncio.sleep(_CLOSE_POLL_SECONDS)
        finished = not self._services.active
        for serving in list(self._serving):
            await typing.cast(
                http1connection.HTTP1ServerConnection,
                serving,
            ).close()
        return finished

    def handle_stream(
        self,
        stream: iostream.IOStream,
        address: typing.Any,
    ) -> None:
        """Serve a connection."""
        # Finds callers that vanished without closing their connection.
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        serving = http1connection.HTTP1ServerConnection(
            stream,
            self._params,
            address,
        )
        self._serving.add(serving)
        serving.start_serving(self)

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return what receives the next request of a connection."""
        return _Receiver(self._services, request_conn, self._max_body_bytes)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that ended."""
        self._serving.discard(server_conn)


class _Receiver(httputil.HTTPMessageDelegate):
    """Collects a request, then starts its exchange."""

    __slots__ = (
        '_services',
        '_connection',
        '_limit',
        '_start_line',
        '_headers',
        '_parts',
        '_size',
        '_exchange',
    )

    def __init__(
        self,
        services: exchange.Services,
        connection: httputil.HTTPConnection,
        limit: int,
    ) -> None:
        self._services = services
        self._connection = connection
        self._limit = limit
        self._start_line = httputil.RequestStartLine('', '', '')
        self._headers = httputil.HTTPHeaders()
        self._parts: list[bytes] = []
        self._size = 0

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Keep the head; refuse a body that is too long at once."""
        self._start_line = typing.cast(httputil.RequestStartLine, start_line)
        self._headers = headers
        length = headers.get('Content-Length', '')
        if length.isdecimal() and int(length) > self._limit:
            self._refuse_size()

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._parts.append(chunk)
        self._size += len(chunk)
        if self._size > self._limit:
            self._refuse_size()

    def finish(self) -> None:
        """Start the exchange of a whole request."""
        parts = self._parts
        started = exchange.Exchange(
            self._services,
            self._connection,
            self._start_line,
            self._headers,
            parts[0] if len(parts) == 1 else b''.join(parts),
        )
        typing.cast(
            http1connection.HTTP1Connection,
            self._connection,
        ).set_close_callback(started.cancel)
        started.start()

    def on_connection_close(self) -> None:
        """Drop a request that did not arrive whole."""
        self._services.counters.add('inbound.request_incomplete')

    def _refuse_size(self) -> None:
        self._services.counters.add('inbound.too_large')
        refusal = exchange.build_refusal(
            calls.Respond(_STATUS_TOO_LARGE, 'body_too_large', not_run=True),
            forwarded=False,
        )
        self._connection.write_headers(
            httputil.ResponseStartLine('', refusal.status, refusal.phrase),
            refusal.headers,
            refusal.body,
        )
        self._connection.finish()
