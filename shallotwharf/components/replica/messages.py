"""Events of the replicated log that other components use."""

from shallotwharf.core import messages


@messages.register('replica.propose')
class Propose(messages.Message):
    """Append a command to the log.

    The answer to `request` comes from the component that applies the
    command, or is `NotLeader` or `OutcomeUnknown`. An empty `request` wants
    no answer.
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
    """The command was appended, but this process lost the lead since."""

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
