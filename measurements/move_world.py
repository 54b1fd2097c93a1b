"""Discrete-event simulation of one move with real watchers and a director."""

import functools
import heapq
import itertools
import random
import typing
from collections import abc

from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.membership import messages as membership_messages
from shallotwharf.components.move import director, watcher
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import version
from shallotwharf.core import aggregate, clock, effects, messages

_CONTROL: typing.Final = 'control'
_LINK_DELAY_MS: typing.Final = 12
_COMMIT_DELAY_MS: typing.Final = 50
# All nodes apply a version within 3 s.
_APPLY_DELAY_RANGE_MS: typing.Final = (200, 3000)

Action: typing.TypeAlias = abc.Callable[[], None]


def apply_command(
    move: version.Move,
    command: messages.Message,
) -> version.Move:
    """Return the move after a command, by the rules of the ledger."""
    if move.state == version.STATE_TAKEN_BACK:
        return move
    if isinstance(command, ledger_messages.TakeBack):
        return move.replace(
            state=version.STATE_TAKEN_BACK,
            share=0,
            reason=command.reason,
        )
    if isinstance(command, ledger_messages.StepMove):
        return move.replace(
            state=command.state,
            share=command.share,
            reason=command.reason,
        )
    return move


class World:
    """Simulation of the watchers of all nodes and the director at control.

    Args:
        tables: the routes and the pool.
        move: the move of the pool.
        nodes: data centre by node name.
        source: source of the random delays.
    """

    __slots__ = (
        'clock',
        'watchers',
        'director',
        'current',
        'applied',
        '_source',
        '_events',
        '_sequence',
    )

    def __init__(
        self,
        tables: version.Tables,
        move: version.Move,
        nodes: abc.Mapping[str, str],
        source: random.Random,
    ) -> None:
        self.clock = clock.ManualClock()
        self.director = director.Director(
            self.clock,
            tuple(sorted(set(nodes.values()))),
        )
        self.watchers = {
            name: watcher.Watcher(name, datacentre, (_CONTROL,), 1)
            for name, datacentre in nodes.items()
        }
        self.current = version.Version(1, tables, (move,))
        self.applied = dict.fromkeys(nodes, self.current)
        self._source = source
        self._events: list[tuple[int, int, Action]] = []
        self._sequence = itertools.count()
        self._begin(nodes)

    def find_move(self, node: str) -> version.Move:
        """Return the move in the version that the node has applied."""
        return self.applied[node].moves[0]

    def find_share(self, node: str) -> int:
        """Return the new version's share at a node; 0 if fenced."""
        move = self.find_move(node)
        fenced = self.watchers[node].is_fenced(move.move_id)
        if fenced or move.state == version.STATE_TAKEN_BACK:
            return 0
        return move.share

    def advance(self, until: int) -> None:
        """Run the timers and messages due up to a time in milliseconds."""
        while self._events and self._events[0][0] <= until:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(at - self.clock.read(), 0))
            action()
        self.clock.advance(until - self.clock.read())

    def _begin(self, nodes: abc.Mapping[str, str]) -> None:
        for name, datacentre in nodes.items():
            members = tuple(
                membership_messages.Member(peer, place, '', '', 0, 0)
                for peer, place in nodes.items()
                if place == datacentre
            )
            joined = membership_messages.MembersChanged(members)
            self._handle(name, joined, name)
        leading = replica_messages.LeaderChanged(_CONTROL, leading=True)
        self._handle(_CONTROL, leading, _CONTROL)
        self._accept()

    def _accept(self) -> None:
        accepted = tables_messages.VersionAccepted(self.current)
        self._handle(_CONTROL, accepted, _CONTROL)
        for name in self.watchers:
            self._schedule(
                self._source.randint(*_APPLY_DELAY_RANGE_MS),
                functools.partial(self._apply, name, self.current),
            )

    def _apply(self, node: str, applied: version.Version) -> None:
        if applied.number >= self.applied[node].number:
            self.applied[node] = applied
            event = tables_messages.VersionApplied(applied)
            self._handle(node, event, node)

    def _commit(self, command: messages.Message) -> None:
        changed = apply_command(self.current.moves[0], command)
        if changed != self.current.moves[0]:
            self.current = self.current.replace(
                number=self.current.number + 1,
                moves=(changed,),
            )
            self._accept()

    def _handle(
        self,
        process: str,
        message: messages.Message,
        sender: str,
    ) -> None:
        receiver: aggregate.Aggregate = self.director
        if process != _CONTROL:
            receiver = self.watchers[process]
        if type(message) in receiver.handlers:
            now = self.clock.read()
            for effect in receiver.handle(message, sender, now):
                self._execute(process, effect)

    def _execute(self, process: str, effect: effects.Effect) -> None:
        if isinstance(effect, effects.SetTimer):
            fired = messages.TimerFired(effect.name)
            self._schedule(
                effect.at - self.clock.read(),
                functools.partial(self._handle, process, fired, process),
            )
        elif isinstance(effect, effects.Send):
            self._transmit(effect.peer, effect.message, process)
        elif isinstance(effect, effects.Publish):
            self._publish(effect.message, process)

    def _publish(self, message: messages.Message, process: str) -> None:
        if isinstance(message, replica_messages.Propose):
            self._schedule(
                _COMMIT_DELAY_MS,
                functools.partial(self._commit, message.command),
            )
        elif isinstance(message, membership_messages.Broadcast):
            for name in self.watchers:
                self._transmit(name, message.message, process)

    def _transmit(
        self,
        peer: str,
        message: messages.Message,
        sender: str,
    ) -> None:
        self._schedule(
            _LINK_DELAY_MS,
            functools.partial(self._handle, peer, message, sender),
        )

    def _schedule(self, delay_ms: int, action: Action) -> None:
        at = self.clock.read() + delay_ms
        heapq.heappush(self._events, (at, next(self._sequence), action))
