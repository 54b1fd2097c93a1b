"""Writing of HTTP messages without a copy of their bodies."""

import asyncio
import collections
import fcntl
import sys
import termios
import typing

# Smaller bodies are written together with the head.
_COPY_LIMIT_BYTES: typing.Final = 16_384
# The transport copies what the peer does not take at once, so that a large body
# is handed to it in parts of this size.
_PART_BYTES: typing.Final = 131_072
_INTEGER_BYTES: typing.Final = 4

OnWritten: typing.TypeAlias = typing.Callable[[], None]


class _Message:
    """A message whose body was not handed to the transport whole."""

    __slots__ = ('head', 'rest', 'on_written')

    def __init__(self, head: bytes, body: bytes, on_written: OnWritten) -> None:
        self.head = head
        self.rest = memoryview(body)
        self.on_written = on_written


class MessageWriter:
    """Writes the messages of a connection, one after the other.

    The protocol of the connection passes on `pause` and `resume`, which the
    transport calls as its buffer fills up and empties.
    """

    __slots__ = (
        '_transport',
        '_messages',
        '_on_empty',
        '_total_bytes',
        '_is_paused',
    )

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._messages: collections.deque[_Message] = collections.deque()
        self._on_empty: OnWritten | None = None
        self._total_bytes = 0
        self._is_paused = False

    @property
    def is_writing(self) -> bool:
        """Return whether a part of a message is still to be written."""
        return bool(self._messages)

    @property
    def is_full(self) -> bool:
        """Return whether a message waits behind one that is not read."""
        return self._is_paused and len(self._messages) > 1

    def is_immediate(self, body: bytes) -> bool:
        """Return whether the transport takes a message whole at once."""
        is_free = not (self._messages or self._is_paused)
        return is_free and len(body) <= _COPY_LIMIT_BYTES

    def write(self, head: bytes, body: bytes, on_written: OnWritten) -> None:
        """Write a message; call `on_written` once the transport has it all."""
        self._total_bytes += len(head) + len(body)
        if self.is_immediate(body):
            self._transport.write(head + body)
            on_written()
            return
        self._messages.append(_Message(head, body, on_written))
        self._write_parts()

    def measure_progress(self) -> tuple[int, int]:
        """Return the bytes that the peer has acknowledged, and the others.

        The latter are 0 if the process holds none of them.
        """
        left = self._transport.get_write_buffer_size() + sum(
            len(message.head) + len(message.rest) for message in self._messages
        )
        opened = self._transport.get_extra_info('socket')
        if left and opened is not None and opened.fileno() >= 0:
            # The system takes parts of up to a third of its buffer, so that
            # the bytes held here show progress too rarely.
            queued = fcntl.ioctl(
                opened.fileno(), termios.TIOCOUTQ, bytes(_INTEGER_BYTES)
            )
            left += int.from_bytes(queued, sys.byteorder)
        return self._total_bytes - left, left

    def finish(self, on_empty: OnWritten) -> None:
        """Call `on_empty` once the transport has all messages."""
        if self._messages:
            self._on_empty = on_empty
        else:
            on_empty()

    def pause(self) -> None:
        """Write no more until `resume`."""
        self._is_paused = True

    def resume(self) -> None:
        """Write the next parts."""
        self._is_paused = False
        self._write_parts()

    def discard(self) -> None:
        """Drop what was not written: the connection has ended."""
        messages = list(self._messages)
        self._messages.clear()
        self._on_empty = None
        for message in messages:
            message.on_written()

    def _write_parts(self) -> None:
        while self._messages and not self._is_paused:
            if self._is_lost():
                self.discard()
                return
            self._write_part(self._messages[0])
        if not self._messages and self._on_empty is not None:
            on_empty = self._on_empty
            self._on_empty = None
            on_empty()

    def _is_lost(self) -> bool:
        """Return whether the transport takes nothing any more.

        One that is closing still takes parts until its buffer is empty.
        """
        return (
            self._transport.is_closing()
            and not self._transport.get_write_buffer_size()
        )

    def _write_part(self, message: _Message) -> None:
        if message.head:
            self._transport.write(message.head)
            message.head = b''
            return
        part = message.rest[:_PART_BYTES]
        message.rest = message.rest[_PART_BYTES:]
        if not message.rest:
            self._messages.popleft()
            message.on_written()
        self._transport.write(part)
