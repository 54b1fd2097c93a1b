"""Requests that crash upstreams are refused in the data centre.

A request is refused once upstreams of two different nodes crashed while they
ran it. A harmless request may have run beside the bad one on both: then it is
refused as well, for ten minutes. That takes the same method, path and body on
both upstreams at the moments of their crashes. An identical request that many
callers send, such as a look-up without parameters, does get there, so that a
digest that has since completed on an upstream is cleared with `clear`: the bad
request never completes.
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
    """A digest with the nodes that crashed with it."""

    __slots__ = ('nodes', 'expires_at', 'refused')

    def __init__(self) -> None:
        self.nodes: set[str] = set()
        self.expires_at = 0
        self.refused = False


class PoisonList(aggregate.Aggregate):
    """Digests of requests that upstreams ran when they crashed.

    Args:
        own_name: name of the own node, whose crashes it spreads.
        run: start of the process, in milliseconds since the epoch.
    """

    name = 'poison'
    handlers = {
        core_messages.TimerFired: 'expire',
        messages.CrashSeen: 'accept_crash',
    }

    __slots__ = (
        '_own_name',
        '_run',
        '_suspects',
        '_completed',
        '_seen',
        '_ticking',
    )

    def __init__(self, own_name: str, run: int) -> None:
        self._own_name = own_name
        self._run = run
        # In the order of their last crash, and so of their expiry.
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        # Digests that the own upstream completed, the latest one last.
        self._completed: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        # Number of the last own crash that was spread.
        self._seen = 0
        self._ticking = False

    def start(self, _now: int) -> Effects:
        """Do nothing until an upstream crashes."""
        return []

    def is_empty(self) -> bool:
        """Return whether no digest is suspected or refused."""
        return not self._suspects

    def is_poison(self, digest: bytes, now: int) -> bool:
        """Return whether a request of this digest is refused."""
        suspect = self._suspects.get(digest)
        return (
            suspect is not None and suspect.refused and suspect.expires_at > now
        )

    def clear(self, digest: bytes) -> None:
        """Note a digest that the own upstream completed.

        It is not suspected again while it is remembered: the bad request
        never completes. Only digests that are not refused yet are cleared: of
        those that are, no request reaches an upstream any more.
        """
        self._completed[digest] = None
        self._completed.move_to_end(digest)
        if len(self._completed) > const.MAX_DIGESTS:
            self._completed.popitem(last=False)
        suspect = self._suspects.get(digest)
        if suspect is not None and not suspect.refused:
            self._suspects.pop(digest)

    def accept_crash(
        self,
        message: messages.CrashSeen,
        _sender: str,
        now: int,
    ) -> Effects:
        """Note a crash of any node; spread one of the own node."""
        step = self._spread(message)
        for digest in message.digests[: const.MAX_DIGESTS_PER_CRASH]:
            step.extend(self._note(digest, message.node, now))
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
        """Drop digests whose time has passed."""
        self._ticking = False
        while self._suspects:
            digest, suspect = next(iter(self._suspects.items()))
            if suspect.expires_at > now:
                break
            self._suspects.pop(digest)
        return self._set_tick()

    def _spread(self, message: messages.CrashSeen) -> Effects:
        """Spread an own crash, which comes back from membership once."""
        if message.node != self._own_name or message.crash <= self._seen:
            return []
        self._seen = message.crash
        # A restarted process counts its crashes anew.
        key = f'crash/{message.node}/{self._run}/{message.crash}'
        return [
            effects.Publish(
                membership_messages.Broadcast(
                    key,
                    membership_messages.SCOPE_DATACENTRE,
                    message,
                    const.CRASH_MEMORY_MS,
                ),
            ),
            effects.Count('poison.crashes'),
        ]

    def _note(self, digest: bytes, node: str, now: int) -> Effects:
        if digest in self._completed:
            return []
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.expires_at <= now:
            suspect = _Suspect()
            self._suspects[digest] = suspect
        if node in suspect.nodes:
            return []
        suspect.nodes.add(node)
        suspect.expires_at = now + const.CRASH_MEMORY_MS
        self._suspects.move_to_end(digest)
        if suspect.refused or len(suspect.nodes) < const.CRASHED_NODES:
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
