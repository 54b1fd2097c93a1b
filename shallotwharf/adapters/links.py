"""Connections between processes: WebSocket with CBOR.

`set_address` sets the address of a peer. Sending to a peer without a
connection opens one and queues messages meanwhile. Messages that exceed the
queue or are lost with a connection are dropped, because the aggregates resend
what they need. Pings detect an unresponsive peer. Large messages are
compressed for peers that announced in their hello that they read such frames.
"""

import asyncio
import functools
import socket
import typing
from collections import abc

from websockets import exceptions
from websockets.asyncio import client, connection, server

from shallotwharf.adapters import (
    capacity,
    codec,
    link_connection,
    link_frames,
    link_peers,
    listener,
    traffic,
)
from shallotwharf.core import (
    clock,
    counters,
    endpoints,
    errors,
    locations,
    logs,
    messages,
    ports,
)

PROTOCOL: typing.Final = 1
QUEUE_LIMIT: typing.Final = 512
# A connect to a machine without power hangs, also after it is back, until TCP
# sends again after a second. Attempts are therefore short at first: a new one
# finds the machine at once. Three round trips between regions take 75 ms.
_OPEN_TIMEOUT_SECONDS: typing.Final = 0.25
_MAX_OPEN_TIMEOUT_SECONDS: typing.Final = 2.0
# A connection may go silent without a reset, or end while its peer has no
# power. If nothing has arrived on it for this time when a message is sent, it
# is probed with a ping. Nodes renew subscriptions, which are answered, every
# 0.5 s.
_QUIET_SECONDS: typing.Final = 0.6
# Another connection is opened beside one that has not answered a ping for this
# time. A process that only answers slowly keeps the first one until then.
_PROBE_SECONDS: typing.Final = 0.4
# Pings detect an unresponsive peer on an idle connection. When data is sent,
# the TCP user timeout below detects it, so that a healed partition is not
# followed by a long retransmission back-off.
_PING_SECONDS: typing.Final = 20.0
_USER_TIMEOUT_MS: typing.Final = 3000
# A stopping process needs no reply; the wait only allows a clean close. The
# library waits 10 s by default, also for tasks that are cancelled at the end of
# the process, which is longer than a grace period.
_CLOSE_TIMEOUT_SECONDS: typing.Final = 0.1
_REOPEN_DELAY_SECONDS: typing.Final = 0.1

Deliver: typing.TypeAlias = abc.Callable[[messages.Message, str], None]


