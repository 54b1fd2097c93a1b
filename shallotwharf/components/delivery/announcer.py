"""Messages of a relay to the nodes of its data centre and to control."""

import random as random_module
from collections import abc

from shallotwharf.components.delivery import (
    exchange,
    group,
    member_states,
    messages,
    reporter,
)
from shallotwharf.core import effects


class Announcer:
    """Sends claims to the nodes, and reports on the nodes to control.

    Attributes:
        nodes: states of the nodes of the data centre.
        reports: sender of the reports to control.
    """

    __slots__ = ('nodes', 'reports', '_announced')

    def __init__(
        self,
        datacentre: str,
        control: abc.Iterable[messages.ControlProcess],
        random: random_module.Random,
    ) -> None:
        self.nodes = member_states.MemberStates()
        self.reports = reporter.Reporter(datacentre, control, random)
        self._announced: exchange.RelayHolds | None = None

    def announce(
        self,
        held: int,
        relays: group.Group,
        now: int,
    ) -> list[effects.Effect]:
        """Send reports that are due, and the claim to nodes if it changed."""
        step = self.reports.report(self.nodes, held, now)
        claim = self.make_claim(held, relays, now)
        content = claim.replace(timestamp=0)
        if content != self._announced:
            self._announced = content
            step.extend(
                effects.Send(member, claim)
                for member in self.nodes.list_members()
            )
        return step

    def make_claim(
        self,
        held: int,
        relays: group.Group,
        now: int,
    ) -> exchange.RelayHolds:
        """Return which version nodes may count as held here.

        Raises the floor to the claimed version.
        """
        if not relays.floor_valid:
            return exchange.RelayHolds(held, 0, b'', 0, now)
        claimed = self.reports.limit_claim(held, now)
        relays.raise_floor(claimed)
        return exchange.RelayHolds(
            held,
            claimed,
            relays.epoch,
            len(relays.names),
            now,
        )
