"""Sample upstream: responds with its service, version and port.

Settings or, for a single request, headers inject delays and faults, so that
tests and trials can check how the system handles them.
"""

import asyncio
import json
import os
import signal
import types
import typing
import uuid

from tornado import curl_httpclient, httpserver, httputil, iostream

from shallotwharf.core import errors, logs, records

HEADER_DELAY: typing.Final = 'Sample-Delay-Ms'
HEADER_MODE: typing.Final = 'Sample-Mode'
MODE_OK: typing.Final = 'ok'
MODE_ERROR: typing.Final = 'error'
MODE_CLOSE: typing.Final = 'close'
MODE_TRUNCATE: typing.Final = 'truncate'
MODE_EXIT: typing.Final = 'exit'

_ANNOUNCE_PERIOD_SECONDS: typing.Final = 1.0
_DRAIN_POLL_SECONDS: typing.Final = 0.02
_DRAIN_LIMIT_SECONDS: typing.Final = 30.0
_REQUEST_TIMEOUT_SECONDS: typing.Final = 2.0
_MS_PER_SECOND: typing.Final = 1000
_STATUS_OK: typing.Final = 200
_STATUS_ERROR: typing.Final = 500
_EXIT_STATUS: typing.Final = 3


class SampleSettings(records.Record):
    """Settings of a sample upstream.

    Attributes:
        service: name of the service.
        version: version of the service.
        host: IP address it listens on.
        port: port it listens on; 0 for any.
        admin: admin address of its node, as `host:port`.
        slots: number of concurrent requests that it announces.
        warmup_ms: time in which the offered slots increase to `slots`.
        delay_ms: delay before each response.
        mode: how it responds to requests, one of the `MODE_` names.
    """

    __slots__ = (
        'service',
        'version',
        'host',
        'port',
        'admin',
        'slots',
        'warmup_ms',
        'delay_ms',
        'mode',
    )

    def __init__(
        self,
        service: str,
        version: str,
        host: str,
        port: int,
        admin: str,
        slots: int = 18,
        warmup_ms: int = 0,
        delay_ms: int = 0,
        mode: str = MODE_OK,
    ) -> None:
        self.service = service
        self.version = version
        self.host = host
        self.port = port
        self.admin = admin
        self.slots = slots
        self.warmup_ms = warmup_ms
        self.delay_ms = delay_ms
        self.mode = mode


