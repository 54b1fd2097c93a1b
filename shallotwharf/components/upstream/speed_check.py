"""Refusal of attempts for which the upstream is too slow at present."""

from shallotwharf.components.upstream import const, speed
from shallotwharf.core import calls


class SpeedCheck:
    """Compares the latency target of an attempt with the present speed.

    A refused attempt runs elsewhere while there is time for it. Only the first
    `const.SLOW_TRIES` attempts of a call are refused, so that a call runs even
    if all upstreams are slow.
    """

    __slots__ = ('_speed',)

    def __init__(self, measured: speed.Speed) -> None:
        self._speed = measured

    def is_too_slow(self, step: calls.Enter, now: int) -> bool:
        """Return whether the attempt should be served elsewhere."""
        if (
            not step.aim_at
            or not step.work_ms
            or not self._speed.is_stated(now)
        ):
            return False
        left_ms = step.aim_at - now
        if step.work_ms + const.ELSEWHERE_MS > left_ms:
            # Another upstream would be late as well.
            return False
        if step.work_ms * self._speed.estimate(now) <= left_ms:
            return False
        return bool(_read_number(step)) and not must_run(step)


def must_run(step: calls.Enter) -> bool:
    """Return whether an attempt must not be refused as too slow for its target.

    The first attempts of its call were refused so, or the sender does not
    retry: a first attempt that is marked as retried belongs to such a call.
    """
    number = _read_number(step)
    return number > const.SLOW_TRIES or (number == 1 and step.retried)


def _read_number(step: calls.Enter) -> int:
    """Return the number that follows the id of the call; 0 if there is none."""
    number = step.attempt.rpartition('.')[2]
    if number.isascii() and number.isdecimal():
        return int(number)
    return 0
