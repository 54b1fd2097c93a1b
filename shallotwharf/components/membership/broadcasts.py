"""Broadcast messages, which each node of a scope publishes once."""

import zlib

from shallotwharf.components.membership import const, sizes, wire


class _StoredItem:
    __slots__ = ('item', 'expires_at')

    def __init__(self, item: wire.BroadcastItem, expires_at: int) -> None:
        self.item = item
        self.expires_at = expires_at


class Broadcasts:
    """Messages by key, stored for their lifetime.

    Keys are stored for another `BROADCAST_KEY_RETENTION_MS`. At most
    `MAX_BROADCASTS` keys are stored, and fewer of one type of message. Beyond
    that new messages are refused, because a message whose key was dropped early
    could be published twice.
    """

    __slots__ = ('_items',)

    def __init__(self) -> None:
        self._items: dict[str, _StoredItem] = {}

    def accept(self, item: wire.BroadcastItem, now: int) -> bool:
        """Store a message; return whether it is new and may be published."""
        if item.remaining_ms <= 0 or item.key in self._items:
            return False
        if not self._has_room(item):
            self.purge_expired(now)
        if not self._has_room(item):
            return False
        if sizes.estimate_bytes(item) > const.MAX_BROADCAST_BYTES:
            return False
        self._items[item.key] = _StoredItem(item, now + item.remaining_ms)
        return True

    def has_key(self, key: str) -> bool:
        """Return whether a message with the key was accepted."""
        return key in self._items

    def read(self, key: str, now: int) -> wire.BroadcastItem | None:
        """Return a message with its remaining lifetime; None once expired."""
        stored = self._items.get(key)
        if stored is None or stored.expires_at <= now:
            return None
        return stored.item.replace(remaining_ms=stored.expires_at - now)

    def read_all(self, now: int) -> tuple[wire.BroadcastItem, ...]:
        """Return all messages that have not expired."""
        items = (self.read(key, now) for key in self._items)
        return tuple(item for item in items if item is not None)

    def purge_expired(self, now: int) -> None:
        """Drop keys whose messages expired `BROADCAST_KEY_RETENTION_MS` ago."""
        oldest = now - const.BROADCAST_KEY_RETENTION_MS
        for key, stored in list(self._items.items()):
            if stored.expires_at < oldest:
                self._items.pop(key)

    def compute_digest(self) -> int:
        """Return a digest of the keys."""
        digest = 0
        for key in self._items:
            digest ^= zlib.crc32(key.encode())
        return digest

    def _has_room(self, item: wire.BroadcastItem) -> bool:
        if len(self._items) < const.MAX_BROADCASTS_OF_A_TYPE:
            return True
        tag = item.message.tag
        alike = sum(
            stored.item.message.tag == tag for stored in self._items.values()
        )
        return (
            alike < const.MAX_BROADCASTS_OF_A_TYPE
            and len(self._items) < const.MAX_BROADCASTS
        )
