"""Reasons to refuse an attempt whatever room its upstream has."""

import typing

from shallotwharf.components.upstream import (
    const,
    evacuation,
    learning,
    offer,
    room,
    speed_check,
    tracker,
)
from shallotwharf.core import call_interfaces, calls


class EntryChecks:
    """Checks of an attempt that asks for admission, in their order."""

    __slots__ = (
        '_offer',
        '_learning',
        '_tracker',
        '_room',
        '_poison',
        '_speed',
        '_evacuation',
    )

    def __init__(
        self,
        offered: offer.Offer,
        learn: learning.Learning,
        tracked: tracker.RequestTracker,
        entered: room.Room,
        poison_list: call_interfaces.PoisonList,
        evacuated: evacuation.Evacuation,
    ) -> None:
        self._offer = offered
        self._learning = learn
        self._tracker = tracked
        self._room = entered
        self._poison = poison_list
        self._speed = speed_check.SpeedCheck(offered.speed)
        self._evacuation = evacuated

    def find_refusal(
        self,
        step: calls.Enter,
        request: calls.Request,
        now: int,
    ) -> str:
        """Return the reason of the first check that fails; empty if none."""
        mismatch = self._offer.find_refusal(step)
        if mismatch:
            return mismatch
        for reason, check in _CHECKS:
            if check(self, step, request, now):
                return reason
        lateness = self._room.policy.find_lateness(step, now)
        if lateness:
            return lateness
        if not self._tracker.health.admits(now):
            return const.REASON_UNHEALTHY
        return ''

    def is_evacuated(
        self, _step: calls.Enter, _request: calls.Request, _now: int
    ) -> bool:
        """Return whether the data centre is evacuated."""
        return self._evacuation.is_active

    def is_learning(
        self, _step: calls.Enter, _request: calls.Request, _now: int
    ) -> bool:
        """Return whether the node does not know yet what others know."""
        return self._learning.is_active

    def is_duplicate(
        self, step: calls.Enter, _request: calls.Request, _now: int
    ) -> bool:
        """Return whether an attempt with the same id runs or waits."""
        return step.attempt in self._tracker.running or (
            step.attempt in self._room.policy
        )

    def is_poison(
        self, _step: calls.Enter, request: calls.Request, now: int
    ) -> bool:
        """Return whether the request crashes upstreams."""
        return not self._poison.is_empty() and self._poison.refuses(
            request.compute_identity(), now
        )

    def is_slow(
        self, step: calls.Enter, _request: calls.Request, now: int
    ) -> bool:
        """Return whether another upstream may be in time, unlike this one."""
        return self._speed.is_too_slow(step, now)


_CHECKS: typing.Final = (
    (const.REASON_EVACUATED, EntryChecks.is_evacuated),
    (const.REASON_LEARNING, EntryChecks.is_learning),
    (const.REASON_DUPLICATE, EntryChecks.is_duplicate),
    (const.REASON_POISON, EntryChecks.is_poison),
    (const.REASON_SLOW, EntryChecks.is_slow),
)
