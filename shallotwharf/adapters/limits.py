"""Limits of what callers may send, as a server enforces them."""

import resource
import typing

from shallotwharf.adapters import partial
from shallotwharf.core import clock

_DEFAULT_HEAD_SECONDS: typing.Final = 10.0
_DEFAULT_IDLE_SECONDS: typing.Final = 75.0
# Headers that nodes add, and those that get longer between them.
_ADDED_HEAD_BYTES: typing.Final = 16_384
# Nodes reuse a connection that was idle for up to 8 s.
_MIN_NODE_IDLE_SECONDS: typing.Final = 12.0
# Descriptors for links, upstreams, other nodes and files.
_OTHER_DESCRIPTORS: typing.Final = 200
_MIN_CONNECTIONS: typing.Final = 16
# While memory or connections are short, a body must grow by this much in each
# period, or end.
BODY_PERIOD_SECONDS: typing.Final = 10.0
BODY_PERIOD_BYTES: typing.Final = 16_384
# Responses must be read at the same rate as bodies must grow, within the idle
# time, or within this time while the memory of messages is short.
SHORTAGE_SECONDS: typing.Final = 2.0


class ServerLimits(partial.HeadLimits):
    """Limits in force; connections read them at each use.

    Attributes:
        head_bytes: largest head of a request.
        body_bytes: largest body of a request.
        head_seconds: time from the first byte of a head to its last.
        idle_seconds: time for which a connection may be idle.
        max_connections: limit of open connections.
    """

    __slots__ = (
        'body_bytes',
        'head_seconds',
        'idle_seconds',
        'max_connections',
        '_default_body_bytes',
        '_is_public',
    )

    def __init__(self, default_body_bytes: int, *, is_public: bool) -> None:
        super().__init__()
        self._default_body_bytes = default_body_bytes
        self._is_public = is_public
        self.max_connections = find_max_connections()
        self.apply()

    def apply(
        self,
        head_bytes: int = 0,
        body_bytes: int = 0,
        head_timeout_ms: int = 0,
        idle_timeout_ms: int = 0,
    ) -> None:
        """Set the limits of a version; 0 stands for the default.

        A port for other nodes keeps room for what they add.
        """
        added = 0 if self._is_public else _ADDED_HEAD_BYTES
        shortest = 0 if self._is_public else _MIN_NODE_IDLE_SECONDS
        self.head_bytes = partial.MAX_HEAD_BYTES
        if head_bytes:
            self.head_bytes = head_bytes + added
        self.body_bytes = body_bytes or self._default_body_bytes
        self.head_seconds = (
            head_timeout_ms / clock.SECOND_MS or _DEFAULT_HEAD_SECONDS
        )
        self.idle_seconds = max(
            idle_timeout_ms / clock.SECOND_MS or _DEFAULT_IDLE_SECONDS,
            shortest,
        )


def find_process_connections() -> int:
    """Return a bound below the descriptors that the process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(soft - _OTHER_DESCRIPTORS, _MIN_CONNECTIONS)


def find_max_connections() -> int:
    """Return the bound of one port.

    Callers and other nodes have a port each.
    """
    return max(find_process_connections() // 2, _MIN_CONNECTIONS)
