"""Handling of a complete request until its response is known."""

import abc

from shallotwharf.core import call_interfaces


class Handling(abc.ABC):
    """What a server does with a request of a connection."""

    __slots__ = ()

    @abc.abstractmethod
    def start(self) -> None:
        """Start; the responder of the request gets the response."""

    @abc.abstractmethod
    def find_room(self) -> call_interfaces.Room:
        """Return whether there is room for the request before it starts."""

    @abc.abstractmethod
    def cancel(self) -> bool:
        """Stop, because the client disconnected.

        Returns False if it continues until it responds.
        """

    @abc.abstractmethod
    def expire(self) -> None:
        """End, because the time of the request is over."""

    @abc.abstractmethod
    def report_cut(self, connection_opened_at: float) -> None:
        """Log that a stop of the process ends the request.

        Args:
            connection_opened_at: loop time, in seconds.
        """
