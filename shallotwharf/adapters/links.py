"""Connections between processes: WebSocket with CBOR.

`set_address` sets the address of a peer. Sending to a peer without a
connection opens one and queues messages meanwhile. Messages that exceed the
queue or are lost with a connection are dropped, because the aggregates resend
what they need. Pings detect an unresponsive peer.
"""

import asyncio
import socket
import typing
from collections import abc

from websockets import exceptions
from websockets.asyncio import client, connection, server

from shallotwharf.adapters import codec
from shallotwharf.core import counters, errors, logs, messages, ports

PROTOCOL: typing.Final = 1
QUEUE_LIMIT: typing.Final = 512
_OPEN_TIMEOUT_SECONDS: typing.Final = 1.0
# Pings detect an unresponsive peer on an idle connection. When data is sent,
# the TCP user timeout below detects it, so that a healed partition is not
# followed by a long retransmission back-off.
_PING_SECONDS: typing.Final = 20.0
_USER_TIMEOUT_MS: typing.Final = 3000
# A stopping process needs no reply; the wait only allows a clean close.
_CLOSE_TIMEOUT_SECONDS: typing.Final = 0.1
_REOPEN_DELAY_SECONDS: typing.Final = 0.2

Deliver: typing.TypeAlias = abc.Callable[[messages.Message, str], None]


@messages.register('link.hello')
class Hello(messages.Message):
    """First message on each connection, identifying the sender.

    Attributes:
        name: name of the process.
        host: IP address that it listens on.
        port: port that it listens on.
        protocol: version of the protocol between processes.
    """

    __slots__ = ('name', 'host', 'port', 'protocol')

    def __init__(self, name: str, host: str, port: int, protocol: int) -> None:
        self.name = name
        self.host = host
        self.port = port
        self.protocol = protocol


class _Peer:
    __slots__ = ('address', 'queue', 'connections', 'task', 'wakeup')

    def __init__(self) -> None:
        self.address: tuple[str, int] | None = None
        self.queue: list[bytes] = []
        self.connections: list[connection.Connection] = []
        self.task: asyncio.Task[None] | None = None
        self.wakeup = asyncio.Event()


