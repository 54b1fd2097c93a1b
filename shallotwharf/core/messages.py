"""Typed messages between aggregates and between processes."""

import typing
from collections import abc

from shallotwharf.core import records

_registry: dict[str, type['Message']] = {}

MessageType = typing.TypeVar('MessageType', bound=type['Message'])


class Message(records.Record):
    """Base class of messages.

    Fields are given by the annotations of `__init__`. Allowed types are
    `int`, `float`, `str`, `bytes`, `bool`, other records, `tuple[T, ...]`,
    `Mapping[str, T]` and `T | None`.
    """

    __slots__ = ()

    tag: typing.ClassVar[str] = ''


class TimerFired(Message):
    """A timer of the receiving aggregate is due."""

    __slots__ = ('name',)

    def __init__(self, name: str) -> None:
        self.name = name


class StoreFailed(Message):
    """A step of the receiving aggregate failed before it was stored whole.

    Either a `Store` effect failed, and the effects that followed it in the
    step were dropped, or the aggregate raised an error and the step has no
    effects.
    """

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class LinkUp(Message):
    """A connection to the peer that is named as sender was established."""

    __slots__ = ()


class LinkDown(Message):
    """The last connection to the peer that is named as sender was lost."""

    __slots__ = ()


def register(tag: str) -> abc.Callable[[MessageType], MessageType]:
    """Return a decorator that gives a message class its tag on the wire.

    Raises:
        ValueError: if the tag is already taken.
    """

    def decorate(message_type: MessageType) -> MessageType:  # noqa: WPS430
        if tag in _registry:
            raise ValueError(f'tag {tag} is registered twice')
        message_type.tag = tag
        _registry[tag] = message_type
        return message_type

    return decorate


def find_type(tag: str) -> type[Message] | None:
    """Return the message class of a tag; None if it is unknown."""
    return _registry.get(tag)
