"""Results and releases that holders have not acknowledged yet."""

from collections import abc

from shallotwharf.components.once import const
from shallotwharf.core import effects, messages


class _Parcel:
    __slots__ = ('message', 'pending', 'needed', 'left', 'pause', 'waited')

    def __init__(
        self,
        message: messages.Message,
        pending: set[str],
        needed: int,
        left: int,
    ) -> None:
        self.message = message
        self.pending = pending
        # Missing acknowledgements until a majority has the message.
        self.needed = needed
        self.left = left
        # Ticks between this attempt and the next, and ticks since this one.
        self.pause = 1
        self.waited = 0


class Outbox:
    """Messages by the token of their attempt, resent until acknowledged.

    The interval between resends of a message doubles each time.
    """

    __slots__ = ('_parcels',)

    def __init__(self) -> None:
        self._parcels: dict[bytes, _Parcel] = {}

    def add(
        self,
        token: bytes,
        message: messages.Message,
        members: abc.Iterable[str],
        attempts: int,
    ) -> list[effects.Effect]:
        """Send a message to holders and store it for resending.

        `attempts` limits the resends. The oldest message is dropped when
        `MAX_RESULTS` are stored.
        """
        pending = set(members)
        if not pending:
            return []
        while len(self._parcels) >= const.MAX_RESULTS:
            self._parcels.pop(next(iter(self._parcels)))
        self._parcels[token] = _Parcel(
            message,
            pending,
            len(pending) // 2 + 1,
            attempts,
        )
        return [effects.Send(member, message) for member in sorted(pending)]

    def acknowledge(self, token: bytes, sender: str) -> None:
        """Record that a holder has the message of an attempt."""
        parcel = self._parcels.get(token)
        if parcel is None or sender not in parcel.pending:
            return
        parcel.pending.discard(sender)
        parcel.needed -= 1
        if parcel.needed <= 0:
            parcel.left = min(parcel.left, const.RESULT_EXTRA_ATTEMPTS)
        if not parcel.pending:
            self._parcels.pop(token)

    def resend(self) -> list[effects.Effect]:
        """Return the effects that resend the messages due at this tick."""
        step: list[effects.Effect] = []
        for token, parcel in list(self._parcels.items()):
            parcel.waited += 1
            if parcel.waited < parcel.pause:
                continue
            if len(step) >= const.RESENDS_AT_ONCE:
                break
            parcel.waited = 0
            parcel.pause *= 2
            parcel.left -= 1
            if parcel.left <= 0:
                self._parcels.pop(token)
            step.extend(
                effects.Send(member, parcel.message)
                for member in sorted(parcel.pending)
            )
        return step

    def is_empty(self) -> bool:
        """Return whether all messages were acknowledged or dropped."""
        return not self._parcels
