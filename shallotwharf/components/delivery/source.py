"""Choice of the control process that feeds a node directly."""

import random as random_module
from collections import abc

from shallotwharf.components.delivery import const, messages


class Source:
    """The control process that a node subscribes to.

    The nearest one is chosen. A process that has sent nothing for
    `const.SILENCE_MS`, or had no contact with a majority of the voters or no
    new enough version for as long, is replaced by another one and avoided for
    `const.SOURCE_PENALTY_MS`.

    Attributes:
        name: name of the chosen process; empty if none is known.
    """

    __slots__ = (
        'name',
        '_random',
        '_ranks',
        '_left_until',
        '_heard_at',
        '_current_at',
    )

    def __init__(self, random: random_module.Random) -> None:
        self.name = ''
        self._random = random
        self._ranks: dict[str, int] = {}
        self._left_until: dict[str, int] = {}
        self._heard_at = 0
        self._current_at = 0

    def change(self, ranks: abc.Mapping[str, int], now: int) -> None:
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
            self._heard_at = now
            if status.current and status.number >= least:
                self._current_at = now

    def leave(self, sender: str, now: int) -> None:
        """Choose another process instead of the sender."""
        if sender == self.name:
            self._left_until[sender] = now + const.SOURCE_PENALTY_MS
            self._choose(now)

    def check(self, now: int) -> bool:
        """Replace the chosen process if it is unusable; return whether so."""
        silent = now - self._heard_at >= const.SILENCE_MS
        alone = now - self._current_at >= const.SILENCE_MS
        if not self.name or not (silent or alone):
            return False
        self.leave(self.name, now)
        return True

    def _choose(self, now: int) -> None:
        self.name = ''
        self._heard_at = now
        self._current_at = now
        if self._ranks:
            self.name = min(
                self._ranks,
                key=lambda name: (
                    self._left_until.get(name, 0) > now,
                    self._ranks[name],
                    self._random.random(),
                ),
            )
