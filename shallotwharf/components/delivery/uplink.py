"""Choice of the control process that feeds a relay."""

import random as random_module
from collections import abc

from shallotwharf.components.delivery import const, messages
from shallotwharf.components.membership import messages as member_messages
from shallotwharf.core import effects


class _Known:
    __slots__ = ('heard_at', 'current', 'number')

    def __init__(self, heard_at: int, current: bool, number: int) -> None:
        self.heard_at = heard_at
        self.current = current
        self.number = number


class Uplink:
    """The subscription of a relay to a control process.

    It prefers a process of the local data centre, then of the local region.
    The process is replaced if it sends nothing for `const.SILENCE_MS`. It is
    also replaced if for `const.RESEND_MS` another one hands out a newer version
    than the relay holds, or has contact with a majority of the voters while
    the chosen one has not. Attempts back off with full jitter. A status from
    any control process with such contact ends the back-off, because it shows
    that an attempt would succeed.
    """

    __slots__ = (
        '_random',
        '_ranks',
        '_known',
        '_feed',
        '_since',
        '_heard_at',
        '_renew_at',
        '_next_at',
        '_attempts',
        '_behind_since',
    )

    def __init__(
        self,
        own: member_messages.Member,
        control: abc.Iterable[messages.ControlProcess],
        random: random_module.Random,
    ) -> None:
        self._random = random
        self._ranks = {
            process.name: process.rank_distance(own.datacentre, own.region)
            for process in control
        }
        self._known: dict[str, _Known] = {}
        self._feed = ''
        self._since = 0
        self._heard_at: int | None = None
        self._renew_at = 0
        self._next_at = 0
        self._attempts = 0
        self._behind_since: int | None = None

    def is_connected(self, now: int) -> bool:
        """Return whether the chosen process feeds this relay."""
        if not self._feed or self._heard_at is None:
            return False
        known = self._known.get(self._feed)
        if known is None or not known.current:
            return False
        return now - self._heard_at < const.SILENCE_MS

    def close(self) -> list[effects.Effect]:
        """End the subscription."""
        feed = self._feed
        self._feed = ''
        self._heard_at = None
        return self.decline(feed) if feed else []

    def decline(self, sender: str) -> list[effects.Effect]:
        """End a subscription to any process but the chosen one.

        Such a process may not have received the end of the subscription, and
        would send each version until the subscription expires.
        """
        if sender == self._feed or sender not in self._ranks:
            return []
        return [effects.Send(sender, messages.Unsubscribe())]

    def tick(
        self,
        number: int,
        digest: bytes,
        now: int,
    ) -> list[effects.Effect]:
        """Renew the subscription, or choose another control process if due."""
        step = self._check_feed(number, now)
        if not self._feed:
            if now < self._next_at or not self._ranks:
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
        """Send the control process the version held."""
        if not self._feed:
            return []
        self._renew_at = now + const.RENEW_MS
        return [effects.Send(self._feed, messages.Subscribe(number, digest))]

    def receive_status(
        self,
        sender: str,
        status: messages.FeedStatus,
        now: int,
    ) -> None:
        """Store the status of a control process."""
        self._known[sender] = _Known(now, status.current, status.number)
        if sender == self._feed:
            if status.subscribed:
                self._heard_at = now
                self._attempts = 0
        elif status.current and not self._feed:
            self._next_at = min(self._next_at, now)

    def retry_later(
        self,
        sender: str,
        message: messages.RetryLater,
        now: int,
    ) -> None:
        """Postpone the next attempt after a subscription was not admitted."""
        if sender == self._feed:
            self._drop(now)
            self._next_at = now + self._random.randint(
                message.after_ms,
                message.after_ms + const.BACKOFF_FIRST_MS,
            )

    def _check_feed(self, number: int, now: int) -> list[effects.Effect]:
        if not self._feed:
            return []
        heard_at = self._since if self._heard_at is None else self._heard_at
        if now - heard_at >= const.SILENCE_MS:
            return self._drop(now)
        if self._is_outdone(number, now):
            step = self._drop(now)
            self._next_at = now
            return step
        return []

    def _is_outdone(self, number: int, now: int) -> bool:
        """Return whether another process was better for `const.RESEND_MS`."""
        own = self._known.get(self._feed)
        better = any(
            other.current
            and now - other.heard_at < const.REPORT_BEAT_MS
            and (other.number > number or own is None or not own.current)
            for name, other in self._known.items()
            if name != self._feed
        )
        if not better:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= const.RESEND_MS

    def _drop(self, now: int) -> list[effects.Effect]:
        self._known.pop(self._feed, None)
        step = self.close()
        self._behind_since = None
        limit = const.BACKOFF_FIRST_MS << min(self._attempts, const.DOUBLINGS)
        self._attempts += 1
        self._next_at = now + self._random.randint(
            0,
            min(limit, const.BACKOFF_LAST_MS),
        )
        return step

    def _choose(self, now: int) -> None:
        """Choose the nearest current process with the newest version.

        Without a current one, choose the nearest, and a random one on retries.
        """
        current = [
            name
            for name, known in self._known.items()
            if known.current and now - known.heard_at < const.REPORT_EXPIRY_MS
        ]
        if current:
            # A near process that is behind the newest version is not chosen.
            best = max(self._known[name].number for name in current)
            current = [
                name for name in current if self._known[name].number == best
            ]
            self._feed = min(current, key=self._rank_randomly)
        elif self._attempts:
            self._feed = self._random.choice(list(self._ranks))
        else:
            self._feed = min(self._ranks, key=self._rank_randomly)
        self._since = now

    def _rank_randomly(self, name: str) -> tuple[int, float]:
        return self._ranks[name], self._random.random()
