"""Changes of the local data centre, in the order they are sent to others."""

import collections

from shallotwharf.components.membership import (
    const,
    gossip,
    knowledge,
    messages,
    relays,
    wire,
)
from shallotwharf.core import records


class ChangeLog:
    """Keys of changed entries by the position of their last change.

    Entries of other data centres are left out, because each data centre
    subscribes to every other one directly. Messages with the scope
    `everywhere` are forwarded whatever their origin, so that they still
    arrive when the link between two data centres is cut. Load changes often
    and is logged at most once in `REMOTE_LOAD_PERIOD_MS` for each node.
    """

    __slots__ = (
        'number',
        '_datacentre',
        '_known',
        '_positions',
        '_position',
        '_loads_at',
        '_deferred',
    )

    def __init__(
        self,
        number: int,
        datacentre: str,
        known: knowledge.Knowledge,
    ) -> None:
        self.number = number
        self._datacentre = datacentre
        self._known = known
        self._positions: collections.OrderedDict[knowledge.Key, int] = (
            collections.OrderedDict()
        )
        self._position = 0
        self._loads_at: dict[str, int] = {}
        self._deferred: set[str] = set()

    def add(self, keys: list[knowledge.Key], now: int) -> bool:
        """Append changes; return whether one of them is urgent."""
        urgent = False
        for key in keys:
            if key[0] == const.KIND_LOAD:
                self._deferred.add(key[1])
            elif self._is_logged(key, now):
                self._append(key)
                urgent = True
        return urgent

    def read(self, log: int, after: int, now: int) -> relays.Changes:
        """Return the changes after a position, or all for another log.

        `log` and `after` come from the subscriber. A `log` that is not the
        identifier of this log belongs to an earlier process.
        """
        self._append_loads(now)
        start = after if log == self.number else 0
        keys: list[knowledge.Key] = []
        for key, position in reversed(self._positions.items()):
            if position <= start:
                break
            keys.append(key)
        keys.reverse()
        sent = keys[: const.CHANGES_ENTRIES]
        return relays.Changes(
            self._datacentre,
            self.number,
            start,
            self._positions[sent[-1]] if sent else start,
            len(sent) < len(keys),
            self._build_batch(sent, now),
        )

    def _append(self, key: knowledge.Key) -> None:
        self._position += 1
        self._positions[key] = self._position
        self._positions.move_to_end(key)

    def _append_loads(self, now: int) -> None:
        oldest = now - const.REMOTE_LOAD_PERIOD_MS
        for name in sorted(self._deferred):
            if not self._is_own(name):
                self._deferred.discard(name)
            elif self._loads_at.get(name, oldest) <= oldest:
                self._deferred.discard(name)
                self._loads_at[name] = now
                self._append((const.KIND_LOAD, name))

    def _is_logged(self, key: knowledge.Key, now: int) -> bool:
        kind, name = key
        if kind == const.KIND_SPREAD:
            entry = self._known.spreads.read(name, now)
            return (
                entry is not None and entry.scope == messages.SCOPE_EVERYWHERE
            )
        return kind != const.KIND_BEAT and self._is_own(name)

    def _is_own(self, name: str) -> bool:
        state = self._known.states.get(name)
        return state is not None and state.member.datacentre == self._datacentre

    def _build_batch(
        self,
        keys: list[knowledge.Key],
        now: int,
    ) -> wire.Batch:
        entries: list[records.Record] = []
        for key in keys:
            entry = self._known.read_entry(key, now)
            if entry is None:
                self._positions.pop(key)
            elif not _is_suspicion(entry):
                entries.append(entry)
        return gossip.build_batch(entries)


def _is_suspicion(entry: records.Record) -> bool:
    # A suspicion is resolved inside the data centre within seconds.
    return (
        isinstance(entry, wire.MemberState)
        and entry.status == const.STATUS_SUSPECT
    )
