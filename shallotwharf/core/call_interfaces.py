"""Interfaces between the HTTP adapters and the components of a call."""

import abc
from collections import abc as collections_abc

from shallotwharf.core import calls, records


class Plan(abc.ABC):
    """The decisions of one call, asked for step by step."""

    __slots__ = ()

    @abc.abstractmethod
    def start(self, now: int) -> calls.Step:
        """Return the first step."""

    @abc.abstractmethod
    def resume(self, result: calls.Result, now: int) -> calls.Step:
        """Return the step that follows the end of an attempt."""

    @abc.abstractmethod
    def handle_guard_reply(
        self, reply: calls.GuardReply, now: int
    ) -> calls.Step:
        """Return the step that follows a reply of the guard."""

    @abc.abstractmethod
    def cancel(self, now: int) -> bool:
        """Note that the caller went away; return whether to stop."""


class CallPlanner(abc.ABC):
    """Makes a plan for each request that arrives."""

    __slots__ = ()

    @abc.abstractmethod
    def plan(self, request: calls.Request) -> Plan:
        """Return the plan of a request."""


class Gate(abc.ABC):
    """The only way in to the upstream beside this node."""

    __slots__ = ()

    @abc.abstractmethod
    def enter(
        self,
        step: calls.Enter,
        request: calls.Request,
        now: int,
    ) -> calls.Admission:
        """Admit, queue or refuse an attempt."""

    @abc.abstractmethod
    def count_spare_slots(self, now: int) -> int:
        """Return the slots that are free now."""

    @abc.abstractmethod
    def leave(self, attempt: str, result: calls.Result, now: int) -> None:
        """Note that an attempt that was admitted or queued ended."""


class OnceGuard(abc.ABC):
    """Grants once-only calls their single run."""

    __slots__ = ()

    @abc.abstractmethod
    def begin(
        self,
        request: calls.Request,
        receive: collections_abc.Callable[[calls.GuardReply], None],
    ) -> None:
        """Ask whether a call may run; `receive` is called once."""

    @abc.abstractmethod
    def finish(
        self,
        request: calls.Request,
        answer: calls.Replayed | None,
        not_run: bool,
    ) -> None:
        """Report the end of a granted call; `answer` only if it was whole."""


class PoisonList(abc.ABC):
    """Digests of requests that crash the upstreams that run them."""

    __slots__ = ()

    @abc.abstractmethod
    def is_empty(self) -> bool:
        """Tell whether no digest is refused, without scanning."""

    @abc.abstractmethod
    def refuses(self, digest: bytes, now: int) -> bool:
        """Tell whether a request of this digest is refused."""

    @abc.abstractmethod
    def clear(self, digest: bytes) -> None:
        """Note that the upstream answered a request of this digest."""


class EmptyPoisonList(PoisonList):
    """Refuses nothing."""

    __slots__ = ()

    def is_empty(self) -> bool:
        """Tell that no digest is refused."""
        return True

    def refuses(self, digest: bytes, now: int) -> bool:
        """Refuse nothing."""
        return False

    def clear(self, digest: bytes) -> None:
        """Keep nothing."""


class Observation(records.Record):
    """The result of an attempt that may have run, at the choosing node.

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
    """Gets the result of each attempt."""

    __slots__ = ()

    @abc.abstractmethod
    def observe(self, observation: Observation, now: int) -> None:
        """Take note of a result."""


class NullObserver(Observer):
    """Ignores all results."""

    __slots__ = ()

    def observe(self, observation: Observation, now: int) -> None:
        """Ignore a result."""


class UpstreamRegistry(abc.ABC):
    """Takes what the upstream beside a node says of itself."""

    __slots__ = ()

    @abc.abstractmethod
    def announce(self, description: 'UpstreamDescription') -> None:
        """Note that the upstream serves; may be repeated."""

    @abc.abstractmethod
    def drain(self) -> None:
        """Note that the upstream takes no new work."""

    @abc.abstractmethod
    def remove(self) -> None:
        """Note that the upstream is gone."""

    @abc.abstractmethod
    def report(self, report: 'UpstreamReport') -> None:
        """Note a report that may be late."""

    @abc.abstractmethod
    def end(self, instance: str, started_at: int) -> None:
        """Note that an instance leaves; it never comes back.

        `started_at` is 0 if the instance did not say it.
        """


class UpstreamReport(records.Record):
    """What an upstream said of itself, with its place in the order.

    Reports may arrive late and out of order: the one that was made last
    counts.

    Attributes:
        description: the upstream; its `instance` names one start of it.
        draining: whether it takes no new work.
        started_at: when the instance started, in milliseconds since the
            epoch by its own clock; 0 if it did not say.
        sequence: grows with each report of an instance.
    """

    __slots__ = ('description', 'draining', 'started_at', 'sequence')

    def __init__(
        self,
        description: 'UpstreamDescription',
        draining: bool,
        started_at: int,
        sequence: int,
    ) -> None:
        self.description = description
        self.draining = draining
        self.started_at = started_at
        self.sequence = sequence


class UpstreamDescription(records.Record):
    """An upstream as it announces itself.

    Attributes:
        service: name of the service.
        version: version of the service.
        host: IP number it listens on.
        port: port it listens on.
        slots: requests it runs at once.
        warmup_ms: time in which the offered slots grow to all.
        instance: differs after each start of the upstream.
    """

    __slots__ = (
        'service',
        'version',
        'host',
        'port',
        'slots',
        'warmup_ms',
        'instance',
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
    ) -> None:
        self.service = service
        self.version = version
        self.host = host
        self.port = port
        self.slots = slots
        self.warmup_ms = warmup_ms
        self.instance = instance
