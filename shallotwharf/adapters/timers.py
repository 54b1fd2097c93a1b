"""Timers of the aggregates on tornado's event loop."""

import typing
from collections import abc

from tornado import ioloop

from shallotwharf.core import clock, ports

FireTimer: typing.TypeAlias = abc.Callable[[str, str], None]

_MS_PER_SECOND: typing.Final = 1000


class LoopTimers(ports.Timers):
    """Timers that call `fire` with the names of the aggregate and timer."""

    __slots__ = ('_clock', '_loop', '_fire', '_timers')

    def __init__(self, process_clock: clock.Clock) -> None:
        self._clock = process_clock
        self._loop = ioloop.IOLoop.current()
        self._fire: FireTimer | None = None
        self._timers: dict[tuple[str, str], object] = {}

    def connect(self, fire: FireTimer) -> None:
        """Set the function that is called when a timer is due."""
        self._fire = fire

    def set_timer(self, aggregate: str, name: str, at: int) -> None:
        """Set or move a timer to `at`, in clock milliseconds."""
        self.cancel_timer(aggregate, name)
        delay_ms = max(at - self._clock.read(), 0)
        self._timers[aggregate, name] = self._loop.call_later(
            delay_ms / _MS_PER_SECOND,
            self._run,
            aggregate,
            name,
        )

    def cancel_timer(self, aggregate: str, name: str) -> None:
        """Stop a timer; no effect if it is not set."""
        timer = self._timers.pop((aggregate, name), None)
        if timer is not None:
            self._loop.remove_timeout(timer)

    def _run(self, aggregate: str, name: str) -> None:
        self._timers.pop((aggregate, name), None)
        if self._fire is not None:
            self._fire(aggregate, name)
