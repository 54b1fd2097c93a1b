"""Records of once-only calls that a holder stores for one group."""

import collections

from shallotwharf.components.once import const, holder_messages, wire


class Entry:
    """One record; `result` is None while the call is claimed."""

    __slots__ = (
        'key',
        'position',
        'digest',
        'token',
        'result',
        'expires_at',
    )

    def __init__(
        self,
        key: str,
        position: int,
        digest: bytes,
        token: bytes,
        expires_at: int,
    ) -> None:
        self.key = key
        self.position = position
        self.digest = digest
        self.token = token
        self.expires_at = expires_at
        self.result: wire.Result | None = None


class Budget:
    """Remaining capacity, shared by all stores of one process."""

    __slots__ = ('entries', 'body_bytes')

    def __init__(
        self,
        entries: int = const.MAX_RECORDS,
        body_bytes: int = const.MAX_STORED_BODY_BYTES,
    ) -> None:
        self.entries = entries
        self.body_bytes = body_bytes


class Store:
    """Records by key in the order of their claims."""

    __slots__ = ('_entries', '_released', '_budget', '_position')

    def __init__(self, budget: Budget) -> None:
        self._entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        self._released: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._budget = budget
        self._position = 0

    def find(self, key: str) -> Entry | None:
        """Return the record of a key; None if there is none."""
        return self._entries.get(key)

    def expire(self, now: int) -> None:
        """Drop the records whose lifetime has passed.

        Stops at the first record that has not expired.
        """
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.expires_at > now:
                return
            self._remove(key)

    def clear(self) -> None:
        """Drop all records."""
        for key in list(self._entries):
            self._remove(key)

    def claim(self, claim: wire.Claim, now: int) -> str:
        """Store a claim of a key that has no record; return the verdict."""
        if claim.token in self._released:
            return const.VERDICT_RELEASED
        if self._budget.entries <= 0:
            return const.VERDICT_FULL
        expires_at = now + const.RECORD_LIFETIME_MS
        self._add(claim.key, claim.digest, claim.token, expires_at)
        return const.VERDICT_GRANTED

    def finish(self, finish: wire.Finish, now: int) -> None:
        """Store the result of a call.

        Only one attempt of a call gets a majority, so that its result may
        replace the claim of any other attempt.
        """
        entry = self._entries.get(finish.key)
        if entry is None:
            expires_at = now + const.RECORD_LIFETIME_MS
            entry = self._add(
                finish.key,
                finish.digest,
                finish.token,
                expires_at,
            )
        self._set_result(entry, finish.digest, finish.token, finish.result)

    def release(self, key: str, token: bytes) -> None:
        """Drop the claim of an attempt and refuse it if it arrives again."""
        entry = self._entries.get(key)
        if entry is not None and entry.token == token and not entry.result:
            self._remove(key)
        self._released[token] = None
        if len(self._released) > const.MAX_RELEASED_TOKENS:
            self._released.popitem(last=False)

    def read_page(self, after: int, now: int) -> list[Entry]:
        """Return up to `MAX_PAGE_RECORDS` records after a position."""
        page: list[Entry] = []
        for entry in self._entries.values():
            if entry.position > after and entry.expires_at > now:
                page.append(entry)
            if len(page) >= const.MAX_PAGE_RECORDS:
                break
        return page

    def add_copy(self, copied: holder_messages.CopiedRecord, now: int) -> None:
        """Store a record copied from another holder.

        A complete result that is already stored is not replaced.
        """
        entry = self._entries.get(copied.key)
        if entry is None:
            entry = self._add(
                copied.key,
                copied.digest,
                copied.token,
                now + copied.remaining_ms,
            )
        if copied.result is not None:
            self._set_result(entry, copied.digest, copied.token, copied.result)

    def _add(
        self,
        key: str,
        digest: bytes,
        token: bytes,
        expires_at: int,
    ) -> Entry:
        self._position += 1
        entry = Entry(key, self._position, digest, token, expires_at)
        self._entries[key] = entry
        self._budget.entries -= 1
        return entry

    def _set_result(
        self,
        entry: Entry,
        digest: bytes,
        token: bytes,
        result: wire.Result,
    ) -> None:
        """Set the result of a call unless a complete one is stored."""
        if entry.result is None or not entry.result.body_complete:
            entry.digest = digest
            entry.token = token
            entry.result = self._limit_body(result)

    def _remove(self, key: str) -> None:
        entry = self._entries.pop(key)
        self._budget.entries += 1
        if entry.result is not None:
            self._budget.body_bytes += len(entry.result.body)

    def _limit_body(self, result: wire.Result) -> wire.Result:
        if len(result.body) > self._budget.body_bytes:
            return result.replace(body=b'', body_complete=False)
        self._budget.body_bytes -= len(result.body)
        return result
