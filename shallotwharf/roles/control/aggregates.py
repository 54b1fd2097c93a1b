"""The aggregates of a control process."""

from shallotwharf.components.delivery import feed
from shallotwharf.components.ledger import ledger
from shallotwharf.components.move import director
from shallotwharf.components.replica import replica
from shallotwharf.core import aggregate


class ControlAggregates:
    """The aggregates of a control process.

    `others` are reached only by messages.
    """

    __slots__ = ('replica', 'ledger', 'feed', 'director', 'others')

    def __init__(
        self,
        control_replica: replica.Replica,
        control_ledger: ledger.Ledger,
        control_feed: feed.Feed,
        control_director: director.Director,
        others: tuple[aggregate.Aggregate, ...],
    ) -> None:
        self.replica = control_replica
        self.ledger = control_ledger
        self.feed = control_feed
        self.director = control_director
        self.others = others

    def list_all(self) -> tuple[aggregate.Aggregate, ...]:
        """Return all, in start order: consumers of events before sources."""
        return (
            self.ledger,
            self.feed,
            self.director,
            *self.others,
            self.replica,
        )
