"""What operators see of a process that waits to become a member."""

import typing

from shallotwharf.components.replica import const
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


class JoinReport:
    """Log lines and a counter while this process is not a member.

    A line is written when the processes that answered or the leader that they
    name change, and in any case once in `JOIN_REPORT_INTERVAL_MS`.
    """

    __slots__ = ('_answered', '_leader', '_began_at', '_due_at', '_reported')

    def __init__(self) -> None:
        self._answered: set[str] = set()
        self._leader = ''
        self._began_at: int | None = None
        self._due_at = 0
        self._reported: tuple[object, ...] = ()

    def record_reply(self, sender: str, leader: str) -> None:
        """Record a process that answered, and the leader that it named."""
        self._answered.add(sender)
        self._leader = leader or self._leader

    def wait(self, probed: set[str], now: int) -> Effects:
        """Return the effects of probing the processes once more."""
        step: Effects = []
        if self._began_at is None:
            self._began_at = now
            step.append(effects.Count(const.COUNTER_JOIN_WAITING))
        current = (sorted(probed), sorted(self._answered), self._leader)
        if current == self._reported and now < self._due_at:
            return step
        self._reported = current
        self._due_at = now + const.JOIN_REPORT_INTERVAL_MS
        fields = {
            'probed': ','.join(sorted(probed)),
            'answered': ','.join(sorted(self._answered)),
            'leader': self._leader,
            'waited_ms': now - self._began_at,
        }
        return [*step, effects.Report('join_waits', fields)]

    def end(self, now: int) -> Effects:
        """Return the effects of having become a member."""
        if self._began_at is None:
            return []
        waited_ms = now - self._began_at
        self._began_at = None
        self._reported = ()
        self._answered.clear()
        return [
            effects.Count(const.COUNTER_JOIN_WAITING, -1),
            effects.Report('joined', {'waited_ms': waited_ms}),
        ]
