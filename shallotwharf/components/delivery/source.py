"""Choice of the control process that feeds a node directly."""

import random as random_module
from collections import abc

from shallotwharf.components.delivery import const, messages


class Source:
    """The control process that a node subscribes to.

    The nearest one is chosen. A process is replaced by another one if for
    `const.RESPONSE_TIMEOUT_MS` it has sent nothing, or has had no contact with
    a majority of the voters or no new enough version. It is then avoided for
    `const.SOURCE_PENALTY_MS`.

    Attributes:
        name: name of the chosen process; empty if none is known.
    """

    __slots__ = (
        'name',
        '_random',
        '_ranks',
        '_avoid_until',
        '_last_received_at',
        '_last_usable_at',
    )

    def __init__(self, random: random_module.Random) -> None:
        self.name = ''
        self._random = random
        self._ranks: dict[str, int] = {}
        self._avoid_until: dict[str, int] = {}
        self._last_received_at = 0
        self._last_usable_at = 0

    def set_control(self, ranks: abc.Mapping[str, int], now: int) -> None:
        """Set the control processes and their distances."""
        self._ranks = dict(ranks)
        if self.name not in self._ranks:
            self._choose(now)

    def receive_status(
        self,
        sender: str,
        status: messages.FeedStatus,
        least: int,
        now: int,
    ) -> None:
        """Record an answer of the chosen process.

        The process is usable only if it hands out version `least` or a newer
        one.
        """
        if sender == self.name:
            self._last_received_at = now
            if status.current and status.number >= least:
                self._last_usable_at = now

    def leave(self, sender: str, now: int) -> None:
        """Choose another process instead of the sender."""
        if sender == self.name:
            self._avoid_until[sender] = now + const.SOURCE_PENALTY_MS
            self._choose(now)

    def replace_unusable(self, now: int) -> bool:
        """Replace the chosen process if it is unusable; return whether so."""
        unresponsive = now - self._last_received_at >= const.RESPONSE_TIMEOUT_MS
        unusable = now - self._last_usable_at >= const.RESPONSE_TIMEOUT_MS
        if not self.name or not (unresponsive or unusable):
            return False
        self.leave(self.name, now)
        return True

    def _choose(self, now: int) -> None:
        self.name = ''
        self._last_received_at = now
        self._last_usable_at = now
        if self._ranks:
            self.name = min(
                self._ranks,
                key=lambda name: (
                    self._avoid_until.get(name, 0) > now,
                    self._ranks[name],
                    self._random.random(),
                ),
            )
