"""Choice of the nodes of holder groups.

A group lies in one region, in different data centres as far as the region has
them, so that a claim from the same region waits for no link between regions
and the loss of one data centre leaves a majority. The trade-off: a region that
is cut off keeps its own groups and reaches no others, and a region that is
lost takes its groups with it. Calls whose keys belong to those are refused
meanwhile.
"""

import statistics
from collections import abc

from shallotwharf.components.membership import messages as membership_messages
from shallotwharf.components.once import const
from shallotwharf.components.tables import version
from shallotwharf.core import rendezvous


class Candidates:
    """Live nodes, and in how many groups each is.

    Args:
        members: live nodes.
        groups: groups that there are.
    """

    __slots__ = ('_members', '_seats')

    def __init__(
        self,
        members: abc.Iterable[membership_messages.Member],
        groups: abc.Iterable[version.HolderGroup] = (),
    ) -> None:
        self._members = {member.name: member for member in members}
        self._seats = dict.fromkeys(self._members, 0)
        for group in groups:
            for holder in group.members:
                self._seats[holder.name] = self._seats.get(holder.name, 0) + 1

    def list_regions(self) -> list[str]:
        """Return the regions of all nodes."""
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
        """Return a node for a group that has the nodes `taken`.

        It is in the region and in a data centre of its own if possible; of
        those it is one in the fewest groups.
        """
        ranked = rendezvous.rank_members(
            group,
            set(self._members) - set(taken) - set(excluded),
        )
        if not ranked:
            return None
        name = min(
            ranked,
            key=lambda candidate: self._rate(candidate, region, taken),
        )
        self._seats[name] += 1
        member = self._members[name]
        return version.Holder(name, member.host, member.link_port)

    def improve(self, group: version.HolderGroup) -> version.HolderGroup:
        """Return the group with one member in a better place, if any.

        Better is a data centre of its own, or a node that stays in at least
        two groups fewer. The region of a group does not change.
        """
        for holder in group.members:
            rest = tuple(member for member in group.members if member != holder)
            taken = [member.name for member in rest]
            region = self.find_region(taken)
            chosen = self.choose(group.name, region, taken, [holder.name])
            if chosen is None:
                continue
            self._seats[chosen.name] -= 1
            before = self._rate(holder.name, region, taken)
            after = self._rate(chosen.name, region, taken)
            if (*after[:2], after[2] + 2) <= before:
                self._seats[chosen.name] += 1
                return group.replace(
                    members=(*rest, chosen),
                    epoch=group.epoch + 1,
                )
        return group

    def _rate(
        self,
        name: str,
        region: str,
        taken: abc.Collection[str],
    ) -> tuple[bool, bool, int]:
        """Return how bad a node is beside those taken; the least is best."""
        member = self._members[name]
        shared = any(
            other in self._members
            and self._members[other].datacentre == member.datacentre
            for other in taken
        )
        return (member.region != region, shared, self._seats[name])


def place_first(
    members: abc.Iterable[membership_messages.Member],
    group_count: int = const.GROUPS,
    size: int = const.GROUP_SIZE,
) -> tuple[version.HolderGroup, ...]:
    """Return the first groups of a cluster; empty with too few nodes."""
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
