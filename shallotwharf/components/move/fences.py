"""Fences that are in force on a node."""

import typing
from collections import abc

from shallotwharf.components.move import const, messages
from shallotwharf.components.tables import version

_MAX_FENCES: typing.Final = 256


class _Entry:
    """A fence with its expiry time.

    Attributes:
        seen: whether a version applied on this node contained the move.
    """

    __slots__ = ('fence', 'seen', 'expires_at')

    def __init__(self, fence: messages.FenceRaised, expires_at: int) -> None:
        self.fence = fence
        self.seen = False
        self.expires_at = expires_at


class Fences:
    """Fences by move.

    A fence is removed once its move was in an applied version and no longer
    is. While no applied version has contained the move, the fence stays until
    it expires, because it may arrive before the version that declares the
    move.
    """

    __slots__ = ('_entries',)

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def add(self, fence: messages.FenceRaised, now: int) -> bool:
        """Store a fence; return whether it is new."""
        if fence.move_id in self._entries:
            return False
        if len(self._entries) >= _MAX_FENCES:
            self._entries.pop(next(iter(self._entries)))
        self._entries[fence.move_id] = _Entry(
            fence,
            now + const.FENCE_LIFETIME_MS,
        )
        return True

    def is_fenced(self, move_id: str) -> bool:
        """Return whether a move is fenced."""
        return move_id in self._entries

    def update_moves(self, moves: abc.Iterable[version.Move], now: int) -> None:
        """Remove expired fences and those of moves no longer in the version."""
        present = {move.move_id for move in moves}
        for move_id, entry in list(self._entries.items()):
            entry.seen = entry.seen or move_id in present
            removed = move_id not in present and entry.seen
            if removed or now >= entry.expires_at:
                self._entries.pop(move_id)

    def list_unrecorded(
        self,
        moves: abc.Iterable[version.Move],
    ) -> list[messages.FenceRaised]:
        """Return the fences of moves that control has not yet taken back."""
        return [
            self._entries[move.move_id].fence
            for move in moves
            if self.is_fenced(move.move_id)
            and move.state != version.STATE_TAKEN_BACK
        ]
