"""Requests of adapters that wait for the answer of an aggregate."""

from collections import abc

from shallotwharf.core import messages, ports


class WaitingRequests(ports.Requests):
    """Hands each answer to the function that was registered for it."""

    __slots__ = ('_receivers',)

    def __init__(self) -> None:
        self._receivers: dict[
            str,
            abc.Callable[[messages.Message], None],
        ] = {}

    def expect(
        self,
        request: str,
        receive: abc.Callable[[messages.Message], None],
    ) -> None:
        """Call `receive` once with the answer to a request."""
        self._receivers[request] = receive

    def forget(self, request: str) -> None:
        """Ignore the answer to a request."""
        self._receivers.pop(request, None)

    def answer(self, request: str, reply: messages.Message) -> None:
        """Give a waiting request its answer; ignore unknown requests."""
        receive = self._receivers.pop(request, None)
        if receive is not None:
            receive(reply)
