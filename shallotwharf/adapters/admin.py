"""HTTP server for operators, metrics scrapers and the platform."""

import asyncio
import json
import typing
from collections import abc

from tornado import httpserver, netutil, web

from shallotwharf.core import errors, logs, records, schema

MAX_BODY_BYTES: typing.Final = 8 * 1024 * 1024
_CLOSE_TIMEOUT_SECONDS: typing.Final = 0.1
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


class WebServer:
    """HTTP server with tornado's routing rules at one address."""

    __slots__ = ('_address', '_server')

    def __init__(
        self,
        address: tuple[str, int],
        rules: abc.Sequence[typing.Any],
    ) -> None:
        """Create a server; it does not listen yet.

        Args:
            address: IP address and port.
            rules: tornado's routing rules.
        """
        self._address = address
        self._server = httpserver.HTTPServer(
            web.Application(list(rules), log_function=_ignore_request),
            max_body_size=MAX_BODY_BYTES,
        )

    def listen(self) -> None:
        """Start accepting connections.

        Raises:
            LinkError: if the address cannot be bound.
        """
        host, port = self._address
        try:
            sockets = netutil.bind_sockets(port, host)
        except OSError as error:
            raise errors.LinkError(
                f'cannot listen: {error.strerror}',
                'admin.listen',
                f'{host}:{port}',
            ) from error
        self._server.add_sockets(sockets)

    async def async_close(self) -> None:
        """Stop listening and close all connections within a short timeout.

        A command that waits for an election must not delay the shutdown of
        the process.
        """
        self._server.stop()
        closing = asyncio.ensure_future(self._server.close_all_connections())
        await asyncio.wait((closing,), timeout=_CLOSE_TIMEOUT_SECONDS)


class AdminServer(WebServer):
    """HTTP server with a table of handlers by method and path."""

    __slots__ = ()

    def __init__(
        self,
        host: str,
        port: int,
        table: AdminTable,
        rules: abc.Sequence[typing.Any] = (),
    ) -> None:
        """Create a server; it does not listen yet.

        Args:
            host: IP address.
            port: port.
            table: handlers by method and path.
            rules: tornado's routing rules, which precede the table.
        """
        super().__init__(
            (host, port),
            [*rules, ('.*', _Handler, {'table': table})],
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
