"""Messages between the replicated log and the other components."""

from shallotwharf.components.replica import configuration
from shallotwharf.core import messages


@messages.register('replica.propose')
class Propose(messages.Message):
    """Append a command to the log.

    The component that applies the command answers `request`; otherwise the
    answer is `NotLeader`, `ProposalRefused` or `OutcomeUnknown`. Nothing is
    answered if `request` is empty.
    """

    __slots__ = ('request', 'command')

    def __init__(self, request: str, command: messages.Message) -> None:
        self.request = request
        self.command = command


@messages.register('replica.committed')
class Committed(messages.Message):
    """A command is on the disks of a majority; published in log order.

    `request` is empty unless this process proposed the command.
    """

    __slots__ = ('index', 'command', 'request')

    def __init__(
        self,
        index: int,
        command: messages.Message,
        request: str,
    ) -> None:
        self.index = index
        self.command = command
        self.request = request


@messages.register('replica.not_leader')
class NotLeader(messages.Message):
    """The command was not appended; `leader` is empty if unknown."""

    __slots__ = ('leader',)

    def __init__(self, leader: str) -> None:
        self.leader = leader


@messages.register('replica.outcome_unknown')
class OutcomeUnknown(messages.Message):
    """The command was appended, but may or may not be committed.

    This process lost the leadership or failed to store the command.
    """

    __slots__ = ()


@messages.register('replica.leader_changed')
class LeaderChanged(messages.Message):
    """The known leader changed, or this process gained or lost its lease.

    Attributes:
        leader: name of the leader; empty if unknown.
        leading: whether this process leads and holds its lease.
    """

    __slots__ = ('leader', 'leading')

    def __init__(self, leader: str, leading: bool) -> None:
        self.leader = leader
        self.leading = leading


@messages.register('replica.group_changed')
class GroupChanged(messages.Message):
    """The configuration of voters and learners changed.

    Attributes:
        index: index of its log entry; a higher one is newer.
        members: voters and learners.
    """

    __slots__ = ('index', 'members')

    def __init__(
        self,
        index: int,
        members: configuration.Configuration,
    ) -> None:
        self.index = index
        self.members = members


@messages.register('replica.members_found')
class MembersFound(messages.Message):
    """Other processes named members of the group that are new or have moved.

    Published by a process that looks for its group.
    """

    __slots__ = ('members',)

    def __init__(self, members: tuple[configuration.Member, ...]) -> None:
        self.members = members


@messages.register('replica.proposal_refused')
class ProposalRefused(messages.Message):
    """The command was not appended and has no effect.

    Attributes:
        reason: `storage_failed`, `too_large`, `too_many`, `not_encodable`,
            `change_in_progress`, `unknown_member` or `last_voter`.
    """

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason


@messages.register('replica.snapshot_wanted')
class SnapshotWanted(messages.Message):
    """Request for the state of the component that applies commands.

    All commands committed so far have been published before it.
    """

    __slots__ = ()


@messages.register('replica.snapshot_taken')
class SnapshotTaken(messages.Message):
    """The state after applying the log up to `index`.

    Attributes:
        index: index of the last command that was applied.
        parts: at least one part; each fits into a message.
    """

    __slots__ = ('index', 'parts')

    def __init__(
        self,
        index: int,
        parts: tuple[messages.Message, ...],
    ) -> None:
        self.index = index
        self.parts = parts


@messages.register('replica.snapshot_restored')
class SnapshotRestored(messages.Message):
    """State of a snapshot that replaces the state of the receiver.

    Attributes:
        index: index of the last command that the snapshot includes.
        parts: content of the snapshot.
    """

    __slots__ = ('index', 'parts')

    def __init__(
        self,
        index: int,
        parts: tuple[messages.Message, ...],
    ) -> None:
        self.index = index
        self.parts = parts


@messages.register('replica.add_member')
class AddMember(messages.Message):
    """Add a running process as a learner; it is promoted once caught up.

    The answer is `ChangeAccepted`, `NotLeader` or `ProposalRefused`.
    """

    __slots__ = ('request', 'name')

    def __init__(self, request: str, name: str) -> None:
        self.request = request
        self.name = name


@messages.register('replica.remove_member')
class RemoveMember(messages.Message):
    """Remove a voter or learner; answered like `AddMember`."""

    __slots__ = ('request', 'name')

    def __init__(self, request: str, name: str) -> None:
        self.request = request
        self.name = name


@messages.register('replica.change_accepted')
class ChangeAccepted(messages.Message):
    """The change of the group was appended to the leader's log."""

    __slots__ = ()
