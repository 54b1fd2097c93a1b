"""Wiring of the aggregates that decide on calls."""

import typing
import uuid

from shallotwharf.components.call import budget, router
from shallotwharf.components.membership import messages as member_messages
from shallotwharf.components.move import watcher
from shallotwharf.components.poison import poison
from shallotwharf.components.upstream import const as upstream_const
from shallotwharf.components.upstream import gate
from shallotwharf.components.upstream import settings as gate_settings
from shallotwharf.roles import process
from shallotwharf.roles.node import observer, poison_list, tenancy

_DEFAULT_LIMITS: typing.Final = gate_settings.GateSettings()


class CallPath:
    """Call router, gate, watcher of moves and poison list of a node."""

    __slots__ = ('router', 'gate', 'watcher', 'poison_list')

    def __init__(
        self,
        member: member_messages.Member,
        control: tuple[str, ...],
        runtime: process.Runtime,
        started_at: int,
        retries: budget.Limits | None = None,
        limits: gate_settings.GateSettings = _DEFAULT_LIMITS,
        tenants: tenancy.Tenancy | None = None,
    ) -> None:
        """Create the aggregates; none is started.

        Args:
            member: this node.
            control: names of the control processes known at the start.
            runtime: adapters and dispatcher of the process.
            started_at: start time, in milliseconds since the epoch.
            retries: limits of retries; None for the defaults.
            limits: settings of the gate.
            tenants: quotas and trust in keys; None for no limits.
        """
        self.watcher = watcher.Watcher(
            member.name,
            member.datacentre,
            control,
            started_at,
        )
        self.poison_list = poison.PoisonList(member.name, uuid.uuid4().hex[:8])
        self.gate = gate.Gate(
            member,
            limits.replace(learn_ms=upstream_const.LEARN_MS),
            poison_list.SharedPoisonList(self.poison_list),
            started_at,
        )
        self.router = router.CallRouter(
            member,
            uuid.uuid4().hex[:8],
            runtime.random,
            observer.EvidenceObserver(self.watcher),
            retries,
            self.gate.count_spare_slots,
            tenants.quotas if tenants else None,
            tenants.key_trust if tenants else None,
            self.gate.count_running,
        )
