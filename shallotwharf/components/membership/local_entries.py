"""Entries that only this node writes."""

from shallotwharf.components.membership import const, messages, wire


class LocalEntries:
    """State, announcement and load of this node.

    Numbers start from `run`, the start of the process in milliseconds since
    the epoch, so that those of a restarted process are higher. If the clock
    has gone back since, they are raised above those that others have received.
    """

    __slots__ = (
        'state',
        '_generation',
        '_announced',
        '_load_number',
        '_load_at',
    )

    def __init__(self, member: messages.Member, run: int) -> None:
        self.state = wire.MemberState(member, run, 0, const.STATUS_ALIVE)
        self._generation = run
        self._announced: messages.Announcement | None = None
        self._load_number = run // 1000
        self._load_at: int | None = None

    def refute(self, claimed: wire.MemberState) -> bool:
        """Replace the state of this node if `claimed` is newer.

        `claimed` is a state of this node as received from others. A higher
        `run` comes from an earlier process whose clock was ahead.

        Returns whether the state was replaced.
        """
        local = self.state
        if local.status == const.STATUS_LEFT or not claimed.is_newer(local):
            return False
        run, incarnation = local.run, claimed.incarnation + 1
        if claimed.run > local.run:
            run, incarnation = claimed.run + 1, 0
        self.state = local.replace(run=run, incarnation=incarnation)
        self._generation = max(self._generation, run)
        return True

    def is_foreign(self, stored: messages.Announcement) -> bool:
        """Return whether an earlier process of this node made an announcement.

        `stored` is the one of this node with the highest generation. It counts
        only if it would hide those of this process.
        """
        if self.state.status == const.STATUS_LEFT:
            return False
        return stored.generation >= self.state.run and stored != self._announced

    def reclaim(self, stored: messages.Announcement) -> wire.Batch:
        """Return entries of this process above those of an earlier one.

        `stored` is an announcement of the earlier process.
        """
        run = stored.generation + 1
        self.state = self.state.replace(run=run, incarnation=0)
        self._generation = max(self._generation, run)
        announced: tuple[messages.Announcement, ...] = ()
        if self._announced is not None:
            announced = (self.announce(self._announced, run),)
        return wire.Batch(states=(self.state,), announcements=announced)

    def leave(self) -> None:
        """Mark this node as departed."""
        self.state = self.state.replace(
            status=const.STATUS_LEFT,
            incarnation=self.state.incarnation + 1,
        )

    def announce(
        self,
        announcement: messages.Announcement,
        newest: int,
    ) -> messages.Announcement:
        """Return the announcement with a generation above all earlier ones.

        `newest` is the highest generation of this node that was received.
        """
        self._generation = max(self._generation, newest) + 1
        self._announced = announcement.replace(generation=self._generation)
        return self._announced

    def build_load(
        self, announced: messages.Announcement, newest: int, now: int
    ) -> wire.Load:
        """Return the load of an announcement.

        Its number is above all earlier ones; `newest` is the highest number of
        this node that was received.
        """
        self._load_number = max(self._load_number, newest) + 1
        self._load_at = now
        return wire.Load(
            self.state.member.name,
            self._load_number,
            announced.spare,
            announced.condition,
        )

    def find_next_load_time(self, now: int) -> int:
        """Return when the next change of load alone may be sent."""
        if self._load_at is None:
            return now
        return max(now, self._load_at + const.LOAD_PERIOD_MS)
