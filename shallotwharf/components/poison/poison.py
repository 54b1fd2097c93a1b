"""Refuses requests that crash upstreams, throughout the data centre.

A request is refused once the upstreams of two different nodes crashed while it
was running there. A harmless request that was running beside it in both crashes
is then refused as well, for ten minutes. This requires the same method, target
and body at both upstreams, which does happen with identical requests from many
callers, such as look-ups without parameters. A digest that has completed on an
upstream is therefore cleared with `mark_completed`: the bad request never
completes.
"""

import collections
import typing

from shallotwharf.components.membership import messages as membership_messages
from shallotwharf.components.poison import const, messages
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

Effects: typing.TypeAlias = list[effects.Effect]

_TICK: typing.Final = 'tick'


class _Suspect:
    """A suspected digest.

    Attributes:
        nodes: nodes whose upstream crashed while running it.
        expires_at: time when it is dropped, in clock milliseconds.
        refused: whether requests with this digest are refused.
    """

    __slots__ = ('nodes', 'expires_at', 'refused')

    def __init__(self) -> None:
        self.nodes: set[str] = set()
        self.expires_at = 0
        self.refused = False


class PoisonList(aggregate.Aggregate):
    """Digests of requests that were running when upstreams crashed.

    Args:
        local_node: name of the local node, whose crashes it broadcasts.
        started_at: start time of the process, in milliseconds since the epoch.
    """

    name = 'poison'
    handlers = {
        core_messages.TimerFired: 'expire',
        messages.CrashSeen: 'record_crash',
    }

    __slots__ = (
        '_local_node',
        '_started_at',
        '_suspects',
        '_completed',
        '_last_crash',
        '_ticking',
    )

    def __init__(self, local_node: str, started_at: int) -> None:
        self._local_node = local_node
        self._started_at = started_at
        # In the order of the last crash, which is also the order of expiry.
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        # Digests that the local upstream completed, the latest last.
        self._completed: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        # Sequence number of the last local crash that was broadcast.
        self._last_crash = 0
        self._ticking = False

    def start(self, _now: int) -> Effects:
        """Do nothing until an upstream crashes."""
        return []

    def is_empty(self) -> bool:
        """Return whether no digest is suspected or refused."""
        return not self._suspects

    def is_refused(self, digest: bytes, now: int) -> bool:
        """Return whether requests with this digest are refused."""
        suspect = self._suspects.get(digest)
        return (
            suspect is not None and suspect.refused and suspect.expires_at > now
        )

    def mark_completed(self, digest: bytes) -> None:
        """Record a digest that the local upstream completed.

        It is not suspected again while it is stored, because the bad request
        never completes. A digest that is already refused stays refused,
        because its requests no longer reach an upstream.
        """
        self._completed[digest] = None
        self._completed.move_to_end(digest)
        if len(self._completed) > const.MAX_DIGESTS:
            self._completed.popitem(last=False)
        suspect = self._suspects.get(digest)
        if suspect is not None and not suspect.refused:
            self._suspects.pop(digest)

    def record_crash(
        self,
        message: messages.CrashSeen,
        _sender: str,
        now: int,
    ) -> Effects:
        """Record a crash at any node; broadcast one of the local node."""
        step = self._broadcast(message)
        for digest in message.digests[: const.MAX_DIGESTS_PER_CRASH]:
            step.extend(self._record_digest(digest, message.node, now))
        while len(self._suspects) > const.MAX_DIGESTS:
            self._suspects.popitem(last=False)
            step.append(effects.Count('poison.dropped'))
        return [*step, *self._set_tick()]

    def expire(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> Effects:
        """Drop expired digests."""
        self._ticking = False
        while self._suspects:
            digest, suspect = next(iter(self._suspects.items()))
            if suspect.expires_at > now:
                break
            self._suspects.pop(digest)
        return self._set_tick()

    def _broadcast(self, message: messages.CrashSeen) -> Effects:
        """Broadcast a new crash of the local node.

        The membership delivers it back, which must not broadcast it again.
        """
        if (
            message.node != self._local_node
            or message.crash <= self._last_crash
        ):
            return []
        self._last_crash = message.crash
        # A restarted process numbers its crashes from 1 again.
        key = f'crash/{message.node}/{self._started_at}/{message.crash}'
        return [
            effects.Publish(
                membership_messages.Broadcast(
                    key,
                    membership_messages.SCOPE_DATACENTRE,
                    message,
                    const.CRASH_WINDOW_MS,
                ),
            ),
            effects.Count('poison.crashes'),
        ]

    def _record_digest(self, digest: bytes, node: str, now: int) -> Effects:
        if digest in self._completed:
            return []
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.expires_at <= now:
            suspect = _Suspect()
            self._suspects[digest] = suspect
        if node in suspect.nodes:
            return []
        suspect.nodes.add(node)
        suspect.expires_at = now + const.CRASH_WINDOW_MS
        self._suspects.move_to_end(digest)
        if suspect.refused or len(suspect.nodes) < const.MIN_CRASHED_NODES:
            return []
        suspect.refused = True
        suspect.expires_at = now + const.REFUSAL_MS
        return [
            effects.Count('poison.refused_digests'),
            effects.Report(
                'request_refused_as_poison',
                {'digest': digest.hex(), 'nodes': sorted(suspect.nodes)},
            ),
        ]

    def _set_tick(self) -> Effects:
        if self._ticking or not self._suspects:
            return []
        self._ticking = True
        oldest = next(iter(self._suspects.values()))
        return [effects.SetTimer(_TICK, oldest.expires_at)]
