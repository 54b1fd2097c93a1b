"""Where control processes listen, from the roster."""

import typing

from shallotwharf.adapters import links
from shallotwharf.components.roster import messages as roster
from shallotwharf.core import aggregate, effects, locations
from shallotwharf.roles.settings import seeded


class ControlBook(aggregate.Aggregate):
    """Gives the links the addresses of control processes."""

    __slots__ = ('_links',)

    name = 'control_addresses'
    handlers: typing.ClassVar = {roster.ControlChanged: 'learn'}

    def __init__(self, process_links: links.WebsocketLinks) -> None:
        self._links = process_links

    def start(self, now: int) -> list[effects.Effect]:
        """Wait for the roster."""
        return []

    def learn(
        self,
        message: roster.ControlChanged,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Learn the addresses of all control processes."""
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
    """Give the links the addresses of the control processes known at first."""
    for seed in seeds:
        process_links.set_address(
            seeded.name_process(seed.host),
            seed.host,
            seed.link_port,
        )
