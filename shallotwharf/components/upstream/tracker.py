"""Health and crashes of the upstream, derived from its requests."""

import types
import typing

from shallotwharf.components.upstream import crashes, health, running
from shallotwharf.core import calls, effects


class RequestTracker:
    """Tracks running requests, and the health and crashes they reveal.

    Attributes:
        running: requests that hold a slot.
        health: health of the upstream.
        crashes: crashes of the upstream.
    """

    __slots__ = ('running', 'health', 'crashes')

    def __init__(self, node: str) -> None:
        self.running = running.RunningRequests()
        self.health = health.Health()
        self.crashes = crashes.CrashDetector(node)

    def restart(self) -> list[effects.Effect]:
        """Discard the health and run times of an earlier instance.

        Returns the effects of its crash if one was suspected.
        """
        self.health = health.Health()
        self.running.shortest_ms = 0
        self.running.mean_ms = 0
        return self.crashes.confirm()

    def begin(
        self,
        attempt: str,
        request: calls.Request,
        start: int,
        now: int,
    ) -> None:
        """Record a request admitted to the `start`-th start of the upstream."""
        self.running.add(attempt, request, start, now)
        self.health.record_start(attempt)

    def end(
        self,
        attempt: str,
        outcome: str,
        now: int,
    ) -> list[effects.Effect]:
        """Record the end of a request; return the effects of a crash."""
        crash = getattr(self, _ENDS[outcome])(attempt, now)
        self.running.remove(attempt)
        return crash or []

    def end_answered(self, attempt: str, now: int) -> list[effects.Effect]:
        """Record a complete response with any status."""
        self.running.record_response(attempt, now)
        self.health.record_success(attempt, now)
        return self.crashes.record_response(
            self.running.read_start(attempt),
            self.running.read_started_at(attempt),
            now,
        )

    def end_late(self, attempt: str, now: int) -> None:
        """Record that no valid response arrived in time."""
        self.health.record_failure(attempt, now)

    def end_unreached(self, attempt: str, now: int) -> list[effects.Effect]:
        """Record a refused connection."""
        self.health.record_unreachable(attempt, now)
        return self.crashes.confirm()

    def end_abandoned(self, attempt: str, _now: int) -> None:
        """Record a request that ended without showing the health."""
        self.health.record_abandoned(attempt)

    def end_closed(self, attempt: str, now: int) -> list[effects.Effect]:
        """Record a connection that closed before the response was complete."""
        self.health.record_failure(attempt, now)
        digests = self.running.record_crash(attempt)
        if not digests:
            return []
        start = self.running.read_start(attempt)
        latest = self.running.find_latest()
        return self.crashes.suspect(digests, latest, start, now)


# Method that handles each outcome of an attempt at the upstream.
_ENDS: typing.Final = types.MappingProxyType(
    {
        calls.OUTCOME_ANSWERED: 'end_answered',
        calls.OUTCOME_CLOSED: 'end_closed',
        calls.OUTCOME_UNREACHED: 'end_unreached',
        calls.OUTCOME_LATE: 'end_late',
        # The response must not be relayed.
        calls.OUTCOME_CROSSED: 'end_late',
        calls.OUTCOME_CANCELLED: 'end_abandoned',
        # The attempt was admitted, but expired before it was sent, or the
        # upstream refused it.
        calls.OUTCOME_REFUSED: 'end_abandoned',
    },
)
