"""Interfaces that adapters implement for the dispatcher."""

import abc

from shallotwharf.core import messages, records


class Links(abc.ABC):
    """Connections to peers."""

    __slots__ = ()

    @abc.abstractmethod
    def send(self, peer: str, message: messages.Message) -> bool:
        """Queue a message; return False if it was dropped at once."""


class Storage(abc.ABC):
    """The data folder of a process."""

    __slots__ = ()

    @abc.abstractmethod
    def execute(self, operation: records.Record) -> None:
        """Write and sync an operation.

        Raises:
            StorageError: if it is not on disk afterwards.
        """


class Timers(abc.ABC):
    """Timers of the aggregates, named by aggregate and timer."""

    __slots__ = ()

    @abc.abstractmethod
    def set_timer(self, aggregate: str, name: str, at: int) -> None:
        """Set or move a timer to `at`, in clock milliseconds."""

    @abc.abstractmethod
    def cancel_timer(self, aggregate: str, name: str) -> None:
        """Stop a timer; no effect if it is not set."""


class Requests(abc.ABC):
    """Requests that wait for the reply of an aggregate."""

    __slots__ = ()

    @abc.abstractmethod
    def answer(self, request: str, reply: messages.Message) -> None:
        """Deliver the reply to a request; ignore unknown requests."""
