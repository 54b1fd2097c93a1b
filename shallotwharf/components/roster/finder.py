"""Discovery of the roster by a node, starting from seeds."""

import random as random_module
import typing

from shallotwharf.components.roster import const, messages
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

_TICK: typing.Final = 'tick'


class Finder(aggregate.Aggregate):
    """Queries seeds, then known processes, and stores the newest roster.

    The seeds may be removed later. Once a roster is known, one running process
    of it is enough.
    """

    __slots__ = ('_seeds', '_random', '_roster')

    name = 'roster'
    handlers: typing.ClassVar = {
        messages.Roster: 'update_roster',
        messages.SeedsChanged: 'change_seeds',
        core_messages.TimerFired: 'query',
    }

    def __init__(
        self,
        seeds: tuple[str, ...],
        random: random_module.Random,
    ) -> None:
        """Create a finder.

        Args:
            seeds: names of the control processes to query first.
            random: random source for the choice of the process to query.
        """
        self._seeds = seeds
        self._random = random
        self._roster = messages.Roster(0, ())

    def start(self, now: int) -> list[effects.Effect]:
        """Query the seeds."""
        return self.query(core_messages.TimerFired(_TICK), '', now)

    def query(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Query all seeds, or one known process once there is a roster."""
        queried = self._seeds
        wait_ms = const.SEARCH_MS
        if self._roster.processes:
            known = {*self._roster.list_names(), *self._seeds}
            queried = (self._random.choice(sorted(known)),)
            wait_ms = const.RENEW_MS
        return [
            effects.SetTimer(_TICK, now + wait_ms),
            *(effects.Send(peer, messages.AskRoster()) for peer in queried),
        ]

    def change_seeds(
        self,
        message: messages.SeedsChanged,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Query the seeds of changed settings from now on."""
        self._seeds = message.list_names()
        return []

    def update_roster(
        self,
        message: messages.Roster,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Store and publish a roster if it is newer."""
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
