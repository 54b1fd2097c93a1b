"""The replicated log of one control process."""

import random
import types
import typing

from shallotwharf.components.replica import (
    bootstrap,
    configuration,
    const,
    elections,
    follower,
    leadership,
    lifecycle,
    membership,
    messages,
    protocol,
    shared_state,
    status,
)
from shallotwharf.components.roster import messages as roster
from shallotwharf.core import aggregate, effects, locations, storage
from shallotwharf.core import messages as core_messages

_LeaderMessage: typing.TypeAlias = (
    protocol.AppendEntries | protocol.InstallSnapshot
)
_Reply: typing.TypeAlias = protocol.AppendReply | protocol.InstallReply


class Replica(aggregate.Aggregate):
    """Raft consensus: terms, votes, log, commit index and configuration.

    Source: D. Ongaro, Consensus: Bridging Theory and Practice, 2014, with
    pre-votes, leases, learners and single-server membership changes.
    """

    __slots__ = (
        '_state',
        '_elections',
        '_leadership',
        '_follower',
        '_bootstrap',
        '_membership',
        '_lifecycle',
    )

    name = 'replica'
    handlers: typing.ClassVar[aggregate.Handlers] = types.MappingProxyType(
        {
            core_messages.TimerFired: 'fire_timer',
            core_messages.StoreFailed: 'recover_store',
            messages.Propose: 'propose',
            messages.SnapshotTaken: 'take_snapshot',
            messages.AddMember: 'change_members',
            messages.RemoveMember: 'change_members',
            protocol.PreVote: 'answer_vote',
            protocol.RequestVote: 'answer_vote',
            protocol.VoteReply: 'count_vote',
            protocol.AppendEntries: 'receive_from_leader',
            protocol.InstallSnapshot: 'receive_from_leader',
            protocol.AppendReply: 'receive_reply',
            protocol.InstallReply: 'receive_reply',
            protocol.TransferLeadership: 'campaign_for_transfer',
            protocol.DiscoveryProbe: 'answer_probe',
            protocol.DiscoveryReply: 'receive_probe_reply',
            protocol.Restarted: 'record_restart',
            roster.SeedsChanged: 'add_seeds',
        },
    )

    def __init__(
        self,
        process: str,
        voters: tuple[str, ...],
        recovered: storage.Recovered,
        source: random.Random,
        snapshot_entries: int = const.SNAPSHOT_ENTRIES,
        bootstrap_policy: bootstrap.BootstrapPolicy | None = None,
        location: locations.Location = locations.UNKNOWN,
    ) -> None:
        """Create a replica from the content of the disk.

        Args:
            process: name of this process.
            voters: names of the initial voters, the same on each of them.
            recovered: content of the data folder.
            source: randomness of the election timeouts.
            snapshot_entries: entries committed between two snapshots.
            bootstrap_policy: how the group is bootstrapped; `ListedVoters`
                with `voters` by default.
            location: where this process runs.

        Raises:
            CorruptionError: if entries are missing from the log.
        """
        self._state = shared_state.SharedState(
            process,
            recovered,
            source,
            snapshot_entries,
            location,
        )
        self._elections = elections.Elections(self._state)
        self._leadership = leadership.Leadership(self._state)
        self._follower = follower.Follower(self._state)
        first = bootstrap_policy or bootstrap.ListedVoters(voters)
        self._bootstrap = bootstrap.Bootstrap(self._state, first)
        self._membership = membership.Membership(
            self._state,
            self._leadership,
            first,
        )
        self._lifecycle = lifecycle.Lifecycle(
            self._state,
            self._elections,
            self._leadership,
            self._follower,
            self._bootstrap,
            self._membership,
        )

    def start(self, now: int) -> list[effects.Effect]:
        """Publish the stored state and look for a group or a leader."""
        self._lifecycle.start(now)
        return self._lifecycle.finish(now)

    def handle(
        self,
        message: core_messages.Message,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Apply a message as one step, which a failed store rolls back."""
        if not isinstance(message, core_messages.StoreFailed):
            self._state.begin_step()
        had_configuration = self._state.has_configuration
        if sender != self._state.name:
            self._bootstrap.add_peer(sender)
        getattr(self, self.handlers[type(message)])(message, sender, now)
        if self._state.has_configuration and not had_configuration:
            self._lifecycle.join_group(now)
        return self._lifecycle.finish(now)

    def is_leading(self, now: int) -> bool:
        """Return whether this process leads and holds its lease at `now`."""
        return self._lifecycle.is_leading(now)

    def is_caught_up(self) -> bool:
        """Return whether the whole local log is committed.

        Otherwise nodes may run a version that is in the log of this process
        but not yet in its ledger, and it must not answer for their floor.
        """
        return self._state.commit == self._state.log.last_index

    def read_status(self) -> status.Status:
        """Return the status of this replica."""
        return status.read_status(self._state)

    def propose(
        self,
        message: messages.Propose,
        _sender: str,
        now: int,
    ) -> None:
        """Append a command if this process leads; otherwise refuse it."""
        refusal = self._lifecycle.find_refusal(message.command, now)
        if refusal is not None:
            self._lifecycle.refuse(message.request, refusal)
            return
        if message.request:
            index = self._state.log.last_index + 1
            self._state.pending[index] = message.request
        self._leadership.append(message.command, now)

    def take_snapshot(
        self,
        message: messages.SnapshotTaken,
        _sender: str,
        _now: int,
    ) -> None:
        """Store the state of the component that applies commands."""
        self._state.take_snapshot(message)

    def change_members(
        self,
        message: messages.AddMember | messages.RemoveMember,
        _sender: str,
        now: int,
    ) -> None:
        """Add or remove a member if this process leads."""
        if self._lifecycle.may_change(message.request, now):
            self._membership.change(message, now)

    def fire_timer(
        self,
        message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> None:
        """Run the method of a timer."""
        self._lifecycle.fire_timer(message.name, now)

    def recover_store(
        self,
        _message: core_messages.StoreFailed,
        _sender: str,
        now: int,
    ) -> None:
        """Roll back the step that failed and suspend writes."""
        self._lifecycle.recover_store(now)

    def answer_vote(
        self,
        message: protocol.PreVote | protocol.RequestVote,
        sender: str,
        now: int,
    ) -> None:
        """Grant or refuse a pre-vote or a vote."""
        if isinstance(message, protocol.PreVote):
            self._elections.answer_pre_vote(message, sender, now)
        else:
            self._elections.answer_request(message, sender, now)

    def count_vote(
        self,
        message: protocol.VoteReply,
        _sender: str,
        now: int,
    ) -> None:
        """Count a vote; lead if the election is won."""
        if self._elections.count_reply(message, now):
            self._leadership.start(now)

    def receive_from_leader(
        self,
        message: _LeaderMessage,
        sender: str,
        now: int,
    ) -> None:
        """Follow the leader of the current or a later term."""
        if message.target != self._state.identity:
            return
        if message.term < self._state.term:
            self._follower.refuse(message, sender)
            return
        if message.term > self._state.term:
            if self._state.storage_failed:
                return
            self._state.change_term(message.term)
        self._state.become_follower(sender)
        self._state.leader_last_received_at = now
        self._elections.restarts.record_leader()
        self._elections.reset_timer(now)
        if isinstance(message, protocol.AppendEntries):
            self._follower.receive_entries(message, sender)
        else:
            self._follower.receive_part(message, sender)

    def receive_reply(
        self,
        message: _Reply,
        _sender: str,
        now: int,
    ) -> None:
        """Process the answer of a follower if this process leads."""
        if message.term > self._state.term:
            self._state.change_term(message.term)
            self._lifecycle.step_down(now)
            return
        leads = self._state.role == const.ROLE_LEADER
        if not leads or message.term < self._state.term:
            return
        if isinstance(message, protocol.AppendReply):
            self._leadership.receive_reply(message, now)
        else:
            self._leadership.receive_part_reply(message, now)

    def campaign_for_transfer(
        self,
        message: protocol.TransferLeadership,
        _sender: str,
        now: int,
    ) -> None:
        """Campaign at once after a leader gave up its lease."""
        meant = message.target == self._state.identity
        if not meant or message.term != self._state.term:
            return
        if self._elections.start_election(now, is_transfer=True):
            self._leadership.start(now)

    def record_restart(
        self,
        message: protocol.Restarted,
        sender: str,
        now: int,
    ) -> None:
        """Record a restarted voter that has received nothing from a leader."""
        self._elections.record_restart(sender, message.configuration_index, now)

    def answer_probe(
        self,
        message: protocol.DiscoveryProbe,
        sender: str,
        now: int,
    ) -> None:
        """Reply to a discovery probe; the leader may add the sender."""
        self._bootstrap.answer(message, sender, now)
        if self._state.members.has_other_disk(sender, message.identity):
            # The voter of that name lost its disk, so it does not lead.
            self._elections.record_restart(sender, 0, now)
        if self.is_leading(now) and not self._state.storage_failed:
            self._membership.receive_probe(
                configuration.Member(
                    sender, message.identity, message.location
                ),
                now,
            )

    def add_seeds(
        self,
        message: roster.SeedsChanged,
        _sender: str,
        _now: int,
    ) -> None:
        """Probe the seeds of changed settings as well."""
        self._bootstrap.add_seeds(message.list_names())

    def receive_probe_reply(
        self,
        message: protocol.DiscoveryReply,
        sender: str,
        now: int,
    ) -> None:
        """Process the reply to a discovery probe."""
        self._bootstrap.receive(message, sender, now)
