"""Processes that may know the group, and where they are reached."""

from collections import abc

from shallotwharf.components.replica import configuration, const


class Contacts:
    """Names of processes to probe: seeds, senders, and members from replies.

    The seeds need not include the leader, and may be down, cut off or
    replaced. Each member that answers therefore names all others with their
    locations.
    """

    __slots__ = ('_names', '_members')

    def __init__(self, seeds: abc.Iterable[str]) -> None:
        self._names = set(seeds)
        # Members from replies by name, the latest last.
        self._members: dict[str, configuration.Member] = {}

    def add(self, name: str) -> None:
        """Add a process whose address is known."""
        self._names.add(name)

    def learn(
        self,
        members: tuple[configuration.Member, ...],
    ) -> tuple[configuration.Member, ...]:
        """Add members from a reply; return those that are new or have moved."""
        found = tuple(
            member
            for member in members
            if member.location.host and not self._has_location(member)
        )
        for member in found:
            self._members.pop(member.name, None)
            self._members[member.name] = member
        while len(self._members) > const.MAX_CONTACTS:
            self._members.pop(next(iter(self._members)))
        return found

    def list_names(self) -> set[str]:
        """Return the names of all processes to probe."""
        return self._names | self._members.keys()

    def list_members(self) -> tuple[configuration.Member, ...]:
        """Return the members that replies have named."""
        return tuple(self._members.values())

    def _has_location(self, member: configuration.Member) -> bool:
        known = self._members.get(member.name)
        return known is not None and known.location == member.location
