"""Seeds that change in the settings while a process runs."""

import abc
import typing

from shallotwharf.components.roster import messages
from shallotwharf.core import aggregate, clock, effects, errors, locations
from shallotwharf.core import messages as core_messages
from shallotwharf.roles.settings import seeded

_TICK: typing.Final = 'tick'
# The settings may change without a signal. Their seeds are needed only by a
# process that has lost all others, which takes seconds to find out.
CHECK_INTERVAL_MS: typing.Final = 2 * clock.SECOND_MS


class SeedSource(abc.ABC):
    """Settings that name the seeds."""

    __slots__ = ()

    @abc.abstractmethod
    def read(self) -> tuple[locations.Location, ...]:
        """Return the seeds that the settings name now.

        Raises:
            SettingsError: if the settings cannot be read.
            ExceptionGroup: of `SettingsError`, one for each fault.
        """


class SeedWatcher(aggregate.Aggregate):
    """Publishes the seeds of the settings whenever they change.

    The seeds with which a process started may all have been replaced when it
    needs them again. Settings that cannot be read leave the seeds unchanged.
    """

    __slots__ = ('_source', '_seeds')

    name = 'seeds'
    handlers: typing.ClassVar = {core_messages.TimerFired: 'check'}

    def __init__(
        self,
        source: SeedSource,
        seeds: tuple[locations.Location, ...],
    ) -> None:
        """Create a watcher.

        Args:
            source: the settings.
            seeds: seeds with which the process starts.
        """
        self._source = source
        self._seeds = seeds

    def start(self, now: int) -> list[effects.Effect]:
        """Start the timer."""
        return [effects.SetTimer(_TICK, now + CHECK_INTERVAL_MS)]

    def check(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Publish the seeds if they have changed."""
        step = self.start(now)
        try:
            seeds = self._source.read()
        except (errors.SettingsError, ExceptionGroup):
            return [*step, effects.Count('seeds.unreadable')]
        if not seeds or seeds == self._seeds:
            return step
        self._seeds = seeds
        hosts = ','.join(seed.host for seed in seeds)
        return [
            *step,
            effects.Publish(messages.SeedsChanged(_describe(seeds))),
            effects.Report('seeds_changed', {'seeds': hosts}),
        ]


def _describe(
    seeds: tuple[locations.Location, ...],
) -> tuple[messages.Process, ...]:
    return tuple(
        messages.Process(
            seeded.build_process_name(seed.host), seed, votes=False
        )
        for seed in seeds
    )
