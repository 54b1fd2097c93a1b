"""HTTP/1.1 messages on asyncio's transports, without a task per message.

httptools parses the bytes; this module delivers complete messages one at a
time. Tornado's HTTP1Connection does the same with a coroutine and several
futures per message. With it a node used 780 us of CPU per call, while the
limit of the added latency is 400 us (measurements/latency.py compares both).
"""

import abc
import functools
import typing

import httptools
from tornado import http1connection, httputil

from shallotwharf.adapters import fields, parsing, partial
from shallotwharf.core import numbers

_CONTENT_LENGTH: typing.Final = 'Content-Length'
_TRANSFER_ENCODING: typing.Final = 'Transfer-Encoding'

# Bytes that are parsed before it is seen what they become. A slice of requests
# without headers holds 73 of them, each of about 2 KB.
_SLICE_BYTES: typing.Final = 2048
# Chunks of a byte have six on the wire.
_CHUNKED_SLICE_BYTES: typing.Final = 4096
# Fields and parts of bodies that are parsed in one call of `feed` or `resume`,
# about 0.2 ms; the rest waits for the next call.
_MAX_PARTS: typing.Final = 500
# Status lines that are kept parsed, each of at most the size of a head.
_CACHED_LINES: typing.Final = 64


class HeadTooLargeError(httputil.HTTPInputError):
    """The head of a message exceeds its limit."""


class FramingTooLargeError(httputil.HTTPInputError):
    """A message has far more bytes than its head and body."""


class Receiver(abc.ABC):
    """Receiver of the messages that a reader parses."""

    __slots__ = ()

    @abc.abstractmethod
    def receive_head(
        self,
        start_line: str,
        headers: httputil.HTTPHeaders,
    ) -> int | None:
        """Handle the head of a message.

        Returns the length of its body in bytes; None if it is chunked or ends
        with the connection.

        Raises:
            HTTPInputError: if the message is not valid.
        """

    @abc.abstractmethod
    def receive_size(self, size: int) -> bool:
        """Return whether to continue, given a body of `size` bytes so far."""

    @abc.abstractmethod
    def receive_end(self, body: bytes) -> None:
        """Handle the end of a message, given its complete body."""


