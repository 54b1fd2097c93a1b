"""Requests of one connection whose responses are still to be written."""

import abc
import collections
import typing

from tornado import httputil

from shallotwharf.adapters import (
    handling,
    message_memory,
    refusals,
    responses,
    services,
    turns,
)
from shallotwharf.core import call_interfaces

# Most browsers and clients pipeline fewer; each one may take a slot of an
# upstream.
_MAX_REQUESTS: typing.Final = 8
# A larger request waits: the memory of those that run ahead is bounded.
_SMALL_BYTES: typing.Final = 32_768
# Responses that wait for their turn; above it no further request is started.
_MAX_WAITING_BYTES: typing.Final = 262_144


class Owner(abc.ABC):
    """Connection that writes the responses of its slots."""

    __slots__ = ()

    @abc.abstractmethod
    def complete(self, slot: 'Slot') -> None:
        """Handle a slot whose response is known."""

    @abc.abstractmethod
    def find_peer(self) -> str:
        """Return the IP address of the client; empty if it is not known."""


class Slot(services.Responder, turns.Candidate):
    """A request and, once it is known, its response.

    Attributes:
        start_line: method, target and version of the request.
        closes: whether the connection closes after the response.
        exchange: handling of the request; None for a refusal.
        response: the response; None until it is known.
        is_started: whether the exchange was started.
        has_backlog: whether the caller sent it before the response of an
            earlier one, or others behind it.
    """

    __slots__ = (
        'start_line',
        'closes',
        'exchange',
        'response',
        'is_started',
        'has_backlog',
        '_turns',
        '_is_crowding',
        '_owner',
        '_request_hold',
        '_memory',
        '_response_hold',
    )

    def __init__(
        self,
        owner: Owner,
        memory: message_memory.RequestMemory,
        start_line: httputil.RequestStartLine,
        closes: bool,
        request_hold: message_memory.Hold,
        server_turns: turns.Turns,
    ) -> None:
        """Create the slot of a request.

        Args:
            owner: connection of the request.
            memory: holds the response until its turn.
            start_line: method, target and version.
            closes: whether the connection closes after the response.
            request_hold: holds the bytes of the request.
            server_turns: starts the requests of backlogs.
        """
        self.start_line = start_line
        self.closes = closes
        self.exchange: handling.Handling | None = None
        self.response: responses.Response | None = None
        self.is_started = False
        self.has_backlog = False
        self._turns = server_turns
        self._is_crowding = False
        self._owner = owner
        self._request_hold = request_hold
        self._memory = memory
        # None unless the response waits for its turn.
        self._response_hold: message_memory.Hold | None = None

    @property
    def waiting_bytes(self) -> int:
        """Return the bytes of the response that are held."""
        return 0 if self._response_hold is None else self._response_hold.size

    def find_peer(self) -> str:
        """Return the IP address of the client; empty if it is not known."""
        return self._owner.find_peer()

    def try_hold(self, size: int) -> bool:
        """Hold more bytes for the request; return whether there is room."""
        return self._request_hold.try_resize(max(size, self._request_hold.size))

    def start(self) -> None:
        """Start the exchange."""
        self.is_started = True
        if self.exchange is not None:
            self.exchange.start()

    def start_crowding(self) -> None:
        """Start the exchange although no slot is free."""
        self._is_crowding = True
        self.start()

    def is_crowded(self) -> bool:
        """Return whether the service of the request has no free slot."""
        return self._has_room(call_interfaces.Room.CROWDED)

    def start_in_turn(self) -> None:
        """Start the exchange, in its turn if there is a backlog."""
        if self.has_backlog and self.exchange is not None:
            self._turns.add(self)
        else:
            self.start()

    def respond(self, response: responses.Response) -> None:
        """Store the response until its turn."""
        self._request_hold.resize(0)
        self._end_turn()
        self.response = response
        self._owner.complete(self)

    def hold_response(self) -> None:
        """Count a response that waits; drop it if there is no room."""
        response = typing.cast(responses.Response, self.response)
        held = message_memory.Hold(self._memory)
        self._response_hold = held
        if not held.try_resize(len(response.body)):
            self.response = refusals.build_refusal(
                refusals.RESPONSE_DROPPED, ''
            )

    def release(self) -> None:
        """Release the bytes of the response, and drop the exchange.

        The exchange refers to its slot. Without the cycle the garbage collector
        has nothing to do; it took about 20 us of each call.
        """
        if self._response_hold is not None:
            self._response_hold.resize(0)
        self.exchange = None

    def cancel(self) -> None:
        """Cancel the request: the caller has left."""
        self._end_turn()
        running = self.exchange
        self.release()
        if running is None or not self.is_started or running.cancel():
            self._request_hold.resize(0)

    def is_waiting(self) -> bool:
        """Return whether the exchange waits for earlier requests."""
        return self.exchange is not None and not self.is_started

    def may_overlap(self) -> bool:
        """Return whether the request may run beside others.

        Its route decides whether it is idempotent, not its method.
        """
        return (
            not self.closes
            and self._request_hold.size <= _SMALL_BYTES
            and self._has_room(call_interfaces.Room.OVERLAP)
        )

    def _end_turn(self) -> None:
        if self._is_crowding:
            self._is_crowding = False
            self._turns.release()
        self._turns.wake()

    def _has_room(self, room: call_interfaces.Room) -> bool:
        running = self.exchange
        return running is not None and running.find_room() is room


