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

from shallotwharf.components.once import const, holder_messages, store
from shallotwharf.components.tables import version


class ReplicaSlot:
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
        '_abstaining_since',
        '_fresh',
        '_initial_instances',
        '_states',
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
        self._abstaining_since = now
        self._fresh = fresh
        self._initial_instances: tuple[int, ...] = ()

    def apply_epoch(
        self,
        group: version.HolderGroup,
        local_node: str,
        now: int,
    ) -> None:
        """Apply an epoch of the group."""
        self.group = group.name
        self.epoch = group.epoch
        self.others = tuple(
            member.name for member in group.members if member.name != local_node
        )
        self._states: dict[str, holder_messages.SlotState] = {}
        self._fresh = self._fresh and group.epoch == 0
        self.sealed = False
        self._update_sealed(now)

    def build_state(self) -> holder_messages.SlotState:
        """Return the state message for the other members."""
        return holder_messages.SlotState(
            self.group,
            self.epoch,
            self._instance,
            self.settled,
            self.sealed,
            self._fresh and not self.settled,
            self._initial_instances,
        )

    def record_state(
        self, state: holder_messages.SlotState, sender: str, now: int
    ) -> None:
        """Record the state of another member if its epoch is the same."""
        if sender in self.others and state.epoch == self.epoch:
            self._states[sender] = state
            self._update_sealed(now)

    def try_settle(self, now: int) -> bool:
        """Settle if a condition holds; return whether it is settled."""
        if self._is_new_group():
            self._initial_instances = tuple(
                state.instance for state in self._states.values()
            )
            self.settled = True
        elif (
            self.sealed
            and now >= self._abstaining_since + const.RECORD_LIFETIME_MS
        ):
            self.settled = True
        return self.settled

    def settle_by_copy(self) -> None:
        """Settle because the records of both others have been copied."""
        self.settled = True

    def can_copy(self, now: int) -> bool:
        """Return whether a copy from both others may start."""
        return (
            now >= self._abstaining_since + const.RECOVERY_WAIT_MS
            and bool(self.others)
            and len(self._states) == len(self.others)
            and all(state.settled for state in self._states.values())
        )

    def _update_sealed(self, now: int) -> None:
        if self.sealed:
            return
        reported_sealed = any(state.sealed for state in self._states.values())
        all_reported = len(self._states) == len(self.others)
        if self.epoch == 0 or reported_sealed or all_reported:
            self.sealed = True
            if not self.settled:
                # Until now an earlier epoch may have granted claims, so that
                # the lifetime of records starts again.
                self._abstaining_since = max(self._abstaining_since, now)

    def _is_new_group(self) -> bool:
        return (
            self._fresh
            and len(self._states) == len(self.others)
            and all(
                state.fresh or self._instance in state.initial_instances
                for state in self._states.values()
            )
        )
