"""What the leader knows of one follower."""

import typing

from shallotwharf.components.replica import (
    configuration,
    const,
    stored,
)
from shallotwharf.core import messages

_NEVER: typing.Final = -1_000_000


class Progress:
    """Position of a follower's log and what is on its way to it.

    Attributes:
        member: the follower with its disk.
        next: index of the next entry to send.
        match: last index that is known to be on its disk.
        batches: batches sent and not answered.
        acked_at: when the latest message that it answered was sent.
        writable: whether it can write to its disk.
        proved_at: when the latest message was sent that it answered so.
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
        """Tell whether another batch may be sent."""
        ahead = self.next - 1 - self.match
        return (
            self.writable
            and self.batches < const.MAX_BATCHES_IN_FLIGHT
            and ahead < const.MAX_ENTRIES_IN_FLIGHT
        )

    def acknowledge(self, sent_at: int, writable: bool) -> None:
        """Take note of an answer to what was sent at a time."""
        self.acked_at = max(self.acked_at, sent_at)
        self.writable = writable
        if writable:
            self.proved_at = max(self.proved_at, sent_at)

    def accept(self, index: int) -> None:
        """Take note that the log matches up to an index."""
        self.batches = max(self.batches - 1, 0)
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)

    def go_back(self, index: int) -> None:
        """Send again from an index on."""
        self.batches = 0
        self.next = max(min(index, self.next), self.match + 1)

    def tick(self) -> None:
        """Forget batches that were lost: nothing came back in a while."""
        if self.match == self._match_at_tick:
            self.batches = 0
        self._match_at_tick = self.match

    def begin_snapshot(
        self,
        snapshot: stored.Snapshot,
        parts: tuple[messages.Message, ...],
    ) -> None:
        """Send a snapshot part by part before any entry."""
        self.snapshot = snapshot
        self.parts = parts
        self.part = 0
        self.part_sent_at = _NEVER

    def accept_part(self, index: int, part: int) -> bool:
        """Note which part is needed next; return whether all arrived."""
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
