"""Life cycle of a replica: start, timers, disk faults, published changes."""

import types
import typing

from shallotwharf.components.replica import (
    bootstrap,
    const,
    elections,
    following,
    kernel,
    leadership,
    membership,
    messages,
)
from shallotwharf.core import effects, sizes
from shallotwharf.core import messages as core_messages


class Duties:
    """Coordinates the parts of a replica."""

    __slots__ = (
        '_kernel',
        '_elections',
        '_leadership',
        '_following',
        '_founding',
        '_membership',
        '_published',
        '_group',
    )

    def __init__(
        self,
        shared: kernel.Kernel,
        voting: elections.Elections,
        lead: leadership.Leadership,
        follow: following.Following,
        found: bootstrap.Founding,
        group: membership.Membership,
    ) -> None:
        self._kernel = shared
        self._elections = voting
        self._leadership = lead
        self._following = follow
        self._founding = found
        self._membership = group
        self._published: messages.LeaderChanged | None = None
        self._group: messages.GroupChanged | None = None

    def start(self, now: int) -> None:
        """Publish the stored state and look for a group or a leader."""
        # Delays votes: before its last stop this process may have answered a
        # leader whose lease depends on its vote.
        self._kernel.heard_at = now
        self._kernel.restore()
        self._founding.greet(now)
        self.begin(now)
        self._elections.restarts.tell(now)

    def begin(self, now: int) -> None:
        """Start as a member of the group; a single voter leads at once."""
        voters = self._kernel.members.voters
        alone = [voter.identity for voter in voters] == [self._kernel.identity]
        if not alone:
            self._elections.reset_timer(now)
            if self._founding.is_founder:
                self._elections.hasten(now)
        elif self._elections.start_election(now):
            self._leadership.start(now)

    def fire(self, timer: str, now: int) -> None:
        """Run the method of a timer."""
        getattr(self, _TIMERS[timer])(now)

    def is_leading(self, now: int) -> bool:
        """Return whether this process leads and holds its lease."""
        return (
            self._kernel.role == const.ROLE_LEADER
            and self._leadership.settled
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
            leader = self._kernel.leader
            if leader == self._kernel.name:
                leader = ''
            return messages.NotLeader(leader)
        reason = ''
        waiting = self._kernel.log.last_index - self._kernel.commit
        if self._kernel.storage_failed:
            reason = 'storage_failed'
        elif waiting >= const.MAX_UNCOMMITTED:
            reason = 'too_many'
        elif sizes.estimate_bytes(command) > const.MAX_COMMAND_BYTES:
            reason = 'too_large'
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
        self._kernel.outbox.add(effects.Count(f'replica.refused.{reason}'))
        self._kernel.outbox.answer(request, refusal)

    def step_down(self, now: int) -> None:
        """Stop leading."""
        self._kernel.follow('')
        self._elections.reset_timer(now)

    def recover_store(self, now: int) -> None:
        """Roll back the step that failed; suspend writes for `PROBE_MS`.

        A leader keeps its lease, so that it stays readable, until the
        leadership is transferred.
        """
        self._report('writes_suspended', retry_ms=const.PROBE_MS)
        led = self._kernel.undo()
        self._kernel.failed_at = now
        self._kernel.snapshot_wanted = False
        self._published = None
        self._following.reset()
        self._kernel.drop_requests()
        if led:
            self._leadership.rewind(now)
        else:
            self.step_down(now)
        self._founding.arm_timer(now)
        self._kernel.outbox.add(
            effects.SetTimer(const.TIMER_PROBE, now + const.PROBE_MS),
        )

    def finish(self, now: int) -> list[effects.Effect]:
        """Publish changes of leader and group; return the step's effects."""
        if membership.is_removed(self._kernel):
            self.step_down(now)
        if self._kernel.role == const.ROLE_LEADER:
            self._elections.restarts.note_leader()
        current = messages.LeaderChanged(
            self._kernel.leader,
            self.is_leading(now),
        )
        if current != self._published:
            self._published = current
            self._kernel.outbox.add(effects.Publish(current))
            self._report(
                'leader_changed',
                leader=current.leader,
                leading=current.leading,
                term=self._kernel.term,
            )
        self._publish_group()
        return self._kernel.outbox.take()

    def _publish_group(self) -> None:
        current = messages.GroupChanged(
            self._kernel.log.changed_at,
            self._kernel.members,
        )
        if current != self._group and self._kernel.founded:
            self._group = current
            self._kernel.outbox.add(effects.Publish(current))

    def _report(self, event: str, **fields: object) -> None:
        self._kernel.outbox.add(effects.Report(event, fields))

    def _campaign(self, now: int) -> None:
        if self._kernel.role == const.ROLE_LEADER:
            return
        # If this process was removed from the group, the probe lets the
        # leader add it again.
        self._founding.introduce()
        if self._elections.start_pre_vote(now):
            self._leadership.start(now)

    def _beat(self, now: int) -> None:
        if self._kernel.role != const.ROLE_LEADER:
            return
        if self._leadership.is_overdue(now):
            self.step_down(now)
            return
        if not self._kernel.storage_failed:
            self._membership.promote_learners(now)
        elif self._membership.hand_over():
            self.step_down(now)
            return
        self._leadership.beat(now)

    def _check_lease(self, now: int) -> None:
        if self._kernel.role != const.ROLE_LEADER:
            return
        if self._leadership.is_overdue(now):
            self.step_down(now)
        else:
            self._leadership.arm_lease(now)

    def _greet(self, now: int) -> None:
        self._founding.greet(now)

    def _tell_restarted(self, now: int) -> None:
        self._elections.restarts.tell(now)

    def _probe(self, now: int) -> None:
        """Resume writes; `StoreFailed` follows if the disk still fails."""
        if self._kernel.storage_failed:
            self._kernel.failed_at = None
            self._report('writes_resumed')
            self._kernel.rewrite_tail()


_TIMERS: typing.Final = types.MappingProxyType(
    {
        const.TIMER_ELECTION: '_campaign',
        const.TIMER_HEARTBEAT: '_beat',
        const.TIMER_LEASE: '_check_lease',
        const.TIMER_GREET: '_greet',
        const.TIMER_PROBE: '_probe',
        const.TIMER_RESTARTED: '_tell_restarted',
    },
)
