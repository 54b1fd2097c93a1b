"""Broadcast messages, which each node of a scope publishes once."""

import zlib

from shallotwharf.components.membership import const, sizes, wire


class _Kept:
    __slots__ = ('item', 'expires_at')

    def __init__(self, item: wire.SpreadItem, expires_at: int) -> None:
        self.item = item
        self.expires_at = expires_at


class Spreads:
    """Messages by key, stored for their lifetime.

    Keys are stored for another `SPREAD_MEMORY_MS`. At most `MAX_SPREADS` keys
    are stored. Beyond that new messages are refused, because a message whose
    key was dropped early could be published twice.
    """

    __slots__ = ('_kept',)

    def __init__(self) -> None:
        self._kept: dict[str, _Kept] = {}

    def accept(self, item: wire.SpreadItem, now: int) -> bool:
        """Store a message; return whether it is new and may be published."""
        if item.remaining_ms <= 0 or item.key in self._kept:
            return False
        if len(self._kept) >= const.MAX_SPREADS:
            self.forget(now)
        if len(self._kept) >= const.MAX_SPREADS:
            return False
        if sizes.estimate_bytes(item) > const.MAX_SPREAD_BYTES:
            return False
        self._kept[item.key] = _Kept(item, now + item.remaining_ms)
        return True

    def has_key(self, key: str) -> bool:
        """Return whether a message with the key was accepted."""
        return key in self._kept

    def read(self, key: str, now: int) -> wire.SpreadItem | None:
        """Return a message with its remaining lifetime; None once expired."""
        kept = self._kept.get(key)
        if kept is None or kept.expires_at <= now:
            return None
        return kept.item.replace(remaining_ms=kept.expires_at - now)

    def read_all(self, now: int) -> tuple[wire.SpreadItem, ...]:
        """Return all messages that have not expired."""
        items = (self.read(key, now) for key in self._kept)
        return tuple(item for item in items if item is not None)

    def forget(self, now: int) -> None:
        """Drop keys whose messages expired `SPREAD_MEMORY_MS` ago."""
        oldest = now - const.SPREAD_MEMORY_MS
        for key, kept in list(self._kept.items()):
            if kept.expires_at < oldest:
                self._kept.pop(key)

    def compute_digest(self) -> int:
        """Return a digest of the keys."""
        digest = 0
        for key in self._kept:
            digest ^= zlib.crc32(key.encode())
        return digest
