"""Callbacks of the parser of HTTP/1.1 messages."""

import abc
import collections
import typing

import httptools

from shallotwharf.adapters import partial

Parser: typing.TypeAlias = typing.Any


class Parsing(abc.ABC):
    """Messages of a connection as far as their bytes were parsed."""

    __slots__ = ('_parser', '_messages', '_parts')

    def __init__(self) -> None:
        self._parser = self.make_parser()
        # The last one may be incomplete.
        self._messages: collections.deque[partial.PartialMessage] = (
            collections.deque()
        )
        # Fields and parts of bodies that were parsed in this call.
        self._parts = 0

    @abc.abstractmethod
    def make_parser(self) -> Parser:
        """Return a parser with this reader as its callbacks."""

    @abc.abstractmethod
    def build_start_line(self, text: str) -> str:
        """Return the start line for a target or a reason phrase."""

    def on_message_begin(self) -> None:
        """Begin a message; parser callback, like the methods below."""
        self._messages.append(partial.PartialMessage())

    def on_url(self, part: bytes) -> None:
        """Append a part of the target of a request."""
        self._add_text(part)

    def on_status(self, part: bytes) -> None:
        """Append a part of the reason phrase of a response."""
        self._add_text(part)

    def on_header(self, name: bytes, field: bytes | None) -> None:
        """Add a header field."""
        self._parts += 1
        message = self._messages[-1]
        if not message.has_head:
            # Trailer fields are dropped.
            text = field or b''
            message.head_size += len(name) + len(text)
            message.received_fields.append((name, text))

    def on_headers_complete(self) -> None:
        """Complete the head."""
        message = self._messages[-1]
        text = message.text.decode('latin1')
        message.complete_head(self.build_start_line(text))

    def on_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self._parts += 1
        message = self._messages[-1]
        message.body += part
        message.size += len(part)

    def on_message_complete(self) -> None:
        """Mark the message as complete."""
        self._messages[-1].is_complete = True

    def _find_incomplete_head(self) -> partial.PartialMessage | None:
        """Return the message whose head is incomplete, if any."""
        if self._messages and not self._messages[-1].has_head:
            return self._messages[-1]
        return None

    def _add_text(self, part: bytes) -> None:
        message = self._messages[-1]
        message.text += part
        message.head_size += len(part)

    def _parse(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as upgrade:
            # Protocol upgrades are not supported: the Upgrade header is
            # ignored and the remaining bytes are parsed as HTTP/1.1.
            self._parser = self.make_parser()
            rest = received[upgrade.args[0] :]
            if rest:
                self._parse(rest)
