"""Leader role: replication, commit and lease."""

from shallotwharf.components.replica import (
    configuration,
    const,
    progress,
    protocol,
    shared_state,
    stored,
)
from shallotwharf.core import effects, messages


class Leadership:
    """Followers, lease and commit rule of a leader in one term."""

    __slots__ = ('_state', '_peers', '_first_index', '_started_at')

    def __init__(self, shared: shared_state.SharedState) -> None:
        self._state = shared
        self._peers: dict[str, progress.Progress] = {}
        self._first_index = 0
        self._started_at = 0

    @property
    def peers(self) -> dict[str, progress.Progress]:
        """Return the progress of each follower by its disk."""
        return self._peers

    @property
    def has_committed_in_term(self) -> bool:
        """Return whether an entry of this leader's term is committed.

        Until then the applied state may lack entries of earlier terms that
        are already committed.
        """
        return self._state.commit >= self._first_index

    def start(self, now: int) -> None:
        """Become leader of the current term."""
        self._state.role = const.ROLE_LEADER
        self._state.leader = self._state.name
        self._state.outbox.add(effects.CancelTimer(const.TIMER_ELECTION))
        self._state.outbox.add(effects.Count('replica.elected'))
        self._peers = {}
        self._started_at = now
        self._first_index = self._state.log.last_index + 1
        self.append(stored.Noop(), now)
        self.send_heartbeats(now)

    def holds_lease(self, now: int) -> bool:
        """Return whether a majority has answered within the lease time."""
        return now < self.find_lease_end(now)

    def find_lease_end(self, now: int) -> int:
        """Return when the lease ends unless more answers arrive."""
        acked = sorted(
            (self._read_acked(voter, now) for voter in self._voters()),
            reverse=True,
        )
        return acked[self._state.members.majority - 1] + const.LEASE_MS

    def has_lost_lease(self, now: int) -> bool:
        """Return whether the lease was lost.

        A new leader first has `const.LEASE_MS` to acquire it.
        """
        return (
            not self.holds_lease(now)
            and now - self._started_at >= const.LEASE_MS
        )

    def append(self, command: messages.Message, now: int) -> int:
        """Append a command; return its index."""
        index = self._state.log.last_index + 1
        entry = stored.Entry(index, self._state.term, command)
        self._state.append((entry,))
        if isinstance(command, configuration.Configuration):
            self._update_peers()
        for peer in self._peers.values():
            self._replicate(peer, now)
        self._advance_commit(now)
        return index

    def send_heartbeats(self, now: int) -> None:
        """Send lost entries or an empty heartbeat to each follower."""
        self._update_peers()
        for peer in self._peers.values():
            peer.drop_lost_batches()
            if not self._replicate(peer, now):
                self._send_entries(peer, (), now)
        self.arm_timers(now)

    def arm_timers(self, now: int) -> None:
        """Set the timers of heartbeat and lease; cancel them if alone."""
        if not self._peers:
            self._state.outbox.add(effects.CancelTimer(const.TIMER_LEASE))
            self._state.outbox.add(effects.CancelTimer(const.TIMER_HEARTBEAT))
            return
        self.arm_lease(now)
        self._state.outbox.add(
            effects.SetTimer(
                const.TIMER_HEARTBEAT,
                now + const.HEARTBEAT_MS,
            ),
        )

    def arm_lease(self, now: int) -> None:
        """Set the timer for the end of the lease."""
        ends_at = max(
            self.find_lease_end(now),
            self._started_at + const.LEASE_MS,
        )
        self._state.outbox.add(
            effects.SetTimer(const.TIMER_LEASE, max(ends_at, now + 1)),
        )

    def rewind(self, now: int) -> None:
        """Continue to send from the end of the log after a rollback."""
        self._update_peers()
        self.arm_timers(now)
        for peer in self._peers.values():
            peer.rewind(self._state.log.last_index + 1)

    def is_unresponsive(self, name: str, now: int) -> bool:
        """Return whether a follower has not answered recently."""
        return all(
            now - max(peer.acked_at, self._started_at) >= const.UNRESPONSIVE_MS
            for peer in self._peers.values()
            if peer.member.name == name
        )

    def receive_reply(self, message: protocol.AppendReply, now: int) -> None:
        """Process the answer of a follower and send what it needs next."""
        peer = self._peers.get(message.identity)
        if peer is None:
            return
        peer.acknowledge(message.sent_at, message.writable)
        if message.accepted:
            peer.accept(message.index)
            self._advance_commit(now)
        else:
            peer.rewind(message.index)
        self._replicate(peer, now)

    def receive_part_reply(
        self,
        message: protocol.InstallReply,
        now: int,
    ) -> None:
        """Send the next part of a snapshot, or the entries after it."""
        peer = self._peers.get(message.identity)
        if peer is None:
            return
        peer.acked_at = max(peer.acked_at, message.sent_at)
        if peer.accept_part(message.index, message.part):
            self._advance_commit(now)
        self._replicate(peer, now)

    def _voters(self) -> tuple[configuration.Member, ...]:
        return self._state.members.voters

    def _read_acked(self, voter: configuration.Member, now: int) -> int:
        if voter.identity == self._state.identity:
            return now
        peer = self._peers.get(voter.identity)
        return self._started_at - const.LEASE_MS if not peer else peer.acked_at

    def _read_match(self, voter: configuration.Member) -> int:
        if voter.identity == self._state.identity:
            return self._state.log.last_index
        peer = self._peers.get(voter.identity)
        return peer.match_index if peer else 0

    def _update_peers(self) -> None:
        next_index = self._state.log.last_index + 1
        members = self._state.members.list_peers(self._state.identity)
        self._peers = {
            member.identity: self._peers.get(member.identity)
            or progress.Progress(member, next_index)
            for member in members
        }

    def _advance_commit(self, now: int) -> None:
        matches = sorted(map(self._read_match, self._voters()), reverse=True)
        index = matches[self._state.members.majority - 1]
        # An entry of an earlier term may still be replaced even though a
        # majority has it; it commits with an entry of the current term.
        if index > self._state.commit and index >= self._first_index:
            self._state.advance_commit(index)
            for peer in self._peers.values():
                self._send_entries(peer, (), now)

    def _replicate(self, peer: progress.Progress, now: int) -> bool:
        """Send missing entries or a part; return whether any was sent."""
        previous = peer.next_index - 1
        if peer.snapshot is None and previous < self._state.log.base:
            self._begin_snapshot(peer)
        if peer.snapshot is not None:
            return self._send_part(peer, peer.snapshot, now)
        sent = False
        while peer.has_room and peer.next_index <= self._state.log.last_index:
            batch = self._state.log.read_batch(peer.next_index)
            self._send_entries(peer, batch, now)
            peer.batches_in_flight += 1
            peer.next_index += len(batch)
            sent = True
        return sent

    def _begin_snapshot(self, peer: progress.Progress) -> None:
        if self._state.snapshot is not None:
            peer.begin_snapshot(self._state.snapshot, self._state.parts)

    def _send_part(
        self,
        peer: progress.Progress,
        snapshot: stored.Snapshot,
        now: int,
    ) -> bool:
        if now - peer.part_sent_at < const.PART_RESEND_MS:
            return False
        peer.part_sent_at = now
        self._state.outbox.send(
            peer.member.name,
            protocol.InstallSnapshot(
                self._state.term,
                peer.member.identity,
                snapshot,
                peer.part,
                len(peer.parts),
                peer.parts[peer.part],
                now,
            ),
        )
        return True

    def _send_entries(
        self,
        peer: progress.Progress,
        batch: tuple[stored.Entry, ...],
        now: int,
    ) -> None:
        previous = 0 if peer.snapshot is not None else peer.next_index - 1
        self._state.outbox.send(
            peer.member.name,
            protocol.AppendEntries(
                self._state.term,
                peer.member.identity,
                previous,
                self._state.log.find_term(previous) or 0,
                batch,
                self._state.commit if previous else 0,
                self._state.storage_failed,
                now,
            ),
        )
