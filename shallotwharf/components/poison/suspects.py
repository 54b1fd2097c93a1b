"""Requests that were running when upstreams crashed."""

import collections
import typing

from shallotwharf.components.poison import const

CrashId: typing.TypeAlias = tuple[str, str, int]


class _Suspect:
    """A suspected digest.

    Attributes:
        crashes: crashes in which it was running.
        began_last: crashes in which it was the request that began last.
        expires_at: time when it is dropped, in clock milliseconds.
    """

    __slots__ = ('crashes', 'began_last', 'expires_at')

    def __init__(self) -> None:
        self.crashes: set[CrashId] = set()
        self.began_last: set[CrashId] = set()
        self.expires_at = 0


class Suspects:
    """Digests by the crashes in which they were running.

    The request that crashes upstreams was running in each of its crashes. A
    digest is therefore refused after `MIN_CRASHES` crashes if it is the only
    one that was running in all of them. If another one was, either may be
    the harmless one; both are then admitted, and the harmless one clears itself
    when it completes. After `MAX_CRASHES` the one that began last in most of
    its crashes is refused, and after `LAST_CRASHES` any.
    """

    __slots__ = ('_suspects', '_by_crash')

    def __init__(self) -> None:
        # In the order of the last crash, which is also the order of expiry.
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        self._by_crash: dict[CrashId, set[bytes]] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def add(
        self, digest: bytes, crash: CrashId, now: int, began_last: bool
    ) -> set[bytes]:
        """Record that a digest was running in a crash.

        Returns the digests whose refusal may have changed.
        """
        affected: set[bytes] = set()
        suspect = self._suspects.get(digest)
        if suspect is not None and suspect.expires_at <= now:
            affected = self.remove(digest)
            suspect = None
        if suspect is None:
            suspect = _Suspect()
            self._suspects[digest] = suspect
        if crash in suspect.crashes:
            return affected
        suspect.crashes.add(crash)
        if began_last:
            suspect.began_last.add(crash)
        suspect.expires_at = now + const.CRASH_WINDOW_MS
        self._suspects.move_to_end(digest)
        running = self._by_crash.setdefault(crash, set())
        running.add(digest)
        return affected | running

    def remove(self, digest: bytes) -> set[bytes]:
        """Drop a digest; no effect if it is not suspected.

        Returns the digests whose refusal may have changed, this one included.
        """
        affected = {digest}
        suspect = self._suspects.pop(digest, None)
        for crash in suspect.crashes if suspect is not None else ():
            running = self._by_crash[crash]
            affected.update(running)
            running.discard(digest)
            if not running:
                self._by_crash.pop(crash)
        return affected

    def remove_oldest(self) -> set[bytes]:
        """Drop the digest whose last crash is the oldest."""
        return self.remove(next(iter(self._suspects)))

    def purge_expired(self, now: int) -> set[bytes]:
        """Drop digests whose last crash is too old; return as `remove`."""
        affected: set[bytes] = set()
        expires_at = self.find_next_expiry()
        while expires_at is not None and expires_at <= now:
            affected.update(self.remove_oldest())
            expires_at = self.find_next_expiry()
        return affected

    def find_next_expiry(self) -> int | None:
        """Return when the next digest expires; None without digests."""
        oldest = next(iter(self._suspects.values()), None)
        return oldest.expires_at if oldest is not None else None

    def count_crashes(self, digest: bytes, now: int) -> int:
        """Return the number of crashes in which a digest was running."""
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.expires_at <= now:
            return 0
        return len(suspect.crashes)

    def is_refused(self, digest: bytes, now: int) -> bool:
        """Return whether requests with this digest are refused."""
        count = self.count_crashes(digest, now)
        if count < const.MIN_CRASHES:
            return False
        if count >= const.LAST_CRASHES or self._is_sole(digest):
            return True
        last = len(self._suspects[digest].began_last)
        return count >= const.MAX_CRASHES and 2 * last > count

    def _is_sole(self, digest: bytes) -> bool:
        """Return whether no other digest was running in all its crashes."""
        running = [
            self._by_crash[crash] for crash in self._suspects[digest].crashes
        ]
        return set.intersection(*running) == {digest}
