"""HTTP/1.1 messages on asyncio's transports, without a task a message.

Start lines, headers and lengths are parsed by tornado; this module finds
where a message ends (RFC 9112, sections 6 and 7). Tornado's HTTP1Connection
does the same with a coroutine and several futures for each message; a node
on it took 780 us of CPU a call, on this module 285 us, where a call may be
delayed by 400 us (measurements/latency.py compares the ways of forwarding).
"""

import abc
import functools
import typing

from tornado import http1connection, httputil

MAX_HEAD_BYTES: typing.Final = 32_768
_MAX_CHUNK_LINE_BYTES: typing.Final = 64
_MAX_TRAILER_BYTES: typing.Final = 8192
_END_OF_HEAD: typing.Final = b'\r\n\r\n'
_END_OF_LINE: typing.Final = b'\r\n'
_CONTENT_LENGTH: typing.Final = 'Content-Length'


class HeadTooLargeError(httputil.HTTPInputError):
    """The head of a message exceeds its limit."""


class Receiver(abc.ABC):
    """Gets the messages that a reader finds."""

    __slots__ = ()

    @abc.abstractmethod
    def receive_head(
        self,
        start_line: str,
        headers: httputil.HTTPHeaders,
    ) -> int | None:
        """Take the head of a message.

        Returns the length of its body in bytes, none if it is chunked.

        Raises:
            HTTPInputError: if the message is not valid.
        """

    @abc.abstractmethod
    def receive_size(self, size: int) -> bool:
        """Return whether to read on with a body of `size` bytes so far."""

    @abc.abstractmethod
    def receive_end(self, body: bytes) -> None:
        """Take the body of a message, which is whole."""


class Reader:
    """Splits the bytes of a connection into messages.

    After each message the reader stops until `resume`; bytes that arrive
    meanwhile wait.
    """

    __slots__ = ('_receiver', '_buffer', '_state', '_left', '_parts', '_size')

    def __init__(self, receiver: Receiver) -> None:
        self._receiver = receiver
        self._buffer = b''
        self._state: typing.Callable[[], bool] = self._read_head
        self._left = 0
        self._parts: list[bytes] = []
        self._size = 0

    def feed(self, received: bytes) -> None:
        """Take bytes.

        Raises:
            HTTPInputError: if they are not a valid message.
        """
        self._buffer = self._buffer + received if self._buffer else received
        self._advance()

    def resume(self) -> None:
        """Read the next message.

        Raises:
            HTTPInputError: if what has arrived of it is not valid.
        """
        self._state = self._read_head
        self._advance()

    def stop(self) -> None:
        """Read nothing more."""
        self._state = self._wait
        self._buffer = b''

    def count_waiting(self) -> int:
        """Return the bytes that arrived and were not read."""
        return len(self._buffer)

    def is_within_message(self) -> bool:
        """Tell whether a part of a message has arrived."""
        if self._state == self._read_head:
            return bool(self._buffer)
        return self._state != self._wait

    def _advance(self) -> None:
        while self._state():
            """Each state returns whether there may be more to read."""

    def _wait(self) -> bool:
        return False

    def _read_head(self) -> bool:
        end = self._buffer.find(_END_OF_HEAD)
        if end < 0 or end > MAX_HEAD_BYTES:
            self._check_head()
            return False
        head = self._buffer[:end].decode('latin1').lstrip('\r\n')
        self._buffer = self._buffer[end + len(_END_OF_HEAD) :]
        start_line, _, lines = head.partition('\r\n')
        headers = parse_headers(lines)
        self._parts = []
        self._size = 0
        length = self._receiver.receive_head(start_line, headers)
        if length is None:
            self._state = self._read_chunk_line
        elif length and self._state != self._wait:
            self._left = length
            self._state = self._read_fixed
        elif self._state != self._wait:
            self._end()
        return True

    def _check_head(self) -> None:
        if len(self._buffer) > MAX_HEAD_BYTES:
            raise HeadTooLargeError('the head is too large')
        if b'\n\n' in self._buffer:
            raise httputil.HTTPInputError('a line ends without CR')

    def _read_fixed(self) -> bool:
        if not self._take_part():
            return False
        if not self._left:
            self._end()
        return True

    def _read_chunk_line(self) -> bool:
        line = self._take_line(_MAX_CHUNK_LINE_BYTES)
        if line is None:
            return False
        try:
            self._left = http1connection.parse_hex_int(line.decode('latin1'))
        except ValueError:
            raise httputil.HTTPInputError('invalid chunk size') from None
        self._state = self._read_chunk if self._left else self._read_trailer
        return True

    def _read_chunk(self) -> bool:
        if not self._take_part():
            return False
        if not self._left:
            self._state = self._read_chunk_end
        return True

    def _read_chunk_end(self) -> bool:
        line = self._take_line(0)
        if line is None:
            return False
        self._state = self._read_chunk_line
        return True

    def _read_trailer(self) -> bool:
        """Drop the trailer fields, up to an empty line."""
        line = self._take_line(_MAX_TRAILER_BYTES)
        if line is None:
            return False
        if not line:
            self._end()
        return True

    def _take_part(self) -> bool:
        """Move bytes of the body from the buffer; return False for none."""
        if not self._buffer:
            return False
        part = self._buffer
        if len(part) > self._left:
            part = part[: self._left]
        self._buffer = self._buffer[len(part) :]
        self._left -= len(part)
        self._size += len(part)
        self._parts.append(part)
        return self._receiver.receive_size(self._size)

    def _take_line(self, limit: int) -> bytes | None:
        end = self._buffer.find(_END_OF_LINE)
        if end < 0:
            # A CR may be there already.
            end = len(self._buffer) - 1
        if end > limit:
            raise httputil.HTTPInputError('a line of a body is too long')
        if not self._buffer.startswith(_END_OF_LINE, max(end, 0)):
            return None
        line = self._buffer[:end]
        self._buffer = self._buffer[end + len(_END_OF_LINE) :]
        return line

    def _end(self) -> None:
        self._state = self._wait
        parts = self._parts
        self._parts = []
        self._receiver.receive_end(
            parts[0] if len(parts) == 1 else b''.join(parts),
        )


