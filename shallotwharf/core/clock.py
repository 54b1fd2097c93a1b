"""Time in milliseconds."""

import abc
import time
import typing

SECOND_MS: typing.Final = 1000
MINUTE_MS: typing.Final = 60 * SECOND_MS
HOUR_MS: typing.Final = 60 * MINUTE_MS
_NANOSECONDS_PER_MS: typing.Final = 1_000_000
# A call reads the clock ten times.
_read_ns: typing.Final = time.clock_gettime_ns
_CLOCK: typing.Final = time.CLOCK_BOOTTIME


class Clock(abc.ABC):
    """Source of time in whole milliseconds."""

    __slots__ = ()

    @abc.abstractmethod
    def read(self) -> int:
        """Return monotonic milliseconds; the origin is arbitrary."""

    @abc.abstractmethod
    def read_wall(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock(Clock):
    """The clock of the operating system."""

    __slots__ = ()

    def read(self) -> int:
        """Return monotonic milliseconds."""
        # CLOCK_BOOTTIME also advances while the VM is suspended, so that
        # leases and grants expire on time.
        return _read_ns(_CLOCK) // _NANOSECONDS_PER_MS

    def read_wall(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // _NANOSECONDS_PER_MS


class ManualClock(Clock):
    """A clock that only `advance` moves, for tests and simulations."""

    __slots__ = ('_now', '_wall_offset')

    def __init__(self, now: int = 0, wall_offset: int = 0) -> None:
        self._now = now
        self._wall_offset = wall_offset

    def read(self) -> int:
        """Return the time that was set."""
        return self._now

    def read_wall(self) -> int:
        """Return the time that was set plus the wall clock's offset."""
        return self._now + self._wall_offset

    def step_wall(self, step_ms: int) -> None:
        """Let the time of day jump by `step_ms`; the steady one does not."""
        self._wall_offset += step_ms

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward by `duration_ms`.

        Raises:
            ValueError: if the duration is negative.
        """
        if duration_ms < 0:
            raise ValueError(f'cannot go back by {-duration_ms} ms')
        self._now += duration_ms
