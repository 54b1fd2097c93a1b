"""Aggregates with methods that are called directly on the path of a call."""

from shallotwharf.core import aggregate, effects


class DirectAggregate(aggregate.Aggregate):
    """An aggregate that also answers plain method calls.

    Such a method returns a typed decision. Its effects, which are rare, wait
    in `outbox` until the caller takes them and has the dispatcher run them.
    """

    __slots__ = ('outbox',)

    def __init__(self) -> None:
        self.outbox: list[effects.Effect] = []

    def drain_effects(self) -> list[effects.Effect]:
        """Return the effects that wait, and forget them."""
        taken = self.outbox
        self.outbox = []
        return taken
