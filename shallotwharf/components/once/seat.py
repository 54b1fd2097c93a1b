"""Membership of a holder in one group, and when it may grant claims.

A holder that restarted has lost its records, and one that joins a group never
had them. Either could let a call run twice, so it abstains until one of these
is true:

- It has copied the records of both others while both were settled. A call
  that ran was claimed at a majority, so at least one of them knows it.
- The lifetime of records has passed since it started and since no majority of
  an earlier epoch could grant any more. All keys of that time are too old.
- The group is new in the cluster: all three saw the time without groups in
  their present run, and none has granted a claim before.
"""

from shallotwharf.components.once import const, peers, store
from shallotwharf.components.tables import version


class Seat:
    """One group of which the own node is a member.

    Attributes:
        group: name of the group.
        epoch: raised with each change of its members.
        others: names of the other members.
        records: records of the group's calls.
        settled: whether claims are granted.
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
        """Take an epoch of the group."""
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
        """Return what the others have to know."""
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
        """Note where another member stands."""
        if sender in self.others and peek.epoch == self.epoch:
            self._heard[sender] = peek
            self._seal(now)

    def settle(self, now: int) -> bool:
        """Grant claims from now on if that is safe; return whether it is."""
        if self._is_new_group():
            self._initial = tuple(
                peek.instance for peek in self._heard.values()
            )
            self.settled = True
        elif self.sealed and now >= self._since + const.LIFETIME_MS:
            self.settled = True
        return self.settled

    def settle_by_copy(self) -> None:
        """Grant claims, since the records of both others were copied."""
        self.settled = True

    def may_copy(self, now: int) -> bool:
        """Return whether both others can be copied from."""
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
                # Keys that an earlier epoch granted are that old at most.
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
