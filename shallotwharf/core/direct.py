"""Aggregates with methods that are called directly during a call."""

from shallotwharf.core import aggregate, effects


class DirectAggregate(aggregate.Aggregate):
    """An aggregate that also has methods to be called directly.

    Such a method returns a typed decision. Its effects, which are rare, are
    collected in `outbox`; the caller drains it and passes the effects to the
    dispatcher.
    """

    __slots__ = ('outbox',)

    def __init__(self) -> None:
        self.outbox: list[effects.Effect] = []

    def drain_effects(self) -> list[effects.Effect]:
        """Return the effects in the outbox and clear it."""
        taken = self.outbox
        self.outbox = []
        return taken
