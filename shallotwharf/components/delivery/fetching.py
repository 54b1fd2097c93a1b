"""Fetching of versions from relays."""

from collections import abc

from shallotwharf.components.delivery import (
    const,
    exchange,
    messages,
    transfer,
)
from shallotwharf.components.tables import version
from shallotwharf.core import effects, errors


class Fetcher:
    """Versions held by a process, and the request for the next one.

    At most one request is in progress. After `const.NODE_RETRY_MS` without
    progress the next relay is queried. After a part that cannot be applied,
    the whole version is requested instead of a difference.

    Attributes:
        history: versions held.
    """

    __slots__ = (
        'history',
        '_assembly',
        '_for_relay',
        '_needs_whole',
        '_next_fetch_at',
        '_attempts',
    )

    def __init__(self, limit: int, *, for_relay: bool) -> None:
        self.history = transfer.History(limit)
        self._assembly = transfer.Assembly()
        self._for_relay = for_relay
        self._needs_whole = False
        self._next_fetch_at = 0
        self._attempts = 0

    @property
    def newest(self) -> version.Version:
        """Return the version with the highest number."""
        return self.history.newest

    def add_part(
        self,
        part: messages.VersionPart,
        now: int,
    ) -> version.Version | None:
        """Add a part; return the version that it completes if it is newer.

        Raises:
            ProtocolError: if the base is not held, if the digest of the
                result does not match, or if there are too many parts.
        """
        if part.change.number <= self.newest.number:
            return None
        try:
            built = self._assembly.build(part, self.history)
        except errors.ProtocolError:
            self._needs_whole = True
            self._next_fetch_at = now
            raise
        if built is None:
            # More parts are expected, so no other relay is queried yet.
            self._next_fetch_at = now + const.NODE_RETRY_MS
            return None
        self._needs_whole = False
        self._next_fetch_at = now
        self._attempts = 0
        return built

    def read_base(self) -> tuple[int, bytes]:
        """Return number and digest of the base to request a difference from.

        The number is 0 if a whole version is needed.
        """
        number = 0 if self._needs_whole else self.newest.number
        return number, self.history.find_digest(number) or b''

    def fetch(
        self,
        ahead: abc.Sequence[str],
        now: int,
    ) -> list[effects.Effect]:
        """Request a version from the next of the relays that are ahead."""
        if now < self._next_fetch_at or not ahead:
            return []
        chosen = ahead[self._attempts % len(ahead)]
        self._attempts += 1
        self._next_fetch_at = now + const.NODE_RETRY_MS
        number, digest = self.read_base()
        request = exchange.Fetch(number, digest, self._for_relay)
        return [effects.Send(chosen, request)]

    def serve(
        self,
        peer: str,
        request: exchange.Fetch,
    ) -> list[effects.Effect]:
        """Send a peer the newest version if it is newer than its own."""
        target = self.newest.number
        if target <= request.number:
            return []
        wrap = messages.RelayPart if request.for_relay else exchange.NodePart
        parts = self.history.make_parts(
            request.number,
            request.digest,
            target,
        )
        return [effects.Send(peer, wrap(part)) for part in parts]
