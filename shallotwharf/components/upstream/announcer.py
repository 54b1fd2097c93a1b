"""Rate-limited announcements of an upstream."""

from shallotwharf.components.membership import messages as membership
from shallotwharf.components.upstream import const
from shallotwharf.core import call_interfaces, effects, upstream_notices


class Announcer:
    """Announces state changes at once and spare slots at a limited rate."""

    __slots__ = (
        '_node',
        '_interval_ms',
        '_generation',
        '_description',
        '_state',
        '_load',
        '_next_at',
        '_is_timer_set',
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
            generation: initial generation. The membership raises it above
                those that the node announced before a restart.
        """
        self._node = node
        self._interval_ms = interval_ms
        self._generation = generation
        # What was announced last; None if nothing was.
        self._description: call_interfaces.UpstreamDescription | None = None
        self._state = ''
        self._load = (0, upstream_notices.UNKNOWN_CONDITION)
        self._next_at = 0
        self._is_timer_set = False

    def is_waiting(
        self, description: call_interfaces.UpstreamDescription, state: str
    ) -> bool:
        """Return whether only the load may differ, and that waits."""
        return self._is_timer_set and not self._is_changed(description, state)

    def update(
        self,
        description: call_interfaces.UpstreamDescription,
        state: str,
        spare: int,
        now: int,
        condition: upstream_notices.Condition = (
            upstream_notices.UNKNOWN_CONDITION
        ),
    ) -> list[effects.Effect]:
        """Return the effects that announce a change of state or load."""
        load = (spare, condition)
        changed = self._is_changed(description, state)
        if not changed:
            if self._is_timer_set or self._load == load:
                return []
            if now < self._next_at:
                self._is_timer_set = True
                return [
                    effects.SetTimer(const.TIMER_ANNOUNCE, self._next_at),
                ]
        self._description = description
        self._state = state
        self._load = load
        self._next_at = now + self._interval_ms
        self._generation += 1
        announced: list[effects.Effect] = [
            self._publish(description, state, spare, condition),
        ]
        if changed:
            announced.append(self._report(description, state))
        return announced

    def handle_timer(self) -> list[effects.Effect]:
        """Handle the announcement timer; the next `update` announces."""
        self._is_timer_set = False
        self._next_at = 0
        return []

    def _is_changed(
        self, description: call_interfaces.UpstreamDescription, state: str
    ) -> bool:
        """Return whether more than the load differs from what is announced."""
        announced = self._description
        if announced is None or state != self._state:
            return True
        if announced is description:
            return False
        return _list_announced(announced) != _list_announced(description)

    def _report(
        self,
        description: call_interfaces.UpstreamDescription,
        state: str,
    ) -> effects.Effect:
        return effects.Report(
            const.EVENT_CHANGED,
            {
                'instance': description.instance,
                'service': description.service,
                'served': description.version,
                'slots': description.slots,
                'state': state,
                'generation': self._generation,
            },
        )

    def _publish(
        self,
        description: call_interfaces.UpstreamDescription,
        state: str,
        spare: int,
        condition: upstream_notices.Condition,
    ) -> effects.Effect:
        return effects.Publish(
            membership.Announce(
                membership.Announcement(
                    self._node,
                    description.service,
                    description.version,
                    state,
                    description.slots,
                    spare,
                    self._generation,
                    description.incarnation,
                    condition,
                ),
            ),
        )


def _list_announced(
    description: call_interfaces.UpstreamDescription,
) -> tuple[object, ...]:
    """Return what an announcement states of an upstream beside its load."""
    return (
        description.service,
        description.version,
        description.slots,
        description.incarnation,
    )
