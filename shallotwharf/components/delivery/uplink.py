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

    It prefers a process of the own data centre, then of the own region. One
    that is silent, that does not hear a majority of the voters, or that
    falls behind what another one hands out, is replaced. Attempts back off
    with full jitter; an answer to a report from any control process ends
    the wait, since it shows that an attempt would succeed.
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
        """Tell whether the chosen process feeds this relay."""
        if not self._feed or self._heard_at is None:
            return False
        known = self._known.get(self._feed)
        if known is None or not known.current:
            return False
        return now - self._heard_at < const.SILENCE_MS

    def close(self) -> list[effects.Effect]:
        """Give up the subscription."""
        feed = self._feed
        self._feed = ''
        self._heard_at = None
        return self.decline(feed) if feed else []

    def decline(self, sender: str) -> list[effects.Effect]:
        """End a subscription to any process but the chosen one.

        Such a process may have missed the end, and sends each version again
        until the subscription expires.
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
        """Renew the subscription or seek another control process."""
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
        """Tell the control process which version is held."""
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
        """Note that a control process answers, and what it hands out."""
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
        """Leave a control process that did not admit the subscription."""
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
        """Tell whether another process does better for a resend's time."""
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
        """Take the nearest of those heard as current, else any in turn."""
        current = [
            name
            for name, known in self._known.items()
            if known.current and now - known.heard_at < const.REPORT_EXPIRY_MS
        ]
        if current:
            # What is far behind the best is not worth its short distance.
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
