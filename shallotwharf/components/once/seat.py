"""Replica slot: the membership of a holder in one group.

A holder that restarted has lost its records, and one that joins a group never
had them. Either could let a call run twice, and therefore abstains until one
of these conditions holds. From then on it is settled and grants claims.

- It has copied the records of both other members while both were settled. A
  call that ran was claimed at a majority, so at least one of them has it.
- The lifetime of records has passed since the holder started, and since the
  epoch was sealed, that is, since no majority of an earlier epoch can grant a
  claim. All keys granted before that are too old to be accepted.
- The group is new in the cluster: all three processes were running before the
  first groups were assigned, and none has granted a claim before.
"""

from shallotwharf.components.once import const, peers, store
from shallotwharf.components.tables import version


class Seat:
    """One group of which this node is a member.

    Attributes:
        group: name of the group.
        epoch: number that rises by one with each change of the members.
        others: names of the other members.
        records: records of the group's calls.
        settled: whether this holder grants claims.
        sealed: whether all members are known to have applied the epoch.
    """

    __slots__ = (
        'group',
        'epoch',
        'others',
        'records',
        'settled',
        'sealed',
        '_instance',
        '_since',
        '_fresh',
        '_initial',
        '_heard',
    )

    def __init__(
        self,
        records: store.Store,
        instance: int,
        fresh: bool,
        now: int,
    ) -> None:
        self.records = records
        self.settled = False
        self._instance = instance
        self._since = now
        self._fresh = fresh
        self._initial: tuple[int, ...] = ()

    def enter(
        self,
        group: version.HolderGroup,
        own_name: str,
        now: int,
    ) -> None:
        """Apply an epoch of the group."""
        self.group = group.name
        self.epoch = group.epoch
        self.others = tuple(
            member.name for member in group.members if member.name != own_name
        )
        self._heard: dict[str, peers.Peek] = {}
        self._fresh = self._fresh and group.epoch == 0
        self.sealed = False
        self._seal(now)

    def build_peek(self) -> peers.Peek:
        """Return the state message for the other members."""
        return peers.Peek(
            self.group,
            self.epoch,
            self._instance,
            self.settled,
            self.sealed,
            self._fresh and not self.settled,
            self._initial,
        )

    def hear(self, peek: peers.Peek, sender: str, now: int) -> None:
        """Record the state of another member if its epoch is the same."""
        if sender in self.others and peek.epoch == self.epoch:
            self._heard[sender] = peek
            self._seal(now)

    def settle(self, now: int) -> bool:
        """Settle if a condition holds; return whether it is settled."""
        if self._is_new_group():
            self._initial = tuple(
                peek.instance for peek in self._heard.values()
            )
            self.settled = True
        elif self.sealed and now >= self._since + const.LIFETIME_MS:
            self.settled = True
        return self.settled

    def settle_by_copy(self) -> None:
        """Settle because the records of both others have been copied."""
        self.settled = True

    def may_copy(self, now: int) -> bool:
        """Return whether a copy from both others may start."""
        return (
            now >= self._since + const.RECOVERY_WAIT_MS
            and bool(self.others)
            and len(self._heard) == len(self.others)
            and all(peek.settled for peek in self._heard.values())
        )

    def _seal(self, now: int) -> None:
        if self.sealed:
            return
        told = any(peek.sealed for peek in self._heard.values())
        complete = len(self._heard) == len(self.others)
        if self.epoch == 0 or told or complete:
            self.sealed = True
            if not self.settled:
                # Until now an earlier epoch may have granted claims, so that
                # the lifetime of records starts again.
                self._since = max(self._since, now)

    def _is_new_group(self) -> bool:
        return (
            self._fresh
            and len(self._heard) == len(self.others)
            and all(
                peek.fresh or self._instance in peek.initial
                for peek in self._heard.values()
            )
        )
