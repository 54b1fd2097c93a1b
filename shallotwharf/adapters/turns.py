"""Turns of the requests of callers that did not wait for their responses.

What a connection has sent ahead must not take the room of other callers: 64
connections with 3,000 requests each kept the queue of an upstream full, and
the request of an ordinary caller was refused.
"""

import abc
import asyncio
import collections
import typing

# Requests that run although no slot is free, so that callers with a backlog are
# served beside others under load. The queue of a gate holds 16.
_MAX_CROWDING: typing.Final = 8
# The first one that waits is started after this time in any case: those that
# run may wait for an upstream that hangs.
_LIMIT_SECONDS: typing.Final = 0.1
# Waiting requests that are checked after a response. Those of other services
# may have free slots.
_MAX_CHECKS: typing.Final = 4


class Candidate(abc.ABC):
    """Request that is started in its turn."""

    __slots__ = ()

    @abc.abstractmethod
    def is_waiting(self) -> bool:
        """Return whether it is still to be started."""

    @abc.abstractmethod
    def is_crowded(self) -> bool:
        """Return whether its service has no free slot."""

    @abc.abstractmethod
    def start_crowding(self) -> None:
        """Start it without a free slot; `release` is called at its end."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start it."""


class Turns:
    """Starts the requests of backlogs as slots become free."""

    __slots__ = ('crowding', '_loop', '_waiting', '_timer', '_is_scheduled')

    def __init__(self) -> None:
        self.crowding = 0
        self._loop = asyncio.get_running_loop()
        self._waiting: collections.deque[Candidate] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None
        self._is_scheduled = False

    def add(self, candidate: Candidate) -> None:
        """Start a request now, or as soon as there is room for it."""
        if self._waiting or not self._try_start(candidate):
            self._waiting.append(candidate)
            self.wake()
            self._set_timer()

    def release(self) -> None:
        """Count a request that ran without a free slot no more."""
        self.crowding -= 1

    def wake(self) -> None:
        """Start what has room; called after each response."""
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        checks = min(_MAX_CHECKS, len(self._waiting))
        for _ in range(checks):
            candidate = self._waiting.popleft()
            if candidate.is_waiting() and not self._try_start(candidate):
                self._waiting.append(candidate)

    def _try_start(self, candidate: Candidate) -> bool:
        if not candidate.is_crowded():
            candidate.start()
            return True
        if self.crowding < _MAX_CROWDING:
            self._start_crowding(candidate)
            return True
        return False

    def _start_crowding(self, candidate: Candidate) -> None:
        self.crowding += 1
        candidate.start_crowding()

    def _set_timer(self) -> None:
        if self._timer is None and self._waiting:
            self._timer = self._loop.call_later(_LIMIT_SECONDS, self._start_one)

    def _start_one(self) -> None:
        self._timer = None
        try:
            while self._waiting:
                candidate = self._waiting.popleft()
                if candidate.is_waiting():
                    self._start_crowding(candidate)
                    break
        finally:
            self._set_timer()
