"""HTTP server for operators, metrics scrapers and the platform."""

import asyncio
import json
import typing
from collections import abc

from tornado import httputil, web

from shallotwharf.adapters import (
    capacity,
    handling,
    http_server,
    limits,
    pipeline,
    web_exchange,
)
from shallotwharf.core import counters, errors, logs, records, schema

MAX_BODY_BYTES: typing.Final = 8 * 1024 * 1024
# Operators and scrapers may be slow and idle. These are the limits that tornado
# has for its own connections.
_MAX_HEAD_BYTES: typing.Final = 65_536
_HEAD_SECONDS: typing.Final = 3600.0
_IDLE_SECONDS: typing.Final = 3600.0
_CLOSE_TIMEOUT_SECONDS: typing.Final = 0.1
_CLOSE_POLL_SECONDS: typing.Final = 0.01
_JSON_TYPE: typing.Final = 'application/json'
_TEXT_TYPE: typing.Final = 'text/plain; version=0.0.4'
_HTTP_BAD_REQUEST: typing.Final = 400
_HTTP_NOT_FOUND: typing.Final = 404


class AdminRequest(records.Record):
    """Query arguments and decoded JSON body, if any, of a request."""

    __slots__ = ('query', 'document')

    def __init__(
        self,
        query: abc.Mapping[str, str],
        document: typing.Any,
    ) -> None:
        self.query = query
        self.document = document


class AdminReply(records.Record):
    """Response to an admin request.

    Attributes:
        status: HTTP status.
        document: JSON document, or plain text if it is a string.
        origin: for a redirect, scheme and address of the process to repeat
            the request at; else empty.
    """

    __slots__ = ('status', 'document', 'origin')

    def __init__(
        self,
        status: int,
        document: typing.Any,
        origin: str = '',
    ) -> None:
        self.status = status
        self.document = document
        self.origin = origin


AdminHandler: typing.TypeAlias = abc.Callable[
    [AdminRequest],
    abc.Awaitable[AdminReply],
]
AdminTable: typing.TypeAlias = abc.Mapping[tuple[str, str], AdminHandler]


class _Handler(web.RequestHandler):
    """Dispatches requests by method and path."""

    def initialize(self, table: AdminTable) -> None:
        self._table = table

    async def get(self) -> None:
        await self._async_run('GET')

    async def post(self) -> None:
        await self._async_run('POST')

    async def put(self) -> None:
        await self._async_run('PUT')

    async def delete(self) -> None:
        await self._async_run('DELETE')

    def log_exception(self, *exc_info: typing.Any) -> None:
        logs.warn('admin_failed', path=self.request.path, error=exc_info[1])

    async def _async_run(self, method: str) -> None:
        path = self.request.path
        handler = self._table.get((method, path))
        if handler is None:
            self._write(AdminReply(_HTTP_NOT_FOUND, {'reason': 'unknown_path'}))
            return
        try:
            reply = await handler(self._read_request())
        except (errors.ProtocolError, ExceptionGroup) as error:
            faults = schema.format_errors(error)
            reply = AdminReply(
                _HTTP_BAD_REQUEST,
                {'reason': 'invalid', 'faults': faults},
            )
        self._write(reply)

    def _read_request(self) -> AdminRequest:
        document = None
        if self.request.body:
            document = schema.parse_json(
                self.request.body,
                errors.ProtocolError,
                'admin.read',
                self.request.remote_ip or '',
            )
        query = {
            name: self.get_query_argument(name)
            for name in self.request.query_arguments
        }
        return AdminRequest(query, document)

    def _write(self, reply: AdminReply) -> None:
        self.set_status(reply.status)
        if reply.origin:
            self.set_header('Location', f'{reply.origin}{self.request.uri}')
        if isinstance(reply.document, str):
            self.set_header('Content-Type', _TEXT_TYPE)
            self.finish(reply.document)
            return
        self.set_header('Content-Type', _JSON_TYPE)
        self.finish(json.dumps(reply.document))


class WebServer(http_server.HttpServer):
    """HTTP server with tornado's routing rules at one address."""

    __slots__ = ('_address', '_application')

    def __init__(
        self,
        address: tuple[str, int],
        rules: abc.Sequence[typing.Any],
        shared_capacity: capacity.Capacity | None = None,
        port_name: str = 'admin',
    ) -> None:
        """Create a server; it does not listen yet.

        Args:
            address: IP address and port.
            rules: tornado's routing rules.
            shared_capacity: what the process holds for clients; None if the
                server is the only one.
            port_name: name of the port in log lines.
        """
        super().__init__(
            shared_capacity or capacity.Capacity(counters.Counters()),
            port_name,
            _build_limits(),
            is_public=True,
        )
        self._address = address
        self._application = web.Application(
            list(rules), log_function=_ignore_request
        )

    def make_exchange(
        self,
        slot: pipeline.Slot,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> handling.Handling:
        """Return an exchange that runs the handler of the request."""
        return web_exchange.WebExchange(
            self, self._application, slot, request_headers, body
        )

    def listen(self) -> None:
        """Start accepting connections.

        Raises:
            LinkError: if the address cannot be bound.
        """
        self._open(*self._address)

    async def async_close(self) -> None:
        """Stop listening and close all connections within a short timeout.

        A command that waits for an election must not delay the shutdown of
        the process.
        """
        self._stop_listening()
        for connection in list(self._connections):
            connection.close()
        end = self.capacity.loop.time() + _CLOSE_TIMEOUT_SECONDS
        while self._connections and self.capacity.loop.time() < end:
            await asyncio.sleep(_CLOSE_POLL_SECONDS)
        for left in list(self._connections):
            left.abort()


class AdminServer(WebServer):
    """HTTP server with a table of handlers by method and path."""

    __slots__ = ()

    def __init__(
        self,
        host: str,
        port: int,
        table: AdminTable,
        rules: abc.Sequence[typing.Any] = (),
        shared_capacity: capacity.Capacity | None = None,
    ) -> None:
        """Create a server; it does not listen yet.

        Args:
            host: IP address.
            port: port.
            table: handlers by method and path.
            rules: tornado's routing rules, which precede the table.
            shared_capacity: what the process holds for clients; None if the
                server is the only one.
        """
        super().__init__(
            (host, port),
            [*rules, ('.*', _Handler, {'table': table})],
            shared_capacity,
        )


class MetricsHandler(web.RequestHandler):
    """Serves the metrics of a process."""

    def initialize(self, render: abc.Callable[[], str]) -> None:
        """Set the function that renders all counters as text."""
        self._render = render

    def get(self) -> None:
        """Write all counters as text."""
        self.set_header('Content-Type', _TEXT_TYPE)
        self.finish(self._render())


def _ignore_request(_handler: web.RequestHandler) -> None:
    """Suppress the request log, because counters cover the requests."""


def _build_limits() -> limits.ServerLimits:
    built = limits.ServerLimits(MAX_BODY_BYTES, is_public=True)
    built.head_bytes = _MAX_HEAD_BYTES
    built.head_seconds = _HEAD_SECONDS
    built.idle_seconds = _IDLE_SECONDS
    return built
