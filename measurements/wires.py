"""Wires between machines: a relay that loses segments as a network does.

Processes connect to the relay and name the machines at both ends. While the
network between two machines is cut, nothing passes and nobody is told: segments
are sent again with increasing intervals, and an end that gets no answer for
`USER_TIMEOUT_S` gives its connection up by itself. The other end finds out when
it sends something. Connections that were open during a cut may stay silent for
good, as those through a firewall that has forgotten them.

Run with `python -m measurements.wires PORT FOLDER DELAY_MS keep`, or `forget`
for those. A file HOST in the folder cuts a machine off, HOST-HOST a pair.
"""

import asyncio
import contextlib
import pathlib
import socket
import struct
import sys
import time

# As the links between processes set it.
USER_TIMEOUT_S = 3.0
_OPEN_AGAIN_S = (0.0, 1.0, 3.0, 7.0)
_SEND_AGAIN_S = (0.0, 0.2, 0.6, 1.4)
_CHUNK_BYTES = 65_536
_QUEUED_CHUNKS = 100
_POLL_S = 0.005
_RESET = struct.pack('ii', 1, 0)
_ACCEPTED, _REFUSED = b'+', b'-'


def name_pair(first, second):
    """Return the name of the file that cuts two machines off."""
    return '-'.join(sorted((first, second)))


async def async_open(loop, port, source, host, host_port):
    """Return a connected socket to a port of a machine.

    Raises:
        ConnectionRefusedError: if nothing listens there.
    """
    opened = socket.socket()
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        await loop.sock_connect(opened, ('127.0.0.1', port))
        head = f'{source} {host} {host_port}\n'.encode()
        await loop.sock_sendall(opened, head)
        if await loop.sock_recv(opened, 1) != _ACCEPTED:
            raise ConnectionRefusedError(111, f'{host}:{host_port}')
    except BaseException:
        opened.close()
        raise
    return opened


class _Wire:
    """A connection between two machines."""

    __slots__ = ('names', 'opened_at')

    def __init__(self, pair):
        # Names of the files that cut it.
        self.names = (*pair, name_pair(*pair))
        self.opened_at = time.monotonic()


class _End:
    """One end of a wire: the connection to a process."""

    __slots__ = ('reader', 'writer', 'alive')

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.alive = True

    def reset(self):
        """Let the process see that its connection was reset."""
        self.alive = False
        opened = self.writer.get_extra_info('socket')
        with contextlib.suppress(OSError):
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.writer.transport.abort()


class Relay:
    """All wires."""

    __slots__ = (
        '_folder',
        '_delay_s',
        '_forgets',
        '_cuts',
        '_cut_at',
        '_wires',
    )

    def __init__(self, folder, delay_ms, forgets):
        self._folder = pathlib.Path(folder)
        self._delay_s = delay_ms / 1000
        self._forgets = forgets
        # Names of the cuts in force, and when each name was last cut.
        self._cuts = frozenset()
        self._cut_at = {}
        # The event loop keeps no strong references to tasks.
        self._wires = set()

    async def async_serve(self, port):
        server = await asyncio.start_server(
            self._async_accept, '127.0.0.1', port
        )
        while server.is_serving():
            self._cuts = frozenset(path.name for path in self._folder.iterdir())
            now = time.monotonic()
            self._cut_at.update(dict.fromkeys(self._cuts, now))
            await asyncio.sleep(_POLL_S)

    def is_cut(self, wire):
        """Return whether nothing passes between the two machines."""
        return not self._cuts.isdisjoint(wire.names)

    def is_forgotten(self, wire):
        """Return whether a wire was open during a cut."""
        return self._forgets and any(
            self._cut_at.get(name, 0) > wire.opened_at for name in wire.names
        )

    async def _async_accept(self, reader, writer):
        self._wires.add(asyncio.current_task())
        try:
            await self._async_carry(reader, writer)
        finally:
            self._wires.discard(asyncio.current_task())
            writer.close()

    async def _async_carry(self, reader, writer):
        with contextlib.suppress(OSError):
            head = await reader.readline()
            if not head:
                return
            source, host, port = head.decode().split()
            opened = await self._async_reach(source, host, port, reader)
            if opened is None:
                writer.write(_REFUSED)
                return
            near, far = _End(reader, writer), _End(*opened)
            writer.write(_ACCEPTED)
            wire = _Wire((source, host))
            await asyncio.gather(
                self._async_pump(near, far, wire),
                self._async_pump(far, near, wire),
            )

    async def _async_reach(self, source, host, port, reader):
        """Connect as soon as a first segment passes; None if refused."""
        wire = _Wire((source, host))
        for after_s in _OPEN_AGAIN_S:
            due_at = wire.opened_at + after_s + 2 * self._delay_s
            await asyncio.sleep(due_at - time.monotonic())
            if reader.at_eof():
                return None
            if not self.is_cut(wire):
                try:
                    return await asyncio.open_connection(host, int(port))
                except OSError:
                    return None
        return None

    async def _async_pump(self, end, other, wire):
        """Carry what one end sends to the other one."""
        moving = asyncio.Queue(maxsize=_QUEUED_CHUNKS)
        reading = asyncio.create_task(self._async_read(end, moving))
        try:
            await self._async_deliver(moving, end, other, wire)
        finally:
            reading.cancel()

    async def _async_read(self, end, moving):
        chunk = b'-'
        while chunk:
            try:
                chunk = await end.reader.read(_CHUNK_BYTES)
            except OSError:
                chunk = b''
            await moving.put((time.monotonic() + self._delay_s, chunk))

    async def _async_deliver(self, moving, end, other, wire):
        while end.alive:
            due_at, chunk = await moving.get()
            await asyncio.sleep(max(due_at - time.monotonic(), 0))
            if not end.alive:
                return
            passed = await self._async_pass(wire)
            if not chunk:
                end.alive = False
                if passed and other.alive:
                    other.reset()
                return
            if not other.alive and self.is_forgotten(wire):
                await asyncio.sleep(USER_TIMEOUT_S)
            if not passed or not other.alive:
                end.reset()
                return
            try:
                other.writer.write(chunk)
                await other.writer.drain()
            except OSError:
                other.alive = False

    async def _async_pass(self, wire):
        """Wait until a segment passes; return whether one does in time."""
        began_at = time.monotonic()
        for after_s in _SEND_AGAIN_S:
            await asyncio.sleep(max(began_at + after_s - time.monotonic(), 0))
            if not self.is_cut(wire) and not self.is_forgotten(wire):
                return True
        await asyncio.sleep(began_at + USER_TIMEOUT_S - time.monotonic())
        return False


if __name__ == '__main__':
    relay = Relay(sys.argv[2], int(sys.argv[3]), sys.argv[4] == 'forget')
    asyncio.run(relay.async_serve(int(sys.argv[1])))
