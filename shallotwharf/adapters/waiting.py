"""Pending requests of adapters to aggregates."""

import asyncio
import typing
import uuid
from collections import abc

from shallotwharf.core import clock, errors, messages, ports

SendRequest: typing.TypeAlias = abc.Callable[[str], None]


class WaitingRequests(ports.Requests):
    """Callbacks of pending requests by request id."""

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
        """Register `receive` to be called once with the reply."""
        self._receivers[request] = receive

    def discard(self, request: str) -> None:
        """Discard a pending request; its reply will be ignored."""
        self._receivers.pop(request, None)

    def answer(self, request: str, reply: messages.Message) -> None:
        """Deliver a reply to a pending request; ignore unknown requests."""
        receive = self._receivers.pop(request, None)
        if receive is not None:
            receive(reply)

    async def async_request(
        self, send: SendRequest, timeout_ms: int
    ) -> messages.Message:
        """Call `send` with a new request id and return the reply.

        Raises:
            RefusedError: `no_answer` if no reply arrived within the timeout.
        """
        request = uuid.uuid4().hex
        future: asyncio.Future[messages.Message] = (
            asyncio.get_running_loop().create_future()
        )
        self.expect(request, future.set_result)
        send(request)
        try:
            async with asyncio.timeout(timeout_ms / clock.SECOND_MS):
                return await future
        except TimeoutError:
            raise errors.RefusedError('no_answer', 'requests.ask') from None
        finally:
            self.discard(request)
