"""Records on the disks of the replicas."""

from shallotwharf.components.replica import configuration
from shallotwharf.core import messages


@messages.register('replica.noop')
class Noop(messages.Message):
    """First entry of each term, which commits those of earlier terms."""

    __slots__ = ()


@messages.register('replica.entry')
class Entry(messages.Message):
    """One entry of the log."""

    __slots__ = ('index', 'term', 'command')

    def __init__(
        self,
        index: int,
        term: int,
        command: messages.Message,
    ) -> None:
        self.index = index
        self.term = term
        self.command = command


@messages.register('replica.state')
class State(messages.Message):
    """State that a replica stores beside its log.

    Attributes:
        term: current term.
        vote: disk of the candidate voted for in that term; empty if none.
        commit: last index whose command was published, so that a process
            that restarts alone does not serve an older state than before.
    """

    __slots__ = ('term', 'vote', 'commit')

    def __init__(self, term: int, vote: str, commit: int = 0) -> None:
        self.term = term
        self.vote = vote
        self.commit = commit


@messages.register('replica.snapshot')
class Snapshot(messages.Message):
    """Header of a snapshot.

    Attributes:
        index: index of the last entry that it replaces.
        term: term of the entry at that index.
        members: the configuration at that index.
    """

    __slots__ = ('index', 'term', 'members')

    def __init__(
        self,
        index: int,
        term: int,
        members: configuration.Configuration,
    ) -> None:
        self.index = index
        self.term = term
        self.members = members
