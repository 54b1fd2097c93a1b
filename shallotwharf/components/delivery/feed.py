"""Delivery of versions at a control process."""

import random as random_module
import typing
from collections import abc

from shallotwharf.components.delivery import (
    const,
    lag,
    messages,
    peers,
    subscriptions,
    summary,
    transfer,
)
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

_TICK: typing.Final = 'tick'


class Feed(aggregate.Aggregate):
    """Hands out committed versions and records where they are in force.

    Relays and directly fed nodes subscribe to it. Each control process has
    one. It relies on the replicated log to publish
    `LeaderChanged(leading=True)` only after every committed version was
    published in the same process.
    """

    __slots__ = (
        '_local_process',
        '_peers',
        '_history',
        '_subscriptions',
        '_reports',
        '_stated',
        '_log_lag',
        '_release_lag',
        '_is_catch_up_reported',
    )

    name = 'feed'
    handlers = {
        tables_messages.VersionAccepted: 'accept_version',
        replica_messages.LeaderChanged: 'change_leader',
        replica_messages.GroupChanged: 'change_group',
        messages.PeerProgress: 'receive_progress',
        messages.Subscribe: 'subscribe',
        messages.Unsubscribe: 'unsubscribe',
        messages.DatacentreReport: 'receive_report',
        messages.FloorQuery: 'answer_floor',
        core_messages.TimerFired: 'tick',
    }

    def __init__(
        self,
        local_process: messages.ControlProcess,
        voters: abc.Iterable[messages.ControlProcess],
        datacentres: abc.Iterable[str],
        random: random_module.Random,
        admission: subscriptions.Admission | None = None,
    ) -> None:
        """Create a feed.

        Args:
            local_process: this control process.
            voters: all voters of the log, `local_process` included.
            datacentres: names of the data centres that must report before a
                version counts as in force everywhere.
            random: source of the incarnation.
            admission: rate limit of new subscriptions.
        """
        self._local_process = local_process
        self._peers = peers.Peers(
            local_process.name,
            [voter.name for voter in voters],
            random,
        )
        self._history = transfer.History(const.FEED_HISTORY)
        self._subscriptions = subscriptions.Subscriptions(
            self._history,
            admission or subscriptions.Admission(),
        )
        self._reports = summary.Reports(datacentres)
        # Highest version that was stated to the watchers.
        self._stated = 0
        self._log_lag = lag.Lag(const.EVENT_CONTROL_LAGS)
        self._release_lag = lag.Lag(const.EVENT_RELEASE_WAITS)
        self._is_catch_up_reported = False

    def start(self, now: int) -> list[effects.Effect]:
        """Announce this process to the other voters."""
        return [*self._broadcast_progress(), self._set_timer(now)]

    def summarize(self, number: int, now: int) -> summary.Summary:
        """Return where a version is in force, for operators."""
        return self._reports.summarize(number, now)

    def accept_version(
        self,
        message: tables_messages.VersionAccepted,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Store a committed version and notify the other voters."""
        accepted = message.accepted
        self._history.add(accepted, accepted.compute_digest())
        self._peers.record_held(accepted.number)
        return [*self._broadcast_progress(), *self._offer(now)]

    def change_leader(
        self,
        message: replica_messages.LeaderChanged,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Record whether this process leads the log."""
        self._peers.record_leading(message.leading)
        return [*self._broadcast_progress(), *self._report_catch_up()]

    def change_group(
        self,
        message: replica_messages.GroupChanged,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Set the voters to those of the configuration in force."""
        self._peers.change_voters(
            voter.name for voter in message.members.voters
        )
        return [*self._broadcast_progress(), *self._offer(now)]

    def receive_progress(
        self,
        message: messages.PeerProgress,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Hand out versions that a majority of the voters now know."""
        step: list[effects.Effect] = []
        if self._peers.receive(sender, message, now):
            step.append(
                effects.Send(sender, self._peers.make_progress(sender)),
            )
        return [*step, *self._offer(now)]

    def subscribe(
        self,
        message: messages.Subscribe,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Admit or renew a subscription, and send the next version if due."""
        wait = self._subscriptions.renew(sender, message, now)
        if wait:
            return [
                effects.Count('delivery.subscriptions_deferred'),
                effects.Send(sender, messages.RetryLater(wait)),
            ]
        known = self._history.find_digest(message.number)
        step: list[effects.Effect] = []
        if known is not None and known != message.digest:
            step.append(
                effects.Report(
                    'digest_conflict',
                    {'peer': sender, 'number': message.number},
                ),
            )
        step.append(effects.Send(sender, self._make_status(sender, now)))
        released = self._peers.compute_released()
        return [*step, *self._subscriptions.offer(sender, released, now)]

    def unsubscribe(
        self,
        _message: messages.Unsubscribe,
        sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """End a subscription."""
        self._subscriptions.remove(sender)
        return []

    def receive_report(
        self,
        message: messages.DatacentreReport,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Store the report of a relay and answer with the status."""
        self._reports.receive(sender, message, now)
        return [effects.Send(sender, self._make_status(sender, now))]

    def answer_floor(
        self,
        message: messages.FloorQuery,
        sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Answer with the floor, unless versions may be missing here."""
        if not self._peers.caught_up:
            return [effects.Count('delivery.floor_unsettled')]
        local_number = max(
            self._peers.compute_released(),
            self._reports.find_held(self._local_process.datacentre),
        )
        reply = messages.FloorReply(
            message.nonce,
            self._peers.held,
            local_number,
        )
        return [effects.Send(sender, reply)]

    def tick(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Repeat the progress and resend versions not acknowledged."""
        return [
            *self._broadcast_progress(),
            *self._offer(now),
            self._set_timer(now),
        ]

    def _offer(self, now: int) -> list[effects.Effect]:
        released = self._peers.compute_released()
        return [
            *self._report_catch_up(),
            *self._subscriptions.offer_all(released, now),
            *self._notify_watchers(released, now),
            *self._log_lag.update(
                self._peers.held, self._peers.find_highest(), now, {}
            ),
            *self._release_lag.update(
                released,
                self._peers.held,
                now,
                {'waits_for': ','.join(self._peers.list_behind())},
            ),
        ]

    def _notify_watchers(
        self,
        released: int,
        now: int,
    ) -> list[effects.Effect]:
        if released <= self._stated:
            return []
        self._stated = released
        return [
            effects.Send(watcher, self._make_status(watcher, now))
            for watcher in self._subscriptions.list_watchers()
        ]

    def _broadcast_progress(self) -> list[effects.Effect]:
        return [
            effects.Send(peer, self._peers.make_progress(peer))
            for peer in self._peers.list_peers()
        ]

    def _report_catch_up(self) -> list[effects.Effect]:
        if self._is_catch_up_reported or not self._peers.caught_up:
            return []
        self._is_catch_up_reported = True
        return [
            effects.Report(
                'control_caught_up',
                {
                    'number': self._peers.held,
                    'released': self._peers.compute_released(),
                    'leading': self._peers.leading,
                },
            ),
        ]

    def _make_status(self, relay: str, now: int) -> messages.FeedStatus:
        return messages.FeedStatus(
            self._history.find_last(self._peers.compute_released()),
            self._peers.reaches_majority(now),
            now,
            self._reports.find_held(self._local_process.datacentre),
            self._subscriptions.is_subscribed(relay),
            self._peers.incarnation,
        )

    def _set_timer(self, now: int) -> effects.Effect:
        return effects.SetTimer(_TICK, now + const.FEED_TICK_MS)
