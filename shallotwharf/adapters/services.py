"""Dependencies shared by the exchanges of a node, and their responder."""

import abc
import asyncio

from shallotwharf.adapters import (
    capacity,
    header_format,
    message_memory,
    outbound,
    responses,
    waiting,
)
from shallotwharf.core import call_interfaces, clock, counters


class Services:
    """Dependencies shared by all exchanges of a node.

    Attributes:
        active: number of exchanges in progress.
        capacity: what the process holds for the clients of all ports.
    """

    __slots__ = (
        'clock',
        'call_planner',
        'gate',
        'guard',
        'waiting',
        'outbound',
        'counters',
        'header_format',
        'loop',
        'active',
        'capacity',
    )

    def __init__(
        self,
        process_clock: clock.Clock,
        call_planner: call_interfaces.CallPlanner,
        gate: call_interfaces.Gate,
        guard: call_interfaces.OnceGuard,
        waiting_requests: waiting.WaitingRequests,
        sender: outbound.Outbound,
        process_counters: counters.Counters,
        chosen_format: header_format.HeaderFormat,
        shared_capacity: capacity.Capacity,
    ) -> None:
        self.clock = process_clock
        self.call_planner = call_planner
        self.gate = gate
        self.guard = guard
        self.waiting = waiting_requests
        self.outbound = sender
        self.counters = process_counters
        self.header_format = chosen_format
        self.loop = asyncio.get_running_loop()
        self.active = 0
        self.capacity = shared_capacity

    @property
    def memory(self) -> message_memory.RequestMemory:
        """Return the memory of requests, and of responses to be written."""
        return self.capacity.memory


class Responder(abc.ABC):
    """Destination of the response of an exchange."""

    __slots__ = ()

    @abc.abstractmethod
    def respond(self, response: responses.Response) -> None:
        """Write the response; drop it if the caller disconnected."""
