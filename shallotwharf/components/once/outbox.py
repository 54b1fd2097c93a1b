"""Results and releases that holders have not acknowledged yet."""

from collections import abc

from shallotwharf.components.once import const
from shallotwharf.core import effects, messages


class _Delivery:
    __slots__ = (
        'message',
        'pending',
        'needed_acks',
        'attempts_left',
        'interval_ticks',
        'waited_ticks',
    )

    def __init__(
        self,
        message: messages.Message,
        pending: set[str],
        needed_acks: int,
        attempts_left: int,
    ) -> None:
        self.message = message
        self.pending = pending
        # Missing acknowledgements until a majority has the message.
        self.needed_acks = needed_acks
        self.attempts_left = attempts_left
        # Ticks between this attempt and the next, and ticks since this one.
        self.interval_ticks = 1
        self.waited_ticks = 0


class Outbox:
    """Messages by the token of their attempt, resent until acknowledged.

    The interval between resends of a message doubles each time.
    """

    __slots__ = ('_deliveries',)

    def __init__(self) -> None:
        self._deliveries: dict[bytes, _Delivery] = {}

    def add(
        self,
        token: bytes,
        message: messages.Message,
        members: abc.Iterable[str],
        attempts: int,
    ) -> list[effects.Effect]:
        """Send a message to holders and store it for resending.

        `attempts` is the number of resends. The oldest message is dropped when
        `MAX_UNACKNOWLEDGED` are stored.
        """
        pending = set(members)
        if not pending:
            return []
        while len(self._deliveries) >= const.MAX_UNACKNOWLEDGED:
            self._deliveries.pop(next(iter(self._deliveries)))
        self._deliveries[token] = _Delivery(
            message,
            pending,
            len(pending) // 2 + 1,
            attempts,
        )
        return [effects.Send(member, message) for member in sorted(pending)]

    def acknowledge(self, token: bytes, sender: str) -> None:
        """Record that a holder has the message of an attempt."""
        delivery = self._deliveries.get(token)
        if delivery is None or sender not in delivery.pending:
            return
        delivery.pending.discard(sender)
        delivery.needed_acks -= 1
        if delivery.needed_acks <= 0:
            delivery.attempts_left = min(
                delivery.attempts_left, const.RESULT_EXTRA_ATTEMPTS
            )
        if not delivery.pending:
            self._deliveries.pop(token)

    def resend(self) -> list[effects.Effect]:
        """Return the effects that resend the messages due at this tick."""
        step: list[effects.Effect] = []
        for token, delivery in list(self._deliveries.items()):
            delivery.waited_ticks += 1
            if delivery.waited_ticks < delivery.interval_ticks:
                continue
            if len(step) >= const.MAX_RESENDS_PER_TICK:
                break
            delivery.waited_ticks = 0
            delivery.interval_ticks *= 2
            delivery.attempts_left -= 1
            if delivery.attempts_left <= 0:
                self._deliveries.pop(token)
            step.extend(
                effects.Send(member, delivery.message)
                for member in sorted(delivery.pending)
            )
        return step

    def is_empty(self) -> bool:
        """Return whether all messages were acknowledged or dropped."""
        return not self._deliveries
