"""Refuses requests that crash upstreams, wherever they come again.

What counts is the request: its crashes are told to the nodes of all data
centres and count together, also several of the same upstream. A harmless
request may be running beside the bad one, above all one that many callers send
alike, such as a look-up without parameters. It clears itself by completing,
which the bad one never does; nodes tell each other of that as well.
"""

import collections
import typing

from shallotwharf.components.membership import messages as membership_messages
from shallotwharf.components.poison import const, messages, suspects
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

Effects: typing.TypeAlias = list[effects.Effect]

_TICK: typing.Final = 'tick'


class PoisonList(aggregate.Aggregate):
    """Digests of requests that were running when upstreams crashed.

    Args:
        local_node: name of the local node, whose crashes it broadcasts.
        run: random name of this run of the process: a process that starts
            again numbers its crashes from 1, and its clock may have gone back.
    """

    name = 'poison'
    handlers = {
        core_messages.TimerFired: 'expire',
        messages.CrashSeen: 'record_crash',
        messages.Completed: 'record_completion',
    }

    __slots__ = (
        '_local_node',
        '_run',
        '_suspects',
        '_completed',
        '_refused',
        '_is_ticking',
    )

    def __init__(self, local_node: str, run: str) -> None:
        self._local_node = local_node
        self._run = run
        self._suspects = suspects.Suspects()
        # Digests that an upstream completed, the latest last.
        self._completed: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        # Digests that were reported as refused.
        self._refused: set[bytes] = set()
        self._is_ticking = False

    def start(self, _now: int) -> Effects:
        """Do nothing until an upstream crashes."""
        return []

    def is_empty(self) -> bool:
        """Return whether no digest is suspected or refused."""
        return not self._suspects

    def is_refused(self, digest: bytes, now: int) -> bool:
        """Return whether requests with this digest are refused."""
        return self._suspects.is_refused(digest, now)

    def mark_completed(self, digest: bytes, now: int) -> Effects:
        """Record a digest that the local upstream completed.

        It is not suspected again while it is stored, because the bad request
        never completes.
        """
        count = self._suspects.count_crashes(digest, now)
        affected = self._store_completed(digest)
        if not count:
            return []
        step = self._report_refused(affected, now)
        if count >= const.MIN_CRASHES:
            step.append(_broadcast_completed(digest))
        return step

    def record_crash(
        self,
        message: messages.CrashSeen,
        _sender: str,
        now: int,
    ) -> Effects:
        """Record a crash at any node; broadcast one of the local node."""
        if not message.run and message.node == self._local_node:
            return self._broadcast_crash(message)
        step: Effects = []
        affected: set[bytes] = set()
        crash = (message.node, message.run, message.crash)
        for digest in message.digests[: const.MAX_DIGESTS_PER_CRASH]:
            if digest in self._completed:
                step.append(_broadcast_completed(digest))
            else:
                is_last = digest == message.latest
                affected |= self._suspects.add(digest, crash, now, is_last)
        while len(self._suspects) > const.MAX_DIGESTS:
            affected |= self._suspects.remove_oldest()
            step.append(effects.Count('poison.dropped'))
        step.extend(self._report_refused(affected, now))
        return [*step, *self._set_tick()]

    def record_completion(
        self,
        message: messages.Completed,
        _sender: str,
        now: int,
    ) -> Effects:
        """Clear a digest that the upstream of another node completed."""
        affected = self._store_completed(message.digest)
        return self._report_refused(affected, now)

    def expire(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> Effects:
        """Drop expired digests."""
        self._is_ticking = False
        affected = self._suspects.purge_expired(now)
        return [*self._report_refused(affected, now), *self._set_tick()]

    def _store_completed(self, digest: bytes) -> set[bytes]:
        self._completed[digest] = None
        self._completed.move_to_end(digest)
        if len(self._completed) > const.MAX_DIGESTS:
            self._completed.popitem(last=False)
        return self._suspects.remove(digest)

    def _broadcast_crash(self, message: messages.CrashSeen) -> Effects:
        """Broadcast a crash of the local node, which gets it as well."""
        digests = tuple(
            digest
            for digest in message.digests[: const.MAX_DIGESTS_PER_CRASH]
            if digest not in self._completed
        )
        step: Effects = [effects.Count('poison.crashes')]
        if digests:
            key = f'crash/{message.node}/{self._run}/{message.crash}'
            told = message.replace(digests=digests, run=self._run)
            step.append(_broadcast(key, told))
        return step

    def _report_refused(self, affected: set[bytes], now: int) -> Effects:
        """Report the digests that are refused from now on, or no longer."""
        refused = {
            digest
            for digest in affected
            if self._suspects.is_refused(digest, now)
        }
        added = refused - self._refused
        removed = self._refused & (affected - refused)
        self._refused = (self._refused | added) - removed
        step: Effects = []
        if added:
            step.append(effects.Count('poison.refused_digests', len(added)))
        for event, digests in (
            ('request_refused_as_poison', added),
            ('request_admitted_again', removed),
        ):
            step.extend(
                effects.Report(event, {'digest': digest.hex()})
                for digest in sorted(digests)
            )
        return step

    def _set_tick(self) -> Effects:
        expires_at = self._suspects.find_next_expiry()
        if self._is_ticking or expires_at is None:
            return []
        self._is_ticking = True
        return [effects.SetTimer(_TICK, expires_at)]


def _broadcast_completed(digest: bytes) -> effects.Effect:
    # The same key at all nodes: one message is enough.
    key = f'completed/{digest.hex()}'
    return _broadcast(key, messages.Completed(digest))


def _broadcast(key: str, message: core_messages.Message) -> effects.Effect:
    return effects.Publish(
        membership_messages.Broadcast(
            key,
            membership_messages.SCOPE_EVERYWHERE,
            message,
            const.CRASH_WINDOW_MS,
        ),
    )
