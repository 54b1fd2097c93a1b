"""Highest committed versions known to each control process."""

import random as random_module
from collections import abc

from shallotwharf.components.delivery import const, messages, quorum


class _Peer:
    __slots__ = ('number', 'incarnation', 'last_received_at')

    def __init__(self, incarnation: int) -> None:
        self.number = 0
        self.incarnation = incarnation
        self.last_received_at: int | None = None


class Peers:
    """Decides which versions may be handed out, and who may state a floor.

    A version is handed out only when a majority of the voters know it as
    committed. Any majority that answers a floor query then includes a process
    that states at least this version. Once a process has found that a majority
    knows a version, the others need not find it themselves: a lost message
    between two of them delays no version.

    A restarted process knows only the versions it has read so far, which may
    be fewer than before the restart. It states no floor until it has caught
    up: it leads the log, or it has every version that a leader knew after
    receiving a message from this incarnation.

    Attributes:
        held: highest committed version known here.
        caught_up: whether this process has caught up and may state a floor.
        leading: whether this process leads the log.
        incarnation: random number of this process.
    """

    __slots__ = (
        'held',
        'caught_up',
        'leading',
        'incarnation',
        '_local_name',
        '_is_voter',
        '_catch_up_target',
        '_stated_release',
        '_peers',
    )

    def __init__(
        self,
        local_name: str,
        voters: abc.Iterable[str],
        random: random_module.Random,
    ) -> None:
        self.held = 0
        self.caught_up = False
        self.leading = False
        self._local_name = local_name
        self._is_voter = True
        self.incarnation = 1 + random.getrandbits(const.INCARNATION_BITS)
        self._catch_up_target: int | None = None
        self._stated_release = 0
        self._peers = {name: _Peer(0) for name in voters if name != local_name}

    def change_voters(self, voters: abc.Iterable[str]) -> None:
        """Set the voters; the state of those that remain is kept."""
        names = tuple(voters)
        known = self._peers
        self._is_voter = self._local_name in names
        self._peers = {
            name: known.get(name) or _Peer(0)
            for name in names
            if name != self._local_name
        }

    def record_held(self, number: int) -> None:
        """Record that a version is known here as committed."""
        self.held = max(self.held, number)
        self._update_caught_up()

    def record_leading(self, leading: bool) -> None:
        """Set whether this process leads; a leader knows every version."""
        self.leading = leading
        self.caught_up = self.caught_up or leading

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
        peer.last_received_at = now
        self._stated_release = max(self._stated_release, progress.released)
        unknown = peer.incarnation != progress.incarnation
        peer.incarnation = progress.incarnation
        if (
            progress.leading
            and progress.receiver_incarnation == self.incarnation
        ):
            self._catch_up_target = progress.number
            self._update_caught_up()
        return unknown

    def make_progress(self, peer: str) -> messages.PeerProgress:
        """Return the progress message for a peer."""
        return messages.PeerProgress(
            self.held,
            self.leading,
            self.incarnation,
            self._peers[peer].incarnation,
            self.compute_released(),
        )

    def list_peers(self) -> list[str]:
        """Return the names of the other voters."""
        return list(self._peers)

    def compute_released(self) -> int:
        """Return the highest version that may be handed out."""
        numbers = [peer.number for peer in self._peers.values()]
        if self._is_voter:
            numbers.append(self.held)
        numbers.sort(reverse=True)
        majority = quorum.compute_majority(len(numbers))
        known = max(numbers[majority - 1], self._stated_release)
        return min(self.held, known)

    def find_highest(self) -> int:
        """Return the highest committed version known to any voter."""
        numbers = [peer.number for peer in self._peers.values()]
        return max(self.held, *numbers, 0)

    def list_behind(self) -> list[str]:
        """Return the other voters not known to have the version held here."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.number < self.held
        ]

    def reaches_majority(self, now: int) -> bool:
        """Return whether a majority of the voters sent a message recently."""
        responsive = int(self._is_voter)
        for peer in self._peers.values():
            if peer.last_received_at is not None:
                responsive += (
                    now - peer.last_received_at < const.VOTER_TIMEOUT_MS
                )
        voters = len(self._peers) + int(self._is_voter)
        return responsive >= quorum.compute_majority(voters)

    def _update_caught_up(self) -> None:
        if (
            self._catch_up_target is not None
            and self.held >= self._catch_up_target
        ):
            self.caught_up = True