class Reader(parsing.Parsing):
    """Parser of the messages of a connection.

    After each message the reader pauses until `resume` is called; what arrives
    meanwhile is buffered without being parsed.

    Attributes:
        limits: limits of a message.
        message_memory: bytes that the message delivered last takes.
    """

    __slots__ = (
        '_receiver',
        '_fault',
        '_is_paused',
        '_is_stopped',
        '_excess_bytes',
        '_blank_bytes',
        '_rest',
        '_offset',
        'limits',
        'message_memory',
    )

    def __init__(
        self, receiver: Receiver, limits: partial.HeadLimits | None = None
    ) -> None:
        self._receiver = receiver
        super().__init__()
        self._fault = ''
        self._is_paused = False
        self._is_stopped = False
        self._excess_bytes = 0
        # Empty lines received since the last message.
        self._blank_bytes = 0
        # Bytes received, of which those from the offset on are not parsed.
        self._rest = b''
        self._offset = 0
        self.limits = limits or partial.DEFAULT_LIMITS
        self.message_memory = 0

    def feed(self, received: bytes) -> None:
        """Parse received bytes and deliver what is complete.

        Raises:
            HTTPInputError: if a message is not valid.
        """
        if self._is_stopped:
            return
        if self._rest:
            received = self._rest[self._offset :] + received
        elif len(received) <= _SLICE_BYTES and not self._is_paused:
            self._parts = 0
            self._parse_slice(received)
            return
        self._rest = received
        self._offset = 0
        self._parse_rest()

    def is_pending(self) -> bool:
        """Return whether `resume` would parse more of what was received."""
        return bool(self._rest) and not (self._is_paused or self._is_stopped)

    def count_memory(self) -> int:
        """Return about how many bytes the undelivered messages take."""
        parsed = sum(message.count_memory() for message in self._messages)
        return len(self._rest) + parsed

    def resume(self) -> None:
        """Deliver the next message, or parse the next part of it.

        Raises:
            HTTPInputError: if the bytes received of it are not valid.
        """
        self._is_paused = False
        if self.is_empty() and not (self._fault or self._blank_bytes):
            return
        self._advance()
        self._parse_rest()

    def is_empty(self) -> bool:
        """Return whether `count_buffered` is 0, without adding it up."""
        return not (self._messages or self._rest or self._excess_bytes)

    def finish(self) -> None:
        """Complete a message whose body ends with the connection."""
        if self._messages and self._messages[-1].has_head:
            self._messages[-1].is_complete = True
            self._advance()

    def stop(self) -> None:
        """Deliver no more messages."""
        self._is_stopped = True
        self._messages.clear()
        self._rest = b''

    def is_paused(self) -> bool:
        """Return whether the reader is paused until `resume`."""
        return self._is_paused

    def count_buffered(self) -> int:
        """Return the approximate number of received, undelivered bytes.

        It is above 0 as soon as a message has begun: the parser reports no
        part of a status line before its end.
        """
        if not self._messages and not self._rest:
            return self._excess_bytes
        buffered = sum(
            1 + message.head_size + message.size for message in self._messages
        )
        unparsed = len(self._rest) - self._offset if self._rest else 0
        return buffered + self._excess_bytes + unparsed

    def is_within_body(self) -> bool:
        """Return whether the head of the arriving message is complete."""
        return bool(self._messages) and self._messages[0].has_head

    def count_body(self) -> int:
        """Return the bytes of the body that have arrived."""
        return self._messages[0].size if self._messages else 0

    def is_within_message(self) -> bool:
        """Return whether a message has arrived in part."""
        return bool(self._messages) and not self._is_paused

    def _parse_rest(self) -> None:
        """Parse what was received, until a message is delivered."""
        if self._is_paused:
            return
        self._parts = 0
        while self.is_pending() and self._parts < _MAX_PARTS:
            rest = self._rest
            size = self._find_slice_size()
            start = self._offset
            end = start + size
            if end >= len(rest):
                self._rest = b''
                self._offset = 0
                self._parse_slice(rest[start:] if start else rest)
            else:
                self._offset = end
                self._parse_slice(rest[start:end])

    def _find_slice_size(self) -> int:
        if not self._messages or not self._messages[-1].has_head:
            return _SLICE_BYTES
        left = self._messages[-1].find_left()
        return left or _CHUNKED_SLICE_BYTES

    def _parse_slice(self, received: bytes) -> None:
        message_count = len(self._messages)
        arriving = self._find_incomplete_head()
        if arriving is None and self._messages:
            self._messages[-1].received += len(received)
        try:
            self._parse(received)
        except httptools.HttpParserError as error:
            self._fault = self._fault or repr(error)
        if self._messages:
            self._blank_bytes = 0
        else:
            self._blank_bytes += len(received)
        last = self._find_incomplete_head()
        # The parser buffers a header line until its end, so the bytes are
        # counted here. Bytes that may belong to the previous message are not.
        is_new = arriving is None and len(self._messages) == message_count + 1
        if last is not None and (is_new or last is arriving):
            last.unparsed += len(received)
        self._advance()

    def _advance(self) -> None:
        while self._messages and not self._is_paused:
            if not self._deliver_message(self._messages[0]):
                break
        if self._is_paused or self._is_stopped:
            return
        error = self._find_error()
        if error is not None:
            raise error

    def _find_error(self) -> httputil.HTTPInputError | None:
        """Return why the bytes received so far are not valid, if so."""
        error: httputil.HTTPInputError | None = None
        if self._fault:
            error = httputil.HTTPInputError(self._fault)
        if self._blank_bytes > partial.MAX_FRAMING_BYTES:
            error = FramingTooLargeError('too many empty lines')
        if self._messages and self._messages[0].is_framing_too_large():
            error = FramingTooLargeError('too many bytes beside the body')
        if self._messages and self._messages[0].is_head_too_large(
            self.limits.head_bytes
        ):
            error = HeadTooLargeError(
                f'the message head exceeds {self.limits.head_bytes} bytes',
            )
        return error

    def _deliver_message(self, message: partial.PartialMessage) -> bool:
        """Deliver what has arrived; return whether the message ended."""
        if not message.has_head or message.is_head_too_large(
            self.limits.head_bytes
        ):
            return False
        if not message.head_delivered:
            self._deliver_head(message)
        if self._is_stopped:
            return False
        if message.size and not self._receiver.receive_size(message.size):
            return False
        if not message.is_complete or self._is_stopped:
            return False
        self._messages.popleft()
        self._is_paused = True
        self.message_memory = message.count_memory()
        self._receiver.receive_end(message.read_body())
        return True

    def _deliver_head(self, message: partial.PartialMessage) -> None:
        message.head_delivered = True
        length = self._receiver.receive_head(
            message.start_line,
            message.headers,
        )
        message.expected = length or 0
        if length == 0 and not message.is_complete and not self._is_stopped:
            # A response to HEAD has a length but no body.
            self._excess_bytes = message.size
            message.size = 0
            message.body.clear()
            message.is_complete = True
            self._parser = self.make_parser()


