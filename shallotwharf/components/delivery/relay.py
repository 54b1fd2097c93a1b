"""Relay of a data centre: a node that forwards versions to other nodes."""

import random as random_module
import typing
from collections import abc

from shallotwharf.components.delivery import (
    announcer,
    const,
    exchange,
    fetching,
    floors,
    group,
    messages,
    uplink,
)
from shallotwharf.components.membership import messages as member_messages
from shallotwharf.core import aggregate, effects, errors, rendezvous
from shallotwharf.core import messages as core_messages

_TICK: typing.Final = 'tick'


class Relay(aggregate.Aggregate):
    """Holds versions for the data centre while the local node is a relay.

    Every node has one. It is active while the node is among the first
    `const.RELAYS_PER_DATACENTRE` members by rendezvous hashing.
    """

    __slots__ = (
        '_local_node',
        '_fetcher',
        '_group',
        '_uplink',
        '_announcer',
        '_control_floor',
        '_last_tick_at',
        '_peer_heartbeat_at',
    )

    name = 'relay'
    handlers = {
        member_messages.MembersChanged: 'change_members',
        exchange.RelayState: 'receive_peer_state',
        exchange.NodeState: 'receive_node',
        exchange.Fetch: 'serve',
        messages.RelayPart: 'receive_part',
        messages.FeedStatus: 'receive_status',
        messages.RetryLater: 'retry_later',
        messages.FloorReply: 'receive_floor',
        exchange.RelayFloorQuery: 'answer_floor',
        core_messages.TimerFired: 'tick',
    }

    def __init__(
        self,
        local_node: member_messages.Member,
        control: abc.Iterable[messages.ControlProcess],
        random: random_module.Random,
    ) -> None:
        """Create a relay.

        Args:
            local_node: the node it runs on.
            control: all voters of the log.
            random: source of incarnations and of jitter.
        """
        processes = tuple(control)
        self._local_node = local_node
        self._fetcher = fetching.Fetcher(
            const.RELAY_HISTORY,
            for_relay=True,
        )
        self._group = group.Group(local_node.name, random)
        self._uplink = uplink.Uplink(local_node, processes, random)
        self._announcer = announcer.Announcer(
            local_node.datacentre,
            processes,
            random,
        )
        self._control_floor = floors.ControlFloor(
            processes,
            local_node.datacentre,
            random,
        )
        self._last_tick_at = 0
        self._peer_heartbeat_at = 0

    def start(self, now: int) -> list[effects.Effect]:
        """Wait for the members of the data centre."""
        self._announcer.nodes.start(now)
        return []

    def handle(
        self,
        message: core_messages.Message,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Apply a message, then fetch and announce what it changed.

        A relay that was suspended may have been replaced in the meantime. It
        gives up its floor before it handles the messages that queued up.
        """
        if (
            self._is_active()
            and now - self._last_tick_at > const.MAX_TICK_DELAY_MS
        ):
            self._last_tick_at = now
            self._group.reset(now)
        step = super().handle(message, sender, now)
        if self._is_active():
            step.extend(self._fetch_and_announce(now))
        return step

    def change_members(
        self,
        message: member_messages.MembersChanged,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Set the relays of the data centre; start or stop being one."""
        names = [member.name for member in message.members]
        ranked = rendezvous.rank_members(self._local_node.datacentre, names)
        self._announcer.nodes.set_members(names)
        was_active = self._is_active()
        if not self._group.change_names(
            tuple(ranked[: const.RELAYS_PER_DATACENTRE]), now
        ):
            return []
        if not self._is_active():
            return [effects.CancelTimer(_TICK), *self._uplink.close()]
        step = self._notify_peers(now)
        if not was_active:
            self._last_tick_at = now
            self._announcer.reports.start(now)
            step.append(self._set_timer(now))
        return step

    def receive_peer_state(
        self,
        message: exchange.RelayState,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Store the state of a peer relay."""
        if self._group.receive(sender, message, now):
            return [self._notify_peer(sender, now)]
        return []

    def receive_node(
        self,
        message: exchange.NodeState,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Store the state of a node and answer with a claim."""
        if not self._is_active():
            return []
        self._announcer.nodes.receive(sender, message, now)
        held = self._fetcher.newest.number
        claim = self._announcer.make_claim(held, self._group, now)
        return [effects.Send(sender, claim)]

    def serve(
        self,
        message: exchange.Fetch,
        sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Send the version that is held to a node or relay."""
        return self._fetcher.serve(sender, message)

    def receive_part(
        self,
        message: messages.RelayPart,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Add a part; acknowledge and announce a version once complete."""
        step = self._uplink.decline(sender)
        try:
            built = self._fetcher.add_part(message.part, now)
        except errors.ProtocolError as error:
            step.append(effects.Count('delivery.relay_part_refused'))
            step.append(effects.Report('relay_part_refused', {'error': error}))
        else:
            if built is None:
                return step
        base = self._fetcher.read_base()
        step.extend(self._uplink.acknowledge(*base, now))
        return [*step, *self._notify_peers(now)]

    def receive_status(
        self,
        message: messages.FeedStatus,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Store the status of a control process unless it is outdated."""
        if self._announcer.reports.receive_status(sender, message, now):
            self._uplink.receive_status(sender, message, now)
        return []

    def retry_later(
        self,
        message: messages.RetryLater,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Postpone the next subscription."""
        self._uplink.retry_later(sender, message, now)
        return []

    def receive_floor(
        self,
        message: messages.FloorReply,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Store a control process's answer to a floor query."""
        self._control_floor.receive(sender, message, now)
        return self._update_floor(now)

    def answer_floor(
        self,
        message: exchange.RelayFloorQuery,
        sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Answer with the floor if there is a valid one."""
        if not self._group.floor_valid:
            return []
        reply = exchange.RelayFloorReply(
            message.nonce,
            self._group.floor,
            self._group.epoch,
            len(self._group.names),
        )
        return [effects.Send(sender, reply)]

    def tick(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Repeat messages that may have been lost."""
        if not self._is_active():
            return []
        self._last_tick_at = now
        step: list[effects.Effect] = [self._set_timer(now)]
        if now >= self._peer_heartbeat_at:
            step.extend(self._notify_peers(now))
        if self._group.is_higher_rank_connected(now):
            step.extend(self._uplink.close())
        else:
            step.extend(self._uplink.tick(*self._fetcher.read_base(), now))
        step.extend(self._update_floor(now))
        return step

    def _is_active(self) -> bool:
        return bool(self._group.names)

    def _fetch_and_announce(self, now: int) -> list[effects.Effect]:
        held = self._fetcher.newest.number
        step = self._fetcher.fetch(self._group.list_ahead(held, now), now)
        return [*step, *self._announcer.announce(held, self._group, now)]

    def _notify_peers(self, now: int) -> list[effects.Effect]:
        self._peer_heartbeat_at = now + const.PEER_RELAY_HEARTBEAT_MS
        return [
            self._notify_peer(peer, now) for peer in self._group.list_peers()
        ]

    def _notify_peer(self, peer: str, now: int) -> effects.Effect:
        state = self._group.make_state(
            peer,
            self._fetcher.newest.number,
            self._uplink.is_connected(now),
        )
        return effects.Send(peer, state)

    def _update_floor(self, now: int) -> list[effects.Effect]:
        if self._group.floor_valid or not self._group.epoch:
            return []
        if now - self._group.agreed_at < const.VIEW_SETTLE_MS:
            return []
        floor = self._control_floor.find(now, self._group.epoch)
        if floor is None:
            return self._control_floor.query(now, self._group.epoch)
        self._group.accept_floor(floor)
        return []

    def _set_timer(self, now: int) -> effects.Effect:
        return effects.SetTimer(_TICK, now + const.RELAY_TICK_MS)
