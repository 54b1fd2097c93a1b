"""Choice of the control process that feeds a node directly."""

import random as random_module
import typing
from collections import abc

from shallotwharf.components.delivery import const, messages, quorum

LEFT_SILENT: typing.Final = 'silent'
LEFT_UNUSABLE: typing.Final = 'unusable'
LEFT_LAGGING: typing.Final = 'lagging'

_NEVER: typing.Final = -1_000_000


class _ControlStatus:
    """What a control process has stated so far.

    A version that was handed out stays so, hence the number never decreases.
    """

    __slots__ = ('number', 'received_at')

    def __init__(self) -> None:
        self.number = 0
        self.received_at = _NEVER


class Source:
    """The control process that a node subscribes to, and those it watches.

    The nearest process feeds the node. Since that process may lag behind the
    others while it answers, the node also watches the next nearest ones, which
    only state their versions. The watched processes and the source intersect
    each majority of the voters, so at least one of them knows each version
    that may be handed out.

    The source is replaced if for `const.RESPONSE_TIMEOUT_MS` it has sent
    nothing, or has had no contact with a majority of the voters or no new
    enough version. It is also replaced if it has not delivered a version
    within `const.LAG_TIMEOUT_MS` after another process stated it; the time
    doubles with each such change until a version arrives, so that slow
    transfers are not started again and again. A process that was left is
    avoided for `const.SOURCE_PENALTY_MS`.

    Attributes:
        name: name of the chosen process; empty if none is known.
        watched: names of the watched processes.
        highest: highest version that a process has stated.
    """

    __slots__ = (
        'name',
        'watched',
        'highest',
        '_random',
        '_ranks',
        '_statuses',
        '_avoid_until',
        '_last_received_at',
        '_last_usable_at',
        '_lags_since',
        '_lag_timeout_ms',
    )

    def __init__(self, random: random_module.Random) -> None:
        self.name = ''
        self.watched: tuple[str, ...] = ()
        self.highest = 0
        self._random = random
        self._ranks: dict[str, int] = {}
        self._statuses: dict[str, _ControlStatus] = {}
        self._avoid_until: dict[str, int] = {}
        self._last_received_at = 0
        self._last_usable_at = 0
        self._lags_since: int | None = None
        self._lag_timeout_ms: int = const.LAG_TIMEOUT_MS

    def set_control(self, ranks: abc.Mapping[str, int], now: int) -> None:
        """Set the control processes and their distances."""
        self._ranks = dict(ranks)
        self._statuses = {
            name: self._statuses.get(name) or _ControlStatus() for name in ranks
        }
        if self.name in self._ranks:
            self._watch()
        else:
            self._choose(now)

    def receive_status(
        self,
        sender: str,
        status: messages.FeedStatus,
        least: int,
        now: int,
    ) -> None:
        """Record what a control process states.

        The source is usable only if it hands out version `least` or a newer
        one.
        """
        known = self._statuses.get(sender)
        if known is None:
            return
        known.number = max(known.number, status.number)
        known.received_at = now
        if status.number > self.highest:
            self.highest = status.number
            if self._lags_since is None:
                self._lags_since = now
        if sender == self.name:
            self._last_received_at = now
            if status.current and status.number >= least:
                self._last_usable_at = now

    def record_part(self, now: int) -> None:
        """Record that a part of a version has arrived."""
        if self._lags_since is not None:
            self._lags_since = now

    def leave(self, sender: str, now: int) -> None:
        """Choose another process instead of the sender."""
        if sender == self.name:
            self._avoid_until[sender] = now + const.SOURCE_PENALTY_MS
            self._choose(now)

    def replace_unusable(self, held: int, now: int) -> str:
        """Replace the source if it is unusable.

        Args:
            held: number of the newest version that the node holds.
            now: current time in milliseconds.

        Returns:
            One of the `LEFT_` reasons; empty if the source stays.
        """
        self._update_lag(held, now)
        reason = self._find_reason(held, now)
        if reason == LEFT_LAGGING:
            self._lag_timeout_ms = min(
                2 * self._lag_timeout_ms, const.MAX_LAG_TIMEOUT_MS
            )
        if reason:
            self.leave(self.name, now)
        return reason

    def _update_lag(self, held: int, now: int) -> None:
        if held >= self.highest:
            self._lags_since = None
            self._lag_timeout_ms = const.LAG_TIMEOUT_MS
        elif self._lags_since is None:
            self._lags_since = now

    def _find_reason(self, held: int, now: int) -> str:
        if not self.name:
            return ''
        if now - self._last_received_at >= const.RESPONSE_TIMEOUT_MS:
            return LEFT_SILENT
        if now - self._last_usable_at >= const.RESPONSE_TIMEOUT_MS:
            return LEFT_UNUSABLE
        lags_since = now if self._lags_since is None else self._lags_since
        if now - lags_since < self._lag_timeout_ms:
            return ''
        has_other = any(
            status.number > held
            for name, status in self._statuses.items()
            if name != self.name
        )
        return LEFT_LAGGING if has_other else ''

    def _choose(self, now: int) -> None:
        self.name = ''
        self._last_received_at = now
        self._last_usable_at = now
        self._lags_since = None
        if self._ranks:
            self.name = min(self._ranks, key=lambda name: self._rate(name, now))
        self._watch()

    def _rate(self, name: str, now: int) -> tuple[bool, bool, bool, int, float]:
        """Return a sort key; the process with the lowest one is chosen."""
        status = self._statuses[name]
        return (
            self._avoid_until.get(name, 0) > now,
            now - status.received_at >= const.RESPONSE_TIMEOUT_MS,
            status.number < self.highest,
            self._ranks[name],
            self._random.random(),
        )

    def _watch(self) -> None:
        """Choose the nearest others, as many as a quorum needs."""
        others = sorted(
            (name for name in self._ranks if name != self.name),
            key=lambda name: (
                name not in self.watched,
                self._ranks[name],
                self._random.random(),
            ),
        )
        wanted = quorum.compute_intersecting(len(self._ranks)) - 1
        self.watched = tuple(others[: max(wanted, 0)])
