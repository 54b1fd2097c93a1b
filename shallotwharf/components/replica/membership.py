"""Membership changes, one at a time, decided by the leader."""

from shallotwharf.components.replica import (
    bootstrap,
    configuration,
    const,
    leadership,
    messages,
    progress,
    protocol,
    shared_state,
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

    __slots__ = ('_state', '_leadership', '_bootstrap_policy', '_discovered')

    def __init__(
        self,
        shared: shared_state.SharedState,
        lead: leadership.Leadership,
        bootstrap_policy: bootstrap.BootstrapPolicy,
    ) -> None:
        self._state = shared
        self._leadership = lead
        self._bootstrap_policy = bootstrap_policy
        # Processes that sent probes, by name, with their latest disk.
        self._discovered: dict[str, configuration.Member] = {}

    @property
    def can_change(self) -> bool:
        """Return whether a change may begin."""
        return (
            self._leadership.has_committed_in_term
            and self._state.log.configuration_index <= self._state.commit
        )

    def receive_probe(self, sender: configuration.Member, now: int) -> None:
        """Add a process that lost its disk, or a new one, as a learner.

        A process does not replace a voter of its name that still answers: it
        may be a second process that was started under the same name.
        """
        self._discovered[sender.name] = sender
        members = self._state.members
        if not members.has_name(sender.name):
            self._admit(sender, now)
            return
        if not self._leadership.is_unresponsive(sender.name, now):
            self._defer('name_in_use')
            return
        if not self.can_change:
            self._defer('change_in_progress')
            return
        if not members.is_member(sender.identity):
            self._change(members.with_learner(sender), now)
        elif members.has_replacement_learner(sender):
            # The voter's disk is back after a process with an empty disk
            # became a learner under its name.
            self._change(members.without_learner(sender.name), now)

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
        responsive one and the policy allows one voter less.
        """
        if not self.can_change:
            return
        redundant = self._find_redundant(now)
        if redundant:
            self._change(self._state.members.without(redundant), now)
            return
        members = self._state.members
        for peer in self._leadership.peers.values():
            if not self._is_ready(peer):
                continue
            replaced = self._find_replaced(peer.member, now)
            keeps_size = replaced or members.has_voter(peer.member.name)
            if keeps_size or len(members.voters) < const.MAX_VOTERS:
                self._change(members.promote(peer.member, replaced), now)
                return

    def transfer_leadership(self) -> bool:
        """Transfer the leadership to a follower that can write to its disk.

        The voters that can write must be a majority without this process,
        which can neither vote nor store entries.

        Return whether a follower was chosen.
        """
        writable = {
            identity
            for identity, peer in self._leadership.peers.items()
            if self._can_write(peer)
        }
        if not self._state.members.has_majority(writable):
            return False
        for peer in self._leadership.peers.values():
            if self._can_lead(peer):
                self._state.outbox.send(
                    peer.member.name,
                    protocol.TransferLeadership(
                        self._state.term,
                        peer.member.identity,
                    ),
                )
                return True
        return False

    def _admit(self, sender: configuration.Member, now: int) -> None:
        if not self._bootstrap_policy.allows_self_join:
            return
        members = self._state.members
        if not self.can_change:
            self._defer('change_in_progress')
        elif len(members.list_members()) < const.MAX_MEMBERS:
            self._change(members.with_learner(sender), now)
        else:
            self._defer('no_room')
            self._make_room(now)

    def _make_room(self, now: int) -> None:
        """Remove a learner that has stopped, if there is one.

        It may have been replaced before it became a voter. One that is back
        sends probes and is admitted again.
        """
        members = self._state.members
        for learner in members.learners:
            unresponsive = self._leadership.is_unresponsive(learner.name, now)
            if unresponsive and not members.has_voter(learner.name):
                self._change(members.without_learner(learner.name), now)
                return

    def _defer(self, reason: str) -> None:
        counter = f'{const.COUNTER_JOIN_DEFERRED}{reason}'
        self._state.outbox.add(effects.Count(counter))

    def _find_redundant(self, now: int) -> str:
        """Return an unresponsive voter that is no longer needed; '' if none.

        Its data centre has a responsive voter.
        """
        voters = self._state.members.voters
        if (
            not self._bootstrap_policy.allows_self_join
            or len(voters) <= self._bootstrap_policy.find_min_voters()
        ):
            return ''
        unresponsive = {
            voter.name
            for voter in voters
            if voter.name != self._state.name
            and self._leadership.is_unresponsive(voter.name, now)
        }
        present = {
            voter.location.datacentre
            for voter in voters
            if voter.name not in unresponsive
        }
        for voter in voters:
            if (
                voter.name in unresponsive
                and voter.location.datacentre in present
            ):
                return voter.name
        return ''

    def _find_replaced(self, learner: configuration.Member, now: int) -> str:
        """Return the unresponsive voter that a learner replaces; '' if none.

        Both are in the same data centre.
        """
        datacentre = learner.location.datacentre
        if not self._bootstrap_policy.allows_self_join or not datacentre:
            return ''
        for voter in self._state.members.voters:
            same = voter.location.datacentre == datacentre
            if same and voter.name not in {learner.name, self._state.name}:
                if self._leadership.is_unresponsive(voter.name, now):
                    return voter.name
        return ''

    def _add(self, message: messages.AddMember, now: int) -> None:
        """Add a process that sent a probe as a learner."""
        discovered = self._discovered.get(message.name)
        members = self._state.members
        if discovered is None or members.is_member(discovered.identity):
            self._refuse(message.request, 'unknown_member')
        elif self.can_change:
            self._change(members.with_learner(discovered), now)
            self._accept(message.request)
        else:
            self._refuse(message.request, 'change_in_progress')

    def _remove(self, message: messages.RemoveMember, now: int) -> None:
        """Remove a voter or learner; the last voter stays."""
        members = self._state.members
        remaining = members.without(message.name)
        if not members.has_name(message.name):
            self._refuse(message.request, 'unknown_member')
        elif not remaining.voters:
            self._refuse(message.request, 'last_voter')
        elif self.can_change:
            self._discovered.pop(message.name, None)
            self._change(remaining, now)
            self._accept(message.request)
        else:
            self._refuse(message.request, 'change_in_progress')

    def _is_ready(self, peer: progress.Progress) -> bool:
        return (
            peer.member in self._state.members.learners
            and peer.writable
            and peer.match_index >= self._state.commit
        )

    def _can_lead(self, peer: progress.Progress) -> bool:
        return (
            peer.member in self._state.members.voters
            and self._can_write(peer)
            and peer.match_index == self._state.log.last_index
        )

    def _can_write(self, peer: progress.Progress) -> bool:
        failed_at = self._state.failed_at
        return (
            failed_at is not None
            and peer.writable
            and peer.writable_at > failed_at
        )

    def _change(
        self,
        members: configuration.Configuration,
        now: int,
    ) -> None:
        self._leadership.append(members, now)
        self._state.outbox.add(
            effects.Report(
                'members_changed',
                {
                    'voters': _format_members(members.voters),
                    'learners': _format_members(members.learners),
                },
            ),
        )

    def _accept(self, request: str) -> None:
        self._state.step_requests.append(request)
        self._state.outbox.answer(request, messages.ChangeAccepted())

    def _refuse(self, request: str, reason: str) -> None:
        self._state.outbox.answer(request, messages.ProposalRefused(reason))


def _format_members(members: tuple[configuration.Member, ...]) -> str:
    return ','.join(f'{member.name}/{member.identity}' for member in members)


def is_removed(shared: shared_state.SharedState) -> bool:
    """Return whether this process leads a group it is not a voter of."""
    return (
        shared.role == const.ROLE_LEADER
        and shared.log.configuration_index <= shared.commit
        and not shared.members.is_voter(shared.identity)
    )
