"""Announcements of the upstream of this node."""

import typing

from shallotwharf.components.membership import entries, messages, wire
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


class Announcer:
    """Gossip of the announcements of the local gate.

    A change of load alone is sent at most once in `LOAD_PERIOD_MS`.
    """

    __slots__ = ('_entries', '_spare')

    def __init__(self, known_entries: entries.Entries) -> None:
        self._entries = known_entries
        self._spare = 0

    def announce(
        self,
        announced: messages.Announcement,
        now: int,
    ) -> Effects:
        """Gossip an announcement: at once, or later if only load differs."""
        own_entries = self._entries.own
        known = self._entries.known.read_announcement(
            own_entries.state.member.name,
        )
        self._spare = announced.spare
        if known is not None and announced == known.replace(
            spare=announced.spare,
            generation=announced.generation,
        ):
            load_at = own_entries.find_load_time(now)
            return self._entries.alarms.hasten('load', load_at)
        newest = known.generation if known is not None else 0
        batch = wire.Batch(
            announcements=(own_entries.announce(announced, newest),),
        )
        return [
            *self._entries.merge(batch, now),
            *self.spread_load(now, 0),
        ]

    def spread_load(self, now: int, _late_ms: int) -> Effects:
        """Gossip the spare slots of this node if they changed."""
        own_entries = self._entries.own
        known = self._entries.known.read_load(own_entries.state.member.name)
        if known is not None and known.spare == self._spare:
            return []
        newest = known.number if known is not None else 0
        load = own_entries.build_load(self._spare, newest, now)
        return self._entries.merge(wire.Batch(loads=(load,)), now)
