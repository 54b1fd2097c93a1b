"""Commands and reads that a control process offers to operators."""

import typing

from shallotwharf.components.ledger import answers, evacuations, ledger
from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.replica import replica
from shallotwharf.components.roster import messages as roster
from shallotwharf.components.tables import version
from shallotwharf.core import aggregate, effects, locations, messages
from shallotwharf.roles import process
from shallotwharf.roles.control import proposals


class KnownRoster(aggregate.Aggregate):
    """Stores the latest roster, which has the address of the leader."""

    __slots__ = ('current',)

    name = 'known_roster'
    handlers: typing.ClassVar = {roster.ControlChanged: 'update_roster'}

    def __init__(self) -> None:
        self.current = roster.Roster(0, ())

    def start(self, now: int) -> list[effects.Effect]:
        """Return no effects: the roster arrives in an event."""
        return []

    def update_roster(
        self,
        message: roster.ControlChanged,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Replace the stored roster."""
        self.current = message.roster
        return []


class Operations:
    """Commands and reads of operators.

    Only the leader answers reads, and only while it holds its lease, so that
    a read never misses a command that was acknowledged before it.
    """

    __slots__ = ('_runtime', '_replica', '_ledger', '_roster')

    def __init__(
        self,
        runtime: process.Runtime,
        control_replica: replica.Replica,
        control_ledger: ledger.Ledger,
        known_roster: KnownRoster,
    ) -> None:
        self._runtime = runtime
        self._replica = control_replica
        self._ledger = control_ledger
        self._roster = known_roster

    def read_wall(self) -> int:
        """Return the time for commands, in milliseconds since the epoch."""
        return self._runtime.clock.read_wall()

    def is_leading(self) -> bool:
        """Return whether this process may answer reads."""
        return self._replica.is_leading(self._runtime.clock.read())

    def find_leader(self) -> locations.Location | None:
        """Return the leader's location; None if unknown or this process."""
        leader = self._replica.read_status().leader
        if leader == self._runtime.name:
            return None
        for known in self._roster.current.processes:
            if known.name == leader:
                return known.location
        return None

    def read_document(self) -> bytes:
        """Return the latest revision as the operator sent it; empty if none."""
        return self._ledger.orders.document

    def list_moves(self, service: str) -> tuple[version.Move, ...]:
        """Return the moves of the pools of a service."""
        current = self._ledger.current
        pools = {
            row.name for row in current.tables.pools if row.service == service
        }
        return tuple(move for move in current.moves if move.pool in pools)

    def list_evacuations(self) -> tuple[evacuations.Evacuation, ...]:
        """Return the evacuated data centres, sorted by name."""
        return self._ledger.evacuations.list_rows()

    async def async_submit(
        self,
        command: ledger_messages.Command,
    ) -> messages.Message:
        """Propose a command; the outcomes are those of `async_propose`.

        A command whose answer is known is not proposed: operators send an order
        again whose answer was lost, and it would be replicated whole.
        """
        if not self.is_leading():
            leader = self._replica.read_status().leader
            return replica_messages.NotLeader(leader)
        answered = answers.find_known(
            self._ledger.orders, self._ledger.current, command
        )
        if answered is not None:
            return answered
        compacted = self._ledger.compact(command)
        return await proposals.async_propose(self._runtime, compacted)

    def render_counters(self) -> str:
        """Return all counters as text."""
        return self._runtime.counters.render()