def parse_headers(lines: str) -> httputil.HTTPHeaders:
    """Return the headers of the lines of a head.

    Raises:
        HTTPInputError: if a line is not valid.
    """
    headers = httputil.HTTPHeaders()
    for line in lines.split('\r\n') if lines else ():
        parse = _parse_line if len(line) > _CACHED_LENGTH else _parse_cached
        name, field = parse(line)
        if name in headers:
            headers.add(name, field)
        else:
            headers[name] = field
    return headers


def _parse_line(line: str) -> tuple[str, str]:
    if '\n' in line or '\r' in line:
        raise httputil.HTTPInputError('a line break within a header')
    parsed = httputil.HTTPHeaders()
    parsed.parse_line(line)
    return next(iter(parsed.items()))


# Most header lines of a connection repeat from message to message.
_CACHED_LENGTH: typing.Final = 128
_CACHED_LINES: typing.Final = 4096
_parse_cached: typing.Final = functools.lru_cache(_CACHED_LINES)(_parse_line)


def find_body_length(headers: httputil.HTTPHeaders) -> int | None:
    """Return the length that headers state: none for chunked, -1 for none.

    Raises:
        HTTPInputError: if they contradict each other or are not valid.
    """
    if http1connection.is_transfer_encoding_chunked(headers):
        return None
    stated = headers.get(_CONTENT_LENGTH)
    if stated is None:
        return -1
    lengths = {length.strip() for length in stated.split(',')}
    if len(lengths) > 1:
        raise httputil.HTTPInputError('unequal lengths')
    try:
        return http1connection.parse_int(lengths.pop())
    except ValueError:
        raise httputil.HTTPInputError('invalid length') from None


def build_head(start_line: str, headers: httputil.HTTPHeaders) -> bytes:
    """Return the head of a message.

    Raises:
        ValueError: if a name or value contains a line break.
    """
    lines = [start_line]
    for name, field in headers.get_all():
        lines.append(f'{name}: {field}')
    text = '\r\n'.join(lines)
    breaks = max(text.count('\n'), text.count('\r'))
    if breaks >= len(lines):
        raise ValueError('a header contains a line break')
    return f'{text}\r\n\r\n'.encode('latin1')
