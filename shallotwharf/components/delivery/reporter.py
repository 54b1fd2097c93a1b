"""Reports of a relay to control, and the versions control has recorded."""

import random as random_module
from collections import abc

from shallotwharf.components.delivery import census, const, messages
from shallotwharf.core import effects


class Reporter:
    """Sends reports to every control process.

    A change is reported at once, but at most every
    `const.REPORT_SPACING_MS`. Without a change a report is sent as a heartbeat
    at least every `const.REPORT_BEAT_MS`.

    Nodes may apply a version only after the control process of the local data
    centre has recorded that a relay holds it, so that this process can state
    a floor if the data centre is partitioned off and restarted. The relay does
    not wait for it if it sends nothing for `const.SILENCE_MS`.
    """

    __slots__ = (
        '_datacentre',
        '_random',
        '_control',
        '_local',
        '_statuses',
        '_local_heard_at',
        '_reported',
        '_sent_at',
        '_beat_at',
        '_local_at',
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
        self._local = local[0] if local else ''
        self._statuses: dict[str, messages.FeedStatus] = {}
        self._local_heard_at = 0
        self._reported = -1
        self._sent_at = 0
        self._beat_at = 0
        self._local_at = 0

    def start(self, now: int) -> None:
        """Start reporting; the local control process counts as responsive."""
        self._local_heard_at = now
        self._reported = -1
        self._sent_at = now - const.REPORT_SPACING_MS
        self._beat_at = now
        self._local_at = now

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
            self._reported = -1
        elif known.incarnation == status.incarnation:
            if status.stamp < known.stamp:
                return False
        self._statuses[sender] = status
        if sender == self._local:
            self._local_heard_at = now
        return True

    def limit_claim(self, held: int, now: int) -> int:
        """Return the highest version that nodes may count as held here."""
        if not self._local:
            return held
        if now - self._local_heard_at >= const.SILENCE_MS:
            return held
        status = self._statuses.get(self._local)
        return min(held, status.noted if status else 0)

    def report(
        self,
        nodes: census.Census,
        held: int,
        now: int,
    ) -> list[effects.Effect]:
        """Return the reports that are due."""
        changed = nodes.changed or self._reported != held
        spaced = now - self._sent_at >= const.REPORT_SPACING_MS
        if now >= self._beat_at or (changed and spaced):
            self._sent_at = now
            self._beat_at = now + self._random.randint(
                const.REPORT_BEAT_MS // 2,
                const.REPORT_BEAT_MS,
            )
            self._reported = held
            nodes.changed = False
            return self._make_reports(nodes, held, now, self._list_control())
        if self.limit_claim(held, now) < held and now >= self._local_at:
            # Nodes cannot apply the version before this report arrives.
            self._local_at = now + const.NODE_RETRY_MS
            return self._make_reports(nodes, held, now, [self._local])
        return []

    def _list_control(self) -> list[str]:
        return [process.name for process in self._control]

    def _make_reports(
        self,
        nodes: census.Census,
        held: int,
        now: int,
        receivers: abc.Iterable[str],
    ) -> list[effects.Effect]:
        report = nodes.make_report(self._datacentre, held, 0, now)
        return [
            effects.Send(
                receiver,
                report.replace(echo=self._read_stamp(receiver)),
            )
            for receiver in receivers
        ]

    def _read_stamp(self, control: str) -> int:
        status = self._statuses.get(control)
        return status.stamp if status else 0