class WebsocketLinks(ports.Links):
    """WebSocket connections of one process."""

    __slots__ = (
        '_hello',
        '_counters',
        '_deliver',
        '_peers',
        '_server',
        '_closing',
    )

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        process_counters: counters.Counters,
    ) -> None:
        self._hello = Hello(name, host, port, PROTOCOL)
        self._counters = process_counters
        self._deliver: Deliver | None = None
        self._peers: dict[str, _Peer] = {}
        self._server: server.Server | None = None
        self._closing = False

    def connect(self, deliver: Deliver) -> None:
        """Set the function that receives each message and its sender."""
        self._deliver = deliver

    def set_address(self, peer: str, host: str, port: int) -> None:
        """Set the address that a peer listens on."""
        self._find_peer(peer).address = (host, port)

    async def async_listen(self) -> None:
        """Start accepting connections.

        Raises:
            LinkError: if the address cannot be bound.
        """
        try:
            self._server = await server.serve(
                self._async_accept,
                self._hello.host,
                self._hello.port,
                max_size=codec.MAX_MESSAGE_BYTES,
                compression=None,
                ping_interval=_PING_SECONDS,
                ping_timeout=_PING_SECONDS,
            )
        except OSError as error:
            raise errors.LinkError(
                f'cannot listen: {error.strerror}',
                'links.listen',
                f'{self._hello.host}:{self._hello.port}',
            ) from error

    async def async_close(self) -> None:
        """Close all connections."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        closing: list[asyncio.Future[None]] = []
        for peer in self._peers.values():
            if peer.task is not None:
                peer.task.cancel()
            closing.extend(
                asyncio.ensure_future(opened.close())
                for opened in peer.connections
            )
        if closing:
            # A frozen or partitioned peer does not answer the close frame.
            await asyncio.wait(closing, timeout=_CLOSE_TIMEOUT_SECONDS)

    def send(self, peer: str, message: messages.Message) -> bool:
        """Queue a message; return False if it was dropped immediately."""
        target = self._find_peer(peer)
        if not target.connections and target.address is None:
            return False
        if len(target.queue) >= QUEUE_LIMIT:
            return False
        try:
            encoded = codec.encode(message)
        except errors.ProtocolError as error:
            logs.warn('message_too_large', peer=peer, error=error)
            return False
        target.queue.append(encoded)
        target.wakeup.set()
        if target.task is None:
            target.task = asyncio.get_running_loop().create_task(
                self._async_write(peer, target),
            )
        return True

    def _find_peer(self, name: str) -> _Peer:
        peer = self._peers.get(name)
        if peer is None:
            peer = _Peer()
            self._peers[name] = peer
        return peer

    async def _async_write(self, name: str, peer: _Peer) -> None:
        """Send the queued messages of a peer, reconnecting as needed."""
        while not self._closing:
            await peer.wakeup.wait()
            if not peer.connections and not await self._async_open(name, peer):
                self._drop_queue(peer)
                await asyncio.sleep(_REOPEN_DELAY_SECONDS)
                continue
            await self._async_flush(peer)

    async def _async_flush(self, peer: _Peer) -> None:
        while peer.queue and peer.connections:
            encoded = peer.queue.pop(0)
            self._counters.add('links.bytes_sent', len(encoded))
            try:
                await peer.connections[-1].send(encoded)
            except exceptions.ConnectionClosed:
                self._counters.add('messages.dropped')
                peer.connections.pop()
        if not peer.queue:
            peer.wakeup.clear()

    def _drop_queue(self, peer: _Peer) -> None:
        self._counters.add('messages.dropped', len(peer.queue))
        peer.queue.clear()
        peer.wakeup.clear()

    async def _async_open(self, name: str, peer: _Peer) -> bool:
        if peer.address is None:
            return False
        host, port = peer.address
        try:
            opened = await client.connect(
                f'ws://{host}:{port}',
                max_size=codec.MAX_MESSAGE_BYTES,
                compression=None,
                open_timeout=_OPEN_TIMEOUT_SECONDS,
                ping_interval=_PING_SECONDS,
                ping_timeout=_PING_SECONDS,
                proxy=None,
            )
            await opened.send(codec.encode(self._hello))
        except (OSError, TimeoutError, exceptions.WebSocketException):
            self._counters.add('links.open_failed')
            return False
        self._add_connection(name, peer, opened)
        asyncio.get_running_loop().create_task(
            self._async_read(name, peer, opened),
        )
        return True

    async def _async_accept(self, opened: server.ServerConnection) -> None:
        peer_address = str(opened.remote_address)
        try:
            hello = codec.decode(
                await opened.recv(decode=False),
                peer_address,
            )
        except (errors.ProtocolError, exceptions.ConnectionClosed) as error:
            self._counters.add('links.refused')
            logs.warn('link_refused', peer=peer_address, error=error)
            return
        if not isinstance(hello, Hello) or hello.protocol != PROTOCOL:
            self._counters.add('links.refused')
            logs.warn(
                'link_refused',
                peer=peer_address,
                error=f'expected a hello of protocol {PROTOCOL}',
            )
            return
        peer = self._find_peer(hello.name)
        peer.address = (hello.host, hello.port)
        self._add_connection(hello.name, peer, opened)
        await self._async_read(hello.name, peer, opened)

    def _add_connection(
        self,
        name: str,
        peer: _Peer,
        opened: connection.Connection,
    ) -> None:
        _set_user_timeout(opened)
        peer.connections.append(opened)
        if len(peer.connections) == 1:
            self._deliver_message(messages.LinkUp(), name)

    async def _async_read(
        self,
        name: str,
        peer: _Peer,
        opened: connection.Connection,
    ) -> None:
        try:
            async for encoded in opened:
                self._receive(encoded, name)
        except (exceptions.ConnectionClosed, errors.ProtocolError) as error:
            logs.write('link_closed', peer=name, reason=error)
        finally:
            self._remove_connection(name, peer, opened)
            await opened.close()

    def _remove_connection(
        self,
        name: str,
        peer: _Peer,
        opened: connection.Connection,
    ) -> None:
        if opened in peer.connections:
            peer.connections.remove(opened)
        if not peer.connections:
            self._deliver_message(messages.LinkDown(), name)

    def _receive(self, encoded: str | bytes, name: str) -> None:
        if isinstance(encoded, str):
            raise errors.ProtocolError(
                'received a text frame, expected binary',
                'links.receive',
                name,
            )
        self._counters.add('links.bytes_received', len(encoded))
        self._deliver_message(codec.decode(encoded, name), name)

    def _deliver_message(self, message: messages.Message, name: str) -> None:
        if self._deliver is not None and not self._closing:
            self._deliver(message, name)


def _set_user_timeout(opened: connection.Connection) -> None:
    opened.transport.get_extra_info('socket').setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )
