"""Poison list that the gate consults before it admits a request."""

from shallotwharf.components.poison import poison
from shallotwharf.core import call_interfaces, effects


class SharedPoisonList(call_interfaces.PoisonList):
    """Looks up requests in the poison list that all nodes share."""

    __slots__ = ('_list',)

    def __init__(self, poison_list: poison.PoisonList) -> None:
        self._list = poison_list

    def is_empty(self) -> bool:
        """Return whether no digest is refused."""
        return self._list.is_empty()

    def refuses(self, digest: bytes, now: int) -> bool:
        """Return whether requests with this digest are refused."""
        return self._list.is_refused(digest, now)

    def clear(self, digest: bytes, now: int) -> list[effects.Effect]:
        """Clear the suspicion: the local upstream responded to the request."""
        return self._list.mark_completed(digest, now)
