"""Requests that the gate refuses because they crash upstreams."""

from shallotwharf.components.poison import poison
from shallotwharf.core import call_interfaces


class ListedRequests(call_interfaces.PoisonList):
    """Asks the list that the data centre shares."""

    __slots__ = ('_list',)

    def __init__(self, poison_list: poison.PoisonList) -> None:
        self._list = poison_list

    def is_empty(self) -> bool:
        """Tell whether no digest is refused."""
        return self._list.is_empty()

    def refuses(self, digest: bytes, now: int) -> bool:
        """Tell whether a request of this digest is refused."""
        return self._list.is_refused(digest, now)

    def clear(self, digest: bytes) -> None:
        """Note that the own upstream answered such a request."""
        self._list.mark_completed(digest)
