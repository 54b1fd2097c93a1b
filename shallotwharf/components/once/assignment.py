"""Assignment of holder groups by the leading control process."""

import typing

from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.membership import messages as membership_messages
from shallotwharf.components.once import const, holder_messages, placement
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import version
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

Effects: typing.TypeAlias = list[effects.Effect]
Groups: typing.TypeAlias = tuple[version.HolderGroup, ...]

_TICK: typing.Final = 'tick'


class _Report:
    """The last report of a holder and when it was received."""

    __slots__ = ('slots', 'fresh', 'received_at')

    def __init__(
        self, report: holder_messages.HolderReport, received_at: int
    ) -> None:
        self.slots = {slot.group: slot for slot in report.slots}
        self.fresh = report.fresh
        self.received_at = received_at


class HolderAssignment(aggregate.Aggregate):
    """Proposes holder groups while this process leads.

    A member that was unresponsive for `REPLACE_AFTER_MS` is replaced if both
    others are settled and have sealed their epoch, and if the group has not
    changed for the lifetime of records. A group that lost two members at once
    keeps them until one returns, because the two may still grant claims on
    the other side of a partition.

    Args:
        wall_offset: wall time less monotonic time at the start, in ms.
        size: number of nodes in a group; 1 for a cluster of a single node.
        stable_ms: how long the set of live nodes must stay unchanged before
            the first assignment, so that nodes still starting are included.
    """

    name = 'once.assignment'
    handlers = {
        core_messages.TimerFired: 'tick',
        replica_messages.LeaderChanged: 'change_leader',
        tables_messages.VersionAccepted: 'accept_version',
        membership_messages.LiveNodes: 'accept_nodes',
        holder_messages.HolderReport: 'accept_report',
    }

    __slots__ = (
        '_wall_offset',
        '_size',
        '_stable_ms',
        '_leading',
        '_leading_since',
        '_groups',
        '_changed_at',
        '_nodes',
        '_nodes_changed_at',
        '_reports',
        '_proposed',
    )

    def __init__(
        self,
        wall_offset: int,
        size: int = const.GROUP_SIZE,
        stable_ms: int = const.FIRST_ASSIGNMENT_STABLE_MS,
    ) -> None:
        self._wall_offset = wall_offset
        self._size = size
        self._stable_ms = stable_ms
        self._nodes_changed_at = 0
        self._leading = False
        self._leading_since = 0
        self._groups: Groups = ()
        self._changed_at: dict[str, int] = {}
        self._nodes: dict[str, membership_messages.Member] = {}
        self._reports: dict[str, _Report] = {}
        # Groups proposed at the last tick. The next tick proposes nothing, so
        # that the log has time to commit them.
        self._proposed: Groups = ()

    def start(self, _now: int) -> Effects:
        """Return no effects: the timer starts when this process leads."""
        return []

    def change_leader(
        self,
        message: replica_messages.LeaderChanged,
        _sender: str,
        now: int,
    ) -> Effects:
        """Start or stop the assignment of groups."""
        if message.leading == self._leading:
            return []
        self._leading = message.leading
        self._leading_since = now
        self._proposed = ()
        if not self._leading:
            return [effects.CancelTimer(_TICK)]
        return [effects.SetTimer(_TICK, now + const.FIRST_TICK_MS)]

    def accept_version(
        self,
        message: tables_messages.VersionAccepted,
        _sender: str,
        now: int,
    ) -> Effects:
        """Store the committed groups and when each one changed."""
        epochs = {group.name: group.epoch for group in self._groups}
        self._groups = message.accepted.holders
        self._proposed = ()
        for group in self._groups:
            if epochs.get(group.name) != group.epoch:
                self._changed_at[group.name] = now
        return []

    def accept_nodes(
        self,
        message: membership_messages.LiveNodes,
        _sender: str,
        now: int,
    ) -> Effects:
        """Store the live nodes."""
        self._nodes_changed_at = now
        self._nodes = {member.name: member for member in message.members}
        return []

    def accept_report(
        self,
        message: holder_messages.HolderReport,
        sender: str,
        now: int,
    ) -> Effects:
        """Store the report of a holder."""
        self._reports[sender] = _Report(message, now)
        return []

    def tick(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> Effects:
        """Propose new groups if a change is needed."""
        if not self._leading:
            return []
        step: Effects = [effects.SetTimer(_TICK, now + const.ASSIGN_PERIOD_MS)]
        if self._proposed:
            self._proposed = ()
            return step
        proposed = self._plan(now)
        if proposed != self._groups:
            self._proposed = proposed
            command = ledger_messages.AssignHolders(
                proposed,
                now + self._wall_offset,
            )
            step.append(effects.Publish(replica_messages.Propose('', command)))
        return step

    def _plan(self, now: int) -> Groups:
        if not self._groups:
            return self._plan_first(now)
        candidates = placement.Candidates(self._nodes.values(), self._groups)
        planned = tuple(
            self._plan_group(group, candidates, now) for group in self._groups
        )
        if planned == self._groups:
            return self._plan_improvement(candidates, now)
        return planned

    def _plan_improvement(
        self,
        candidates: placement.Candidates,
        now: int,
    ) -> Groups:
        """Plan to replace one member of one group whose members are all live.

        All of them must be settled as well.
        """
        for number, group in enumerate(self._groups):
            names = {member.name for member in group.members}
            if names <= set(self._nodes) and self._may_change(group, '', now):
                improved = candidates.improve(group)
                if improved != group:
                    before = self._groups[:number]
                    return (*before, improved, *self._groups[number + 1 :])
        return self._groups

    def _plan_first(self, now: int) -> Groups:
        """Plan the first groups, from nodes that never had groups if possible.

        Such fresh nodes grant claims at once instead of abstaining for the
        lifetime of records.
        """
        fresh = [
            member
            for name, member in self._nodes.items()
            if name in self._reports and self._reports[name].fresh
        ]
        waited_ms = now - max(self._leading_since, self._nodes_changed_at)
        all_fresh = len(fresh) == len(self._nodes)
        needed_ms = (
            self._stable_ms if all_fresh else const.FIRST_ASSIGNMENT_WAIT_MS
        )
        if waited_ms < needed_ms:
            return ()
        if len(fresh) >= self._size:
            return placement.place_first_groups(fresh, size=self._size)
        return placement.place_first_groups(
            self._nodes.values(), size=self._size
        )

    def _plan_group(
        self,
        group: version.HolderGroup,
        candidates: placement.Candidates,
        now: int,
    ) -> version.HolderGroup:
        names = [member.name for member in group.members]
        missing = [name for name in names if self._is_missing(name, now)]
        if len(missing) != 1 or not self._may_change(group, missing[0], now):
            return group
        rest = tuple(
            member for member in group.members if member.name != missing[0]
        )
        remaining = [member.name for member in rest]
        chosen = candidates.choose(
            group.name,
            candidates.find_region(remaining),
            remaining,
            missing,
        )
        if chosen is None:
            return group
        return group.replace(
            members=(*rest, chosen),
            epoch=group.epoch + 1,
        )

    def _is_missing(self, name: str, now: int) -> bool:
        report = self._reports.get(name)
        last_received_at = self._leading_since
        if report is not None:
            last_received_at = max(last_received_at, report.received_at)
        return (
            name not in self._nodes
            and now - last_received_at >= const.REPLACE_AFTER_MS
        )

    def _may_change(
        self,
        group: version.HolderGroup,
        missing: str,
        now: int,
    ) -> bool:
        changed_at = max(
            self._changed_at.get(group.name, 0),
            self._leading_since,
        )
        if now - changed_at < const.RECORD_LIFETIME_MS:
            return False
        return all(
            self._is_settled(member.name, group, now)
            for member in group.members
            if member.name != missing
        )

    def _is_settled(
        self,
        name: str,
        group: version.HolderGroup,
        now: int,
    ) -> bool:
        report = self._reports.get(name)
        if report is None or now - report.received_at > const.MAX_REPORT_AGE_MS:
            return False
        slot = report.slots.get(group.name)
        return (
            slot is not None
            and slot.epoch == group.epoch
            and slot.settled
            and slot.sealed
        )
