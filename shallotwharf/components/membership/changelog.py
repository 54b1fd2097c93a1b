"""Changes of the local data centre, in the order they are sent to others."""

import collections

from shallotwharf.components.membership import (
    const,
    entry_store,
    gossip,
    messages,
    relay_messages,
    wire,
)
from shallotwharf.core import records


class ChangeLog:
    """Keys of changed entries by the position of their last change.

    Entries of other data centres are left out, because each data centre
    subscribes to every other one directly. Broadcasts with the scope
    `everywhere` are forwarded whatever their origin, so that they still
    arrive when the link between two data centres is cut. Load changes often
    and is logged at most once in `REMOTE_LOAD_PERIOD_MS` for each node.
    """

    __slots__ = (
        'log_id',
        '_datacentre',
        '_store',
        '_positions',
        '_position',
        '_load_logged_at',
        '_deferred_loads',
    )

    def __init__(
        self,
        log_id: int,
        datacentre: str,
        store: entry_store.EntryStore,
    ) -> None:
        self.log_id = log_id
        self._datacentre = datacentre
        self._store = store
        self._positions: collections.OrderedDict[entry_store.Key, int] = (
            collections.OrderedDict()
        )
        self._position = 0
        self._load_logged_at: dict[str, int] = {}
        self._deferred_loads: set[str] = set()

    def add(self, keys: list[entry_store.Key], now: int) -> bool:
        """Append changes; return whether one of them is urgent."""
        urgent = False
        for key in keys:
            if key[0] == const.KIND_LOAD:
                self._deferred_loads.add(key[1])
            elif self._is_logged(key, now):
                self._append(key)
                urgent = True
        return urgent

    def read(self, log_id: int, after: int, now: int) -> relay_messages.Changes:
        """Return the changes after a position, or all for another log.

        `log_id` and `after` come from the subscriber. Another `log_id` belongs
        to an earlier process.
        """
        self._append_loads(now)
        start = after if log_id == self.log_id else 0
        keys: list[entry_store.Key] = []
        for key, position in reversed(self._positions.items()):
            if position <= start:
                break
            keys.append(key)
        keys.reverse()
        sent = keys[: const.MAX_CHANGES_ENTRIES]
        return relay_messages.Changes(
            self._datacentre,
            self.log_id,
            start,
            self._positions[sent[-1]] if sent else start,
            len(sent) < len(keys),
            self._build_batch(sent, now),
        )

    def _append(self, key: entry_store.Key) -> None:
        self._position += 1
        self._positions[key] = self._position
        self._positions.move_to_end(key)

    def _append_loads(self, now: int) -> None:
        oldest = now - const.REMOTE_LOAD_PERIOD_MS
        for name in sorted(self._deferred_loads):
            if not self._is_local(name):
                self._deferred_loads.discard(name)
            elif self._load_logged_at.get(name, oldest) <= oldest:
                self._deferred_loads.discard(name)
                self._load_logged_at[name] = now
                self._append((const.KIND_LOAD, name))

    def _is_logged(self, key: entry_store.Key, now: int) -> bool:
        kind, name = key
        if kind == const.KIND_BROADCAST:
            entry = self._store.broadcasts.read(name, now)
            return (
                entry is not None and entry.scope == messages.SCOPE_EVERYWHERE
            )
        return kind != const.KIND_HEARTBEAT and self._is_local(name)

    def _is_local(self, name: str) -> bool:
        state = self._store.states.get(name)
        return state is not None and state.member.datacentre == self._datacentre

    def _build_batch(
        self,
        keys: list[entry_store.Key],
        now: int,
    ) -> wire.Batch:
        entries: list[records.Record] = []
        for key in keys:
            entry = self._store.read_entry(key, now)
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
