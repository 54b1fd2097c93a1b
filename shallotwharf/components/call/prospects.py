"""Whether a call still has a prospect of being served in time."""

import typing

from shallotwharf.components.call import (
    attempts,
    chooser,
    const,
    context,
    facts,
    shortages,
    targets,
)
from shallotwharf.core import calls


class Prospects:
    """Prospects of one call among upstreams that lack room.

    Answers overload in which calls ask many gates in turn, or are sent although
    their upstream cannot end them in time. Applies only with scheduling.
    """

    __slots__ = ('_context', '_facts')

    def __init__(
        self, call_context: context.Context, call: facts.Facts
    ) -> None:
        self._context = call_context
        self._facts = call

    def find_needed_ms(self, target: targets.Target, now: int) -> int:
        """Return the time that a run needs; 0 without scheduling.

        A slower target than usual counts as usual: its gate knows the present
        speed, and refuses what cannot end in time there.
        """
        if not self._context.is_scheduled:
            return 0
        usual_ms = self._facts.timing.estimate_work(now)
        return int(usual_ms * min(target.speed.estimate(now), 1))

    def count_free_refusals(self, result: calls.Result) -> int:
        """Return how many refusals for lack of room or speed are free.

        They take no token of the retry budget.

        They reach no upstream, and few are allowed. From the budget of the
        pool, the least urgent calls would take what urgent ones need.
        """
        if not self._context.is_scheduled:
            return 0
        if result.reason in _FREE_REASONS:
            return const.KNOWN_FULL_TRIES + const.SLOW_TRIES
        return 0

    def is_hopeless(
        self,
        service: str,
        groups: list[targets.Group],
        tried: set[str],
        now: int,
    ) -> bool:
        """Return whether calls with the same need were just refused."""
        if not self._context.is_scheduled or self._is_inner():
            return False
        is_unmet = self._context.shortages.is_hopeless(
            self._identify(service), self._compute_need(now), now
        )
        if not is_unmet:
            return False
        room = chooser.find_room(groups, tried, now)
        return room is not attempts.Room.KNOWN

    def find_room(
        self,
        service: str,
        groups: list[targets.Group],
        tried: set[str],
        now: int,
    ) -> attempts.Room:
        """Return where a call that was refused for lack of room may find some.

        A gate refuses at once what it cannot serve in time, however long its
        queue: a few that do so stand for the others.
        """
        room = chooser.find_room(groups, tried, now)
        if not self._context.is_scheduled or self._is_inner():
            return room
        limit = const.FULL_TRIES
        if room is attempts.Room.KNOWN:
            limit = const.KNOWN_FULL_TRIES
        elif self._facts.is_late():
            # Others that can be in time come first everywhere.
            limit = 1
        if self._facts.attempts.refusals >= limit:
            room = attempts.Room.NONE
        if room is attempts.Room.NONE:
            self._context.shortages.record(
                self._identify(service), self._compute_need(now), now
            )
        elif self.is_hopeless(service, groups, tried, now):
            return attempts.Room.NONE
        return room

    def _is_inner(self) -> bool:
        """Return whether the call belongs to a request that runs already.

        While such a call waits, its parent holds a slot.
        """
        return self._facts.tenant is None and not self._facts.compute_rank()

    def _identify(self, service: str) -> tuple[str, str]:
        owner = self._facts.tenant
        return service, owner.name if owner else ''

    def _compute_need(self, now: int) -> shortages.Need:
        call = self._facts
        row = call.read_entry().row
        left_ms = call.attempts.deadline_at - now
        if row.aim_ms:
            aim_at = call.attempts.began_at + row.aim_ms - call.age_ms
            left_ms = min(left_ms, aim_at - now)
        return shortages.Need(
            call.compute_rank(),
            left_ms - call.timing.estimate_work(now),
        )


_FREE_REASONS: typing.Final = const.FULL_REASONS | {const.REASON_SLOW}
