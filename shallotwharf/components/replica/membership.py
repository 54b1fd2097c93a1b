"""Membership changes, one at a time, decided by the leader."""

from shallotwharf.components.replica import (
    bootstrap,
    configuration,
    const,
    kernel,
    leadership,
    messages,
    progress,
    protocol,
)
from shallotwharf.core import effects


class Membership:
    """Adds learners, makes them voters, removes members.

    A process has lost its disk if its name is in the configuration with
    another disk; it becomes a learner without an operator's request. A process
    with a new name needs a request unless the policy lets new processes join:
    then it becomes a learner by itself, and replaces an unresponsive voter of
    its data centre.
    """

    __slots__ = ('_kernel', '_leadership', '_electorate', '_candidates')

    def __init__(
        self,
        shared: kernel.Kernel,
        lead: leadership.Leadership,
        bootstrap_policy: bootstrap.Electorate,
    ) -> None:
        self._kernel = shared
        self._leadership = lead
        self._electorate = bootstrap_policy
        # Processes that sent probes, by name, with their latest disk.
        self._candidates: dict[str, configuration.Member] = {}

    @property
    def idle(self) -> bool:
        """Return whether a change may begin."""
        return (
            self._leadership.settled
            and self._kernel.log.changed_at <= self._kernel.commit
        )

    def receive_greet(self, greeter: configuration.Member, now: int) -> None:
        """Add a process that lost its disk, or a new one, as a learner.

        A process does not replace a voter of its name that still answers: it
        may be a second process that was started under the same name.
        """
        self._candidates[greeter.name] = greeter
        members = self._kernel.members
        if not members.has_name(greeter.name):
            self._admit(greeter, now)
            return
        silent = self._leadership.is_silent(greeter.name, now)
        if not silent or not self.idle:
            return
        if not members.is_member(greeter.identity):
            self._change(members.with_learner(greeter), now)
        elif members.has_rival(greeter):
            # The voter's disk is back after a process with an empty disk
            # became a learner under its name.
            self._change(members.without_learner(greeter.name), now)

    def change(
        self,
        message: messages.AddMember | messages.RemoveMember,
        now: int,
    ) -> None:
        """Add or remove a member at an operator's request."""
        if isinstance(message, messages.AddMember):
            self._add(message, now)
        else:
            self._remove(message, now)

    def promote_learners(self, now: int) -> None:
        """Promote a learner that has all committed entries.

        An unresponsive voter is removed first if its data centre has a
        responsive one.
        """
        if not self.idle:
            return
        succeeded = self._find_succeeded(now)
        if succeeded:
            self._change(self._kernel.members.without(succeeded), now)
            return
        members = self._kernel.members
        for peer in self._leadership.peers.values():
            if not self._is_ready(peer):
                continue
            replaced = self._find_replaced(peer.member, now)
            known = replaced or members.has_voter(peer.member.name)
            if known or len(members.voters) < const.MAX_VOTERS:
                self._change(members.promote(peer.member, replaced), now)
                return

    def hand_over(self) -> bool:
        """Transfer the leadership to a follower that can write to its disk.

        The voters that can write must be a majority without this process,
        which can neither vote nor store entries.

        Return whether a follower was chosen.
        """
        proven = {
            identity
            for identity, peer in self._leadership.peers.items()
            if self._is_proven(peer)
        }
        if not self._kernel.members.has_majority(proven):
            return False
        for peer in self._leadership.peers.values():
            if self._can_lead(peer):
                self._kernel.outbox.send(
                    peer.member.name,
                    protocol.HandOver(
                        self._kernel.term,
                        peer.member.identity,
                    ),
                )
                return True
        return False

    def _admit(self, greeter: configuration.Member, now: int) -> None:
        members = self._kernel.members
        room = len(members.list_members()) < const.MAX_MEMBERS
        if self._electorate.is_open and self.idle and room:
            self._change(members.with_learner(greeter), now)

    def _find_succeeded(self, now: int) -> str:
        """Return an unresponsive voter that is no longer needed; '' if none.

        Its data centre has a responsive voter.
        """
        voters = self._kernel.members.voters
        if (
            not self._electorate.is_open
            or len(voters) <= self._electorate.count_least()
        ):
            return ''
        silent = {
            voter.name
            for voter in voters
            if voter.name != self._kernel.name
            and self._leadership.is_silent(voter.name, now)
        }
        present = {
            voter.place.datacentre
            for voter in voters
            if voter.name not in silent
        }
        for voter in voters:
            if voter.name in silent and voter.place.datacentre in present:
                return voter.name
        return ''

    def _find_replaced(self, learner: configuration.Member, now: int) -> str:
        """Return the unresponsive voter that a learner replaces; '' if none.

        Both are in the same data centre.
        """
        datacentre = learner.place.datacentre
        if not self._electorate.is_open or not datacentre:
            return ''
        for voter in self._kernel.members.voters:
            same = voter.place.datacentre == datacentre
            if same and voter.name not in {learner.name, self._kernel.name}:
                if self._leadership.is_silent(voter.name, now):
                    return voter.name
        return ''

    def _add(self, message: messages.AddMember, now: int) -> None:
        """Add a process that sent a probe as a learner."""
        candidate = self._candidates.get(message.name)
        members = self._kernel.members
        if candidate is None or members.is_member(candidate.identity):
            self._refuse(message.request, 'unknown_member')
        elif self.idle:
            self._change(members.with_learner(candidate), now)
            self._accept(message.request)
        else:
            self._refuse(message.request, 'change_in_progress')

    def _remove(self, message: messages.RemoveMember, now: int) -> None:
        """Remove a voter or learner; the last voter stays."""
        members = self._kernel.members
        left = members.without(message.name)
        if not members.has_name(message.name):
            self._refuse(message.request, 'unknown_member')
        elif not left.voters:
            self._refuse(message.request, 'last_voter')
        elif self.idle:
            self._candidates.pop(message.name, None)
            self._change(left, now)
            self._accept(message.request)
        else:
            self._refuse(message.request, 'change_in_progress')

    def _is_ready(self, peer: progress.Progress) -> bool:
        return (
            peer.member in self._kernel.members.learners
            and peer.writable
            and peer.match >= self._kernel.commit
        )

    def _can_lead(self, peer: progress.Progress) -> bool:
        return (
            peer.member in self._kernel.members.voters
            and self._is_proven(peer)
            and peer.match == self._kernel.log.last_index
        )

    def _is_proven(self, peer: progress.Progress) -> bool:
        failed_at = self._kernel.failed_at
        return (
            failed_at is not None
            and peer.writable
            and peer.proved_at > failed_at
        )

    def _change(
        self,
        members: configuration.Configuration,
        now: int,
    ) -> None:
        self._leadership.append(members, now)
        self._kernel.outbox.add(
            effects.Report(
                'members_changed',
                {
                    'voters': _format_members(members.voters),
                    'learners': _format_members(members.learners),
                },
            ),
        )

    def _accept(self, request: str) -> None:
        self._kernel.touched.append(request)
        self._kernel.outbox.answer(request, messages.ChangeAccepted())

    def _refuse(self, request: str, reason: str) -> None:
        self._kernel.outbox.answer(request, messages.ProposalRefused(reason))


def _format_members(members: tuple[configuration.Member, ...]) -> str:
    return ','.join(f'{member.name}/{member.identity}' for member in members)


def is_removed(shared: kernel.Kernel) -> bool:
    """Return whether this process leads a group it is not a voter of."""
    return (
        shared.role == const.ROLE_LEADER
        and shared.log.changed_at <= shared.commit
        and not shared.members.is_voter(shared.identity)
    )
