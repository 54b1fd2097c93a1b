"""Pools of persistent connections to upstreams and other nodes."""

import asyncio
import typing

from shallotwharf.adapters import connection, message_memory, sending, slicer
from shallotwharf.core import counters, endpoints

# A connect takes 1 ms within a region and 24 ms between regions.
CONNECT_TIMEOUT_SECONDS: typing.Final = 0.25
# Shorter than the usual idle timeouts of HTTP servers, so that a request is
# rarely sent on a connection that the upstream is about to close.
IDLE_LIMIT_SECONDS: typing.Final = 1.5
# The timeout of the peer starts when it sends the response, which is earlier
# than its arrival here, and the peer may close slightly early.
KEEP_ALIVE_MARGIN_SECONDS: typing.Final = 1.0
IDLE_CONNECTION_LIMIT: typing.Final = 256
DEFAULT_MAX_RESPONSE_BYTES: typing.Final = 16_777_216


class ConnectionPool(connection.Owner):
    """Connections to one address, reused last in, first out."""

    __slots__ = (
        'max_response_bytes',
        'counters',
        'memory',
        'slicer',
        '_idle_limit',
        '_host',
        '_port',
        '_loop',
        '_idle',
        '_tasks',
    )

    def __init__(
        self,
        host: str,
        port: int,
        max_response_bytes: int,
        process_counters: counters.Counters,
        memory: message_memory.ResponseMemory,
        shared_slicer: slicer.Slicer,
        idle_limit_seconds: float,
    ) -> None:
        self.max_response_bytes = max_response_bytes
        self.counters = process_counters
        self.memory = memory
        self.slicer = shared_slicer
        self._idle_limit = idle_limit_seconds
        self._host = host
        self._port = port
        self._loop = asyncio.get_running_loop()
        self._idle: list[connection.Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, outgoing: sending.Outgoing) -> connection.Connection:
        """Send a request on an idle connection, or open a new one."""
        idle = self._take_idle(outgoing)
        if idle is None:
            return self._open(outgoing)
        idle.send(outgoing)
        return idle

    def add_idle(self, idle: connection.Connection) -> None:
        """Add an idle connection for reuse; close it if the pool is full."""
        idle.idle_since = self._loop.time()
        if len(self._idle) >= IDLE_CONNECTION_LIMIT:
            idle.close()
            return
        self._idle.append(idle)

    def remove(self, ended: connection.Connection) -> None:
        """Remove a connection that ended."""
        if ended in self._idle:
            self._idle.remove(ended)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle:
            idle.close()
        self._idle.clear()

    def _take_idle(
        self, outgoing: sending.Outgoing
    ) -> connection.Connection | None:
        """Remove and return an idle connection that may carry a request.

        Those that are closed or have been idle for too long are closed.
        """
        now = self._loop.time()
        passed_over: list[connection.Connection] = []
        found: connection.Connection | None = None
        while self._idle and found is None:
            idle = self._idle.pop()
            if idle.is_closed() or not self._is_fresh(idle, now):
                idle.close()
            elif idle.may_carry(outgoing):
                found = idle
            else:
                passed_over.append(idle)
        self._idle.extend(reversed(passed_over))
        return found

    def _is_fresh(self, idle: connection.Connection, now: float) -> bool:
        limit = self._idle_limit
        if idle.idle_limit:
            limit = min(limit, idle.idle_limit - KEEP_ALIVE_MARGIN_SECONDS)
        return now - idle.idle_since <= limit

    def _open(self, outgoing: sending.Outgoing) -> connection.Connection:
        opened = connection.Connection(self, outgoing)
        task = self._loop.create_task(self._async_connect(opened))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return opened

    async def _async_connect(self, opened: connection.Connection) -> None:
        if not endpoints.is_valid(self._host, self._port):
            opened.fail(connection.REASON_CONNECT)
            return
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await self._loop.create_connection(
                    lambda: opened,
                    self._host,
                    self._port,
                )
        except (OSError, TimeoutError):
            opened.fail(connection.REASON_CONNECT)


class Outbound:
    """Connection pools by address."""

    __slots__ = (
        '_counters',
        '_max_response_bytes',
        '_memory',
        '_slicer',
        '_idle_limit',
        '_pools',
    )

    def __init__(
        self,
        process_counters: counters.Counters,
        max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES,
        idle_limit_seconds: float = IDLE_LIMIT_SECONDS,
    ) -> None:
        self._counters = process_counters
        self._max_response_bytes = max_response_bytes
        self._memory = message_memory.ResponseMemory()
        self._slicer = slicer.Slicer()
        self._idle_limit = idle_limit_seconds
        self._pools: dict[tuple[str, int], ConnectionPool] = {}

    def send(
        self, host: str, port: int, outgoing: sending.Outgoing
    ) -> connection.Connection:
        """Send a request to an IP address and port; return the connection."""
        pool = self._pools.get((host, port))
        if pool is None:
            pool = ConnectionPool(
                host,
                port,
                self._max_response_bytes,
                self._counters,
                self._memory,
                self._slicer,
                self._idle_limit,
            )
            self._pools[host, port] = pool
        return pool.send(outgoing)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()
