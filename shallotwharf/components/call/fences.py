"""Versions of a service that get no traffic in a pool."""

from shallotwharf.components.move import messages as move
from shallotwharf.components.tables import version


class Fences:
    """Fences by pool; each lasts until the pool has another move."""

    __slots__ = ('_raised',)

    def __init__(self) -> None:
        self._raised: dict[str, dict[str, str]] = {}

    def add(self, fence: move.FenceRaised) -> None:
        """Add a fence; it may arrive before the version with its move."""
        pool_fences = self._raised.setdefault(fence.pool, {})
        pool_fences[fence.move_id] = fence.version

    def remove_replaced(
        self,
        previous: version.Version,
        applied: version.Version,
    ) -> None:
        """Remove the fences of moves that a new move replaced."""
        for new_move in applied.moves:
            old_move = previous.find_move(new_move.pool)
            if old_move is not None and old_move.move_id != new_move.move_id:
                pool_fences = self._raised.get(new_move.pool, {})
                pool_fences.pop(old_move.move_id, None)

    def find_fenced(
        self,
        pool: str,
        current: version.Move | None,
    ) -> frozenset[str]:
        """Return the fenced versions of a pool, given its current move.

        Without a move all fences apply: only a new move lifts them.
        """
        pool_fences = self._raised.get(pool, {})
        return frozenset(
            fenced
            for move_id, fenced in pool_fences.items()
            if current is None or current.move_id == move_id
        )
