"""An HTTP/1.1 message that is being received."""

import typing

from shallotwharf.adapters import fields

MAX_HEAD_BYTES: typing.Final = 32_768
# Memory of a parsed field beside its text: two strings, and its entries in the
# dictionaries and the list of its name.
_FIELD_BYTES: typing.Final = 400
# Bytes of a message beside its head and body: chunk sizes, their extensions and
# trailer fields. A body in chunks of a byte has five of them a byte.
MAX_FRAMING_BYTES: typing.Final = 65_536
_MAX_FRAMING_PER_BODY_BYTE: typing.Final = 8
# Bodies above this size are not copied.
_COPY_LIMIT_BYTES: typing.Final = 65_536


class HeadLimits:
    """Limits of a message.

    Attributes:
        head_bytes: largest head.
    """

    __slots__ = ('head_bytes',)

    def __init__(self) -> None:
        self.head_bytes = MAX_HEAD_BYTES


DEFAULT_LIMITS: typing.Final = HeadLimits()


class PartialMessage:
    """Head and body of a message as far as they have arrived."""

    __slots__ = (
        'text',
        'start_line',
        'headers',
        'body',
        'head_size',
        'field_count',
        'size',
        'received',
        'unparsed',
        'has_head',
        'head_delivered',
        'is_complete',
        'expected',
        'received_fields',
    )

    def __init__(self) -> None:
        # Target of a request or reason phrase of a response.
        self.text = b''
        self.start_line = ''
        self.headers = fields.Fields()
        # Not a list of parts: each byte may arrive as a chunk of its own.
        self.body = bytearray()
        self.head_size = 0
        # Fields of the complete head.
        self.field_count = 0
        # Names and values of the incomplete head.
        self.received_fields: list[tuple[bytes, bytes]] = []
        self.size = 0
        # Bytes received after the read that ended the head.
        self.received = 0
        # Bytes received before the end of the head.
        self.unparsed = 0
        self.has_head = False
        self.head_delivered = False
        self.is_complete = False
        # Stated length of the body; 0 if not stated.
        self.expected = 0

    def complete_head(self, start_line: str) -> None:
        """Read the fields that were received.

        Raises:
            HTTPInputError: if one repeats a name and is not valid.
        """
        self.start_line = start_line
        self.headers.receive(self.received_fields)
        self.field_count = len(self.received_fields)
        self.received_fields.clear()
        self.has_head = True

    def is_head_too_large(self, limit: int) -> bool:
        """Return whether the head exceeds a limit in bytes."""
        if self.has_head:
            return self.head_size > limit
        return self.unparsed > limit

    def count_memory(self) -> int:
        """Return about how many bytes the message takes."""
        count = self.field_count + len(self.received_fields)
        parsed = count * _FIELD_BYTES
        unread = 0 if self.has_head else self.unparsed
        # Not what the body reserves: pages beyond its end are not touched.
        return len(self.body) + self.head_size + parsed + unread

    def find_left(self) -> int:
        """Return the bytes left of a body of known length; 0 otherwise."""
        return max(self.expected - self.size, 0)

    def is_framing_too_large(self) -> bool:
        """Return whether most of what was received belongs to no body."""
        if self.is_complete:
            return False
        allowed = MAX_FRAMING_BYTES + _MAX_FRAMING_PER_BODY_BYTE * self.size
        return self.received > allowed

    def read_body(self) -> bytes:
        """Return the body, without a copy if it is large."""
        if len(self.body) <= _COPY_LIMIT_BYTES:
            return bytes(self.body)
        # Whoever gets the body reads it only, as it would read bytes.
        return typing.cast(bytes, self.body)
