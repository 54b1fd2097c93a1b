"""Queries for the floor, the lowest version a restarted process may apply."""

import random as random_module
from collections import abc

from shallotwharf.components.delivery import const, exchange, messages, quorum
from shallotwharf.core import effects


class ControlFloor:
    """A floor query to all control processes.

    The answers of a majority of the voters decide. A version is handed out
    only after a majority knows it, so the highest answer is at least as high
    as any version that was active when the query began. After
    `const.FLOOR_GRACE_MS` without a majority, the control process of the
    local data centre decides alone if no other one answers.
    """

    __slots__ = (
        '_random',
        '_retry_max_ms',
        '_control',
        '_datacentre',
        '_nonce',
        '_purpose',
        '_started_at',
        '_replies',
        '_first_reply_at',
        '_next_query_at',
        '_wait_ms',
    )

    def __init__(
        self,
        control: abc.Iterable[messages.ControlProcess],
        datacentre: str,
        random: random_module.Random,
        retry_max_ms: int = const.FLOOR_RETRY_MAX_MS,
    ) -> None:
        self._random = random
        self._retry_max_ms = retry_max_ms
        self._control = tuple(control)
        self._datacentre = datacentre
        self._nonce = 0
        self._purpose = b''
        self._started_at = 0
        self._replies: dict[str, messages.FloorReply] = {}
        self._first_reply_at = 0
        self._next_query_at = 0
        self._wait_ms = const.BACKOFF_MIN_MS

    def change_control(
        self,
        control: abc.Iterable[messages.ControlProcess],
    ) -> None:
        """Set the voters; answers of other processes no longer count."""
        self._control = tuple(control)
        names = {process.name for process in self._control}
        for name in self._replies.keys() - names:
            self._replies.pop(name)
        self._next_query_at = 0

    def query(self, now: int, purpose: bytes = b'') -> list[effects.Effect]:
        """Start a query, or repeat it if due to those that did not answer.

        A query for another purpose replaces the current one with its answers.
        """
        if not self._nonce or purpose != self._purpose:
            self._start_query(now, purpose)
        if now < self._next_query_at:
            return []
        self._wait_ms = min(2 * self._wait_ms, self._retry_max_ms)
        self._next_query_at = now + self._random.randint(
            min(const.BACKOFF_MIN_MS, self._wait_ms),
            self._wait_ms,
        )
        return [
            effects.Send(process.name, messages.FloorQuery(self._nonce))
            for process in self._control
            if process.name not in self._replies
        ]

    def receive(
        self,
        sender: str,
        reply: messages.FloorReply,
        now: int,
    ) -> None:
        """Store an answer to the current query."""
        if not self._nonce or reply.nonce != self._nonce:
            return
        if not self._replies:
            self._first_reply_at = now
        self._replies[sender] = reply

    def find(self, now: int, purpose: bytes = b'') -> int | None:
        """Return the floor for a purpose; None if it is not known yet."""
        if purpose != self._purpose:
            return None
        majority = quorum.compute_majority(len(self._control))
        if self._control and len(self._replies) >= majority:
            return max(reply.number for reply in self._replies.values())
        if self._nonce and now - self._started_at >= const.FLOOR_GRACE_MS:
            return self._find_local(now)
        return None

    def list_answers(self) -> list[tuple[str, int]]:
        """Return the processes that have answered and their numbers."""
        return sorted(
            (name, reply.number) for name, reply in self._replies.items()
        )

    def read_wait(self, now: int) -> int:
        """Return the age of the current query in milliseconds."""
        return now - self._started_at

    def _start_query(self, now: int, purpose: bytes) -> None:
        self._nonce = 1 + self._random.getrandbits(const.INCARNATION_BITS)
        self._purpose = purpose
        self._replies = {}
        self._started_at = now
        self._next_query_at = now
        self._wait_ms = const.BACKOFF_MIN_MS

    def _find_local(self, now: int) -> int | None:
        if now - self._first_reply_at < const.FLOOR_LOCAL_WAIT_MS:
            return None
        local = {
            process.name
            for process in self._control
            if process.datacentre == self._datacentre
        }
        if not self._replies or self._replies.keys() - local:
            return None
        return max(reply.local_number for reply in self._replies.values())


class RelayFloors:
    """A floor query to the relays of the local data centre.

    The answers decide once they come from enough relays of one epoch to
    intersect each majority of its relays, such as two of three.
    """

    __slots__ = ('_nonce', '_replies')

    def __init__(self, random: random_module.Random) -> None:
        self._nonce = 1 + random.getrandbits(const.INCARNATION_BITS)
        self._replies: dict[str, exchange.RelayFloorReply] = {}

    def query(self, relays: abc.Iterable[str]) -> list[effects.Effect]:
        """Query all relays, also those that have answered.

        Their epoch may have changed after an answer.
        """
        return [
            effects.Send(relay, exchange.RelayFloorQuery(self._nonce))
            for relay in relays
        ]

    def receive(
        self,
        sender: str,
        reply: exchange.RelayFloorReply,
    ) -> int | None:
        """Store an answer; return the floor, or None if not known yet."""
        if reply.nonce != self._nonce:
            return None
        self._replies[sender] = reply
        agreeing = [
            known.number
            for known in self._replies.values()
            if known.epoch == reply.epoch
        ]
        if len(agreeing) < quorum.compute_intersecting(reply.size):
            return None
        return max(agreeing)


class NodeFloor:
    """The floor of a node, queried from its relays and then from control.

    Attributes:
        number: lowest version that may be applied; None if not known yet.
    """

    __slots__ = ('number', '_relays', '_control', '_query_control_at')

    def __init__(
        self,
        control: abc.Iterable[messages.ControlProcess],
        datacentre: str,
        random: random_module.Random,
    ) -> None:
        self.number: int | None = None
        self._relays = RelayFloors(random)
        self._control = ControlFloor(control, datacentre, random)
        self._query_control_at = 0

    def start(self, now: int) -> None:
        """Set when to query control; relays are queried before."""
        self._query_control_at = now + const.CONTROL_FLOOR_DELAY_MS

    def query(
        self,
        relays: abc.Iterable[str],
        now: int,
    ) -> list[effects.Effect]:
        """Query relays, and control if due, unless the floor is known."""
        if self.number is not None:
            return []
        step = self._relays.query(relays)
        if now >= self._query_control_at:
            step.extend(self._control.query(now))
            self.number = self._control.find(now)
        return step

    def receive_relay_reply(
        self,
        sender: str,
        reply: exchange.RelayFloorReply,
    ) -> None:
        """Store the answer of a relay."""
        if self.number is None:
            self.number = self._relays.receive(sender, reply)

    def receive_control_reply(
        self,
        sender: str,
        reply: messages.FloorReply,
        now: int,
    ) -> None:
        """Store the answer of a control process."""
        if self.number is None:
            self._control.receive(sender, reply, now)
            self.number = self._control.find(now)