class Pipeline:
    """The slots of a connection in the order of their requests."""

    __slots__ = ('_slots', '_memory')

    def __init__(self, memory: message_memory.RequestMemory) -> None:
        self._slots: collections.deque[Slot] = collections.deque()
        self._memory = memory

    def __len__(self) -> int:
        """Return the number of requests without a written response."""
        return len(self._slots)

    def add(self, slot: Slot) -> None:
        """Add the slot of a request; start it if it may run now."""
        is_first = not self._slots
        self._slots.append(slot)
        if is_first:
            slot.start_in_turn()
        elif slot.may_overlap():
            slot.start()

    def may_read_ahead(self) -> bool:
        """Return whether another request may be read now."""
        if len(self._slots) >= _MAX_REQUESTS:
            return False
        last = self._slots[-1]
        waiting = sum(slot.waiting_bytes for slot in self._slots)
        return (
            waiting <= _MAX_WAITING_BYTES
            and self._memory.has_room(_SMALL_BYTES)
            and last.is_started
            and last.may_overlap()
        )

    def has_begun(self) -> bool:
        """Return whether a request was started and is not answered yet."""
        return bool(self._slots) and self._slots[0].is_started

    def is_next(self, slot: Slot) -> bool:
        """Return whether the response of the slot is the next to write."""
        return bool(self._slots) and self._slots[0] is slot

    def take_next(self) -> Slot | None:
        """Remove and return the first slot if its response is known."""
        if not self._slots or self._slots[0].response is None:
            return None
        slot = self._slots.popleft()
        slot.release()
        return slot

    def start_next(self) -> None:
        """Start what waited for those before it, or for a free slot."""
        if not self._slots:
            return
        last = self._slots[-1]
        if not self._slots[0].is_started:
            self._slots[0].start_in_turn()
        elif last.is_waiting() and last.may_overlap():
            last.start()

    def take_all(self) -> list[Slot]:
        """Remove and return all slots."""
        slots = list(self._slots)
        self._slots.clear()
        return slots

    def drop_unstarted(self) -> None:
        """Remove the requests that wait for those before them."""
        kept = [slot for slot in self._slots if not slot.is_waiting()]
        for slot in self._slots:
            if slot.is_waiting():
                slot.cancel()
        self._slots = collections.deque(kept)

    def list_running(self) -> list[Slot]:
        """Return the slots without a response."""
        return [slot for slot in self._slots if slot.response is None]
