"""The roster at a node, found from seeds."""

import random as random_module
import typing

from shallotwharf.components.roster import const, messages
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

_TICK: typing.Final = 'tick'


class Finder(aggregate.Aggregate):
    """Asks seeds, then the processes it knows, and keeps the newest roster.

    Seeds may be gone later: once a roster is known, it is enough that one of
    its processes is still there.
    """

    __slots__ = ('_seeds', '_random', '_roster')

    name = 'roster'
    handlers: typing.ClassVar = {
        messages.Roster: 'accept',
        core_messages.TimerFired: 'ask',
    }

    def __init__(
        self,
        seeds: tuple[str, ...],
        source: random_module.Random,
    ) -> None:
        """Create a finder.

        Args:
            seeds: names of control processes to ask first.
            source: choice of the process that is asked.
        """
        self._seeds = seeds
        self._random = source
        self._roster = messages.Roster(0, ())

    def start(self, now: int) -> list[effects.Effect]:
        """Ask the seeds."""
        return self.ask(core_messages.TimerFired(_TICK), '', now)

    def ask(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Ask all seeds, or one process of the roster."""
        asked = self._seeds
        wait_ms = const.SEARCH_MS
        if self._roster.processes:
            known = {*self._roster.list_names(), *self._seeds}
            asked = (self._random.choice(sorted(known)),)
            wait_ms = const.RENEW_MS
        return [
            effects.SetTimer(_TICK, now + wait_ms),
            *(effects.Send(peer, messages.AskRoster()) for peer in asked),
        ]

    def accept(
        self,
        message: messages.Roster,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Keep a roster if it is newer."""
        if message.index <= self._roster.index:
            return []
        self._roster = message
        return [
            effects.Publish(messages.ControlChanged(message)),
            effects.Report(
                'control_known',
                {
                    'index': message.index,
                    'processes': ','.join(message.list_names()),
                },
            ),
        ]
