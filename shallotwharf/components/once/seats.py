"""The replica slots of one holder and their running copies."""

import typing

from shallotwharf.components.once import copier, peers, seat, store
from shallotwharf.components.tables import version
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


class Seats:
    """Replica slots by the name of the group.

    Args:
        own_name: name of this node.
        instance: random number that identifies the process.
    """

    __slots__ = (
        '_own_name',
        '_instance',
        '_seats',
        '_copiers',
        '_copies',
        '_budget',
    )

    def __init__(self, own_name: str, instance: int) -> None:
        self._own_name = own_name
        self._instance = instance
        self._seats: dict[str, seat.Seat] = {}
        self._copiers: dict[str, copier.Copier] = {}
        self._copies = 0
        self._budget = store.Budget()

    def find(self, group: str) -> seat.Seat | None:
        """Return the slot in a group; None if this node is not a member."""
        return self._seats.get(group)

    def list_all(self) -> list[seat.Seat]:
        """Return all slots."""
        return list(self._seats.values())

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
        mine = {
            group.name: group
            for group in groups
            if any(member.name == self._own_name for member in group.members)
        }
        for name in set(self._seats) - set(mine):
            self._drop_seat(name)
        step: Effects = []
        for group in mine.values():
            if self._enter_group(group, fresh, now):
                held = self._seats[group.name]
                step.extend(send_peek(held))
                step.extend(self.advance(held, now))
        return step

    def accept_page(
        self,
        page: peers.Copied,
        sender: str,
        now: int,
    ) -> Effects:
        """Store a page of records and request the next one."""
        running = self._copiers.get(page.group)
        if running is None or not running.accept(page, sender, now):
            return []
        if not running.is_complete():
            return _send_all(running.build_requests(sender))
        held = self._seats[page.group]
        held.settle_by_copy()
        return self._tell_settled(held)

    def advance(self, held: seat.Seat, now: int) -> Effects:
        """Settle the slot if that is safe, else continue or start a copy."""
        if held.settled:
            return []
        if held.settle(now):
            return self._tell_settled(held)
        running = self._copiers.get(held.group)
        if running is not None and not running.is_over(now):
            return _send_all(running.build_requests())
        self._copiers.pop(held.group, None)
        if not held.may_copy(now):
            return []
        self._copies += 1
        running = copier.Copier(held, self._copies, now)
        self._copiers[held.group] = running
        return _send_all(running.build_requests())

    def _tell_settled(self, held: seat.Seat) -> Effects:
        self._copiers.pop(held.group, None)
        return [
            effects.Report('holder_settled', {'group': held.group}),
            *send_peek(held),
        ]

    def _enter_group(
        self, group: version.HolderGroup, fresh: bool, now: int
    ) -> bool:
        held = self._seats.get(group.name)
        if held is not None and held.epoch == group.epoch:
            return False
        if held is not None and held.epoch + 1 != group.epoch:
            # This node may have left the group in an epoch that it missed, and
            # its records may be incomplete.
            self._drop_seat(group.name)
            held = None
        if held is None:
            records = store.Store(self._budget)
            held = seat.Seat(records, self._instance, fresh, now)
            self._seats[group.name] = held
        self._copiers.pop(group.name, None)
        held.enter(group, self._own_name, now)
        return True

    def _drop_seat(self, name: str) -> None:
        self._seats.pop(name).records.clear()
        self._copiers.pop(name, None)


def send_peek(held: seat.Seat) -> Effects:
    """Return the effects that send the state of a slot to its members."""
    peek = held.build_peek()
    return [effects.Send(member, peek) for member in held.others]


def _send_all(requests: list[tuple[str, peers.Copy]]) -> Effects:
    return [effects.Send(member, request) for member, request in requests]
