"""Parsing of what many connections have received, a part at a time."""

import asyncio
import collections
import typing

# Other calls wait for this long at most in each pass of the loop.
_PASS_SECONDS: typing.Final = 0.002


ReadRest: typing.TypeAlias = typing.Callable[[], None]


class Slicer:
    """Lets connections parse by turns, for a short time in each pass.

    300 connections with tiny chunks, each parsed as soon as it was read,
    delayed all other calls by seconds.
    """

    __slots__ = ('_loop', '_waiting', '_is_scheduled')

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        # A connection that is added again keeps its one turn.
        self._waiting: collections.OrderedDict[ReadRest, None] = (
            collections.OrderedDict()
        )
        self._is_scheduled = False

    def add(self, read_rest: ReadRest) -> None:
        """Call a function that parses a part, in a later pass of the loop."""
        self._waiting[read_rest] = None
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        ends_at = self._loop.time() + _PASS_SECONDS
        try:
            while self._waiting and self._loop.time() < ends_at:
                read_rest, _ = self._waiting.popitem(last=False)
                read_rest()
        finally:
            # A fault of one connection must not stop the others.
            self._is_scheduled = bool(self._waiting)
            if self._waiting:
                self._loop.call_soon(self._run)
