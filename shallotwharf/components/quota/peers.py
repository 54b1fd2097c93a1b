"""Contact of a control process with its peers."""

from shallotwharf.components.quota import const


class PeerContacts:
    """Which runs of the peers were heard, and when.

    Attributes:
        names: names of the peers.
    """

    __slots__ = ('names', '_incarnations', '_heard_at', '_asked_at')

    def __init__(self) -> None:
        self.names: tuple[str, ...] = ()
        self._incarnations: dict[str, int] = {}
        self._heard_at: dict[str, int] = {}
        # Time of the first sums that a peer has not answered.
        self._asked_at: dict[str, int] = {}

    def record(self, peer: str, incarnation: int, now: int) -> bool:
        """Record a message; return whether this run of the peer was known."""
        is_known = self._incarnations.get(peer) == incarnation
        self._incarnations[peer] = incarnation
        self._heard_at[peer] = now
        self._asked_at.pop(peer, None)
        return is_known

    def record_question(self, now: int) -> None:
        """Record that peers were sent sums, which they answer."""
        for peer in self.names:
            self._asked_at.setdefault(peer, now)

    def count_late(self, now: int) -> int:
        """Return how many peers have been out of contact lately.

        After `const.PEER_SILENT_MS` the nodes of a peer admit fixed shares.
        """
        return sum(
            const.PEER_ANSWER_MS
            < now - self._asked_at.get(peer, now)
            <= const.PEER_SILENT_MS
            for peer in self.names
        )

    def has_answers(self, since: int) -> bool:
        """Return whether a majority, with this process, was heard since."""
        heard = sum(at > since for at in self._heard_at.values())
        return (heard + 1) * 2 > len(self.names) + 1

    def has_majority(self, now: int) -> bool:
        """Return whether a majority, with this process, was heard lately."""
        heard = sum(
            now - heard_at <= const.PEER_STALE_MS
            for heard_at in self._heard_at.values()
        )
        return (heard + 1) * 2 > len(self.names) + 1
