"""Placement of holder groups on nodes.

All members of a group are in one region, and in different data centres if the
region has enough of them. A claim from the same region then waits for no link
between regions, and the loss of one data centre leaves a majority. The
trade-off is that a partitioned region reaches only the groups inside it, and
that the groups of a lost region are unavailable. Calls whose keys map to an
unreachable group are refused.
"""

import statistics
from collections import abc

from shallotwharf.components.membership import messages as membership_messages
from shallotwharf.components.once import const
from shallotwharf.components.tables import version
from shallotwharf.core import rendezvous


class Candidates:
    """Live nodes and the number of groups of each.

    Args:
        members: live nodes.
        groups: existing groups.
    """

    __slots__ = ('_members', '_group_counts')

    def __init__(
        self,
        members: abc.Iterable[membership_messages.Member],
        groups: abc.Iterable[version.HolderGroup] = (),
    ) -> None:
        self._members = {member.name: member for member in members}
        self._group_counts = dict.fromkeys(self._members, 0)
        for group in groups:
            for holder in group.members:
                self._group_counts[holder.name] = (
                    self._group_counts.get(holder.name, 0) + 1
                )

    def list_regions(self) -> list[str]:
        """Return the regions of all nodes in alphabetical order."""
        return sorted({member.region for member in self._members.values()})

    def find_region(self, names: abc.Iterable[str]) -> str:
        """Return the region of most of the named nodes; empty if unknown."""
        regions = [
            self._members[name].region
            for name in names
            if name in self._members
        ]
        return statistics.mode(regions) if regions else ''

    def choose(
        self,
        group: str,
        region: str,
        taken: abc.Collection[str],
        excluded: abc.Collection[str] = (),
    ) -> version.Holder | None:
        """Return a node for a group that already has the nodes `taken`.

        Prefers nodes in the region, then nodes in a data centre without a
        member of the group, then nodes in the fewest groups. Returns None if no
        node is left.
        """
        ranked = rendezvous.rank_members(
            group,
            set(self._members) - set(taken) - set(excluded),
        )
        if not ranked:
            return None
        name = min(
            ranked,
            key=lambda candidate: self._compute_cost(candidate, region, taken),
        )
        self._group_counts[name] += 1
        member = self._members[name]
        return version.Holder(name, member.host, member.link_port)

    def improve(self, group: version.HolderGroup) -> version.HolderGroup:
        """Return the group with one member moved to a better node, if any.

        A node is better if it is in a data centre without another member, or
        in fewer groups by at least two. The group stays in the region of its
        other members, and a member outside of it is moved there.
        """
        for holder in group.members:
            rest = tuple(member for member in group.members if member != holder)
            taken = [member.name for member in rest]
            region = self.find_region(taken)
            chosen = self.choose(group.name, region, taken, [holder.name])
            if chosen is None:
                continue
            self._group_counts[chosen.name] -= 1
            before = self._compute_cost(holder.name, region, taken)
            after = self._compute_cost(chosen.name, region, taken)
            if (*after[:2], after[2] + 2) <= before:
                self._group_counts[chosen.name] += 1
                return group.replace(
                    members=(*rest, chosen),
                    epoch=group.epoch + 1,
                )
        return group

    def _compute_cost(
        self,
        name: str,
        region: str,
        taken: abc.Collection[str],
    ) -> tuple[bool, bool, int]:
        """Return the cost of a node beside those taken; the lowest is best."""
        member = self._members[name]
        shared = any(
            other in self._members
            and self._members[other].datacentre == member.datacentre
            for other in taken
        )
        return (member.region != region, shared, self._group_counts[name])


def place_first_groups(
    members: abc.Iterable[membership_messages.Member],
    group_count: int = const.GROUP_COUNT,
    size: int = const.GROUP_SIZE,
) -> tuple[version.HolderGroup, ...]:
    """Return the first groups of a cluster; empty if nodes are too few."""
    candidates = Candidates(members)
    regions = candidates.list_regions()
    groups: list[version.HolderGroup] = []
    for number in range(group_count if regions else 0):
        name = f'group-{number:02}'
        holders: list[version.Holder] = []
        for _ in range(size):
            chosen = candidates.choose(
                name,
                regions[number % len(regions)],
                [holder.name for holder in holders],
            )
            if chosen is None:
                return ()
            holders.append(chosen)
        groups.append(version.HolderGroup(name, tuple(holders)))
    return tuple(groups)
