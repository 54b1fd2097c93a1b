"""The groups of one holder and the copies that are under way."""

import typing

from shallotwharf.components.once import copier, peers, seat, store
from shallotwharf.components.tables import version
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


class Seats:
    """Seats by the name of the group.

    Args:
        own_name: name of the own node.
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
        """Return the seat in a group."""
        return self._seats.get(group)

    def list_all(self) -> list[seat.Seat]:
        """Return all seats."""
        return list(self._seats.values())

    def apply_groups(
        self,
        groups: tuple[version.HolderGroup, ...],
        fresh: bool,
        now: int,
    ) -> Effects:
        """Take and leave seats as the groups say.

        `fresh` says that this process saw the time before the first groups.
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
        """Keep a page of records and ask for the next one."""
        running = self._copiers.get(page.group)
        if running is None or not running.accept(page, sender, now):
            return []
        if not running.is_complete():
            return _send_all(running.build_requests(sender))
        held = self._seats[page.group]
        held.settle_by_copy()
        return self._tell_settled(held)

    def advance(self, held: seat.Seat, now: int) -> Effects:
        """Settle if that is safe, else go on with the copy."""
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
            # It may have been out of the group in between.
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
    """Return the effects that tell the other members where it stands."""
    peek = held.build_peek()
    return [effects.Send(member, peek) for member in held.others]


def _send_all(requests: list[tuple[str, peers.Copy]]) -> Effects:
    return [effects.Send(member, request) for member, request in requests]
