"""Base class of aggregates."""

import abc
import typing
from collections import abc as collections_abc

from shallotwharf.core import effects, messages

Handlers: typing.TypeAlias = collections_abc.Mapping[
    type[messages.Message],
    str,
]


class Aggregate(abc.ABC):
    """State together with its rules; nothing else modifies that state.

    A subclass lists the messages it accepts in `handlers`, from the type of
    the message to the name of a method that takes the message, its sender
    and the time and returns effects.
    """

    __slots__ = ()

    name: typing.ClassVar[str]
    handlers: typing.ClassVar[Handlers]

    @abc.abstractmethod
    def start(self, now: int) -> list[effects.Effect]:
        """Return the effects of starting at `now`, in milliseconds."""

    def handle(
        self,
        message: messages.Message,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Apply a message from `sender` at `now`, in milliseconds.

        Raises:
            KeyError: if the aggregate does not accept the type of message.
        """
        method = self.handlers[type(message)]
        result: list[effects.Effect] = getattr(self, method)(
            message,
            sender,
            now,
        )
        return result
