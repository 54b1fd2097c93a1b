"""Health of an upstream, derived from the results of its requests."""

from shallotwharf.components.upstream import const


class Health:
    """Health state with outlier ejection, as in a circuit breaker.

    Consecutive failures, a refused connection or the health endpoint make the
    upstream unhealthy. It then gets one trial request at a time, each after a
    delay, until a trial succeeds.

    Attributes:
        healthy: whether requests are admitted without a trial.
        trial: attempt id of the running trial request; empty if none.
    """

    __slots__ = (
        'healthy',
        'trial',
        '_failures',
        '_trial_at',
        '_delay_ms',
        '_evidence_at',
    )

    def __init__(self) -> None:
        self.healthy = True
        self.trial = ''
        self._failures = 0
        self._trial_at = 0
        self._delay_ms = const.TRIAL_DELAY_MS
        self._evidence_at: int | None = None

    def admits(self, now: int) -> bool:
        """Return whether a request may run now, at least as a trial."""
        return self.healthy or (not self.trial and now >= self._trial_at)

    def record_start(self, attempt: str) -> None:
        """Record an admitted request; it is the trial while unhealthy."""
        if not self.healthy:
            self.trial = attempt

    def record_success(self, attempt: str, now: int) -> None:
        """Record a complete response.

        While unhealthy, only the trial counts, because other requests were
        admitted before the failures.
        """
        self._evidence_at = now
        if self.healthy or attempt == self.trial:
            self.healthy = True
            self.trial = ''
            self._failures = 0
            self._delay_ms = const.TRIAL_DELAY_MS

    def record_failure(self, attempt: str, now: int) -> None:
        """Record a failure."""
        self._evidence_at = now
        self._failures += 1
        if not self.healthy:
            self._end_trial(attempt, now)
        elif self._failures >= const.FAILURE_LIMIT:
            self._eject(now)

    def record_unreachable(self, attempt: str, now: int) -> None:
        """Record a refused connection; a single one makes it unhealthy."""
        self._failures = const.FAILURE_LIMIT
        self.record_failure(attempt, now)

    def record_abandoned(self, attempt: str) -> None:
        """Record a request whose end does not show the health."""
        if attempt == self.trial:
            self.trial = ''

    def apply_endpoint_status(self, healthy: bool, now: int) -> None:
        """Eject the upstream if its endpoint reports it as unhealthy.

        Recent results of requests take precedence. A healthy status has no
        effect: an ejection ends with a successful trial.
        """
        if self.healthy and not healthy and not self._has_evidence(now):
            self._eject(now)

    def _has_evidence(self, now: int) -> bool:
        if self._evidence_at is None:
            return False
        return now - self._evidence_at < const.REQUEST_EVIDENCE_MS

    def _eject(self, now: int) -> None:
        self.healthy = False
        self.trial = ''
        self._trial_at = now + self._delay_ms

    def _end_trial(self, attempt: str, now: int) -> None:
        if attempt == self.trial:
            self.trial = ''
            self._delay_ms = min(
                self._delay_ms * 2,
                const.MAX_TRIAL_DELAY_MS,
            )
            self._trial_at = now + self._delay_ms
