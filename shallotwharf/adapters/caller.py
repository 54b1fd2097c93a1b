"""One connection of a caller or of another node."""

import asyncio
import socket
import typing

from tornado import httputil

from shallotwharf.adapters import (
    arrival,
    headers,
    intake,
    pipeline,
    refusals,
    responses,
    wire,
    writer,
)
from shallotwharf.core import calls

# After refusing an incomplete request, the connection is read for this long,
# because an immediate close could reset it before the response has arrived
# (RFC 9112, 9.6).
_LINGER_SECONDS: typing.Final = 1.0


class CallConnection(arrival.Arrival, pipeline.Owner):
    """Connection that answers its requests in their order.

    Requests that arrive behind a running one are started if all of them are
    idempotent and small (`pipeline`); others wait for those before them.
    """

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport and enable TCP keep-alive."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._writer = writer.MessageWriter(self._transport)
        self._intake = intake.Intake(
            self._server.capacity.loop, self._transport
        )
        opened = transport.get_extra_info('socket')
        # Detects callers that disappeared without closing the connection.
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self._server.add(self)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; pause reading if too many are buffered."""
        if self._lingering:
            return
        self.idle_since = self._server.capacity.loop.time()
        self._is_ahead = self._is_ahead or len(self._pipeline) > 0
        self._read(received)
        self._go_on()

    def read_rest(self) -> None:
        """Parse a part of what was received, if it is not behind others."""
        if self._find_transport().is_closing() or self._lingering:
            return
        if self._reader.is_pending():
            self._read(b'', resumed=True)
        self._go_on()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel all exchanges because the caller disconnected."""
        self._server.remove(self)
        self._reader.stop()
        self._find_writer().discard()
        self._find_intake().stop_timer()
        for slot in self._pipeline.take_all():
            slot.cancel()
        self._held.resize(0)

    def receive_end(self, body: bytes) -> None:
        """Add a complete request to those that are to be answered."""
        self._find_intake().stop_timer()
        self._is_continue_due = False
        self._progress = None
        if self._server.is_public:
            headers.strip_internal_headers(self._headers)
        self._held.resize(max(self._reader.message_memory, len(body)))
        slot = self._make_slot()
        slot.exchange = self._server.make_exchange(slot, self._headers, body)
        has_more = self._reader.count_buffered() > 0
        slot.has_backlog = self._is_ahead or has_more
        self._is_ahead = has_more
        # A refusal before the next head must not be taken for this one's.
        self._start_line = arrival.NO_START_LINE
        self._headers = arrival.NO_HEADERS
        self._pipeline.add(slot)

    def complete(self, slot: pipeline.Slot) -> None:
        """Write all responses whose turn has come; then read on."""
        if self._find_transport().is_closing():
            return
        if not self._pipeline.is_next(slot):
            slot.hold_response()
            return
        ready = self._pipeline.take_next()
        while ready is not None:
            if self._write_response(ready):
                return
            ready = self._pipeline.take_next()
        self._proceed()

    def resume_writing(self) -> None:
        """Write the rest of the responses; then read on."""
        self._find_writer().resume()
        if not self._find_transport().is_closing():
            self._proceed()

    def is_idle(self) -> bool:
        """Return whether it carries no request, not even a part of one."""
        return not (
            len(self._pipeline)
            or self._lingering
            or self._find_writer().is_writing
            or self._reader.count_buffered()
        )

    def is_busy(self) -> bool:
        """Return whether a request was started and is not answered yet."""
        return self._pipeline.has_begun() or self._find_writer().is_writing

    def measure_responses(self) -> tuple[int, int]:
        """Return the bytes that the caller has read, and those it has not."""
        return self._find_writer().measure_progress()

    def abort(self) -> None:
        """Close the connection without the rest of its responses."""
        self._find_transport().abort()

    def cut(self) -> None:
        """End the calls that the connection carries, if any, and close it."""
        self._pipeline.drop_unstarted()
        for slot in self._pipeline.list_running():
            running = slot.exchange
            if running is not None:
                self._server.capacity.counters.add('inbound.cut')
                running.report_cut(self._opened_at)
                running.expire()
        self.close()

    def close(self) -> None:
        """Close the connection after the response is sent."""
        self._reader.stop()
        self._find_writer().finish(self._find_transport().close)

    def pause_writing(self) -> None:
        """Pause writing: the caller does not read."""
        self._find_writer().pause()

    def _write_response(self, slot: pipeline.Slot) -> bool:
        """Write a response; return whether it closes the connection."""
        response = typing.cast(responses.Response, slot.response)
        # What was started ahead is answered before the server closes.
        closes = slot.closes or (
            self._server.closing and not len(self._pipeline)
        )
        if closes:
            response.headers[headers.CONNECTION] = headers.CLOSE
        empty = headers.is_empty(response.status, slot.start_line.method)
        body = b'' if empty else response.body
        head = wire.build_head(
            f'HTTP/1.1 {response.status} {response.phrase}',
            response.headers,
        )
        self._write_held(head, body)
        if closes and self._lingering:
            self._find_writer().finish(self._linger)
        elif closes:
            self.close()
        return closes

    def _proceed(self) -> None:
        """Start and read what comes next, unless responses are not read."""
        if self._find_writer().is_full or self._lingering:
            return
        self._pipeline.start_next()
        if not self._reader.is_empty():
            # Deferred, because this method may be called within `feed`.
            self._server.capacity.loop.call_soon(self._read_next)
        elif not len(self._pipeline):
            self._read(b'', resumed=True)

    def _read_next(self) -> None:
        if self._find_transport().is_closing() or self._lingering:
            return
        is_free = not (len(self._pipeline) or self._find_writer().is_full)
        if is_free and self._reader.is_paused():
            self._read(b'', resumed=True)
        self._go_on()

    def _go_on(self) -> None:
        """Read ahead; hold what has arrived and limit what arrives."""
        if self._reader.is_empty() and not (
            self._is_continue_due or self._lingering
        ):
            self._held.resize(0)
            self._find_intake().resume()
            return
        if len(self._pipeline):
            self._read_ahead()
        elif self._is_continue_due:
            self._send_continue()
        if self._lingering or self._find_transport().is_closing():
            return
        if not self._hold_arriving():
            self._refuse(refusals.NO_MEMORY)
        elif self._reader.is_pending():
            self._find_intake().pause()
            self._server.capacity.slicer.add(self.read_rest)
        else:
            self._watch_request()

    def _read_ahead(self) -> None:
        """Read the requests behind those that run, as far as they may run."""
        while (
            len(self._pipeline)
            and self._reader.is_paused()
            and self._reader.count_buffered()
            and not self._server.closing
            and not self._find_writer().is_full
            and self._pipeline.may_read_ahead()
        ):
            self._read(b'', resumed=True)

    def _read(self, received: bytes, *, resumed: bool = False) -> None:
        try:
            if resumed:
                self._reader.resume()
            else:
                self._reader.feed(received)
        except wire.HeadTooLargeError:
            self._refuse(refusals.HEAD_TOO_LARGE)
        except httputil.HTTPInputError:
            self._refuse(refusals.BAD_REQUEST)

    def _refuse(self, step: calls.Respond) -> None:
        """Answer an incomplete request after those before it, then close."""
        self._server.capacity.report(
            self._server.port_name,
            step.reason,
            self._held.size,
            self.find_peer(),
        )
        self._find_intake().stop_timer()
        self._reader.stop()
        self._close_after = True
        self._lingering = True
        slot = self._make_slot()
        self._pipeline.add(slot)
        attempt = ''
        # Other refusals may come before the head has arrived.
        if step is refusals.NO_MEMORY and not self._server.is_public:
            attempt = self._headers.get(headers.ATTEMPT, '')
        slot.respond(refusals.build_refusal(step, attempt))

    def _make_slot(self) -> pipeline.Slot:
        """Return a slot that takes over the held bytes of the request."""
        held = self._held
        held.settle()
        self._held = self._make_hold()
        self._body_bytes = 0
        return pipeline.Slot(
            self,
            self._server.capacity.memory,
            self._start_line,
            self._close_after,
            held,
            self._server.turns,
        )

    def _linger(self) -> None:
        transport = self._find_transport()
        if transport.can_write_eof():
            transport.write_eof()
        self._find_intake().resume()
        self._find_intake().start_timer(_LINGER_SECONDS, transport.abort)