class SampleUpstream:
    """HTTP server that announces itself to its node."""

    __slots__ = (
        'port',
        'served',
        'running',
        '_settings',
        '_instance',
        '_server',
        '_client',
        '_announce_task',
        '_tasks',
        '_is_stopped',
    )

    def __init__(self, settings: SampleSettings) -> None:
        self.port = settings.port
        self.served = 0
        self.running = 0
        self._is_stopped = False
        self._settings = settings
        self._instance = uuid.uuid4().hex
        self._server = httpserver.HTTPServer(self._receive)
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True,
        )
        self._announce_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Listen, then announce the upstream every second.

        Raises:
            LinkError: if the address cannot be bound.
        """
        settings = self._settings
        try:
            self._server.listen(settings.port, settings.host)
        except OSError as error:
            raise errors.LinkError(
                f'cannot listen: {error.strerror}',
                'sample.listen',
                f'{settings.host}:{settings.port}',
            ) from error
        sockets = self._server._sockets.values()
        self.port = next(iter(sockets)).getsockname()[1]
        await self._async_announce()
        self._announce_task = asyncio.get_running_loop().create_task(
            self._async_announce_periodically(),
        )

    async def async_drain(self) -> None:
        """Request a drain, finish the running requests, deregister and stop."""
        if self._announce_task is not None:
            self._announce_task.cancel()
        await self._async_request('PUT', '/upstream/drain', b'')
        loop = asyncio.get_running_loop()
        end = loop.time() + _DRAIN_LIMIT_SECONDS
        while self.running and loop.time() < end:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
        await self._async_request('DELETE', '/upstream', None)
        await self.async_stop()

    async def async_stop(self) -> None:
        """Stop without waiting for requests; do nothing if already stopped."""
        if self._announce_task is not None:
            self._announce_task.cancel()
        if self._is_stopped:
            return
        self._is_stopped = True
        self._server.stop()
        await self._server.close_all_connections()
        self._client.close()

    async def _async_announce_periodically(self) -> None:
        while True:
            await asyncio.sleep(_ANNOUNCE_PERIOD_SECONDS)
            await self._async_announce()

    async def _async_announce(self) -> None:
        settings = self._settings
        document = {
            'service': settings.service,
            'version': settings.version,
            'host': settings.host,
            'port': self.port,
            'slots': settings.slots,
            'warmup_ms': settings.warmup_ms,
            'instance': self._instance,
        }
        await self._async_request(
            'PUT',
            '/upstream',
            json.dumps(document).encode(),
        )

    async def _async_request(
        self,
        method: str,
        path: str,
        body: bytes | None,
    ) -> None:
        try:
            await self._client.fetch(
                f'http://{self._settings.admin}{path}',
                method=method,
                body=body,
                request_timeout=_REQUEST_TIMEOUT_SECONDS,
            )
        except (curl_httpclient.CurlError, OSError) as error:
            logs.warn('announce_failed', path=path, error=error)

    def _receive(self, request: httputil.HTTPServerRequest) -> None:
        task = asyncio.get_running_loop().create_task(
            self._async_answer(request),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_answer(self, request: httputil.HTTPServerRequest) -> None:
        delay_ms = int(
            request.headers.get(HEADER_DELAY, self._settings.delay_ms),
        )
        mode = request.headers.get(HEADER_MODE, self._settings.mode)
        self.served += 1
        self.running += 1
        try:
            if delay_ms:
                await asyncio.sleep(delay_ms / _MS_PER_SECOND)
            _MODES[mode](self, request)
        except iostream.StreamClosedError:
            logs.write('caller_gone', path=request.path)
        finally:
            self.running -= 1

    def _answer_ok(self, request: httputil.HTTPServerRequest) -> None:
        self._write(request, _STATUS_OK, 'OK')

    def _answer_error(self, request: httputil.HTTPServerRequest) -> None:
        self._write(request, _STATUS_ERROR, 'Internal Server Error')

    def _close(self, request: httputil.HTTPServerRequest) -> None:
        _read_stream(request).close()

    def _truncate(self, request: httputil.HTTPServerRequest) -> None:
        stream = _read_stream(request)
        stream.write(b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort')
        stream.close()

    def _exit(self, _request: httputil.HTTPServerRequest) -> None:
        os._exit(_EXIT_STATUS)

    def _write(
        self,
        request: httputil.HTTPServerRequest,
        status: int,
        phrase: str,
    ) -> None:
        body = json.dumps(
            {
                'service': self._settings.service,
                'version': self._settings.version,
                'port': self.port,
            },
        ).encode()
        headers = httputil.HTTPHeaders()
        headers['Content-Type'] = 'application/json'
        headers['Content-Length'] = str(len(body))
        connection = typing.cast(httputil.HTTPConnection, request.connection)
        connection.write_headers(
            httputil.ResponseStartLine('', status, phrase),
            headers,
            None if request.method == 'HEAD' else body,
        )
        connection.finish()


_MODES: typing.Final[typing.Any] = types.MappingProxyType(
    {
        MODE_OK: SampleUpstream._answer_ok,
        MODE_ERROR: SampleUpstream._answer_error,
        MODE_CLOSE: SampleUpstream._close,
        MODE_TRUNCATE: SampleUpstream._truncate,
        MODE_EXIT: SampleUpstream._exit,
    }
)


def _read_stream(request: httputil.HTTPServerRequest) -> iostream.IOStream:
    connection: typing.Any = request.connection
    stream: iostream.IOStream = connection.stream
    return stream


async def async_run(settings: SampleSettings) -> None:
    """Run a sample upstream until SIGTERM or SIGINT, then drain it."""
    upstream = SampleUpstream(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await upstream.async_start()
    await stopped.wait()
    await upstream.async_drain()
