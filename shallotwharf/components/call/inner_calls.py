"""Calls that the upstream beside this node makes while it runs a request."""

import typing
from collections import abc

CountRunning: typing.TypeAlias = abc.Callable[[], int]

# Calls at once that one running request is expected to make.
_CALLS_PER_REQUEST: typing.Final = 4


def count_none() -> int:
    """Return 0, for a node without an upstream."""
    return 0


class InnerCalls:
    """Recognises inner calls where callers have keys, as they have none.

    Refusing one wastes the run that needs it, so they go before the calls of
    all tenants. Callers without a key may use public routes as well, and must
    not gain from that: only as many calls count as inner ones as the requests
    that run at the upstream can make.
    """

    __slots__ = ('_count_running', '_in_flight')

    def __init__(self, count_running: CountRunning = count_none) -> None:
        self._count_running = count_running
        self._in_flight = 0

    def has_room(self) -> bool:
        """Return whether another attempt would count as an inner call."""
        return self._in_flight < _CALLS_PER_REQUEST * self._count_running()

    def begin(self) -> bool:
        """Return whether an attempt without a key counts as an inner call.

        If so, `end` must follow.
        """
        if not self.has_room():
            return False
        self._in_flight += 1
        return True

    def end(self) -> None:
        """Record the end of an attempt that counts as an inner call."""
        self._in_flight -= 1
