"""HTTP/1.1 server on one port of a process."""

import asyncio
import typing

from shallotwharf.adapters import (
    arrival,
    caller,
    capacity,
    departures,
    limits,
    listener,
    turns,
)

# Idle connections are closed up to this much late.
_SWEEP_SECONDS: typing.Final = 0.5


class HttpServer(arrival.Owner):
    """Connections of one port, within the capacity of the process.

    What becomes of a request is decided by `make_exchange` of each subclass.
    """

    __slots__ = (
        'capacity',
        'port_name',
        'limits',
        'closing',
        'is_public',
        'turns',
        '_connections',
        '_crowd',
        '_sweeping',
        '_listener',
    )

    def __init__(
        self,
        shared_capacity: capacity.Capacity,
        port_name: str,
        server_limits: limits.ServerLimits,
        is_public: bool,
    ) -> None:
        """Create a server; it does not listen yet.

        Args:
            shared_capacity: what the process holds for clients.
            port_name: name of the port in log lines.
            server_limits: limits of what clients may send.
            is_public: whether only callers connect, so that the headers that
                only nodes may exchange are removed.
        """
        self.capacity = shared_capacity
        self.port_name = port_name
        self.limits = server_limits
        self.closing = False
        self.is_public = is_public
        self.turns = turns.Turns()
        self._connections: set[arrival.Arrival] = set()
        self._crowd = shared_capacity.build_crowd(server_limits, port_name)
        self._sweeping: asyncio.TimerHandle | None = None
        self._listener: listener.Listener | None = None

    def add(self, connection: arrival.Arrival) -> None:
        """Add an open connection."""
        self._connections.add(connection)
        self._crowd.add(connection)

    def remove(self, connection: arrival.Arrival) -> None:
        """Remove a connection that ended."""
        self._connections.discard(connection)
        self._crowd.remove(connection)

    def _open(self, host: str, port: int) -> int:
        """Listen on an IP address; return the port.

        Raises:
            LinkError: if the address cannot be bound.
        """
        self._listener = listener.Listener(
            lambda: caller.CallConnection(self), host, port
        )
        self._sweep()
        return self._listener.find_port()

    def _stop_listening(self) -> None:
        self.closing = True
        if self._listener is not None:
            self._listener.close()
        if self._sweeping is not None:
            self._sweeping.cancel()

    def _end_departed(self) -> None:
        """Close the connections whose clients have left unnoticed."""
        unread = {
            descriptor: connection
            for connection in self._connections
            if (descriptor := connection.find_unread()) is not None
        }
        if unread:
            for departed in departures.find_departed(unread):
                unread[departed].end()

    def _sweep(self) -> None:
        loop = self.capacity.loop
        self._crowd.sweep(loop.time())
        self._end_departed()
        self._sweeping = loop.call_later(_SWEEP_SECONDS, self._sweep)
