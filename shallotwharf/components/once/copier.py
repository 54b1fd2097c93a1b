"""Copies of the records of the other members of a group."""

from shallotwharf.components.once import const, peers, seat


class Copier:
    """One copy of all records of all other members.

    Each page is asked for again until it arrives; a copy that
    makes no progress is dropped and a new one begins.
    """

    __slots__ = ('number', '_seat', '_progress_at', '_after', '_open')

    def __init__(self, copied: seat.Seat, number: int, now: int) -> None:
        self.number = number
        self._seat = copied
        self._progress_at = now
        # Position of the last record of each member that has arrived.
        self._after = dict.fromkeys(copied.others, 0)
        self._open = set(copied.others)

    def is_over(self, now: int) -> bool:
        """Return whether the copy took too long or its epoch has passed."""
        return now >= self._progress_at + const.COPY_TIMEOUT_MS or set(
            self._seat.others
        ) != set(self._after)

    def build_requests(
        self,
        only: str = '',
    ) -> list[tuple[str, peers.Copy]]:
        """Return the request for the next page of each open member.

        `only` restricts it to one member.
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
        """Keep a page that was asked for; return whether it was new."""
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
        """Return whether all records of all members have arrived."""
        return not self._open
