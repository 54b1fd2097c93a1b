"""Link addresses of control processes, taken from the roster."""

import typing

from shallotwharf.adapters import links
from shallotwharf.components.roster import messages as roster
from shallotwharf.core import aggregate, effects, locations
from shallotwharf.roles.settings import seeded


class ControlAddressBook(aggregate.Aggregate):
    """Sets the addresses of control processes in the links."""

    __slots__ = ('_links',)

    name = 'control_addresses'
    handlers: typing.ClassVar = {roster.ControlChanged: 'set_addresses'}

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
            if known.location.host:
                self._links.set_address(
                    known.name,
                    known.location.host,
                    known.location.link_port,
                )
        return []


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
