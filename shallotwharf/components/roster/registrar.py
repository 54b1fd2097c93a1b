"""The roster at a control process, from the replicated log."""

import typing

from shallotwharf.components.replica import configuration
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.roster import messages
from shallotwharf.core import aggregate, effects


class Registrar(aggregate.Aggregate):
    """Answers with the voters and learners of the configuration in force."""

    __slots__ = ('_roster',)

    name = 'roster'
    handlers: typing.ClassVar = {
        replica_messages.GroupChanged: 'change_group',
        messages.AskRoster: 'answer',
    }

    def __init__(self) -> None:
        self._roster = messages.Roster(0, ())

    def start(self, now: int) -> list[effects.Effect]:
        """Wait for the replicated log."""
        return []

    def change_group(
        self,
        message: replica_messages.GroupChanged,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Store and publish the roster of a new configuration."""
        members = message.members
        known = [
            *_describe(members.voters, votes=True),
            *_describe(members.learners, votes=False),
        ]
        # A voter that lost its disk is also a learner under its name.
        by_name = {process.name: process for process in reversed(known)}
        self._roster = messages.Roster(
            message.index,
            tuple(by_name[name] for name in sorted(by_name)),
        )
        return [effects.Publish(messages.ControlChanged(self._roster))]

    def answer(
        self,
        _message: messages.AskRoster,
        sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Send the roster unless it is still empty."""
        if not self._roster.processes:
            return []
        return [effects.Send(sender, self._roster)]


def _describe(
    members: tuple[configuration.Member, ...],
    votes: bool,
) -> list[messages.Process]:
    return [
        messages.Process(member.name, member.location, votes)
        for member in members
    ]
