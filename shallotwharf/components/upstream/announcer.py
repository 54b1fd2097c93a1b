"""Rate-limited announcements of an upstream."""

from shallotwharf.components.membership import messages as membership
from shallotwharf.components.upstream import const
from shallotwharf.core import callports, effects


class Announcer:
    """Announces state changes at once and spare slots at a limited rate."""

    __slots__ = (
        '_node',
        '_interval_ms',
        '_generation',
        '_announced',
        '_next_at',
        '_waiting',
    )

    def __init__(
        self,
        node: membership.Member,
        interval_ms: int,
        generation: int,
    ) -> None:
        """Create an announcer.

        Args:
            node: the node beside the upstream.
            interval_ms: shortest time between two announcements of spare slots.
            generation: initial generation; must exceed any that the node
                announced before a restart, for example the wall clock in
                milliseconds.
        """
        self._node = node
        self._interval_ms = interval_ms
        self._generation = generation
        self._announced: tuple[object, ...] = ()
        self._next_at = 0
        self._waiting = False

    def note(
        self,
        started: callports.UpstreamDescription,
        state: str,
        spare: int,
        now: int,
    ) -> list[effects.Effect]:
        """Return the effects that announce a change of state or spare slots."""
        current = (started.service, started.version, started.slots, state)
        if self._announced[:-1] == current:
            if self._announced[-1] == spare or self._waiting:
                return []
            if now < self._next_at:
                self._waiting = True
                return [
                    effects.SetTimer(const.TIMER_ANNOUNCE, self._next_at),
                ]
        self._announced = (*current, spare)
        self._next_at = now + self._interval_ms
        self._generation += 1
        return [self._publish(started, state, spare)]

    def note_timer(self) -> None:
        """Handle the announcement timer; the next `note` announces."""
        self._waiting = False
        self._next_at = 0

    def _publish(
        self,
        started: callports.UpstreamDescription,
        state: str,
        spare: int,
    ) -> effects.Effect:
        return effects.Publish(
            membership.Announce(
                membership.Announcement(
                    self._node,
                    started.service,
                    started.version,
                    state,
                    started.slots,
                    spare,
                    self._generation,
                ),
            ),
        )
