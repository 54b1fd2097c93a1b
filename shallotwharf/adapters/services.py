"""What all exchanges of a node share, and what each answers to."""

import abc
import asyncio

from shallotwharf.adapters import answers, outbound, vocabulary, waiting
from shallotwharf.core import call_interfaces, clock, counters


class Services:
    """What all exchanges of a node share."""

    __slots__ = (
        'clock',
        'call_planner',
        'gate',
        'guard',
        'waiting',
        'outbound',
        'counters',
        'vocabulary',
        'loop',
        'active',
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
        spoken: vocabulary.Vocabulary,
    ) -> None:
        self.clock = process_clock
        self.call_planner = call_planner
        self.gate = gate
        self.guard = guard
        self.waiting = waiting_requests
        self.outbound = sender
        self.counters = process_counters
        self.vocabulary = spoken
        self.loop = asyncio.get_running_loop()
        self.active = 0


class Responder(abc.ABC):
    """Where an exchange writes its answer."""

    __slots__ = ()

    @abc.abstractmethod
    def respond(self, answer: answers.Answer) -> None:
        """Write the answer; ignore it if the caller went away."""
