"""The aggregates that decide on calls, wired to each other."""

import uuid

from shallotwharf.components.call import budget, router
from shallotwharf.components.membership import messages as member_messages
from shallotwharf.components.move import watcher
from shallotwharf.components.poison import poison
from shallotwharf.components.upstream import gate
from shallotwharf.components.upstream import settings as gate_settings
from shallotwharf.roles import process
from shallotwharf.roles.node import observer, refusals


class CallPath:
    """Router and gate, the watcher of moves and the list of poison requests."""

    __slots__ = ('router', 'gate', 'watcher', 'poison_list')

    def __init__(
        self,
        member: member_messages.Member,
        control: tuple[str, ...],
        frame: process.Frame,
        started_at: int,
        retries: budget.Limits | None = None,
    ) -> None:
        """Create the aggregates; none is started.

        Args:
            member: the node.
            control: names of the control processes that are known at first.
            frame: of the process.
            started_at: wall time of the start.
            retries: limits of retries; those of the product by default.
        """
        self.watcher = watcher.Watcher(
            member.name,
            member.datacentre,
            control,
            started_at,
        )
        self.poison_list = poison.PoisonList(member.name, started_at)
        self.gate = gate.Gate(
            member,
            gate_settings.GateSettings(),
            refusals.ListedRequests(self.poison_list),
            started_at,
        )
        self.router = router.CallRouter(
            member,
            uuid.uuid4().hex[:8],
            frame.random,
            observer.WatchingObserver(self.watcher),
            retries,
            self.gate.count_spare_slots,
        )
