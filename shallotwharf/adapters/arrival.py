"""A request that arrives on the connection of a caller."""

import abc
import asyncio
import functools
import typing

from tornado import httputil

from shallotwharf.adapters import (
    capacity,
    crowd,
    handling,
    headers,
    intake,
    limits,
    message_memory,
    pipeline,
    refusals,
    turns,
    wire,
    writer,
)
from shallotwharf.core import calls

# Buffered bytes of pipelined requests above which reading is paused.
_PIPELINE_LIMIT_BYTES: typing.Final = 65_536
_CONTINUE: typing.Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# Before the head of a request has arrived.
NO_START_LINE: typing.Final = httputil.RequestStartLine('', '', '')
NO_HEADERS: typing.Final = httputil.HTTPHeaders()


class Owner(abc.ABC):
    """Server of the connections.

    Attributes:
        capacity: what the process holds for the clients of all ports.
        port_name: name of the port in log lines.
        limits: limits of what callers may send.
        closing: whether the server is about to close its connections.
        is_public: whether only callers connect.
        turns: starts the requests of backlogs.
    """

    __slots__ = ()

    capacity: capacity.Capacity
    port_name: str
    limits: limits.ServerLimits
    closing: bool
    is_public: bool
    turns: turns.Turns

    @abc.abstractmethod
    def make_exchange(
        self,
        slot: pipeline.Slot,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> handling.Handling:
        """Return the handling of a complete request; it is not started.

        Args:
            slot: start line of the request, and receiver of the response.
            request_headers: headers of the request.
            body: body of the request.
        """

    @abc.abstractmethod
    def add(self, connection: 'Arrival') -> None:
        """Add an open connection."""

    @abc.abstractmethod
    def remove(self, connection: 'Arrival') -> None:
        """Remove a connection that ended."""


class Arrival(asyncio.Protocol, wire.Receiver, crowd.Member):
    """State of a connection, with the limits of the request that arrives."""

    __slots__ = (
        '_server',
        '_reader',
        '_transport',
        '_writer',
        '_start_line',
        '_headers',
        '_pipeline',
        '_close_after',
        '_lingering',
        '_is_continue_due',
        '_is_ahead',
        '_intake',
        '_opened_at',
        '_held',
        '_body_bytes',
        '_progress',
        'idle_since',
    )

    def __init__(self, server: Owner) -> None:
        self._server = server
        self._reader = wire.RequestReader(self, server.limits)
        self._transport: asyncio.Transport | None = None
        self._writer: writer.MessageWriter | None = None
        self._start_line = NO_START_LINE
        self._headers = NO_HEADERS
        self._pipeline = pipeline.Pipeline(server.capacity.memory)
        self._close_after = False
        self._lingering = False
        # Whether the request that arrives waits for 100 Continue, which must
        # not precede the responses of earlier requests.
        self._is_continue_due = False
        # Whether a part of the arriving request came before the response of
        # an earlier one.
        self._is_ahead = False
        self._intake: intake.Intake | None = None
        self._opened_at = server.capacity.loop.time()
        # What the arriving request takes of the memory of the process.
        self._held = self._make_hold()
        # Stated length of the arriving body; 0 if it is not stated.
        self._body_bytes = 0
        # Bytes of the arriving body at the last check; None during its head.
        self._progress: int | None = None
        self.idle_since = self._opened_at

    def find_peer(self) -> str:
        """Return the IP address of the client; empty if it is not known."""
        return self._find_intake().find_peer()

    def find_unread(self) -> int | None:
        """Return the descriptor of a connection that is not read.

        Returns None if it is read, so that its end is noticed.
        """
        if not self._find_intake().is_paused():
            return None
        opened = self._find_transport().get_extra_info('socket')
        descriptor = opened.fileno()
        return descriptor if descriptor >= 0 else None

    def end(self) -> None:
        """Close the connection as if its end had been read."""
        self._server.capacity.counters.add('inbound.departed')
        self._reader.stop()
        self._find_transport().close()

    @abc.abstractmethod
    def cut(self) -> None:
        """End the calls that the connection carries, if any, and close it."""

    def receive_head(
        self,
        start_line: str,
        request_headers: httputil.HTTPHeaders,
    ) -> int | None:
        """Check the head of a request; return the length of its body.

        Returns None if the body is chunked.
        """
        self._start_line = httputil.parse_request_start_line(start_line)
        self._headers = request_headers
        self._close_after = self._start_line.version != 'HTTP/1.1'
        if not self._close_after and 'Host' not in request_headers:
            raise httputil.HTTPInputError('the Host header is missing')
        if headers.closes_connection(request_headers):
            self._close_after = True
        length = wire.find_body_length(request_headers)
        if length is not None and length > self._server.limits.body_bytes:
            self._refuse(refusals.TOO_LARGE)
            return 0
        self._body_bytes = max(length or 0, 0)
        if not self._held.try_resize(self._body_bytes):
            self._refuse(refusals.NO_MEMORY)
            return 0
        if length != -1 and headers.expects_continue(request_headers):
            self._is_continue_due = True
            self._send_continue()
        return 0 if length == -1 else length

    def receive_size(self, size: int) -> bool:
        """Refuse a body that exceeds the limit."""
        if size > self._server.limits.body_bytes:
            self._refuse(refusals.TOO_LARGE)
            return False
        if size <= self._held.size or self._held.try_resize(size):
            return True
        self._refuse(refusals.NO_MEMORY)
        return False

    @abc.abstractmethod
    def _refuse(self, step: calls.Respond) -> None:
        """Refuse the request that arrives, then close the connection."""

    def _hold_arriving(self) -> bool:
        """Hold the memory of what arrives; return whether there is room."""
        if not self._reader.count_buffered():
            return self._held.try_resize(0)
        taken = self._reader.count_memory()
        # A body of known length is held from its head on.
        return self._held.try_resize(max(taken, self._body_bytes))

    def _make_hold(self) -> message_memory.Hold:
        return message_memory.Hold(
            self._server.capacity.memory,
            self._give_way,
        )

    def _give_way(self) -> None:
        self._refuse(refusals.NO_MEMORY)

    def _watch_request(self) -> None:
        """Limit the time of an arriving request, and what is read ahead."""
        buffered = self._reader.count_buffered()
        if len(self._pipeline) or self._find_writer().is_full:
            if buffered > _PIPELINE_LIMIT_BYTES:
                self._find_intake().pause()
            else:
                self._find_intake().resume()
            return
        self._find_intake().resume()
        flow = self._find_intake()
        if not self._reader.is_within_message():
            return
        if self._reader.is_within_body():
            if self._progress is None:
                self._progress = 0
                flow.start_timer(
                    limits.BODY_PERIOD_SECONDS, self._check_progress
                )
        elif not flow.has_timer():
            flow.start_timer(
                self._server.limits.head_seconds,
                functools.partial(self._refuse, refusals.TIMED_OUT),
            )

    def _check_progress(self) -> None:
        """Refuse a body that has stopped; while room is short, a slow one.

        It may never end, but what keeps moving takes room from nobody as long
        as there is enough.
        """
        size = self._reader.count_body()
        is_slow = size < (self._progress or 0) + limits.BODY_PERIOD_BYTES
        quiet_for = self._server.capacity.loop.time() - self.idle_since
        has_stopped = quiet_for > self._server.limits.idle_seconds
        if has_stopped or (is_slow and self._server.capacity.is_short()):
            self._refuse(refusals.TIMED_OUT)
            return
        self._progress = size
        self._find_intake().start_timer(
            limits.BODY_PERIOD_SECONDS, self._check_progress
        )

    def _send_continue(self) -> None:
        """Let the caller send a body, once it is the turn of its request."""
        if self._is_continue_due and not len(self._pipeline):
            self._is_continue_due = False
            self._find_transport().write(_CONTINUE)

    def _find_intake(self) -> intake.Intake:
        return typing.cast(intake.Intake, self._intake)

    def _write_held(self, head: bytes, body: bytes) -> None:
        """Write a message; count its body until the transport has it."""
        message_writer = self._find_writer()
        if message_writer.is_immediate(body):
            message_writer.write(head, body, self._mark_idle)
            return
        memory = self._server.capacity.memory
        memory.hold(len(body))
        message_writer.write(
            head, body, functools.partial(self._end_writing, len(body))
        )

    def _end_writing(self, size: int) -> None:
        self._mark_idle()
        self._server.capacity.memory.hold(-size)

    def _mark_idle(self) -> None:
        # A caller may take long to read a response, then reuse the connection.
        self.idle_since = self._server.capacity.loop.time()

    def _find_writer(self) -> writer.MessageWriter:
        return typing.cast(writer.MessageWriter, self._writer)

    def _find_transport(self) -> asyncio.Transport:
        return typing.cast(asyncio.Transport, self._transport)
