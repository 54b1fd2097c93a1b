"""Subscriptions of relays and nodes to a control process."""

from collections import abc

from shallotwharf.components.delivery import const, messages, transfer
from shallotwharf.core import bucket, clock, effects


class _Subscription:
    __slots__ = (
        'number',
        'digest',
        'status_only',
        'pending',
        'sent_at',
        'renewed_at',
    )

    def __init__(self, now: int) -> None:
        self.number = 0
        self.digest = b''
        self.status_only = False
        self.pending = 0
        self.sent_at = 0
        self.renewed_at = now


class Admission:
    """Rate limit of new subscriptions, as a token bucket."""

    __slots__ = ('_per_second', '_burst', '_bucket')

    def __init__(
        self,
        per_second: int = const.ADMISSIONS_PER_S,
        burst: int = const.ADMISSION_BURST,
    ) -> None:
        self._per_second = per_second
        self._burst = burst
        self._bucket = bucket.TokenBucket(burst)

    def admit(self, now: int) -> int:
        """Return 0 if admitted, else the time to wait in milliseconds."""
        if self._bucket.take(now, self._per_second, self._burst):
            return 0
        missing = 1 - self._bucket.tokens
        return int(missing * clock.SECOND_MS / self._per_second) + 1


class Subscriptions:
    """The subscribed relays and nodes, each with one pending version at most.

    All are called relays here.
    """

    __slots__ = ('_history', '_admission', '_relays')

    def __init__(
        self,
        history: transfer.History,
        admission: Admission,
    ) -> None:
        self._history = history
        self._admission = admission
        self._relays: dict[str, _Subscription] = {}

    def renew(
        self,
        relay: str,
        request: messages.Subscribe,
        now: int,
    ) -> int:
        """Record which version a relay holds, and admit it if it is new.

        One that wants the status only is always admitted, and is not limited
        when it subscribes for versions later: it has a connection and a
        version, so that it needs a difference only.

        Returns 0, or the time to wait in milliseconds if it is not admitted.
        """
        subscription = self._relays.get(relay)
        if subscription is None:
            wait = 0 if request.status_only else self._admission.admit(now)
            if wait:
                return wait
            subscription = _Subscription(now)
            self._relays[relay] = subscription
        # A lower number than before means that the relay could not apply the
        # pending difference.
        refused = request.number < subscription.number
        changed = request.status_only != subscription.status_only
        if refused or changed or request.number >= subscription.pending:
            subscription.pending = 0
        subscription.status_only = request.status_only
        subscription.renewed_at = now
        subscription.number = request.number
        subscription.digest = request.digest
        return 0

    def remove(self, relay: str) -> None:
        """End the subscription of a relay."""
        self._relays.pop(relay, None)

    def is_subscribed(self, relay: str) -> bool:
        """Return whether a relay is subscribed."""
        return relay in self._relays

    def list_watchers(self) -> list[str]:
        """Return the subscribers that want the status only."""
        return [
            relay
            for relay, subscription in self._relays.items()
            if subscription.status_only
        ]

    def offer(self, relay: str, limit: int, now: int) -> list[effects.Effect]:
        """Send a relay the newest version up to `limit` unless one is pending.

        A pending version is sent again after `const.RESEND_MS`.
        """
        subscription = self._relays[relay]
        if subscription.status_only:
            return []
        is_resent = bool(subscription.pending)
        if is_resent and now - subscription.sent_at < const.RESEND_MS:
            return []
        target = self._history.find_last(limit)
        if subscription.number >= target:
            return []
        subscription.pending = target
        subscription.sent_at = now
        parts = self._history.make_parts(
            subscription.number,
            subscription.digest,
            target,
        )
        step: list[effects.Effect] = [
            effects.Count('delivery.parts_sent', len(parts)),
            *(effects.Send(relay, messages.RelayPart(part)) for part in parts),
        ]
        if is_resent:
            step.append(effects.Count('delivery.versions_resent'))
        return step

    def offer_all(self, limit: int, now: int) -> list[effects.Effect]:
        """Send all relays a version they lack; drop expired subscriptions."""
        step: list[effects.Effect] = []
        for relay in self._list_live(now):
            step.extend(self.offer(relay, limit, now))
        return step

    def _list_live(self, now: int) -> abc.Iterable[str]:
        for relay, subscription in list(self._relays.items()):
            if now - subscription.renewed_at > const.SUBSCRIPTION_EXPIRY_MS:
                self._relays.pop(relay)
        return list(self._relays)
