"""When to ask the upstream whether it is cold."""

from shallotwharf.components.upstream import cold, const, messages
from shallotwharf.core import call_interfaces, effects


class Probing:
    """At most one probe at a time, and only while its result is needed."""

    __slots__ = ('_limit', '_number', '_sent_at', '_is_pending', '_is_first')

    def __init__(self, limit: cold.ColdLimit) -> None:
        self._limit = limit
        self._number = 0
        self._sent_at: int | None = None
        self._is_pending = False
        # Whether requests of an earlier process may run there.
        self._is_first = True

    def restart(self) -> None:
        """Ignore the response of an earlier start of the upstream."""
        self._is_pending = False
        self._sent_at = None

    def request(
        self,
        description: call_interfaces.UpstreamDescription | None,
        now: int,
    ) -> list[effects.Effect]:
        """Return the effects that send a probe, if one is needed.

        The first one shows which slots are still taken by requests of an
        earlier process. Another one is needed only while the requests of the
        last second are close to what a cold upstream tolerates.
        """
        path = self._limit.rule.health_path
        if description is None or not path or not self._is_needed(now):
            return []
        self._is_first = False
        self._number += 1
        self._sent_at = now
        self._is_pending = True
        return [
            effects.Count(const.COUNTER_PROBES),
            effects.Publish(
                messages.ProbeRequested(
                    call_interfaces.HealthRequest(
                        self._number,
                        description.host,
                        description.port,
                        path,
                        description.instance,
                    ),
                ),
            ),
        ]

    def apply(self, message: messages.ProbeAnswered, now: int) -> bool:
        """Apply the response to the latest probe; return False for others."""
        if message.number != self._number or not self._is_pending:
            return False
        self._is_pending = False
        sent_at = self._sent_at
        if message.remaining_ms is not None and sent_at is not None:
            self._limit.state.apply_probe(sent_at, message.remaining_ms, now)
        return True

    def _is_needed(self, now: int) -> bool:
        if self._is_first:
            return True
        limit = self._limit
        if not limit.is_near_limit(now):
            return False
        if limit.state.is_warm(now, const.PROBE_REFRESH_MS):
            return False
        return self._sent_at is None or now - self._sent_at >= self._find_pause(
            now
        )

    def _find_pause(self, now: int) -> int:
        if self._limit.state.is_cold(now):
            return const.PROBE_COLD_PAUSE_MS
        if self._is_pending:
            return const.PROBE_TIMEOUT_MS
        return const.PROBE_PAUSE_MS