class RequestReader(Reader):
    """Parser of the requests of a connection."""

    __slots__ = ()

    def make_parser(self) -> parsing.Parser:
        """Return a parser of requests."""
        return httptools.HttpRequestParser(self)

    def build_start_line(self, text: str) -> str:
        """Return the request line."""
        method = self._parser.get_method().decode('latin1')
        return f'{method} {text} HTTP/{self._parser.get_http_version()}'


class ResponseReader(Reader):
    """Parser of the responses of a connection."""

    __slots__ = ()

    def make_parser(self) -> parsing.Parser:
        """Return a parser of responses."""
        return httptools.HttpResponseParser(self)

    def build_start_line(self, text: str) -> str:
        """Return the status line."""
        version = self._parser.get_http_version()
        return f'HTTP/{version} {self._parser.get_status_code()} {text}'


# Upstreams send few different status lines.
parse_status_line: typing.Final = functools.lru_cache(_CACHED_LINES)(
    httputil.parse_response_start_line
)


def find_body_length(headers: httputil.HTTPHeaders) -> int | None:
    """Return the body length in bytes; None if chunked, -1 if not stated.

    Raises:
        HTTPInputError: if the headers conflict or are not valid.
    """
    if _TRANSFER_ENCODING in headers:
        if http1connection.is_transfer_encoding_chunked(headers):
            return None
    stated = headers.get(_CONTENT_LENGTH)
    if stated is None:
        return -1
    usual = numbers.parse_count(stated)
    if usual is not None:
        return usual
    lengths = {length.strip() for length in stated.split(',')}
    if len(lengths) > 1:
        raise httputil.HTTPInputError('conflicting Content-Length values')
    try:
        return http1connection.parse_int(lengths.pop())
    except ValueError:
        raise httputil.HTTPInputError('invalid Content-Length') from None


def build_head(start_line: str, headers: httputil.HTTPHeaders) -> bytes:
    """Encode the start line and headers of a message.

    Raises:
        ValueError: if a name or value contains a line break.
    """
    lines = [start_line]
    if isinstance(headers, fields.Fields):
        lines.extend(headers.list_lines())
    else:
        lines.extend(f'{name}: {field}' for name, field in headers.get_all())
    text = '\r\n'.join(lines)
    breaks = max(text.count('\n'), text.count('\r'))
    if breaks >= len(lines):
        raise ValueError('a header contains a line break')
    return f'{text}\r\n\r\n'.encode('latin1')
