"""Health of an upstream from the results of its requests."""

from shallotwharf.components.upstream import const


class Health:
    """Healthy until failures in a row or a refused connection say otherwise.

    An unhealthy upstream gets one request at a time as a trial, each after
    a delay.
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
        """Tell whether a request may run now, if only as a trial."""
        return self.healthy or (not self.trial and now >= self._trial_at)

    def note_started(self, attempt: str) -> None:
        """Note a request that was admitted."""
        if not self.healthy:
            self.trial = attempt

    def note_success(self, attempt: str, now: int) -> None:
        """Note a whole answer.

        While unhealthy, only the trial counts: the others were admitted
        before the failures.
        """
        self._evidence_at = now
        if self.healthy or attempt == self.trial:
            self.healthy = True
            self.trial = ''
            self._failures = 0
            self._delay_ms = const.TRIAL_DELAY_MS

    def note_failure(self, attempt: str, now: int) -> None:
        """Note a failure."""
        self._evidence_at = now
        self._failures += 1
        if not self.healthy:
            self._end_trial(attempt, now)
        elif self._failures >= const.FAILURE_LIMIT:
            self._eject(now)

    def note_unreachable(self, attempt: str, now: int) -> None:
        """Note a refused connection, which needs no repetition."""
        self._failures = const.FAILURE_LIMIT
        self.note_failure(attempt, now)

    def note_abandoned(self, attempt: str) -> None:
        """Note a request that ended without evidence."""
        if attempt == self.trial:
            self.trial = ''

    def note_endpoint(self, healthy: bool, now: int) -> None:
        """Note the health endpoint; own evidence takes precedence."""
        if self.healthy and not healthy and not self._has_evidence(now):
            self._eject(now)

    def _has_evidence(self, now: int) -> bool:
        if self._evidence_at is None:
            return False
        return now - self._evidence_at < const.OWN_EVIDENCE_MS

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
