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
        next_index: index of the next entry to send.
        match_index: last index that is known to be on its disk.
        batches_in_flight: batches sent and not answered.
        acked_at: send time of the latest message that it answered.
        writable: whether it can write to its disk.
        writable_at: send time of the latest message that it answered as
            writable.
        snapshot: the snapshot that is being sent; None if none is.
        parts: content of that snapshot.
        part: position of the next part to send.
        part_sent_at: when that part was sent last.
    """

    __slots__ = (
        'member',
        'next_index',
        'match_index',
        'batches_in_flight',
        'acked_at',
        'writable',
        'writable_at',
        'snapshot',
        'parts',
        'part',
        'part_sent_at',
        '_match_at_heartbeat',
    )

    def __init__(self, member: configuration.Member, next_index: int) -> None:
        self.member = member
        self.next_index = next_index
        self.match_index = 0
        self.batches_in_flight = 0
        self.acked_at = _NEVER
        self.writable = True
        self.writable_at = _NEVER
        self.snapshot: stored.Snapshot | None = None
        self.parts: tuple[messages.Message, ...] = ()
        self.part = 0
        self.part_sent_at = _NEVER
        self._match_at_heartbeat = 0

    @property
    def has_room(self) -> bool:
        """Return whether another batch may be sent."""
        ahead = self.next_index - 1 - self.match_index
        return (
            self.writable
            and self.batches_in_flight < const.MAX_BATCHES_IN_FLIGHT
            and ahead < const.MAX_ENTRIES_IN_FLIGHT
        )

    def acknowledge(self, sent_at: int, writable: bool) -> None:
        """Update the times of the latest answers."""
        self.acked_at = max(self.acked_at, sent_at)
        self.writable = writable
        if writable:
            self.writable_at = max(self.writable_at, sent_at)

    def accept(self, index: int) -> None:
        """Record that the follower's log matches up to an index."""
        self.batches_in_flight = max(self.batches_in_flight - 1, 0)
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def rewind(self, index: int) -> None:
        """Continue to send from an earlier index."""
        self.batches_in_flight = 0
        self.next_index = max(min(index, self.next_index), self.match_index + 1)

    def drop_lost_batches(self) -> None:
        """Drop the batches in flight as lost if `match_index` is unchanged.

        It is compared with its value at the last call.
        """
        if self.match_index == self._match_at_heartbeat:
            self.batches_in_flight = 0
        self._match_at_heartbeat = self.match_index

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
        self.batches_in_flight = 0
        self.match_index = max(self.match_index, index)
        self.next_index = self.match_index + 1
        return True
