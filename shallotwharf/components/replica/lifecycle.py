"""Life cycle of a replica: start, timers, disk faults, published changes."""

import types
import typing

from shallotwharf.components.replica import (
    bootstrap,
    const,
    elections,
    follower,
    leadership,
    membership,
    messages,
    shared_state,
)
from shallotwharf.core import effects, sizes
from shallotwharf.core import messages as core_messages


class Lifecycle:
    """Coordinates the parts of a replica."""

    __slots__ = (
        '_state',
        '_elections',
        '_leadership',
        '_follower',
        '_bootstrap',
        '_membership',
        '_published_leader',
        '_published_group',
    )

    def __init__(
        self,
        shared: shared_state.SharedState,
        voting: elections.Elections,
        lead: leadership.Leadership,
        follow: follower.Follower,
        bootstrapping: bootstrap.Bootstrap,
        group: membership.Membership,
    ) -> None:
        self._state = shared
        self._elections = voting
        self._leadership = lead
        self._follower = follow
        self._bootstrap = bootstrapping
        self._membership = group
        self._published_leader: messages.LeaderChanged | None = None
        self._published_group: messages.GroupChanged | None = None

    def start(self, now: int) -> None:
        """Publish the stored state and look for a group or a leader."""
        # Delays votes: before its last stop this process may have answered a
        # leader whose lease depends on its vote.
        self._state.leader_last_received_at = now
        self._state.republish()
        self._bootstrap.discover(now)
        self.join_group(now)
        self._elections.restarts.send_notice(now)

    def join_group(self, now: int) -> None:
        """Start as a member of the group; a single voter leads at once."""
        voters = self._state.members.voters
        alone = [voter.identity for voter in voters] == [self._state.identity]
        if not alone:
            self._elections.reset_timer(now)
            if self._bootstrap.has_bootstrapped:
                self._elections.shorten_timer(now)
        elif self._elections.start_election(now):
            self._leadership.start(now)

    def fire_timer(self, timer: str, now: int) -> None:
        """Run the method of a timer."""
        getattr(self, _TIMERS[timer])(now)

    def is_leading(self, now: int) -> bool:
        """Return whether this process leads and holds its lease."""
        return (
            self._state.role == const.ROLE_LEADER
            and self._leadership.has_committed_in_term
            and self._leadership.holds_lease(now)
        )

    def find_refusal(
        self,
        command: core_messages.Message | None,
        now: int,
    ) -> core_messages.Message | None:
        """Return why a command cannot be appended; None if it can.

        A change of the group is checked with `command` None.
        """
        if not self.is_leading(now):
            leader = self._state.leader
            if leader == self._state.name:
                leader = ''
            return messages.NotLeader(leader)
        reason = ''
        waiting = self._state.log.last_index - self._state.commit
        if self._state.storage_failed:
            reason = 'storage_failed'
        elif waiting >= const.MAX_UNCOMMITTED:
            reason = 'too_many'
        elif sizes.estimate_bytes(command) > const.MAX_COMMAND_BYTES:
            reason = 'too_large'
        elif not sizes.is_encodable(command):
            reason = 'not_encodable'
        return messages.ProposalRefused(reason) if reason else None

    def may_change(self, request: str, now: int) -> bool:
        """Return whether the group may be changed; otherwise refuse."""
        refusal = self.find_refusal(None, now)
        if refusal is not None:
            self.refuse(request, refusal)
        return refusal is None

    def refuse(
        self,
        request: str,
        refusal: core_messages.Message,
    ) -> None:
        """Answer a request that was not appended."""
        reason = getattr(refusal, 'reason', 'not_leader')
        self._state.outbox.add(effects.Count(f'replica.refused.{reason}'))
        self._state.outbox.answer(request, refusal)

    def step_down(self, now: int) -> None:
        """Become a follower of no leader and restart the election timer."""
        self._state.become_follower('')
        self._elections.reset_timer(now)

    def recover_store(self, now: int) -> None:
        """Roll back the step that failed; suspend writes until the next retry.

        A leader keeps its lease, so that it stays readable, until the
        leadership is transferred.
        """
        self._state.outbox.discard()
        self._report('writes_suspended', retry_ms=const.WRITE_RETRY_INTERVAL_MS)
        led = self._state.roll_back()
        self._state.failed_at = now
        self._state.snapshot_wanted = False
        # Events of the failed step were not published.
        self._published_leader = None
        self._published_group = None
        self._follower.reset()
        self._state.drop_requests()
        if led:
            self._leadership.rewind(now)
        else:
            self.step_down(now)
        self._bootstrap.arm_timer(now)
        self._state.outbox.add(
            effects.SetTimer(
                const.TIMER_WRITE_RETRY, now + const.WRITE_RETRY_INTERVAL_MS
            ),
        )

    def finish(self, now: int) -> list[effects.Effect]:
        """Publish changes of leader and group; return the step's effects."""
        if membership.is_removed(self._state):
            self.step_down(now)
        if self._state.role == const.ROLE_LEADER:
            self._elections.restarts.record_leader()
        current = messages.LeaderChanged(
            self._state.leader,
            self.is_leading(now),
        )
        if current != self._published_leader:
            self._published_leader = current
            self._state.outbox.add(effects.Publish(current))
            self._report(
                'leader_changed',
                leader=current.leader,
                leading=current.leading,
                term=self._state.term,
                commit=self._state.commit,
                last_index=self._state.log.last_index,
            )
        self._publish_group()
        return self._state.outbox.drain()

    def _publish_group(self) -> None:
        current = messages.GroupChanged(
            self._state.log.configuration_index,
            self._state.members,
        )
        if current != self._published_group and self._state.has_configuration:
            self._published_group = current
            self._state.outbox.add(effects.Publish(current))

    def _report(self, event: str, **fields: object) -> None:
        self._state.outbox.add(effects.Report(event, fields))

    def _campaign(self, now: int) -> None:
        if self._state.role == const.ROLE_LEADER:
            return
        # If this process was removed from the group, the probe lets the
        # leader add it again.
        self._bootstrap.send_probes()
        if self._elections.start_pre_vote(now):
            self._leadership.start(now)

    def _send_heartbeats(self, now: int) -> None:
        if self._state.role != const.ROLE_LEADER:
            return
        if self._leadership.has_lost_lease(now):
            self.step_down(now)
            return
        if not self._state.storage_failed:
            self._membership.promote_learners(now)
        elif self._membership.transfer_leadership():
            self.step_down(now)
            return
        self._leadership.send_heartbeats(now)

    def _check_lease(self, now: int) -> None:
        if self._state.role != const.ROLE_LEADER:
            return
        if self._leadership.has_lost_lease(now):
            self.step_down(now)
        else:
            self._leadership.arm_lease(now)

    def _discover(self, now: int) -> None:
        self._bootstrap.discover(now)

    def _send_restart_notice(self, now: int) -> None:
        self._elections.restarts.send_notice(now)

    def _retry_writes(self, now: int) -> None:
        """Resume writes; `StoreFailed` follows if the disk still fails."""
        if self._state.storage_failed:
            self._state.failed_at = None
            self._report('writes_resumed')
            self._state.rewrite_tail()


_TIMERS: typing.Final = types.MappingProxyType(
    {
        const.TIMER_ELECTION: '_campaign',
        const.TIMER_HEARTBEAT: '_send_heartbeats',
        const.TIMER_LEASE: '_check_lease',
        const.TIMER_DISCOVERY: '_discover',
        const.TIMER_WRITE_RETRY: '_retry_writes',
        const.TIMER_RESTARTED: '_send_restart_notice',
    },
)
