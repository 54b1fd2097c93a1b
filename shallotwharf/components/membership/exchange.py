"""Exchange with other data centres.

Two of the three relays subscribe to each other data centre, so that the loss
of one relay causes no delay. Any node accepts subscriptions; a subscriber
tries the relays of the data centre first. Each renewal names the last change
that the subscriber has. Urgent changes are sent to subscribers at once.
"""

import random
import typing
from collections import abc

from shallotwharf.components.membership import (
    changelog,
    const,
    membership_view,
    messages,
    relay_messages,
    wire,
)
from shallotwharf.core import effects, rendezvous

Effects: typing.TypeAlias = list[effects.Effect]


class _Session:
    """Subscription of this node to another data centre, at one of its nodes."""

    __slots__ = ('server', 'log_id', 'after', 'unanswered')

    def __init__(self, server: str) -> None:
        self.server = server
        self.log_id = 0
        self.after = 0
        self.unanswered = 0


class _Subscriber:
    __slots__ = ('log_id', 'after', 'renewed_at')

    def __init__(self, log_id: int, after: int, renewed_at: int) -> None:
        self.log_id = log_id
        self.after = after
        self.renewed_at = renewed_at


class Exchange:
    """Subscriptions to other data centres, and their subscriptions here.

    Args:
        view: the membership as this node sees it.
        seeds: names of nodes of other data centres, by data centre.
        source: source of randomness.
    """

    __slots__ = (
        '_view',
        '_seeds',
        '_random',
        '_log',
        '_sessions',
        '_subscribers',
        '_discovered',
        '_sent_at',
    )

    def __init__(
        self,
        view: membership_view.MembershipView,
        seeds: abc.Mapping[str, tuple[str, ...]],
        source: random.Random,
    ) -> None:
        local_state = view.local.state
        self._view = view
        self._seeds = seeds
        self._random = source
        self._log = changelog.ChangeLog(
            local_state.run,
            local_state.member.datacentre,
            view.store,
        )
        self._sessions: dict[str, _Session] = {}
        self._subscribers: dict[str, _Subscriber] = {}
        # Names of nodes received from control, by data centre.
        self._discovered: dict[str, tuple[str, ...]] = {}
        self._sent_at: int | None = None
        view.register_listener(self.record_changes)

    def add_discovered(self, members: tuple[messages.Member, ...]) -> bool:
        """Store members of data centres, as received from control.

        Returns whether one of the data centres was not known.
        """
        known = {*self._discovered, *self._view.store.list_datacentres()}
        for member in members:
            previous = self._discovered.get(member.datacentre, ())
            names = (member.name, *previous)[: const.MAX_DISCOVERED_MEMBERS]
            self._discovered[member.datacentre] = tuple(dict.fromkeys(names))
        return not known.issuperset(self._discovered)

    def renew(self, now: int, _late_ms: int) -> Effects:
        """Renew the subscriptions assigned to this node."""
        chosen = self._choose_datacentres()
        for name in set(self._sessions) - set(chosen):
            self._sessions.pop(name)
        step: Effects = []
        for datacentre in chosen:
            step.extend(self._renew_session(datacentre))
        exchange_at = now + const.EXCHANGE_PERIOD_MS
        step.append(self._view.timers.set_timer('exchange', exchange_at))
        if self._view.has_stale_changed(now):
            step.extend(self._view.timers.advance_timer('publish', now))
        return step

    def answer(
        self,
        message: relay_messages.Subscribe,
        sender: str,
        now: int,
    ) -> Effects:
        """Send the changes after the position that a subscriber has."""
        changes = self._log.read(message.log_id, message.after, now)
        self._subscribers[sender] = _Subscriber(
            changes.log_id,
            changes.position,
            now,
        )
        return [effects.Send(sender, changes)]

    def accept(
        self,
        message: relay_messages.Changes,
        sender: str,
        now: int,
    ) -> Effects:
        """Merge changes of another data centre and gossip them."""
        session = self._sessions.get(message.datacentre)
        if session is not None and session.server == sender:
            session.unanswered = 0
            # After a gap, a message was lost. The position stays, so that the
            # next renewal requests the changes again.
            if message.log_id != session.log_id:
                session.log_id = message.log_id
                session.after = message.position
            elif message.after <= session.after:
                session.after = max(session.after, message.position)
        batch = message.batch
        number, heartbeat_at = self._view.store.read_heartbeat(
            message.datacentre
        )
        if number == 0 or now - heartbeat_at >= const.HEARTBEAT_PERIOD_MS:
            heartbeat = wire.Heartbeat(message.datacentre, number + 1)
            batch = batch.replace(heartbeats=(heartbeat,))
        step = self._view.merge_received(batch, now)
        if message.more and session is not None:
            renewal = relay_messages.Subscribe(session.log_id, session.after)
            step.append(effects.Send(sender, renewal))
        return step

    def send_changes(self, now: int, _late_ms: int) -> Effects:
        """Send changes to subscribers; drop expired subscriptions."""
        self._sent_at = now
        step: Effects = []
        for name, subscriber in list(self._subscribers.items()):
            if now - subscriber.renewed_at > const.SUBSCRIPTION_LIFETIME_MS:
                self._subscribers.pop(name)
                continue
            changes = self._log.read(subscriber.log_id, subscriber.after, now)
            if changes.position > subscriber.after:
                subscriber.after = changes.position
                step.append(effects.Send(name, changes))
        return step

    def record_changes(
        self,
        keys: list[tuple[str, str]],
        now: int,
    ) -> Effects:
        """Append changes to the log and schedule the sending of urgent ones."""
        if not self._log.add(keys, now) or not self._subscribers:
            return []
        send_at = now + const.PUSH_DELAY_MS
        if self._sent_at is not None:
            send_at = max(send_at, self._sent_at + const.PUSH_PERIOD_MS)
        return self._view.timers.advance_timer('changes', send_at)

    def _choose_datacentres(self) -> list[str]:
        local_member = self._view.local.state.member
        chosen_relays = rendezvous.rank_members(
            const.RELAY_KEY,
            (member.name for member in self._view.live),
        )[: const.RELAY_COUNT]
        datacentres = {
            *self._view.store.list_datacentres(),
            *self._seeds,
            *self._discovered,
        }
        return [
            datacentre
            for datacentre in sorted(datacentres - {local_member.datacentre})
            if local_member.name
            in rendezvous.rank_members(datacentre, chosen_relays)[
                : const.SUBSCRIBING_RELAY_COUNT
            ]
        ]

    def _renew_session(self, datacentre: str) -> Effects:
        session = self._sessions.get(datacentre)
        if session is None or session.unanswered >= const.MAX_UNANSWERED:
            server = self._choose_server(datacentre, session)
            if not server:
                return []
            session = _Session(server)
            self._sessions[datacentre] = session
        session.unanswered += 1
        renewal = relay_messages.Subscribe(session.log_id, session.after)
        return [effects.Send(session.server, renewal)]

    def _choose_server(
        self,
        datacentre: str,
        failed: _Session | None,
    ) -> str:
        """Return a random relay or other known node of a data centre.

        Returns an empty name if none is known. The server of a failed session
        is left out.
        """
        live = self._view.store.list_live(datacentre)
        ranked = rendezvous.rank_members(
            const.RELAY_KEY,
            (member.name for member in live),
        )
        candidates = [
            *ranked[: const.RELAY_COUNT],
            *self._discovered.get(datacentre, ()),
            *self._seeds.get(datacentre, ()),
        ]
        if failed is not None:
            candidates = [name for name in candidates if name != failed.server]
        return self._random.choice(candidates) if candidates else ''
