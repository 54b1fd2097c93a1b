"""Delivery of versions at a node that is fed by relays."""

import random as random_module
import typing
from collections import abc

from shallotwharf.components.delivery import (
    activation,
    claims,
    const,
    exchange,
    fetching,
    floors,
    messages,
)
from shallotwharf.components.membership import messages as member_messages
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import version
from shallotwharf.core import aggregate, effects, errors, rendezvous
from shallotwharf.core import messages as core_messages

_TICK: typing.Final = 'tick'


class Subscriber(aggregate.Aggregate):
    """Applies versions that a majority of the relays hold.

    It applies no version before it knows its floor, and none below it. The
    floor is at least as high as any version that an earlier process of this
    node may have applied.
    """

    __slots__ = (
        '_local_node',
        '_random',
        '_relays',
        '_fetcher',
        '_activation',
        '_floor',
        '_claims',
        '_incarnation',
        '_sequence',
        '_heartbeat_at',
        '_applied_empty',
    )

    name = 'subscriber'
    handlers = {
        member_messages.MembersChanged: 'change_members',
        exchange.RelayHolds: 'receive_claim',
        exchange.NodePart: 'receive_part',
        exchange.RelayFloorReply: 'receive_relay_floor',
        messages.FloorReply: 'receive_control_floor',
        core_messages.TimerFired: 'tick',
    }

    def __init__(
        self,
        local_node: member_messages.Member,
        control: abc.Iterable[messages.ControlProcess],
        random: random_module.Random,
    ) -> None:
        """Create a subscriber.

        Args:
            local_node: the node it runs on.
            control: all voters of the log.
            random: source of the incarnation and of jitter.
        """
        self._local_node = local_node
        self._random = random
        self._relays: tuple[str, ...] = ()
        self._fetcher = fetching.Fetcher(
            const.NODE_HISTORY,
            for_relay=False,
        )
        self._activation = activation.Activation()
        self._floor = floors.NodeFloor(control, local_node.datacentre, random)
        self._claims = claims.Claims()
        self._incarnation = 1 + random.getrandbits(const.INCARNATION_BITS)
        self._sequence = 0
        self._heartbeat_at = 0
        self._applied_empty = False

    @property
    def active(self) -> version.Version:
        """Return the version in force; number 0 if there is none yet."""
        return self._activation.active

    @property
    def floor(self) -> int | None:
        """Return the lowest version it may apply; None if unknown."""
        return self._floor.number

    def start(self, now: int) -> list[effects.Effect]:
        """Wait for the relays."""
        self._floor.start(now)
        return [self._set_timer(now)]

    def change_members(
        self,
        message: member_messages.MembersChanged,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Set the relays, and send the state of this node to new ones."""
        ranked = rendezvous.rank_members(
            self._local_node.datacentre,
            [member.name for member in message.members],
        )
        relays = tuple(ranked[: const.RELAYS_PER_DATACENTRE])
        joined = [relay for relay in relays if relay not in self._relays]
        self._relays = relays
        self._claims.retain(relays)
        return [self._make_state(relay) for relay in joined]

    def receive_claim(
        self,
        message: exchange.RelayHolds,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Merge the claim of a relay; apply or fetch a newer version."""
        if sender not in self._relays:
            return []
        is_first = self._claims.receive(sender, message)
        step = [*self._apply(now), *self._fetch(now)]
        if is_first and not step:
            # Sends the timestamp of the claim back, from which the relay
            # computes the age of this state.
            step.append(self._make_state(sender))
        return step

    def receive_part(
        self,
        message: exchange.NodePart,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Add a part; apply a version once complete, if it may be applied."""
        try:
            built = self._fetcher.add_part(message.part, now)
        except errors.ProtocolError as error:
            return [
                *self._activation.refuse(message.part.change.number, error),
                *self._make_states(),
                *self._fetch(now),
            ]
        if built is None:
            return []
        return self._apply(now)

    def receive_relay_floor(
        self,
        message: exchange.RelayFloorReply,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Store a relay's answer to the floor query."""
        if sender in self._relays:
            self._floor.receive_relay_reply(sender, message)
        return self._apply(now)

    def receive_control_floor(
        self,
        message: messages.FloorReply,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Store a control process's answer to the floor query."""
        self._floor.receive_control_reply(sender, message, now)
        return self._apply(now)

    def tick(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Repeat messages that may have been lost."""
        step = self._floor.query(self._relays, now)
        step.extend([*self._apply(now), *self._fetch(now)])
        if now >= self._heartbeat_at or self._is_pending():
            step.extend(self._send_heartbeat(now))
        wait = const.NODE_HEARTBEAT_MS
        if self._is_pending():
            wait = const.NODE_RETRY_MS
        jitter = self._random.randint(0, wait // 4)
        step.append(self._set_timer(now + wait - jitter))
        return step

    def _list_ahead(self) -> list[str]:
        """Return the relays that hold a newer version.

        Their order differs between nodes, which distributes the load.
        """
        return self._claims.list_ahead(
            self._fetcher.newest.number,
            rendezvous.rank_members(self._local_node.name, self._relays),
        )

    def _is_pending(self) -> bool:
        """Return whether a message is expected that may have been lost."""
        if self._floor.number is None or self._list_ahead():
            return True
        return not self._activation.has_decided(self._fetcher.newest.number)

    def _fetch(self, now: int) -> list[effects.Effect]:
        step = self._fetcher.fetch(self._list_ahead(), now)
        if step:
            step.append(self._set_timer(now + const.NODE_RETRY_MS))
        return step

    def _apply(self, now: int) -> list[effects.Effect]:
        """Apply the newest version held if it may be applied."""
        candidate = self._fetcher.newest
        step = self._apply_empty()
        if self._may_apply(candidate.number):
            step.extend(self._activation.apply(candidate, {}))
            if self.active is candidate:
                self._heartbeat_at = now + const.NODE_HEARTBEAT_MS // 2
            step.extend(self._make_states())
        return step

    def _apply_empty(self) -> list[effects.Effect]:
        """Publish version 0 once if no version was ever accepted.

        Holders of once-only records have to know that there were no groups
        before the first ones they receive.
        """
        if self._floor.number != 0 or self._applied_empty:
            return []
        self._applied_empty = True
        return [effects.Publish(tables_messages.VersionApplied(version.EMPTY))]

    def _may_apply(self, number: int) -> bool:
        return self._activation.may_apply(
            number,
            self._floor.number,
        ) and self._claims.is_held(number)

    def _send_heartbeat(self, now: int) -> list[effects.Effect]:
        self._heartbeat_at = now + const.NODE_HEARTBEAT_MS // 2
        return self._make_states()

    def _make_states(self) -> list[effects.Effect]:
        return [self._make_state(relay) for relay in self._relays]

    def _make_state(self, relay: str) -> effects.Effect:
        self._sequence += 1
        return effects.Send(
            relay,
            exchange.NodeState(
                self._activation.active.number,
                self._activation.reason,
                self._incarnation,
                self._sequence,
                self._claims.read_timestamp(relay),
            ),
        )

    def _set_timer(self, at: int) -> effects.Effect:
        return effects.SetTimer(_TICK, at)
