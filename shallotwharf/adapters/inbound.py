"""HTTP/1.1 server for calls from callers and other nodes."""

import asyncio
import typing

from tornado import httputil

from shallotwharf.adapters import (
    exchange,
    handling,
    http_server,
    limits,
    pipeline,
    services,
)

DEFAULT_MAX_BODY_BYTES: typing.Final = 4_194_304
_CLOSE_POLL_SECONDS: typing.Final = 0.02
# Polls without a running exchange before kept connections are closed: a request
# may be on its way through the buffers of the connection.
_QUIET_POLLS: typing.Final = 3


class CallServer(http_server.HttpServer):
    """Server that starts an exchange for each request."""

    __slots__ = ('services',)

    def __init__(
        self,
        shared: services.Services,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        is_public: bool = False,
    ) -> None:
        """Create a server; it does not listen yet.

        Args:
            shared: dependencies shared by all exchanges.
            max_body_bytes: limit of a request body; a larger one is refused
                with 413.
            is_public: whether only callers connect, so that the headers that
                only nodes may exchange are removed.
        """
        super().__init__(
            shared.capacity,
            'callers' if is_public else 'calls',
            limits.ServerLimits(max_body_bytes, is_public=is_public),
            is_public,
        )
        self.services = shared

    def make_exchange(
        self,
        slot: pipeline.Slot,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> handling.Handling:
        """Return the exchange of a call."""
        return exchange.Exchange(
            self.services, slot, slot.start_line, request_headers, body
        )

    async def async_listen(self, host: str, port: int) -> int:
        """Listen on an IP address; return the port.

        Raises:
            LinkError: if the address cannot be bound.
        """
        return self._open(host, port)

    async def async_wait_until_quiet(self, limit_seconds: float) -> None:
        """Wait until no exchange runs and no request seems to be on its way.

        The server keeps listening unless it is closed.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_seconds
        quiet_polls = 0
        while quiet_polls < _QUIET_POLLS and loop.time() < end:
            await asyncio.sleep(_CLOSE_POLL_SECONDS)
            quiet_polls = 0 if self.services.active else quiet_polls + 1

    async def async_close(self, limit_seconds: float) -> bool:
        """Stop listening and wait for running exchanges to finish.

        Requests that have arrived but were not read yet are served, too.

        Returns whether all of them finished within the limit and their
        responses were written; the others end as if their deadlines had
        passed.
        """
        self._stop_listening()
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_seconds
        await self.async_wait_until_quiet(limit_seconds)
        finished = not self.services.active
        for connection in list(self._connections):
            connection.cut()
        # A closed connection is removed once its last response is written.
        while self._connections and loop.time() < end:
            await asyncio.sleep(_CLOSE_POLL_SECONDS)
        return finished and not self._connections
