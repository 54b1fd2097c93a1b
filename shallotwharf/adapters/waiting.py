"""Requests of adapters that wait for the answer of an aggregate."""

import asyncio
import typing
import uuid
from collections import abc

from shallotwharf.core import clock, errors, messages, ports

Ask: typing.TypeAlias = abc.Callable[[str], None]


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

    async def async_ask(self, ask: Ask, timeout_ms: int) -> messages.Message:
        """Call `ask` with a new request and return the answer to it.

        Raises:
            RefusedError: `no_answer` if none came in time.
        """
        request = uuid.uuid4().hex
        future: asyncio.Future[messages.Message] = (
            asyncio.get_running_loop().create_future()
        )
        self.expect(request, future.set_result)
        ask(request)
        try:
            async with asyncio.timeout(timeout_ms / clock.SECOND_MS):
                return await future
        except TimeoutError:
            raise errors.RefusedError('no_answer', 'requests.ask') from None
        finally:
            self.forget(request)
