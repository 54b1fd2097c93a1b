"""Highest committed versions known to each control process."""

import random as random_module
from collections import abc

from shallotwharf.components.delivery import const, messages, quorum


class _Peer:
    __slots__ = ('number', 'incarnation', 'heard_at')

    def __init__(self, incarnation: int) -> None:
        self.number = 0
        self.incarnation = incarnation
        self.heard_at: int | None = None


class Peers:
    """Decides which versions may be handed out, and who may state a floor.

    A version is handed out only when a majority of the voters know it as
    committed. Any majority that answers a floor query then includes a process
    that states at least this version.

    A restarted process knows only the versions it has read so far, which may
    be fewer than before the restart. It states no floor until it has caught
    up: it leads the log, or it has every version that a leader knew after
    receiving a message from this incarnation.

    Attributes:
        held: highest committed version known here.
        settled: whether this process has caught up and may state a floor.
        leading: whether this process leads the log.
        incarnation: random number of this process.
    """

    __slots__ = (
        'held',
        'settled',
        'leading',
        'incarnation',
        '_own',
        '_votes',
        '_target',
        '_peers',
    )

    def __init__(
        self,
        own: str,
        voters: abc.Iterable[str],
        random: random_module.Random,
    ) -> None:
        self.held = 0
        self.settled = False
        self.leading = False
        self._own = own
        self._votes = True
        self.incarnation = 1 + random.getrandbits(const.INCARNATION_BITS)
        self._target: int | None = None
        self._peers = {name: _Peer(0) for name in voters if name != own}

    def change_voters(self, voters: abc.Iterable[str]) -> None:
        """Set the voters; the state of those that remain is kept."""
        names = tuple(voters)
        known = self._peers
        self._votes = self._own in names
        self._peers = {
            name: known.get(name) or _Peer(0)
            for name in names
            if name != self._own
        }

    def note_held(self, number: int) -> None:
        """Record that a version is known here as committed."""
        self.held = max(self.held, number)
        self._settle()

    def note_leading(self, leading: bool) -> None:
        """Set whether this process leads; a leader knows every version."""
        self.leading = leading
        self.settled = self.settled or leading

    def receive(
        self,
        sender: str,
        progress: messages.PeerProgress,
        now: int,
    ) -> bool:
        """Merge a peer's progress; return whether to answer it at once."""
        peer = self._peers.get(sender)
        if peer is None:
            return False
        # A committed version stays committed, so the number in a delayed
        # message of an earlier incarnation is still valid.
        peer.number = max(peer.number, progress.number)
        peer.heard_at = now
        unknown = peer.incarnation != progress.incarnation
        peer.incarnation = progress.incarnation
        if progress.leading and progress.seen == self.incarnation:
            self._target = progress.number
            self._settle()
        return unknown

    def make_progress(self, peer: str) -> messages.PeerProgress:
        """Return the progress message for a peer."""
        return messages.PeerProgress(
            self.held,
            self.leading,
            self.incarnation,
            self._peers[peer].incarnation,
        )

    def list_peers(self) -> list[str]:
        """Return the names of the other voters."""
        return list(self._peers)

    def compute_released(self) -> int:
        """Return the highest version that may be handed out."""
        numbers = [peer.number for peer in self._peers.values()]
        if self._votes:
            numbers.append(self.held)
        numbers.sort(reverse=True)
        majority = quorum.compute_majority(len(numbers))
        return min(self.held, numbers[majority - 1])

    def is_current(self, now: int) -> bool:
        """Return whether a majority of the voters sent a message recently."""
        heard = int(self._votes)
        for peer in self._peers.values():
            if peer.heard_at is not None:
                heard += now - peer.heard_at < const.PEER_SILENCE_MS
        voters = len(self._peers) + int(self._votes)
        return heard >= quorum.compute_majority(voters)

    def _settle(self) -> None:
        if self._target is not None and self.held >= self._target:
            self.settled = True
