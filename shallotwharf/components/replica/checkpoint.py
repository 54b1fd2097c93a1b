"""State of a replica before a step, to go back to."""

from shallotwharf.components.replica import log, stored
from shallotwharf.core import messages, records


class Checkpoint(records.Record):
    """What a store that fails takes back."""

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
