"""Announcements of the upstream of this node."""

import typing

from shallotwharf.components.membership import membership_view, messages, wire
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


class Announcer:
    """Gossip of the announcements of the local gate.

    A change of load alone is sent at most once in `LOAD_PERIOD_MS`.
    """

    __slots__ = ('_view', '_announced')

    def __init__(self, view: membership_view.MembershipView) -> None:
        self._view = view
        self._announced: messages.Announcement | None = None

    def announce(
        self,
        announced: messages.Announcement,
        now: int,
    ) -> Effects:
        """Gossip an announcement: at once, or later if only load differs."""
        local = self._view.local
        latest = self._view.store.read_announcement(
            local.state.member.name,
        )
        self._announced = announced
        if latest is not None and announced == latest.replace(
            spare=announced.spare,
            generation=announced.generation,
            condition=announced.condition,
        ):
            load_at = local.find_next_load_time(now)
            return self._view.timers.advance_timer('load', load_at)
        newest = latest.generation if latest is not None else 0
        batch = wire.Batch(
            announcements=(local.announce(announced, newest),),
        )
        return [
            *self._view.merge(batch, now),
            *self.gossip_load(now, 0),
        ]

    def gossip_load(self, now: int, _late_ms: int) -> Effects:
        """Gossip the spare slots and speed of this node if they changed."""
        announced = self._announced
        if announced is None:
            return []
        local = self._view.local
        latest = self._view.store.read_load(local.state.member.name)
        if latest is not None and (latest.spare, latest.condition) == (
            announced.spare,
            announced.condition,
        ):
            return []
        newest = latest.number if latest is not None else 0
        load = local.build_load(announced, newest, now)
        return self._view.merge(wire.Batch(loads=(load,)), now)