class WebsocketLinks(ports.Links):
    """WebSocket connections of one process.

    Args:
        name: name of the process.
        location: where it runs and listens.
        process_counters: counters of the process.
        shared_capacity: what the process holds for clients; None if links are
            all that it has.
    """

    __slots__ = (
        '_hello',
        '_counters',
        '_port',
        '_traffic',
        '_clock',
        '_deliver',
        '_peers',
        '_server',
        '_closing',
    )

    def __init__(
        self,
        name: str,
        location: locations.Location,
        process_counters: counters.Counters,
        shared_capacity: capacity.Capacity | None = None,
    ) -> None:
        self._hello = link_peers.Hello(
            name,
            location.host,
            location.link_port,
            PROTOCOL,
            location.datacentre,
            location.region,
            reads_compressed=True,
        )
        self._counters = process_counters
        self._port = link_connection.LinkPort(
            shared_capacity or capacity.Capacity(process_counters)
        )
        self._traffic = traffic.Traffic(location, process_counters)
        self._clock = clock.SystemClock()
        self._deliver: Deliver | None = None
        self._peers: dict[str, link_peers.Peer] = {}
        self._server: server.Server | None = None
        self._closing = False

    def connect(self, deliver: Deliver) -> None:
        """Set the function that receives each message and its sender."""
        self._deliver = deliver

    def set_address(self, peer: str, host: str, port: int) -> None:
        """Set the address that a peer listens on, if it is valid."""
        if endpoints.is_valid(host, port):
            self._find_peer(peer).address = (host, port)
        else:
            self._counters.add('links.addresses_refused')

    async def async_listen(self) -> None:
        """Start accepting connections.

        Raises:
            LinkError: if the address cannot be bound.
        """
        bound = listener.bind(
            self._hello.host, self._hello.port, 'links.listen'
        )
        self._server = await server.serve(
            self._async_accept,
            sock=bound,
            # To asyncio, the connections accepted in one pass of the loop.
            backlog=listener.MAX_ACCEPTED,
            max_size=codec.MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=_PING_SECONDS,
            ping_timeout=_PING_SECONDS,
            close_timeout=_CLOSE_TIMEOUT_SECONDS,
            create_connection=typing.cast(
                type[server.ServerConnection],
                functools.partial(link_connection.AcceptedLink, self._port),
            ),
        )
        # It has set the queue of the socket to the same number.
        bound.listen(listener.BACKLOG)
        self._port.sweep()

    async def async_close(self) -> None:
        """Close all connections."""
        self._closing = True
        self._port.stop()
        if self._server is not None:
            self._server.close()
        closing: list[asyncio.Future[None]] = []
        for peer in self._peers.values():
            for task in (peer.task, peer.probing):
                if task is not None:
                    task.cancel()
            closing.extend(
                asyncio.ensure_future(opened.socket.close())
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
            logs.warn('message_refused', peer=peer, error=error)
            return False
        target.queue.append(link_peers.Queued(message.tag, encoded))
        target.wakeup.set()
        if target.task is None:
            target.task = asyncio.get_running_loop().create_task(
                self._async_write(peer, target),
            )
        return True

    def _find_peer(self, name: str) -> link_peers.Peer:
        peer = self._peers.get(name)
        if peer is None:
            peer = link_peers.Peer(_OPEN_TIMEOUT_SECONDS)
            self._peers[name] = peer
        return peer

    async def _async_write(self, name: str, peer: link_peers.Peer) -> None:
        """Send the queued messages of a peer, reconnecting as needed."""
        while not self._closing:
            await peer.wakeup.wait()
            if not peer.connections:
                await self._async_find_connection(name, peer)
            if peer.connections:
                self._probe_if_quiet(name, peer)
                await self._async_flush(peer)
                continue
            self._drop_queue(peer)
            await asyncio.sleep(_REOPEN_DELAY_SECONDS)

    async def _async_find_connection(
        self,
        name: str,
        peer: link_peers.Peer,
    ) -> None:
        """Open a connection, unless one from the peer is accepted before."""
        if peer.opening is not None:
            await asyncio.wait({peer.opening})
            return
        opening = asyncio.get_running_loop().create_task(
            self._async_open(name, peer),
        )
        peer.opening = opening
        try:
            await asyncio.wait({opening})
        finally:
            opening.cancel()
            peer.opening = None

    async def _async_flush(self, peer: link_peers.Peer) -> None:
        while peer.queue and peer.connections:
            queued = peer.queue.pop(0)
            opened = peer.connections[-1]
            frame = queued.encoded
            if opened.reads_compressed:
                frame = link_frames.pack(frame)
            self._traffic.record(queued.tag, len(frame), peer.location)
            try:
                await opened.socket.send(frame)
            except exceptions.ConnectionClosed:
                self._counters.add('messages.dropped')
                # Another connection may have been added in the meantime.
                if opened in peer.connections:
                    peer.connections.remove(opened)
        if not peer.queue:
            peer.wakeup.clear()

    def _probe_if_quiet(self, name: str, peer: link_peers.Peer) -> None:
        """Check the connection in use if nothing has arrived on it lately."""
        opened = peer.connections[-1]
        loop = asyncio.get_running_loop()
        quiet_since = loop.time() - _QUIET_SECONDS
        is_quiet = opened.socket.arriving.received_at < quiet_since
        if is_quiet and peer.probing is None and peer.address is not None:
            peer.probing = loop.create_task(
                self._async_probe(name, peer, opened),
            )

    async def _async_probe(
        self,
        name: str,
        peer: link_peers.Peer,
        opened: link_peers.Opened,
    ) -> None:
        """Replace a connection that does not answer a ping."""
        try:
            if not await _async_answers(opened):
                await self._async_replace(name, peer, opened)
        finally:
            peer.probing = None

    async def _async_replace(
        self,
        name: str,
        peer: link_peers.Peer,
        silent: link_peers.Opened,
    ) -> None:
        """Open another connection, unless the silent one is used again."""
        silent_since = silent.socket.arriving.received_at
        while not self._closing and peer.connections[-1:] == [silent]:
            await self._async_find_connection(name, peer)
            if silent.socket.arriving.received_at > silent_since:
                return
            await asyncio.sleep(_REOPEN_DELAY_SECONDS)
        if silent in peer.connections:
            self._counters.add('links.replaced')
            await silent.socket.close()

    def _drop_queue(self, peer: link_peers.Peer) -> None:
        self._counters.add('messages.dropped', len(peer.queue))
        peer.queue.clear()
        peer.wakeup.clear()

    async def _async_open(self, name: str, peer: link_peers.Peer) -> None:
        if peer.address is None:
            return
        host, port = peer.address
        try:
            opened = await client.connect(
                f'ws://{host}:{port}',
                max_size=codec.MAX_MESSAGE_BYTES,
                compression=None,
                open_timeout=peer.open_timeout_seconds,
                ping_interval=_PING_SECONDS,
                ping_timeout=_PING_SECONDS,
                close_timeout=_CLOSE_TIMEOUT_SECONDS,
                proxy=None,
                create_connection=typing.cast(
                    type[client.ClientConnection],
                    functools.partial(link_connection.OpenedLink, self._port),
                ),
            )
            await opened.send(codec.encode(self._hello))
        except (OSError, TimeoutError, exceptions.WebSocketException):
            self._counters.add('links.open_failed')
            peer.record_failure(self._clock.read())
            peer.open_timeout_seconds = min(
                2 * peer.open_timeout_seconds,
                _MAX_OPEN_TIMEOUT_SECONDS,
            )
            return
        added = link_peers.Opened(typing.cast(link_connection.Link, opened))
        self._add_connection(name, peer, added)
        asyncio.get_running_loop().create_task(
            self._async_read(name, peer, added),
        )

    async def _async_accept(self, accepted: server.ServerConnection) -> None:
        opened = typing.cast(link_connection.AcceptedLink, accepted)
        peer_address = str(opened.remote_address)
        try:
            hello = await _async_receive_hello(opened, peer_address)
        except (errors.ProtocolError, exceptions.ConnectionClosed) as error:
            self._counters.add('links.refused')
            logs.warn('link_refused', peer=peer_address, error=error)
            return
        opened.arriving.recognize()
        peer = self._find_peer(hello.name)
        self.set_address(hello.name, hello.host, hello.port)
        peer.location = hello.read_location()
        added = link_peers.Opened(opened)
        if hello.reads_compressed:
            added.reads_compressed = True
            await opened.send(codec.encode(self._hello))
        self._add_connection(hello.name, peer, added)
        if peer.opening is not None:
            peer.opening.cancel()
        await self._async_read(hello.name, peer, added)

    def _add_connection(
        self,
        name: str,
        peer: link_peers.Peer,
        opened: link_peers.Opened,
    ) -> None:
        _set_user_timeout(opened.socket)
        peer.connections.append(opened)
        self._report_opened(name, peer)
        peer.open_timeout_seconds = _OPEN_TIMEOUT_SECONDS
        if len(peer.connections) == 1:
            self._deliver_message(messages.LinkUp(), name)

    def _report_opened(self, name: str, peer: link_peers.Peer) -> None:
        if not peer.failed_attempts:
            return
        logs.write(
            'link_opened',
            peer=name,
            failed_attempts=peer.failed_attempts,
            waited_ms=self._clock.read() - peer.failed_since,
        )
        peer.failed_attempts = 0

    async def _async_read(
        self,
        name: str,
        peer: link_peers.Peer,
        opened: link_peers.Opened,
    ) -> None:
        try:
            while True:
                frame = await link_connection.async_receive(opened.socket, name)
                self._receive(frame, name, opened)
        except exceptions.ConnectionClosedOK:
            return
        except (exceptions.ConnectionClosed, errors.ProtocolError) as error:
            logs.write('link_closed', peer=name, reason=error)
        finally:
            self._remove_connection(name, peer, opened)
            await opened.socket.close()

    def _remove_connection(
        self,
        name: str,
        peer: link_peers.Peer,
        opened: link_peers.Opened,
    ) -> None:
        if opened in peer.connections:
            peer.connections.remove(opened)
        if not peer.connections:
            self._deliver_message(messages.LinkDown(), name)

    def _receive(
        self,
        frame: str | bytes,
        name: str,
        opened: link_peers.Opened,
    ) -> None:
        if isinstance(frame, str):
            raise errors.ProtocolError(
                'received a text frame, expected binary',
                'links.receive',
                name,
            )
        self._counters.add('links.bytes_received', len(frame))
        encoded = link_frames.unpack(frame, codec.MAX_MESSAGE_BYTES, name)
        message = codec.decode(encoded, name)
        if isinstance(message, link_peers.Hello):
            opened.reads_compressed = message.reads_compressed
            self._find_peer(name).location = message.read_location()
            return
        self._deliver_message(message, name)

    def _deliver_message(self, message: messages.Message, name: str) -> None:
        if self._deliver is not None and not self._closing:
            self._deliver(message, name)


async def _async_receive_hello(
    opened: link_connection.Link, peer_address: str
) -> link_peers.Hello:
    """Return the first message of a connection.

    Raises:
        ProtocolError: if it is no hello of this protocol.
        ConnectionClosed: if the connection has ended.
    """
    encoded = await link_connection.async_receive(
        opened, peer_address, decode=False
    )
    hello = codec.decode(typing.cast(bytes, encoded), peer_address)
    if not isinstance(hello, link_peers.Hello) or hello.protocol != PROTOCOL:
        raise errors.ProtocolError(
            f'expected a hello of protocol {PROTOCOL}',
            'links.accept',
            peer_address,
        )
    return hello


async def _async_answers(opened: link_peers.Opened) -> bool:
    """Return whether anything arrives on a connection after a ping."""
    before = opened.socket.arriving.received_at
    try:
        await opened.socket.ping()
    except exceptions.ConnectionClosed:
        return True
    await asyncio.sleep(_PROBE_SECONDS)
    return opened.socket.arriving.received_at > before


def _set_user_timeout(opened: connection.Connection) -> None:
    opened.transport.get_extra_info('socket').setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )
