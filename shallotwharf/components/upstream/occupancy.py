"""Slots of the upstream that requests unknown to the gate may hold."""

import typing

from shallotwharf.components.upstream import const
from shallotwharf.core import calls, upstream_notices

# Ends of a request after which the upstream may still run it.
_DOUBTFUL: typing.Final = frozenset(
    (calls.OUTCOME_LATE, calls.OUTCOME_CANCELLED)
)


class Occupancy:
    """Requests of an earlier process, and those that were given up here.

    An upstream that gets more requests than it can take may never answer them.
    What it states in a response shows how many it holds beside those that the
    gate knows. Nothing is assumed of an upstream that states no load.

    Once it has stated no others, or some time after its first figures, the
    requests of an earlier process have ended. Later figures do not count: they
    are those of the moment of a response, and under load each response that is
    on its way would take a slot.
    """

    __slots__ = ('_measured', '_doubtful', '_at', '_is_settled', '_began_at')

    def __init__(self) -> None:
        # The latest figures, at most two.
        self._measured: tuple[int, ...] = ()
        self._doubtful = 0
        self._at = 0
        self._is_settled = False
        self._began_at: int | None = None

    def record_end(self, ended: calls.Result, running: int, now: int) -> None:
        """Apply the end of a request.

        `running` is the number of running requests, this one included.
        """
        notice = ended.notice
        if notice is not None and notice.load is not None:
            self.record_load(notice.load, running, now)
        elif ended.outcome in _DOUBTFUL and self._measured:
            self._doubtful += 1
            self._at = now

    def record_load(
        self, stated: upstream_notices.UpstreamLoad, running: int, now: int
    ) -> None:
        """Apply what the upstream states while `running` requests run."""
        unknown = max(stated.running + stated.waiting - running, 0)
        if self._began_at is None:
            self._began_at = now
        is_over = now - self._began_at > const.OCCUPANCY_START_MS
        self._is_settled = self._is_settled or is_over or not unknown
        self._measured = (*self._measured[-1:], unknown)
        self._doubtful = 0
        self._at = now

    def count(self, now: int) -> int:
        """Return the number of slots that are probably not free.

        Two responses that are sent at once may both count the other request,
        so that the lower one of the last two figures is used.
        """
        if not self._measured or now - self._at > const.OCCUPANCY_LIFETIME_MS:
            return 0
        unknown = 0 if self._is_settled else min(self._measured)
        return unknown + self._doubtful
