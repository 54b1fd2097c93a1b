"""Copy of the records of the other members of a group."""

from shallotwharf.components.once import const, holder_messages, replica_slot


class Copier:
    """One copy of all records of all other members, page by page.

    A page is requested again until it arrives. After `COPY_TIMEOUT_MS`
    without progress the copy is dropped and a new one starts.

    Args:
        number: identifies the copy; pages of another copy are ignored.
        now: monotonic time in ms.
    """

    __slots__ = (
        'number',
        '_slot',
        '_progress_at',
        '_positions',
        '_incomplete_members',
    )

    def __init__(
        self, slot: replica_slot.ReplicaSlot, number: int, now: int
    ) -> None:
        self.number = number
        self._slot = slot
        self._progress_at = now
        # Position of the last record received from each member.
        self._positions = dict.fromkeys(slot.others, 0)
        self._incomplete_members = set(slot.others)

    def is_expired(self, now: int) -> bool:
        """Return whether the copy timed out or the members have changed."""
        return now >= self._progress_at + const.COPY_TIMEOUT_MS or set(
            self._slot.others
        ) != set(self._positions)

    def build_requests(
        self,
        only_member: str = '',
    ) -> list[tuple[str, holder_messages.CopyRequest]]:
        """Return the next request for each member that has more records.

        `only_member` restricts the requests to one member.
        """
        return [
            (
                member,
                holder_messages.CopyRequest(
                    self._slot.group,
                    self._slot.epoch,
                    self.number,
                    self._positions[member],
                ),
            )
            for member in sorted(self._incomplete_members)
            if only_member in {'', member}
        ]

    def accept(
        self, page: holder_messages.CopyPage, sender: str, now: int
    ) -> bool:
        """Store a page if it was requested; return whether it was."""
        expected = self._positions.get(sender)
        if page.number != self.number or page.after != expected:
            return False
        if sender not in self._incomplete_members:
            return False
        for record in page.records:
            self._slot.records.add_copy(record, now)
        self._positions[sender] = page.last
        self._progress_at = now
        if page.complete:
            self._incomplete_members.discard(sender)
        return True

    def is_complete(self) -> bool:
        """Return whether all records of all members have been received."""
        return not self._incomplete_members
