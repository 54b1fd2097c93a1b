"""Interfaces between the HTTP adapters and the components of a call."""

import abc
import enum
import typing
from collections import abc as collections_abc

from shallotwharf.core import (
    call_replies,
    calls,
    effects,
    records,
    upstream_notices,
)


class Plan(abc.ABC):
    """Decides the steps of one call, one at a time."""

    __slots__ = ()

    @abc.abstractmethod
    def start(self, now: int) -> calls.Step:
        """Return the first step."""

    @abc.abstractmethod
    def resume(self, result: calls.Result, now: int) -> calls.Step:
        """Return the step that follows the end of an attempt."""

    @abc.abstractmethod
    def handle_guard_reply(
        self, reply: call_replies.GuardReply, now: int
    ) -> calls.Step:
        """Return the step that follows a reply of the guard."""

    @abc.abstractmethod
    def cancel(self, now: int) -> bool:
        """Handle a caller that disconnected; return whether to stop."""


class Room(enum.Enum):
    """Room at the upstreams of a request before it starts."""

    # It may run beside earlier requests of its caller: a slot is free.
    OVERLAP = 'overlap'
    # No slot is free; what starts now waits in a queue, or is refused.
    CROWDED = 'crowded'
    # A slot is free, or the request needs none.
    FREE = 'free'


class CallPlanner(abc.ABC):
    """Creates a plan for each incoming request."""

    __slots__ = ()

    @abc.abstractmethod
    def plan(self, request: calls.Request) -> Plan:
        """Return the plan of a request."""

    @abc.abstractmethod
    def find_room(self, request: calls.Request, now: int) -> Room:
        """Return whether upstreams have room for a request."""


class Gate(abc.ABC):
    """Admission to the upstream beside this node; each attempt passes it."""

    __slots__ = ()

    @abc.abstractmethod
    def enter(
        self,
        step: calls.Enter,
        request: calls.Request,
        now: int,
    ) -> call_replies.Admission:
        """Admit, queue or refuse an attempt."""

    @abc.abstractmethod
    def count_spare_slots(self, now: int) -> int:
        """Return how many slots are free at `now`."""

    @abc.abstractmethod
    def describe_upstream(self, now: int) -> upstream_notices.Standing:
        """Return what other nodes should know about the upstream."""

    @abc.abstractmethod
    def leave(self, attempt: str, result: calls.Result, now: int) -> None:
        """Release the slot or the queue entry of an attempt that ended."""


class OnceGuard(abc.ABC):
    """Lets each once-only call run at most once."""

    __slots__ = ()

    @abc.abstractmethod
    def begin(
        self,
        request: calls.Request,
        receive: collections_abc.Callable[[call_replies.GuardReply], None],
    ) -> None:
        """Request a grant for a call; `receive` is called once."""

    @abc.abstractmethod
    def finish(
        self,
        request: calls.Request,
        answer: call_replies.Replayed | None,
        not_run: bool,
    ) -> None:
        """Report the end of a granted call.

        Args:
            request: the request of the call.
            answer: the response if it was complete, otherwise None.
            not_run: whether the call certainly did not run.
        """


class PoisonList(abc.ABC):
    """Digests of requests that crash the upstreams that run them."""

    __slots__ = ()

    @abc.abstractmethod
    def is_empty(self) -> bool:
        """Return whether the list is empty, so that no digest is needed."""

    @abc.abstractmethod
    def refuses(self, digest: bytes, now: int) -> bool:
        """Return whether requests with this digest are refused."""

    @abc.abstractmethod
    def clear(self, digest: bytes, now: int) -> list[effects.Effect]:
        """Clear suspicion: the upstream completed such a request.

        Returns the effects that tell the other nodes of it.
        """


class EmptyPoisonList(PoisonList):
    """Refuses nothing."""

    __slots__ = ()

    def is_empty(self) -> bool:
        """Return True."""
        return True

    def refuses(self, digest: bytes, now: int) -> bool:
        """Return False."""
        return False

    def clear(self, digest: bytes, now: int) -> list[effects.Effect]:
        """Return no effects."""
        return []


class Observation(records.Record):
    """Result of an attempt that may have run, at the node that chose it.

    Attributes:
        route: name of the route.
        pool: name of the pool.
        version: version of the upstream's service.
        outcome: one of the `calls.OBSERVED_` names.
        duration_ms: from sending to the end.
    """

    __slots__ = ('route', 'pool', 'version', 'outcome', 'duration_ms')

    def __init__(
        self,
        route: str,
        pool: str,
        version: str,
        outcome: str,
        duration_ms: int,
    ) -> None:
        self.route = route
        self.pool = pool
        self.version = version
        self.outcome = outcome
        self.duration_ms = duration_ms


