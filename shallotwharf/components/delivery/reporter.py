"""Reports of a relay to control, and the versions control has recorded."""

import random as random_module
from collections import abc

from shallotwharf.components.delivery import const, member_states, messages
from shallotwharf.core import effects


class Reporter:
    """Sends reports to every control process.

    A change is reported at once, but at most every
    `const.REPORT_SPACING_MS`. Without a change a report is sent as a heartbeat
    at least every `const.REPORT_HEARTBEAT_MS`.

    Nodes may apply a version only after the control process of the local data
    centre has recorded that a relay holds it, so that this process can state
    a floor if the data centre is partitioned off and restarted. The relay does
    not wait for it if it sends nothing for `const.RESPONSE_TIMEOUT_MS`.
    """

    __slots__ = (
        '_datacentre',
        '_random',
        '_control',
        '_local_control',
        '_statuses',
        '_local_received_at',
        '_reported_version',
        '_sent_at',
        '_heartbeat_at',
        '_local_report_at',
    )

    def __init__(
        self,
        datacentre: str,
        control: abc.Iterable[messages.ControlProcess],
        random: random_module.Random,
    ) -> None:
        self._datacentre = datacentre
        self._random = random
        self._control = tuple(control)
        local = [
            process.name
            for process in self._control
            if process.datacentre == datacentre
        ]
        self._local_control = local[0] if local else ''
        self._statuses: dict[str, messages.FeedStatus] = {}
        self._local_received_at = 0
        self._reported_version = -1
        self._sent_at = 0
        self._heartbeat_at = 0
        self._local_report_at = 0

    def start(self, now: int) -> None:
        """Start reporting; the local control process counts as responsive."""
        self._local_received_at = now
        self._reported_version = -1
        self._sent_at = now - const.REPORT_SPACING_MS
        self._heartbeat_at = now
        self._local_report_at = now

    def receive_status(
        self,
        sender: str,
        status: messages.FeedStatus,
        now: int,
    ) -> bool:
        """Store a status; return False if a later one is known."""
        known = self._statuses.get(sender)
        if known is None:
            # A report without a timestamp does not count, so another one has
            # to follow at once.
            self._reported_version = -1
        elif known.incarnation == status.incarnation:
            if status.timestamp < known.timestamp:
                return False
        self._statuses[sender] = status
        if sender == self._local_control:
            self._local_received_at = now
        return True

    def limit_claim(self, held: int, now: int) -> int:
        """Return the highest version that nodes may count as held here."""
        if not self._local_control:
            return held
        if now - self._local_received_at >= const.RESPONSE_TIMEOUT_MS:
            return held
        status = self._statuses.get(self._local_control)
        return min(held, status.recorded if status else 0)

    def report(
        self,
        nodes: member_states.MemberStates,
        held: int,
        now: int,
    ) -> list[effects.Effect]:
        """Return the reports that are due."""
        changed = nodes.changed or self._reported_version != held
        spaced = now - self._sent_at >= const.REPORT_SPACING_MS
        if now >= self._heartbeat_at or (changed and spaced):
            self._sent_at = now
            self._heartbeat_at = now + self._random.randint(
                const.REPORT_HEARTBEAT_MS // 2,
                const.REPORT_HEARTBEAT_MS,
            )
            self._reported_version = held
            nodes.changed = False
            return self._make_reports(nodes, held, now, self._list_control())
        if self.limit_claim(held, now) < held and now >= self._local_report_at:
            # Nodes cannot apply the version before this report arrives.
            self._local_report_at = now + const.NODE_RETRY_MS
            return self._make_reports(nodes, held, now, [self._local_control])
        return []

    def _list_control(self) -> list[str]:
        return [process.name for process in self._control]

    def _make_reports(
        self,
        nodes: member_states.MemberStates,
        held: int,
        now: int,
        receivers: abc.Iterable[str],
    ) -> list[effects.Effect]:
        report = nodes.make_report(self._datacentre, held, 0, now)
        return [
            effects.Send(
                receiver,
                report.replace(echo=self._read_timestamp(receiver)),
            )
            for receiver in receivers
        ]

    def _read_timestamp(self, control: str) -> int:
        status = self._statuses.get(control)
        return status.timestamp if status else 0
