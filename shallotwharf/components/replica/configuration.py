"""Voters and learners of the replicated log."""

import typing
from collections import abc

from shallotwharf.core import locations, messages, records


class Member(records.Record):
    """A process with its disk.

    Attributes:
        name: name of the process.
        identity: random name of its data folder. An emptied disk gets
            another one, so that it does not count as the earlier voter.
        location: where it runs; `UNKNOWN` if unknown.
    """

    __slots__ = ('name', 'identity', 'location')

    def __init__(
        self,
        name: str,
        identity: str,
        location: locations.Location = locations.UNKNOWN,
    ) -> None:
        self.name = name
        self.identity = identity
        self.location = location


@messages.register('replica.configuration')
class Configuration(messages.Message):
    """Voters and learners; takes effect as soon as it is in the log."""

    __slots__ = ('voters', 'learners')

    def __init__(
        self,
        voters: tuple[Member, ...],
        learners: tuple[Member, ...] = (),
    ) -> None:
        self.voters = voters
        self.learners = learners

    @property
    def majority(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def is_voter(self, identity: str) -> bool:
        """Return whether a disk belongs to a voter."""
        return any(voter.identity == identity for voter in self.voters)

    def is_member(self, identity: str) -> bool:
        """Return whether a disk belongs to a voter or a learner."""
        return any(
            member.identity == identity for member in self.list_members()
        )

    def has_name(self, name: str) -> bool:
        """Return whether a voter or learner has this name."""
        return any(member.name == name for member in self.list_members())

    def has_voter(self, name: str) -> bool:
        """Return whether a voter has this name."""
        return any(voter.name == name for voter in self.voters)

    def has_other_disk(self, name: str, identity: str) -> bool:
        """Return whether the voter of this name has another disk."""
        return any(
            voter.name == name and voter.identity != identity
            for voter in self.voters
        )

    def list_members(self) -> tuple[Member, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    def list_peers(self, identity: str) -> list[Member]:
        """Return the members that a leader replicates to.

        A voter has lost its disk if a learner has the same name; then only
        the learner can be reached under that name.

        Args:
            identity: disk of the leader.
        """
        learning = {learner.name for learner in self.learners}
        peers = [voter for voter in self.voters if voter.name not in learning]
        peers.extend(self.learners)
        return [peer for peer in peers if peer.identity != identity]

    def has_majority(self, identities: abc.Container[str]) -> bool:
        """Return whether the disks include a majority of the voters."""
        present = [
            voter for voter in self.voters if voter.identity in identities
        ]
        return len(present) >= self.majority

    def with_learner(self, learner: Member) -> typing.Self:
        """Return a copy with a learner, in place of one of the same name."""
        others = _without_name(self.learners, learner.name)
        return type(self)(self.voters, (*others, learner))

    def without_learner(self, name: str) -> typing.Self:
        """Return a copy without the learner of this name."""
        return type(self)(self.voters, _without_name(self.learners, name))

    def has_replacement_learner(self, voter: Member) -> bool:
        """Return whether a learner has the name of this voter."""
        return voter in self.voters and any(
            learner.name == voter.name for learner in self.learners
        )

    def without(self, name: str) -> typing.Self:
        """Return a copy without the voter and the learner of this name."""
        return type(self)(
            _without_name(self.voters, name),
            _without_name(self.learners, name),
        )

    def promote(self, learner: Member, replaced: str = '') -> typing.Self:
        """Return the next configuration on the way to promote a learner.

        The voter of the same name, or the voter `replaced`, is removed
        first, because a single change may add or remove only one voter.
        """
        others = _without_name(self.voters, replaced or learner.name)
        if len(others) < len(self.voters):
            return type(self)(others, self.learners)
        learners = _without_name(self.learners, learner.name)
        return type(self)((*self.voters, learner), learners)


def _without_name(
    members: tuple[Member, ...],
    name: str,
) -> tuple[Member, ...]:
    return tuple(member for member in members if member.name != name)
