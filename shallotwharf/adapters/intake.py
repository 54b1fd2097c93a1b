"""Reading from a connection: its pauses and its time limit."""

import asyncio
from collections import abc

from shallotwharf.adapters import peers


class Intake:
    """Pauses the reading of a transport and limits the time of a step.

    Pauses and timers may be repeated.
    """

    __slots__ = ('_loop', '_transport', '_is_paused', '_timer')

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.Transport,
    ) -> None:
        self._loop = loop
        self._transport = transport
        self._is_paused = False
        self._timer: asyncio.TimerHandle | None = None

    def pause(self) -> None:
        """Pause reading until `resume`."""
        if not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()

    def find_peer(self) -> str:
        """Return the IP address of the peer; empty if it is not known."""
        return peers.find_address(self._transport)

    def is_paused(self) -> bool:
        """Return whether the transport is not read."""
        return self._is_paused

    def has_timer(self) -> bool:
        """Return whether a time limit is set."""
        return self._timer is not None

    def start_timer(
        self, seconds: float, callback: abc.Callable[[], None]
    ) -> None:
        """Call back after a time, unless `stop_timer` is called before."""
        self.stop_timer()
        self._timer = self._loop.call_later(seconds, callback)

    def stop_timer(self) -> None:
        """Remove the time limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
