"""The replica slots of one holder and their running copies."""

import typing

from shallotwharf.components.once import (
    copier,
    holder_messages,
    replica_slot,
    store,
)
from shallotwharf.components.tables import version
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


class ReplicaSlots:
    """Replica slots by the name of the group.

    Args:
        local_node: name of this node.
        instance: random number that identifies the process.
    """

    __slots__ = (
        '_local_node',
        '_instance',
        '_slots',
        '_copiers',
        '_copy_count',
        '_budget',
    )

    def __init__(self, local_node: str, instance: int) -> None:
        self._local_node = local_node
        self._instance = instance
        self._slots: dict[str, replica_slot.ReplicaSlot] = {}
        self._copiers: dict[str, copier.Copier] = {}
        self._copy_count = 0
        self._budget = store.Budget()

    def find(self, group: str) -> replica_slot.ReplicaSlot | None:
        """Return the slot in a group; None if this node is not a member."""
        return self._slots.get(group)

    def list_all(self) -> list[replica_slot.ReplicaSlot]:
        """Return all slots."""
        return list(self._slots.values())

    def apply_groups(
        self,
        groups: tuple[version.HolderGroup, ...],
        fresh: bool,
        now: int,
    ) -> Effects:
        """Add, update and drop slots according to the groups.

        `fresh` is true if this process was running before the first groups
        were assigned.
        """
        local_groups = {
            group.name: group
            for group in groups
            if any(member.name == self._local_node for member in group.members)
        }
        for name in set(self._slots) - set(local_groups):
            self._drop_slot(name)
        step: Effects = []
        for group in local_groups.values():
            if self._enter_group(group, fresh, now):
                slot = self._slots[group.name]
                step.extend(send_state(slot))
                step.extend(self.advance(slot, now))
        return step

    def accept_page(
        self,
        page: holder_messages.CopyPage,
        sender: str,
        now: int,
    ) -> Effects:
        """Store a page of records and request the next one."""
        running = self._copiers.get(page.group)
        if running is None or not running.accept(page, sender, now):
            return []
        if not running.is_complete():
            return _send_requests(running.build_requests(sender))
        slot = self._slots[page.group]
        slot.settle_by_copy()
        return self._report_settled(slot)

    def advance(self, slot: replica_slot.ReplicaSlot, now: int) -> Effects:
        """Settle the slot if that is safe, else continue or start a copy."""
        if slot.settled:
            return []
        if slot.try_settle(now):
            return self._report_settled(slot)
        running = self._copiers.get(slot.group)
        if running is not None and not running.is_expired(now):
            return _send_requests(running.build_requests())
        self._copiers.pop(slot.group, None)
        if not slot.can_copy(now):
            return []
        self._copy_count += 1
        running = copier.Copier(slot, self._copy_count, now)
        self._copiers[slot.group] = running
        return _send_requests(running.build_requests())

    def _report_settled(self, slot: replica_slot.ReplicaSlot) -> Effects:
        self._copiers.pop(slot.group, None)
        return [
            effects.Report('holder_settled', {'group': slot.group}),
            *send_state(slot),
        ]

    def _enter_group(
        self, group: version.HolderGroup, fresh: bool, now: int
    ) -> bool:
        slot = self._slots.get(group.name)
        if slot is not None and slot.epoch == group.epoch:
            return False
        if slot is not None and slot.epoch + 1 != group.epoch:
            # This node may have left the group in an epoch that it missed, and
            # its records may be incomplete.
            self._drop_slot(group.name)
            slot = None
        if slot is None:
            records = store.Store(self._budget)
            slot = replica_slot.ReplicaSlot(records, self._instance, fresh, now)
            self._slots[group.name] = slot
        self._copiers.pop(group.name, None)
        slot.apply_epoch(group, self._local_node, now)
        return True

    def _drop_slot(self, name: str) -> None:
        self._slots.pop(name).records.clear()
        self._copiers.pop(name, None)


def send_state(slot: replica_slot.ReplicaSlot) -> Effects:
    """Return the effects that send a slot's state to the other members."""
    state = slot.build_state()
    return [effects.Send(member, state) for member in slot.others]


def _send_requests(
    requests: list[tuple[str, holder_messages.CopyRequest]],
) -> Effects:
    return [effects.Send(member, request) for member, request in requests]
