"""What a front end for operators may ask of a control process."""

import typing

from shallotwharf.components.ledger import ledger
from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.replica import replica
from shallotwharf.components.roster import messages as roster
from shallotwharf.components.tables import version
from shallotwharf.core import aggregate, effects, locations, messages
from shallotwharf.roles import process
from shallotwharf.roles.control import proposals


class KnownRoster(aggregate.Aggregate):
    """Keeps the roster, to tell where the leader is."""

    __slots__ = ('current',)

    name = 'known_roster'
    handlers: typing.ClassVar = {roster.ControlChanged: 'learn'}

    def __init__(self) -> None:
        self.current = roster.Roster(0, ())

    def start(self, now: int) -> list[effects.Effect]:
        """Wait for the roster."""
        return []

    def learn(
        self,
        message: roster.ControlChanged,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Take over a roster."""
        self.current = message.roster
        return []


class Operations:
    """Orders and reads of operators.

    Reads are answered by the leader alone, while it holds its lease, so that
    they are never older than an acknowledged order.
    """

    __slots__ = ('_frame', '_replica', '_ledger', '_roster')

    def __init__(
        self,
        frame: process.Frame,
        control_replica: replica.Replica,
        control_ledger: ledger.Ledger,
        known_roster: KnownRoster,
    ) -> None:
        self._frame = frame
        self._replica = control_replica
        self._ledger = control_ledger
        self._roster = known_roster

    def read_wall(self) -> int:
        """Return milliseconds since the Unix epoch, for commands."""
        return self._frame.clock.read_wall()

    def is_leading(self) -> bool:
        """Tell whether this process may answer reads."""
        return self._replica.is_leading(self._frame.clock.read())

    def find_leader(self) -> locations.Location | None:
        """Return where the leader is; none if it is unknown or this one."""
        leader = self._replica.read_status().leader
        if leader == self._frame.name:
            return None
        for known in self._roster.current.processes:
            if known.name == leader:
                return known.location
        return None

    def read_document(self) -> bytes:
        """Return the latest revision as it was written; empty if none."""
        return self._ledger.orders.document

    def list_moves(self, service: str) -> tuple[version.Move, ...]:
        """Return the moves of the pools of a service."""
        current = self._ledger.current
        pools = {
            row.name for row in current.tables.pools if row.service == service
        }
        return tuple(move for move in current.moves if move.pool in pools)

    async def async_order(
        self,
        command: ledger_messages.Command,
    ) -> messages.Message:
        """Propose a command; return the outcome as of `async_propose`."""
        if not self.is_leading():
            leader = self._replica.read_status().leader
            return replica_messages.NotLeader(leader)
        return await proposals.async_propose(self._frame, command)

    def render_counters(self) -> str:
        """Return all counters as text."""
        return self._frame.counters.render()
