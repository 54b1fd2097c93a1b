"""State of a replica before a step, for the rollback."""

from shallotwharf.components.replica import log, stored
from shallotwharf.core import messages, records


class Checkpoint(records.Record):
    """State that is rolled back when a store fails."""

    __slots__ = ('term', 'vote', 'commit', 'snapshot', 'parts', 'role', 'log')

    def __init__(
        self,
        term: int,
        vote: str,
        commit: int,
        snapshot: stored.Snapshot | None,
        parts: tuple[messages.Message, ...],
        role: str,
        saved_log: log.Checkpoint,
    ) -> None:
        self.term = term
        self.vote = vote
        self.commit = commit
        self.snapshot = snapshot
        self.parts = parts
        self.role = role
        self.log = saved_log
