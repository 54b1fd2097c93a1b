"""Copy of the records of the other members of a group."""

from shallotwharf.components.once import const, peers, seat


class Copier:
    """One copy of all records of all other members, page by page.

    A page is requested again until it arrives. After `COPY_TIMEOUT_MS`
    without progress the copy is dropped and a new one starts.

    Args:
        number: identifies the copy; pages of another copy are ignored.
        now: monotonic time in ms.
    """

    __slots__ = ('number', '_seat', '_progress_at', '_after', '_open')

    def __init__(self, copied: seat.Seat, number: int, now: int) -> None:
        self.number = number
        self._seat = copied
        self._progress_at = now
        # Position of the last record received from each member.
        self._after = dict.fromkeys(copied.others, 0)
        self._open = set(copied.others)

    def is_over(self, now: int) -> bool:
        """Return whether the copy timed out or the members have changed."""
        return now >= self._progress_at + const.COPY_TIMEOUT_MS or set(
            self._seat.others
        ) != set(self._after)

    def build_requests(
        self,
        only: str = '',
    ) -> list[tuple[str, peers.Copy]]:
        """Return the next request for each member that has more records.

        `only` restricts the requests to one member.
        """
        return [
            (
                member,
                peers.Copy(
                    self._seat.group,
                    self._seat.epoch,
                    self.number,
                    self._after[member],
                ),
            )
            for member in sorted(self._open)
            if only in {'', member}
        ]

    def accept(self, page: peers.Copied, sender: str, now: int) -> bool:
        """Store a page if it was requested; return whether it was."""
        expected = self._after.get(sender)
        if page.number != self.number or page.after != expected:
            return False
        if sender not in self._open:
            return False
        for copied in page.records:
            self._seat.records.add_copy(copied, now)
        self._after[sender] = page.last
        self._progress_at = now
        if page.complete:
            self._open.discard(sender)
        return True

    def is_complete(self) -> bool:
        """Return whether all records of all members have been received."""
        return not self._open