class Observer(abc.ABC):
    """Receives the result of each attempt that may have run."""

    __slots__ = ()

    @abc.abstractmethod
    def observe(self, observation: Observation, now: int) -> None:
        """Record a result."""


class NullObserver(Observer):
    """Ignores all results."""

    __slots__ = ()

    def observe(self, observation: Observation, now: int) -> None:
        """Ignore a result."""


class UpstreamRegistry(abc.ABC):
    """Receives announcements and reports of the upstream beside a node."""

    __slots__ = ()

    @abc.abstractmethod
    def announce(self, description: 'UpstreamDescription') -> None:
        """Register the upstream as serving; may be repeated."""

    @abc.abstractmethod
    def drain(self) -> None:
        """Mark the upstream as draining: it accepts no new work."""

    @abc.abstractmethod
    def remove(self) -> None:
        """Remove the upstream."""

    @abc.abstractmethod
    def report(self, report: 'UpstreamReport') -> bool:
        """Apply a report unless a later one was already applied.

        Returns whether it may be acknowledged: False until it is known whether
        it is a late report of an earlier start.
        """

    @abc.abstractmethod
    def end(self, instance: str, started_at: int) -> None:
        """Remove an instance for good.

        `started_at` is 0 if the instance did not state it.
        """


class HealthRequest(records.Record):
    """A request to the health path of an upstream.

    Attributes:
        number: number of the request.
        host, port: where the upstream listens.
        path: its health path.
        instance: identifier that the response must have.
    """

    __slots__ = ('number', 'host', 'port', 'path', 'instance')

    def __init__(
        self, number: int, host: str, port: int, path: str, instance: str
    ) -> None:
        self.number = number
        self.host = host
        self.port = port
        self.path = path
        self.instance = instance


class HealthAnswer(records.Record):
    """What an upstream states at its health path.

    Attributes:
        cold_ms: how long it stays cold in milliseconds; None if not stated.
        load: its load; None if not stated.
    """

    __slots__ = ('cold_ms', 'load')

    def __init__(
        self,
        cold_ms: int | None = None,
        load: upstream_notices.UpstreamLoad | None = None,
    ) -> None:
        self.cold_ms = cold_ms
        self.load = load


UNKNOWN_HEALTH: typing.Final = HealthAnswer()


class UpstreamReport(records.Record):
    """Status report of an upstream, with the fields that order reports.

    Reports may arrive late and out of order; the one made last applies.

    Attributes:
        description: the upstream; its `instance` identifies one start of it.
        draining: whether it accepts no new work.
        started_at: when the instance started, in milliseconds since the
            epoch by its own clock; 0 if not stated.
        sequence: increases with each report of an instance.
        cold_ms: how long it stays cold; None if not stated.
    """

    __slots__ = (
        'description',
        'draining',
        'started_at',
        'sequence',
        'cold_ms',
    )

    def __init__(
        self,
        description: 'UpstreamDescription',
        draining: bool,
        started_at: int,
        sequence: int,
        cold_ms: int | None = None,
    ) -> None:
        self.description = description
        self.draining = draining
        self.started_at = started_at
        self.sequence = sequence
        self.cold_ms = cold_ms


class UpstreamDescription(records.Record):
    """An upstream as it announces itself.

    Attributes:
        service: name of the service.
        version: version of the service.
        host: IP address it listens on.
        port: port it listens on.
        slots: number of requests it runs concurrently.
        warmup_ms: time in which the offered slots increase to `slots`.
        instance: identifier of the upstream.
        started_at: when it started, in milliseconds since the epoch by its own
            clock; 0 if not stated. Differs if it starts again under the same
            identifier.
    """

    __slots__ = (
        'service',
        'version',
        'host',
        'port',
        'slots',
        'warmup_ms',
        'instance',
        'started_at',
    )

    def __init__(
        self,
        service: str,
        version: str,
        host: str,
        port: int,
        slots: int,
        warmup_ms: int,
        instance: str,
        started_at: int = 0,
    ) -> None:
        self.service = service
        self.version = version
        self.host = host
        self.port = port
        self.slots = slots
        self.warmup_ms = warmup_ms
        self.instance = instance
        self.started_at = started_at

    @property
    def incarnation(self) -> str:
        """Return a name of this start of the upstream; empty if unknown."""
        if not self.instance:
            return ''
        return f'{self.instance}/{self.started_at}'
