"""Status of a replica, for operators."""

from shallotwharf.components.replica import configuration, shared_state
from shallotwharf.core import records


class Status(records.Record):
    """Position of one replica, for operators.

    Attributes:
        leader: name of the leader; empty if unknown.
        term: current term.
        commit: last index known to be on a majority of the disks.
        last_index: last index of the local log.
        members: voters and learners.
        storage_failed: whether the local disk refuses writes.
    """

    __slots__ = (
        'leader',
        'term',
        'commit',
        'last_index',
        'members',
        'storage_failed',
    )

    def __init__(
        self,
        leader: str,
        term: int,
        commit: int,
        last_index: int,
        members: configuration.Configuration,
        storage_failed: bool,
    ) -> None:
        self.leader = leader
        self.term = term
        self.commit = commit
        self.last_index = last_index
        self.members = members
        self.storage_failed = storage_failed


def read_status(shared: shared_state.SharedState) -> Status:
    """Return the current status of a replica."""
    return Status(
        shared.leader,
        shared.term,
        shared.commit,
        shared.log.last_index,
        shared.members,
        shared.storage_failed,
    )
