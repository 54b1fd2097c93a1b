"""Reports of the first relay to the control processes."""

import typing
import zlib

from shallotwharf.components.membership import const, entries, messages, relays
from shallotwharf.core import effects, rendezvous

Effects: typing.TypeAlias = list[effects.Effect]


class Reporter:
    """Periodic reports of the live members of the data centre to control."""

    __slots__ = ('_entries', '_controls')

    def __init__(
        self,
        known_entries: entries.Entries,
        controls: tuple[str, ...],
    ) -> None:
        self._entries = known_entries
        self._controls = controls

    def change_control(self, controls: tuple[str, ...]) -> None:
        """Replace the control processes that receive reports."""
        self._controls = controls

    def report(self, now: int, _late_ms: int) -> Effects:
        """Send a report if this node is the first relay."""
        wait_ms = const.REPORT_PERIOD_MS
        if self._controls and not self._list_heard(now):
            wait_ms = const.REPORT_SEARCH_MS
        report_at = now + wait_ms
        step: Effects = [self._entries.alarms.set_timer('report', report_at)]
        ranked = rendezvous.rank_members(
            const.RELAY_KEY,
            (member.name for member in self._entries.live),
        )
        if ranked[:1] == [self._entries.own.state.member.name]:
            message = self._build(now, ())
            step.extend(
                effects.Send(control, message) for control in self._controls
            )
        return step

    def send_members(self, control: str, now: int) -> Effects:
        """Send the members that control requested."""
        return [effects.Send(control, self._build(now, self._entries.live))]

    def _build(
        self,
        now: int,
        members: tuple[messages.Member, ...],
    ) -> relays.DatacentreReport:
        own = self._entries.own.state.member.datacentre
        heard = {own, *self._list_heard(now)}
        return relays.DatacentreReport(
            own,
            compute_digest(self._entries.live),
            members,
            tuple(sorted(heard)),
        )

    def _list_heard(self, now: int) -> set[str]:
        """Return the other data centres that are not stale."""
        own = self._entries.own.state.member.datacentre
        known = self._entries.known
        heard = set(known.list_datacentres()) - set(known.list_stale(own, now))
        return heard - {own}


def compute_digest(members: tuple[messages.Member, ...]) -> int:
    """Return a digest of members and their addresses."""
    digest = 0
    for member in members:
        digest ^= zlib.crc32(repr(member).encode())
    return digest
