"""What a process holds for its clients, whatever port they use."""

import asyncio

from shallotwharf.adapters import (
    crowd,
    limits,
    message_memory,
    notices,
    slicer,
)
from shallotwharf.core import clock, counters


class Capacity:
    """Memory, connections and parsing time that all ports of a process share.

    One account decides who gives way, so that a crowd at one port neither adds
    to what another port may hold nor takes what others need there.

    Attributes:
        loop: event loop of the process.
        counters: counters of the process.
        memory: bytes of requests and messages that arrive or are handled, and
            of responses to be written.
        connections: open connections of all ports.
        slicer: lets the connections parse by turns.
        notices: log lines about clients that gave way.
    """

    __slots__ = (
        'loop',
        'counters',
        'memory',
        'connections',
        'slicer',
        'notices',
    )

    def __init__(self, process_counters: counters.Counters) -> None:
        """Hold nothing; must be called on the loop."""
        self.loop = asyncio.get_running_loop()
        self.counters = process_counters
        self.memory = message_memory.RequestMemory()
        self.connections = crowd.Connections()
        self.slicer = slicer.Slicer()
        self.notices = notices.Notices(clock.SystemClock())

    def is_short(self) -> bool:
        """Return whether half of the memory or the connections is in use."""
        return self.memory.is_short() or self.connections.is_short()

    def build_crowd(
        self, server_limits: limits.ServerLimits, port: str
    ) -> crowd.Crowd:
        """Return the connections of another port, without any yet.

        Args:
            server_limits: limits of the port.
            port: name of the port in log lines.
        """
        return crowd.Crowd(
            server_limits,
            self.counters,
            self.memory,
            self.connections,
            lambda reason, peer: self.notices.write(port, reason, 0, peer),
        )

    def report(
        self, port: str, reason: str, held_bytes: int, peer: str
    ) -> None:
        """Count and log a client that was refused or closed.

        Args:
            port: name of the port that the client uses.
            reason: name of the counter below `inbound`.
            held_bytes: memory that the client held.
            peer: IP address of the client; empty if it is not known.
        """
        self.counters.add(f'inbound.{reason}')
        self.notices.write(port, reason, held_bytes, peer)
