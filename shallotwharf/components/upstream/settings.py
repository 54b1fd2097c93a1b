"""Settings of a gate."""

from shallotwharf.components.upstream import const
from shallotwharf.core import records


class GateSettings(records.Record):
    """Limits of the queue and of announcements.

    Attributes:
        queue_limit: maximum number of queued attempts; 0 disables the queue.
        queue_wait_ms: longest wait of a queued attempt.
        announce_interval_ms: shortest time between two announcements of
            spare slots.
        has_notices: whether responses of the upstream carry notices, so that
            the first one is awaited before all slots are used.
        learn_ms: longest wait after the start for what other nodes know;
            until then no attempt is admitted.
        cold_overage: factor of the rate that a cold upstream tolerates.
        cold_slack: requests a second above it that may reach a cold upstream.
    """

    __slots__ = (
        'queue_limit',
        'queue_wait_ms',
        'announce_interval_ms',
        'has_notices',
        'learn_ms',
        'cold_overage',
        'cold_slack',
    )

    def __init__(
        self,
        queue_limit: int = const.DEFAULT_QUEUE_LIMIT,
        queue_wait_ms: int = const.DEFAULT_QUEUE_WAIT_MS,
        announce_interval_ms: int = const.DEFAULT_ANNOUNCE_INTERVAL_MS,
        has_notices: bool = False,
        learn_ms: int = 0,
        cold_overage: float = const.DEFAULT_COLD_OVERAGE,
        cold_slack: float = const.DEFAULT_COLD_SLACK,
    ) -> None:
        self.queue_limit = queue_limit
        self.queue_wait_ms = queue_wait_ms
        self.announce_interval_ms = announce_interval_ms
        self.has_notices = has_notices
        self.learn_ms = learn_ms
        self.cold_overage = cold_overage
        self.cold_slack = cold_slack
