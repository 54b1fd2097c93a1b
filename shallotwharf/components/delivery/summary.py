"""Where a version is in force, from the reports of the relays."""

from collections import abc

from shallotwharf.components.delivery import const, messages
from shallotwharf.core import records


class DatacentreSummary(records.Record):
    """On how many nodes of a data centre a version is in force.

    Attributes:
        datacentre: name of the data centre.
        known: whether a relay reported recently. Otherwise the counts are
            those of the last report, or 0 if there was none.
        members: number of live nodes.
        in_force: number of nodes on which the version or a newer one is
            active.
        lacking: nodes without it, with their reasons. The list may be
            incomplete; the counts are not.
        age_ms: upper bound of the age of the counts; -1 if there was no
            report.
    """

    __slots__ = (
        'datacentre',
        'known',
        'members',
        'in_force',
        'lacking',
        'age_ms',
    )

    def __init__(
        self,
        datacentre: str,
        known: bool,
        members: int,
        in_force: int,
        lacking: tuple[messages.NodeStatus, ...],
        age_ms: int,
    ) -> None:
        self.datacentre = datacentre
        self.known = known
        self.members = members
        self.in_force = in_force
        self.lacking = lacking
        self.age_ms = age_ms


class Summary(records.Record):
    """Whether a version is in force everywhere.

    Attributes:
        number: number of the version.
        everywhere: whether the version or a newer one was active on each
            live node of each data centre at some time within the last
            `age_ms`. A node counts once the membership has detected it.
        datacentres: one entry for each data centre, ordered by name.
        age_ms: highest age of all data centres; -1 if any has no report.
    """

    __slots__ = ('number', 'everywhere', 'datacentres', 'age_ms')

    def __init__(
        self,
        number: int,
        everywhere: bool,
        datacentres: tuple[DatacentreSummary, ...],
        age_ms: int,
    ) -> None:
        self.number = number
        self.everywhere = everywhere
        self.datacentres = datacentres
        self.age_ms = age_ms


class _Report:
    __slots__ = ('content', 'measured_at', 'received_at')

    def __init__(
        self,
        content: messages.DatacentreReport,
        received_at: int,
    ) -> None:
        self.content = content
        self.measured_at = content.echo - content.age_ms
        self.received_at = received_at


class Reports:
    """The last report of each relay, by data centre.

    The reports of the relays of a data centre may differ for a while. The
    least favourable of them counts.
    """

    __slots__ = ('_datacentres', '_held')

    def __init__(self, datacentres: abc.Iterable[str]) -> None:
        self._datacentres: dict[str, dict[str, _Report]] = {
            name: {} for name in datacentres
        }
        self._held: dict[str, int] = {}

    def receive(
        self,
        relay: str,
        report: messages.DatacentreReport,
        now: int,
    ) -> None:
        """Store a report unless a later one of the relay is known.

        The age of a report is counted from the timestamp that it returns,
        which was issued before the report was sent, so that a delayed report
        does not look new. A report without a timestamp is of unknown age and
        is not stored.
        """
        self._held[report.datacentre] = max(
            self.find_held(report.datacentre),
            report.held,
        )
        if not 0 < report.echo <= now:
            return
        relays = self._datacentres.setdefault(report.datacentre, {})
        known = relays.get(relay)
        if known is None or known.content.echo <= report.echo:
            relays[relay] = _Report(report, now)
        _drop_unresponsive(relays, now)

    def find_held(self, datacentre: str) -> int:
        """Return the highest version that a relay has ever reported as held."""
        return self._held.get(datacentre, 0)

    def summarize(self, number: int, now: int) -> Summary:
        """Return where a version is in force."""
        parts = tuple(
            self._summarize_datacentre(name, number, now)
            for name in sorted(self._datacentres)
        )
        everywhere = all(
            part.known and part.in_force == part.members for part in parts
        )
        ages = [part.age_ms for part in parts]
        return Summary(
            number,
            everywhere and bool(parts),
            parts,
            -1 if -1 in ages else max(ages, default=-1),
        )

    def _summarize_datacentre(
        self,
        name: str,
        number: int,
        now: int,
    ) -> DatacentreSummary:
        reports = list(self._datacentres[name].values())
        if not reports:
            return DatacentreSummary(name, False, 0, 0, (), -1)
        fresh = [report for report in reports if _is_fresh(report, now)]
        counted = fresh or [max(reports, key=lambda last: last.measured_at)]
        worst = min(counted, key=lambda report: _rank_report(report, number))
        in_force = _count_in_force(worst, number)
        return DatacentreSummary(
            name,
            bool(fresh),
            _count_members(worst),
            in_force,
            _list_lacking(worst, number),
            now - min(report.measured_at for report in counted),
        )


def _drop_unresponsive(relays: dict[str, _Report], now: int) -> None:
    """Drop reports of relays that missed heartbeats while others report."""
    for relay, report in list(relays.items()):
        if now - report.received_at > const.RELAY_TIMEOUT_MS:
            relays.pop(relay)


def _is_fresh(report: _Report, now: int) -> bool:
    return now - report.measured_at < const.REPORT_EXPIRY_MS


def _rank_report(report: _Report, number: int) -> tuple[int, int]:
    in_force = _count_in_force(report, number)
    return in_force - _count_members(report), in_force


def _count_members(report: _Report) -> int:
    return sum(count.members for count in report.content.actives)


def _count_in_force(report: _Report, number: int) -> int:
    return sum(
        count.members
        for count in report.content.actives
        if count.number >= number
    )


def _list_lacking(
    report: _Report,
    number: int,
) -> tuple[messages.NodeStatus, ...]:
    return tuple(
        status for status in report.content.lagging if status.active < number
    )
