"""Link addresses of control processes, taken from what others tell."""

import typing

from shallotwharf.adapters import links
from shallotwharf.components.replica import messages as replica
from shallotwharf.components.roster import messages as roster
from shallotwharf.core import aggregate, effects, locations
from shallotwharf.roles.settings import seeded


class ControlAddressBook(aggregate.Aggregate):
    """Sets the addresses of control processes in the links."""

    __slots__ = ('_links',)

    name = 'control_addresses'
    handlers: typing.ClassVar = {
        roster.ControlChanged: 'set_addresses',
        roster.SeedsChanged: 'set_seeds',
        replica.MembersFound: 'set_members',
    }

    def __init__(self, process_links: links.WebsocketLinks) -> None:
        self._links = process_links

    def start(self, now: int) -> list[effects.Effect]:
        """Return no effects: the roster arrives in an event."""
        return []

    def set_addresses(
        self,
        message: roster.ControlChanged,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Set the addresses of all control processes of a roster."""
        for known in message.roster.processes:
            self._set_address(known.name, known.location)
        return []

    def set_seeds(
        self,
        message: roster.SeedsChanged,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Set the addresses of the seeds of changed settings."""
        for seed in message.seeds:
            self._set_address(seed.name, seed.location)
        return []

    def set_members(
        self,
        message: replica.MembersFound,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Set the addresses of members that other processes named."""
        for member in message.members:
            self._set_address(member.name, member.location)
        return []

    def _set_address(self, name: str, location: locations.Location) -> None:
        if location.host:
            self._links.set_address(name, location.host, location.link_port)


def set_seeds(
    process_links: links.WebsocketLinks,
    seeds: tuple[locations.Location, ...],
) -> None:
    """Set the addresses of the seeds, which are known before any roster."""
    for seed in seeds:
        process_links.set_address(
            seeded.build_process_name(seed.host),
            seed.host,
            seed.link_port,
        )
