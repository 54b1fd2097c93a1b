"""Choice of the control process that feeds a relay."""

import random as random_module
from collections import abc

from shallotwharf.components.delivery import const, messages
from shallotwharf.components.membership import messages as member_messages
from shallotwharf.core import effects


class _ControlStatus:
    __slots__ = ('received_at', 'current', 'number')

    def __init__(self, received_at: int, current: bool, number: int) -> None:
        self.received_at = received_at
        self.current = current
        self.number = number


class Uplink:
    """The subscription of a relay to a control process.

    It prefers a process of the local data centre, then of the local region.
    The process is replaced if it sends nothing for
    `const.RESPONSE_TIMEOUT_MS`. It is also replaced if for `const.RESEND_MS`
    another one hands out a newer version than the relay holds, or has contact
    with a majority of the voters while the chosen one has not. Attempts back
    off with full jitter. A status from any control process with such contact
    ends the back-off, because it shows that an attempt would succeed.
    """

    __slots__ = (
        '_random',
        '_ranks',
        '_statuses',
        '_source',
        '_chosen_at',
        '_last_received_at',
        '_renew_at',
        '_next_attempt_at',
        '_attempts',
        '_behind_since',
    )

    def __init__(
        self,
        local_node: member_messages.Member,
        control: abc.Iterable[messages.ControlProcess],
        random: random_module.Random,
    ) -> None:
        self._random = random
        self._ranks = {
            process.name: process.rank_distance(
                local_node.datacentre, local_node.region
            )
            for process in control
        }
        self._statuses: dict[str, _ControlStatus] = {}
        self._source = ''
        self._chosen_at = 0
        self._last_received_at: int | None = None
        self._renew_at = 0
        self._next_attempt_at = 0
        self._attempts = 0
        self._behind_since: int | None = None

    def is_connected(self, now: int) -> bool:
        """Return whether the chosen process feeds this relay."""
        if not self._source or self._last_received_at is None:
            return False
        known = self._statuses.get(self._source)
        if known is None or not known.current:
            return False
        return now - self._last_received_at < const.RESPONSE_TIMEOUT_MS

    def close(self) -> list[effects.Effect]:
        """End the subscription."""
        source = self._source
        self._source = ''
        self._last_received_at = None
        return self.decline(source) if source else []

    def decline(self, sender: str) -> list[effects.Effect]:
        """End a subscription to any process but the chosen one.

        Such a process may not have received the end of the subscription, and
        would send each version until the subscription expires.
        """
        if sender == self._source or sender not in self._ranks:
            return []
        return [effects.Send(sender, messages.Unsubscribe())]

    def tick(
        self,
        number: int,
        digest: bytes,
        now: int,
    ) -> list[effects.Effect]:
        """Renew the subscription, or choose another control process if due."""
        step = self._check_source(number, now)
        if not self._source:
            if now < self._next_attempt_at or not self._ranks:
                return step
            self._choose(now)
        elif now < self._renew_at:
            return []
        return [*step, *self.acknowledge(number, digest, now)]

    def acknowledge(
        self,
        number: int,
        digest: bytes,
        now: int,
    ) -> list[effects.Effect]:
        """Send number and digest of the held version to the control process."""
        if not self._source:
            return []
        self._renew_at = now + const.SUBSCRIPTION_RENEW_MS
        return [effects.Send(self._source, messages.Subscribe(number, digest))]

    def receive_status(
        self,
        sender: str,
        status: messages.FeedStatus,
        now: int,
    ) -> None:
        """Store the status of a control process."""
        self._statuses[sender] = _ControlStatus(
            now, status.current, status.number
        )
        if sender == self._source:
            if status.subscribed:
                self._last_received_at = now
                self._attempts = 0
        elif status.current and not self._source:
            self._next_attempt_at = min(self._next_attempt_at, now)

    def retry_later(
        self,
        sender: str,
        message: messages.RetryLater,
        now: int,
    ) -> None:
        """Postpone the next attempt after a subscription was not admitted."""
        if sender == self._source:
            self._drop(now)
            self._next_attempt_at = now + self._random.randint(
                message.after_ms,
                message.after_ms + const.BACKOFF_MIN_MS,
            )

    def _check_source(self, number: int, now: int) -> list[effects.Effect]:
        if not self._source:
            return []
        last_received_at = (
            self._chosen_at
            if self._last_received_at is None
            else self._last_received_at
        )
        if now - last_received_at >= const.RESPONSE_TIMEOUT_MS:
            return self._drop(now)
        if self._has_better_source(number, now):
            step = self._drop(now)
            self._next_attempt_at = now
            return step
        return []

    def _has_better_source(self, number: int, now: int) -> bool:
        """Return whether another process was better for `const.RESEND_MS`."""
        chosen = self._statuses.get(self._source)
        better = any(
            other.current
            and now - other.received_at < const.REPORT_HEARTBEAT_MS
            and (other.number > number or chosen is None or not chosen.current)
            for name, other in self._statuses.items()
            if name != self._source
        )
        if not better:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= const.RESEND_MS

    def _drop(self, now: int) -> list[effects.Effect]:
        self._statuses.pop(self._source, None)
        step = self.close()
        self._behind_since = None
        limit = const.BACKOFF_MIN_MS << min(
            self._attempts, const.MAX_BACKOFF_DOUBLINGS
        )
        self._attempts += 1
        self._next_attempt_at = now + self._random.randint(
            0,
            min(limit, const.BACKOFF_MAX_MS),
        )
        return step

    def _choose(self, now: int) -> None:
        """Choose the nearest process with the newest version.

        Only processes with contact to a majority of the voters count. Without
        one, choose the nearest, and a random one on retries.
        """
        current = [
            name
            for name, known in self._statuses.items()
            if known.current
            and now - known.received_at < const.REPORT_EXPIRY_MS
        ]
        if current:
            # A near process that is behind the newest version is not chosen.
            best = max(self._statuses[name].number for name in current)
            current = [
                name for name in current if self._statuses[name].number == best
            ]
            self._source = min(current, key=self._rank_randomly)
        elif self._attempts:
            self._source = self._random.choice(list(self._ranks))
        else:
            self._source = min(self._ranks, key=self._rank_randomly)
        self._chosen_at = now

    def _rank_randomly(self, name: str) -> tuple[int, float]:
        return self._ranks[name], self._random.random()
