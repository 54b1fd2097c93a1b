"""Delivery of versions at a node without relays.

In a small fleet control feeds each node directly, so that the loss of a relay
delays no other node. A version is handed out only once a majority of the
voters know it as committed, so the highest answer of any majority is a floor.
One control process feeds a node; others tell it when that one lags behind.
"""

import random as random_module
import typing

from shallotwharf.components.delivery import (
    activation,
    const,
    fetching,
    floors,
    lag,
    messages,
    source,
)
from shallotwharf.components.membership import messages as member_messages
from shallotwharf.components.roster import messages as roster
from shallotwharf.components.tables import version
from shallotwharf.core import aggregate, effects, errors
from shallotwharf.core import messages as core_messages

_TICK: typing.Final = 'tick'


class DirectSubscriber(aggregate.Aggregate):
    """Applies each version that a control process hands out.

    It applies no version before it knows its floor, and none below it.
    """

    __slots__ = (
        '_local_node',
        '_fetcher',
        '_control_floor',
        '_source',
        '_known_floor',
        '_activation',
        '_renew_at',
        '_watched',
        '_watch_at',
        '_lag',
    )

    name = 'subscriber'
    handlers: typing.ClassVar = {
        roster.ControlChanged: 'change_control',
        messages.RelayPart: 'receive_part',
        messages.FeedStatus: 'receive_status',
        messages.RetryLater: 'retry_later',
        messages.FloorReply: 'receive_floor',
        core_messages.TimerFired: 'tick',
    }

    def __init__(
        self,
        local_node: member_messages.Member,
        random: random_module.Random,
    ) -> None:
        """Create a subscriber that knows no control process yet.

        Args:
            local_node: the node it runs on.
            random: source of query nonces and of choices.
        """
        self._local_node = local_node
        self._fetcher = fetching.Fetcher(const.NODE_HISTORY, for_relay=False)
        self._control_floor = floors.ControlFloor(
            (),
            local_node.datacentre,
            random,
            const.DIRECT_FLOOR_RETRY_MS,
        )
        self._source = source.Source(random)
        self._known_floor: int | None = None
        self._activation = activation.Activation()
        self._renew_at = 0
        # The processes that were asked for their status.
        self._watched: tuple[str, ...] = ()
        self._watch_at = 0
        self._lag = lag.Lag(const.EVENT_NODE_LAGS)

    @property
    def active(self) -> version.Version:
        """Return the version in force; number 0 if there is none yet."""
        return self._activation.active

    @property
    def floor(self) -> int | None:
        """Return the lowest version it may apply; None if unknown."""
        return self._known_floor

    def start(self, now: int) -> list[effects.Effect]:
        """Wait for the roster."""
        return [self._set_timer(now)]

    def change_control(
        self,
        message: roster.ControlChanged,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Set the control processes, and subscribe if another is chosen."""
        voters = tuple(
            messages.ControlProcess(
                voter.name,
                voter.location.datacentre,
                voter.location.region,
            )
            for voter in message.roster.list_voters()
        )
        self._control_floor.change_control(voters)
        ranks = {
            voter.name: voter.rank_distance(
                self._local_node.datacentre,
                self._local_node.region,
            )
            for voter in voters
        }
        before = self._source.name
        self._source.set_control(ranks, now)
        step = self._query_floor(now)
        if self._source.name != before:
            step.append(self._publish_source())
            step.extend(self._subscribe(now))
        return [*step, *self._watch(now)]

    def receive_part(
        self,
        message: messages.RelayPart,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Add a part; apply a version once complete, if it may be applied."""
        step: list[effects.Effect] = []
        if sender not in {self._source.name, *self._watched}:
            step.append(effects.Send(sender, messages.Unsubscribe()))
        self._source.record_part(now)
        try:
            built = self._fetcher.add_part(message.part, now)
        except errors.ProtocolError as error:
            step.append(effects.Count('delivery.versions_refused'))
            step.append(effects.Report('version_part_refused', {'why': error}))
            return [*step, *self._subscribe(now)]
        if built is None:
            return step
        # The acknowledgement is sent first, so that the next version is in
        # transit while this one is applied.
        return [*step, *self._subscribe(now), *self._apply()]

    def receive_status(
        self,
        message: messages.FeedStatus,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Record the status of a control process.

        A node without a version in force leaves a process whose versions are
        all below the floor at once, without waiting for the time-out. Such a
        process may have lost its disk.
        """
        least = max(self._known_floor or 0, self.active.number)
        self._source.receive_status(sender, message, least, now)
        step: list[effects.Effect] = []
        if message.current:
            step.append(
                effects.Publish(
                    messages.SourceHeard(sender, message.incarnation)
                )
            )
        if self.active.number or message.number >= least:
            return step
        if sender != self._source.name:
            return step
        self._source.leave(sender, now)
        changed = self._change_source(sender, source.LEFT_UNUSABLE, now)
        return [*step, *changed]

    def retry_later(
        self,
        message: messages.RetryLater,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Postpone the next subscription."""
        if sender == self._source.name:
            self._renew_at = now + message.after_ms
        return []

    def receive_floor(
        self,
        message: messages.FloorReply,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Store a control process's answer to a floor query."""
        self._control_floor.receive(sender, message, now)
        return self._apply_floor(now)

    def tick(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Repeat messages that may have been lost."""
        step = [*self._query_floor(now), *self._report_lag(now)]
        previous = self._source.name
        held = self._fetcher.newest.number
        reason = self._source.replace_unusable(held, now)
        if reason:
            step.extend(self._change_source(previous, reason, now))
        if now >= self._renew_at:
            step.extend(self._subscribe(now))
        if now >= self._watch_at:
            step.extend(self._watch(now))
        return [*step, *self._apply_floor(now), self._set_timer(now)]

    def _query_floor(self, now: int) -> list[effects.Effect]:
        if self._known_floor is not None:
            return []
        return self._control_floor.query(now)

    def _apply_floor(self, now: int) -> list[effects.Effect]:
        step: list[effects.Effect] = []
        if self._known_floor is None:
            self._known_floor = self._control_floor.find(now)
            if self._known_floor is not None:
                step.append(self._report_floor(self._known_floor, now))
        return [*step, *self._apply()]

    def _report_floor(self, floor: int, now: int) -> effects.Effect:
        answers = self._control_floor.list_answers()
        return effects.Report(
            'floor_known',
            {
                'floor': floor,
                'answers': ','.join(
                    f'{name}:{number}' for name, number in answers
                ),
                'held': self._fetcher.newest.number,
                'source': self._source.name,
                'waited_ms': self._control_floor.read_wait(now),
            },
        )

    def _subscribe(self, now: int) -> list[effects.Effect]:
        if not self._source.name:
            return []
        wait_ms = const.DIRECT_SEARCH_MS
        if self.active.number:
            wait_ms = const.DIRECT_RENEW_MS
        self._renew_at = now + wait_ms
        number, digest = self._fetcher.read_base()
        return [
            effects.Send(
                self._source.name,
                messages.Subscribe(number, digest),
            ),
        ]

    def _apply(self) -> list[effects.Effect]:
        candidate = self._fetcher.newest
        if not self._activation.may_apply(candidate.number, self._known_floor):
            return []
        origin = {
            'revision': candidate.tables.revision,
            'source': self._source.name,
        }
        return self._activation.apply(candidate, origin)

    def _change_source(
        self,
        previous: str,
        reason: str,
        now: int,
    ) -> list[effects.Effect]:
        """Subscribe to the process that was chosen instead of another one."""
        return [
            self._publish_source(),
            effects.Count('delivery.source_left'),
            effects.Report(
                'source_left',
                {
                    'source': previous,
                    'reason': reason,
                    'next': self._source.name,
                    'number': self.active.number,
                    'highest': self._source.highest,
                },
            ),
            *self._subscribe(now),
            *self._watch(now),
        ]

    def _publish_source(self) -> effects.Effect:
        return effects.Publish(messages.SourceChanged(self._source.name))

    def _watch(self, now: int) -> list[effects.Effect]:
        """Ask the watched processes for their status, and no others."""
        self._watch_at = now + const.WATCH_RENEW_MS
        kept = {self._source.name, *self._source.watched}
        dropped = [name for name in self._watched if name not in kept]
        self._watched = self._source.watched
        number, digest = self._fetcher.read_base()
        request = messages.Subscribe(number, digest, status_only=True)
        return [
            *(effects.Send(name, messages.Unsubscribe()) for name in dropped),
            *(effects.Send(name, request) for name in self._watched),
        ]

    def _report_lag(self, now: int) -> list[effects.Effect]:
        return self._lag.update(
            self.active.number,
            self._source.highest,
            now,
            {'source': self._source.name},
        )

    def _set_timer(self, now: int) -> effects.Effect:
        wait_ms = const.RELAY_TICK_MS
        if not self.active.number:
            wait_ms = const.DIRECT_SEARCH_MS // 2
        return effects.SetTimer(_TICK, now + wait_ms)
