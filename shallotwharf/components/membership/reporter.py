"""Reports of the first relay to the control processes."""

import typing
import zlib

from shallotwharf.components.membership import (
    const,
    membership_view,
    messages,
    relay_messages,
)
from shallotwharf.core import effects, rendezvous

Effects: typing.TypeAlias = list[effects.Effect]


class Reporter:
    """Periodic reports of the live members of the data centre to control."""

    __slots__ = ('_view', '_controls')

    def __init__(
        self,
        view: membership_view.MembershipView,
        controls: tuple[str, ...],
    ) -> None:
        self._view = view
        self._controls = controls

    def change_control(self, controls: tuple[str, ...]) -> None:
        """Replace the control processes that receive reports."""
        self._controls = controls

    def report(self, now: int, _late_ms: int) -> Effects:
        """Send a report if this node is the first relay."""
        wait_ms = const.REPORT_PERIOD_MS
        if self._controls and not self._list_reachable(now):
            wait_ms = const.ISOLATED_REPORT_PERIOD_MS
        report_at = now + wait_ms
        step: Effects = [self._view.timers.set_timer('report', report_at)]
        ranked = rendezvous.rank_members(
            const.RELAY_KEY,
            (member.name for member in self._view.live),
        )
        if ranked[:1] == [self._view.local.state.member.name]:
            message = self._build_report(now, ())
            step.extend(
                effects.Send(control, message) for control in self._controls
            )
        return step

    def send_members(self, control: str, now: int) -> Effects:
        """Send the members that control requested."""
        return [effects.Send(control, self._build_report(now, self._view.live))]

    def _build_report(
        self,
        now: int,
        members: tuple[messages.Member, ...],
    ) -> relay_messages.DatacentreReport:
        local_datacentre = self._view.local.state.member.datacentre
        reachable = {local_datacentre, *self._list_reachable(now)}
        return relay_messages.DatacentreReport(
            local_datacentre,
            compute_digest(self._view.live),
            members,
            tuple(sorted(reachable)),
        )

    def _list_reachable(self, now: int) -> set[str]:
        """Return the other data centres that are not stale."""
        local_datacentre = self._view.local.state.member.datacentre
        store = self._view.store
        reachable = set(store.list_datacentres()) - set(
            store.list_stale(local_datacentre, now)
        )
        return reachable - {local_datacentre}


def compute_digest(members: tuple[messages.Member, ...]) -> int:
    """Return a digest of members and their addresses.

    It depends on the values only, so that renamed fields do not change it.
    """
    digest = 0
    for member in members:
        digest ^= zlib.crc32(repr(member.read_fields()).encode())
    return digest
