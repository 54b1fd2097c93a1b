"""The open connections of a process: their number and their idle time."""

import abc
import typing

from shallotwharf.adapters import limits, message_memory
from shallotwharf.core import counters

REASON_TOO_MANY: typing.Final = 'too_many_connections'
OnGiveWay: typing.TypeAlias = typing.Callable[[str, str], None]


class Member(abc.ABC):
    """An open connection.

    Attributes:
        idle_since: loop time of its last request or response, in seconds.
    """

    __slots__ = ()

    idle_since: float

    @abc.abstractmethod
    def is_idle(self) -> bool:
        """Return whether it carries no request, not even a part of one."""

    @abc.abstractmethod
    def is_busy(self) -> bool:
        """Return whether a request was started and is not answered yet."""

    @abc.abstractmethod
    def measure_responses(self) -> tuple[int, int]:
        """Return the bytes that the caller has read, and those it has not.

        The latter are 0 if the process holds none of them.
        """

    def find_peer(self) -> str:
        """Return the IP address of the client; empty if it is not known."""
        return ''

    @abc.abstractmethod
    def abort(self) -> None:
        """Close it at once."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close it once its responses are written."""


def _ignore(_reason: str, _peer: str) -> None:
    """Log nothing about a connection that is closed."""


class Connections:
    """Open connections of all ports of a process.

    Above the limit, the port that has most of them closes one, so that a crowd
    at one port cannot take the descriptors that the others need.

    Attributes:
        limit: limit of open connections.
    """

    __slots__ = ('limit', '_crowds')

    def __init__(self) -> None:
        self.limit = limits.find_process_connections()
        self._crowds: list[Crowd] = []

    def register(self, added: 'Crowd') -> None:
        """Count the connections of another port."""
        self._crowds.append(added)

    def is_short(self) -> bool:
        """Return whether more than half of the connections are in use."""
        return self._count() * 2 > self.limit

    def make_room(self, newest: Member) -> None:
        """Close a connection if there are too many; `newest` was added."""
        if self._count() > self.limit:
            max(self._crowds, key=len).close_one(newest)

    def _count(self) -> int:
        return sum(len(counted) for counted in self._crowds)


class Crowd:
    """Closes connections of a port that are idle for too long or too many.

    If there are too many, the one that has made no progress for the longest
    time gives way, idle ones first, so that callers without end cannot take
    all descriptors of the process.
    """

    __slots__ = (
        '_limits',
        '_counters',
        '_members',
        '_memory',
        '_unread',
        '_connections',
        '_on_give_way',
    )

    def __init__(
        self,
        server_limits: limits.ServerLimits,
        process_counters: counters.Counters,
        memory: message_memory.RequestMemory,
        connections: Connections | None = None,
        on_give_way: OnGiveWay = _ignore,
    ) -> None:
        """Create the connections of a port.

        Args:
            server_limits: limits of the port.
            process_counters: counters of the process.
            memory: memory that all ports share.
            connections: connections of all ports; None if it is the only one.
            on_give_way: gets the reason why a connection is closed, and the IP
                address of its client.
        """
        self._limits = server_limits
        self._counters = process_counters
        self._members: set[Member] = set()
        self._memory = memory
        self._connections = connections or Connections()
        self._connections.register(self)
        self._on_give_way = on_give_way
        # Loop time and bytes read at the last progress of slow readers.
        self._unread: dict[Member, tuple[float, int]] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._members)

    def add(self, member: Member) -> None:
        """Add a connection; another one, or itself, may be closed."""
        self._members.add(member)
        if len(self._members) > self._limits.max_connections:
            self.close_one(member)
        self._connections.make_room(member)

    def close_one(self, newest: Member) -> None:
        """Close the connection that has made no progress for longest.

        It is `newest`, which may belong to another port, if all others carry
        requests that were started.
        """
        self._counters.add(f'inbound.{REASON_TOO_MANY}')
        # The new one is idle, too, but its request may be on its way.
        others = self._members - {newest}
        idle = [other for other in others if other.is_idle()]
        waiting = [other for other in others if not other.is_busy()]
        chosen = min(idle or waiting or [newest], key=_read_idle_since)
        # It is no longer counted, although its descriptor is closed later.
        self._members.discard(chosen)
        self._on_give_way(REASON_TOO_MANY, chosen.find_peer())
        chosen.close()

    def remove(self, member: Member) -> None:
        """Remove a connection that ended."""
        self._members.discard(member)
        self._unread.pop(member, None)

    def sweep(self, now: float) -> None:
        """Close what has been idle for too long; `now` is the loop time."""
        limit = self._limits.idle_seconds
        if self._memory.is_short():
            limit = min(limit, limits.SHORTAGE_SECONDS)
        for member in list(self._members):
            self._check_reading(member, now, limit)
            idle_for = now - member.idle_since
            if idle_for > self._limits.idle_seconds and member.is_idle():
                self._counters.add('inbound.idle_closed')
                member.close()

    def _check_reading(self, member: Member, now: float, limit: float) -> None:
        """Abort a connection whose responses are hardly read."""
        count, left = member.measure_responses()
        if not left:
            self._unread.pop(member, None)
            return
        since, least = self._unread.get(member, (now, 0))
        if member not in self._unread or count >= least:
            self._unread[member] = (now, count + limits.BODY_PERIOD_BYTES)
        elif now - since > limit:
            self._counters.add('inbound.unread_closed')
            member.abort()


def _read_idle_since(member: Member) -> float:
    return member.idle_since
