"""Connections between processes, within the capacity of the process.

Any client can connect to the port for links. What a connection holds before a
message is complete counts in the memory that all ports share, and a connection
whose sender has not said who it is counts as idle.
"""

import asyncio
import typing

from websockets.asyncio import client, connection, server

from shallotwharf.adapters import (
    capacity,
    crowd,
    limits,
    message_memory,
    peers,
)
from shallotwharf.core import errors

PORT_NAME: typing.Final = 'links'
# Bytes of a known sender that are not counted. Heartbeats and other small
# messages must arrive while calls hold all memory.
_FREE_BYTES: typing.Final = 65_536
# Largest head of a frame.
_FRAME_HEAD_BYTES: typing.Final = 14
# Time in which a connection must have been opened and the sender known.
_HELLO_SECONDS: typing.Final = 10.0
_SWEEP_SECONDS: typing.Final = 0.5


class Arriving(crowd.Member):
    """Bytes of a connection that belong to no complete message yet.

    Attributes:
        is_known: whether the sender has said who it is.
        idle_since: loop time at which the connection was opened, in seconds.
        received_at: loop time at which bytes arrived last, in seconds.
    """

    __slots__ = (
        'is_known',
        'idle_since',
        'received_at',
        '_port',
        '_held',
        '_arrived',
        '_transport',
    )

    def __init__(self, port: 'LinkPort', *, is_known: bool) -> None:
        self.is_known = is_known
        self.idle_since = port.capacity.loop.time()
        self.received_at = self.idle_since
        self._port = port
        self._held = message_memory.Hold(port.capacity.memory, self._give_way)
        self._arrived = 0
        self._transport: asyncio.Transport | None = None

    def open(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        if not self.is_known:
            self._port.add(self)

    def add(self, size: int) -> None:
        """Count received bytes; abort the connection if there is no room."""
        self.received_at = self._port.capacity.loop.time()
        self._arrived += size
        if not self._held.try_resize(self._count()):
            self._give_way()

    def settle(self, size: int) -> None:
        """Uncount a complete message."""
        self._arrived = max(self._arrived - size - _FRAME_HEAD_BYTES, 0)
        self._held.resize(self._count())

    def recognize(self) -> None:
        """Count the connection as one of a known sender."""
        self.is_known = True
        self._held.resize(self._count())

    def release(self) -> None:
        """Uncount everything: the connection has ended."""
        self._held.resize(0)
        self._port.remove(self)

    def is_idle(self) -> bool:
        """Return whether the sender is not known."""
        return not self.is_known

    def is_busy(self) -> bool:
        """Return whether the sender is known."""
        return self.is_known

    def measure_responses(self) -> tuple[int, int]:
        """Return that no response waits: pings detect slow readers."""
        return 0, 0

    def find_peer(self) -> str:
        """Return the IP address of the peer; empty if it is not known."""
        return peers.find_address(self._find_transport())

    def abort(self) -> None:
        """Close the connection at once."""
        self._find_transport().abort()

    def close(self) -> None:
        """Close the connection at once: nothing is to be written."""
        self.abort()

    def _count(self) -> int:
        """Return the bytes that take part in the account of all ports."""
        # Replies to pings wait there if the sender does not read them.
        waiting = self._find_transport().get_write_buffer_size()
        free = _FREE_BYTES if self.is_known else 0
        return max(self._arrived + waiting - free, 0)

    def _give_way(self) -> None:
        self._port.capacity.report(
            PORT_NAME, 'memory_full', self._held.size, self.find_peer()
        )
        self.abort()

    def _find_transport(self) -> asyncio.Transport:
        return typing.cast(asyncio.Transport, self._transport)


class LinkPort:
    """The links of a process, of which other processes opened some.

    Attributes:
        capacity: what the process holds for the clients of all ports.
    """

    __slots__ = ('capacity', '_crowd', '_sweeping')

    def __init__(self, shared_capacity: capacity.Capacity) -> None:
        self.capacity = shared_capacity
        server_limits = limits.ServerLimits(0, is_public=True)
        server_limits.idle_seconds = _HELLO_SECONDS
        self._crowd = shared_capacity.build_crowd(server_limits, PORT_NAME)
        self._sweeping: asyncio.TimerHandle | None = None

    def add(self, arriving: Arriving) -> None:
        """Add an accepted connection."""
        self._crowd.add(arriving)

    def remove(self, arriving: Arriving) -> None:
        """Remove a connection that ended."""
        self._crowd.remove(arriving)

    def sweep(self) -> None:
        """Close connections without a known sender, now and at intervals."""
        loop = self.capacity.loop
        self._crowd.sweep(loop.time())
        self._sweeping = loop.call_later(_SWEEP_SECONDS, self.sweep)

    def stop(self) -> None:
        """Stop closing connections."""
        if self._sweeping is not None:
            self._sweeping.cancel()


class Link(connection.Connection):
    """Connection whose incomplete messages are counted."""

    arriving: Arriving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self.arriving.open(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and count what is incomplete."""
        super().data_received(data)
        self.arriving.add(len(data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Uncount the connection."""
        super().connection_lost(exc)
        self.arriving.release()


class AcceptedLink(Link, server.ServerConnection):
    """Connection that another process, or any client, has opened."""

    def __init__(
        self, port: LinkPort, *positional: typing.Any, **options: typing.Any
    ) -> None:
        """Create a connection.

        Args:
            port: the links of the process.
            positional: arguments of the library.
            options: arguments of the library.
        """
        super().__init__(*positional, **options)
        self.arriving = Arriving(port, is_known=False)


class OpenedLink(Link, client.ClientConnection):
    """Connection that this process has opened."""

    def __init__(
        self, port: LinkPort, *positional: typing.Any, **options: typing.Any
    ) -> None:
        """Create a connection.

        Args:
            port: the links of the process.
            positional: arguments of the library.
            options: arguments of the library.
        """
        super().__init__(*positional, **options)
        self.arriving = Arriving(port, is_known=True)


async def async_receive(
    link: Link, peer: str, *, decode: bool | None = None
) -> bytes | str:
    """Return the next message.

    Processes send each message in one frame. The fragments of a message cost
    far more than their bytes, so one in fragments is not received.

    Raises:
        ConnectionClosed: if the connection has ended.
        ProtocolError: if the message has fragments.
    """
    fragments = link.recv_streaming(decode=decode)
    message = typing.cast(bytes | str, await anext(fragments))
    if await anext(fragments, None) is not None:
        raise errors.ProtocolError(
            'received a message in fragments', 'links.receive', peer
        )
    link.arriving.settle(len(message))
    return message
