"""Replication progress of one follower, as tracked by the leader."""

import typing

from shallotwharf.components.replica import (
    configuration,
    const,
    stored,
)
from shallotwharf.core import messages

_NEVER: typing.Final = -1_000_000


class Progress:
    """Position of a follower's log and the messages in flight to it.

    Attributes:
        member: the follower with its disk.
        next: index of the next entry to send.
        match: last index that is known to be on its disk.
        batches: batches sent and not answered.
        acked_at: send time of the latest message that it answered.
        writable: whether it can write to its disk.
        proved_at: send time of the latest message that it answered as
            writable.
        snapshot: the snapshot that is being sent; None if none is.
        parts: content of that snapshot.
        part: position of the next part to send.
        part_sent_at: when that part was sent last.
    """

    __slots__ = (
        'member',
        'next',
        'match',
        'batches',
        'acked_at',
        'writable',
        'proved_at',
        'snapshot',
        'parts',
        'part',
        'part_sent_at',
        '_match_at_tick',
    )

    def __init__(self, member: configuration.Member, next_index: int) -> None:
        self.member = member
        self.next = next_index
        self.match = 0
        self.batches = 0
        self.acked_at = _NEVER
        self.writable = True
        self.proved_at = _NEVER
        self.snapshot: stored.Snapshot | None = None
        self.parts: tuple[messages.Message, ...] = ()
        self.part = 0
        self.part_sent_at = _NEVER
        self._match_at_tick = 0

    @property
    def has_room(self) -> bool:
        """Return whether another batch may be sent."""
        ahead = self.next - 1 - self.match
        return (
            self.writable
            and self.batches < const.MAX_BATCHES_IN_FLIGHT
            and ahead < const.MAX_ENTRIES_IN_FLIGHT
        )

    def acknowledge(self, sent_at: int, writable: bool) -> None:
        """Update the times of the latest answers."""
        self.acked_at = max(self.acked_at, sent_at)
        self.writable = writable
        if writable:
            self.proved_at = max(self.proved_at, sent_at)

    def accept(self, index: int) -> None:
        """Record that the follower's log matches up to an index."""
        self.batches = max(self.batches - 1, 0)
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)

    def go_back(self, index: int) -> None:
        """Continue to send from an earlier index."""
        self.batches = 0
        self.next = max(min(index, self.next), self.match + 1)

    def tick(self) -> None:
        """Drop the batches in flight if nothing matched after the last call.

        Such batches count as lost.
        """
        if self.match == self._match_at_tick:
            self.batches = 0
        self._match_at_tick = self.match

    def begin_snapshot(
        self,
        snapshot: stored.Snapshot,
        parts: tuple[messages.Message, ...],
    ) -> None:
        """Start to send a snapshot, part by part, before any entry."""
        self.snapshot = snapshot
        self.parts = parts
        self.part = 0
        self.part_sent_at = _NEVER

    def accept_part(self, index: int, part: int) -> bool:
        """Update the part to send next; return whether all have arrived."""
        if self.snapshot is None or self.snapshot.index != index:
            return False
        if part != self.part:
            self.part_sent_at = _NEVER
        self.part = part
        if part < len(self.parts):
            return False
        self.snapshot = None
        self.parts = ()
        self.batches = 0
        self.match = max(self.match, index)
        self.next = self.match + 1
        return True
