"""A request that a tornado application handles, and its response."""

import asyncio
import typing
from collections import abc

from tornado import httputil, web

from shallotwharf.adapters import (
    arrival,
    handling,
    pipeline,
    refusals,
    responses,
)
from shallotwharf.core import call_interfaces, calls, documents, logs

# The largest body has room once it is read, if nothing else is held.
_LARGEST_SHARE: typing.Final = 4 / 3
_OnClose: typing.TypeAlias = abc.Callable[[], None]


class Context:
    """Where a request comes from, as tornado reads it."""

    __slots__ = ('remote_ip', 'protocol')

    def __init__(self, remote_ip: str) -> None:
        self.remote_ip = remote_ip
        self.protocol = 'http'


class WebExchange(handling.Handling, httputil.HTTPConnection):
    """Runs the handler of a request; collects what it writes.

    Attributes:
        context: where the request comes from.
    """

    __slots__ = (
        'context',
        '_server',
        '_application',
        '_slot',
        '_headers',
        '_body',
        '_on_close',
        '_response',
        '_written',
    )

    def __init__(
        self,
        server: arrival.Owner,
        application: web.Application,
        slot: pipeline.Slot,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        self.context = Context(slot.find_peer())
        self._server = server
        self._application = application
        self._slot = slot
        self._headers = request_headers
        self._body = body
        self._on_close: _OnClose | None = None
        self._response: responses.Response | None = None
        self._written: list[bytes] = []

    def start(self) -> None:
        """Start the handler that the application has for the request."""
        line = self._slot.start_line
        body = self._body
        self._body = b''
        refusal = self._hold_document(body)
        if refusal is not None:
            self._refuse(refusal, len(body))
            return
        try:
            delegate = self._application.find_handler(
                httputil.HTTPServerRequest(
                    headers=self._headers, connection=self, start_line=line
                )
            )
        except httputil.HTTPInputError as error:
            logs.write_call(
                'request_refused', peer=self.context.remote_ip, error=error
            )
            self._refuse(refusals.BAD_REQUEST, len(body))
            return
        delegate.headers_received(line, self._headers)
        if body:
            delegate.data_received(body)
        delegate.finish()

    def find_room(self) -> call_interfaces.Room:
        """Return that it may start, but not beside others of its client."""
        return call_interfaces.Room.FREE

    def cancel(self) -> bool:
        """Notify the handler that the client has left; it continues."""
        if self._on_close is not None:
            self._on_close()
        return False

    def expire(self) -> None:
        """Do nothing: handlers have time limits of their own."""

    def report_cut(self, connection_opened_at: float) -> None:
        """Log that a stop of the process ends the request."""
        line = self._slot.start_line
        logs.write_call('request_cut', method=line.method, path=line.path)

    def set_close_callback(self, callback: _OnClose | None) -> None:
        """Set what is called if the client leaves before the response."""
        self._on_close = callback

    def write_headers(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
        chunk: bytes | None = None,
    ) -> asyncio.Future[None]:
        """Begin the response."""
        line = typing.cast(httputil.ResponseStartLine, start_line)
        self._response = responses.Response(
            line.code, line.reason, headers, b''
        )
        return self.write(chunk or b'')

    def write(self, chunk: bytes) -> asyncio.Future[None]:
        """Add a part of the body; it is sent once the response is complete."""
        self._written.append(chunk)
        written: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        written.set_result(None)
        return written

    def finish(self) -> None:
        """Send the response."""
        response = typing.cast(responses.Response, self._response)
        response.body = b''.join(self._written)
        self._slot.respond(response)

    def _hold_document(self, body: bytes) -> calls.Respond | None:
        """Hold what a body takes once it is read; return why it cannot be."""
        limit = self._server.capacity.memory.limit_bytes
        needed = documents.estimate_memory(body)
        if needed > limit * _LARGEST_SHARE:
            return refusals.TOO_COMPLEX
        if not self._slot.try_hold(min(needed, limit)):
            return refusals.NO_MEMORY
        return None

    def _refuse(self, step: calls.Respond, held_bytes: int) -> None:
        self._server.capacity.report(
            self._server.port_name,
            step.reason,
            held_bytes,
            self.context.remote_ip,
        )
        self._slot.respond(refusals.build_refusal(step, ''))
