"""Adapters, start and shutdown that all processes share."""

import abc
import asyncio
import random
import signal
from collections import abc as collections_abc

from shallotwharf.adapters import capacity, links, timers, waiting
from shallotwharf.core import (
    aggregate,
    clock,
    counters,
    dispatcher,
    locations,
    logs,
    ports,
)


class Runtime:
    """Adapters and dispatcher of one process; must be created on its loop."""

    __slots__ = (
        'name',
        'clock',
        'random',
        'counters',
        'capacity',
        'links',
        'timers',
        'requests',
        'dispatcher',
    )

    def __init__(
        self,
        name: str,
        location: locations.Location,
        storage: ports.Storage | None = None,
    ) -> None:
        self.name = name
        self.clock: clock.Clock = clock.SystemClock()
        self.random: random.Random = random.SystemRandom()
        self.counters = counters.Counters()
        self.capacity = capacity.Capacity(self.counters)
        self.links = links.WebsocketLinks(
            name,
            location,
            self.counters,
            self.capacity,
        )
        self.timers = timers.LoopTimers(self.clock)
        self.requests = waiting.WaitingRequests()
        self.dispatcher = dispatcher.Dispatcher(
            name,
            self.clock,
            self.links,
            storage,
            self.timers,
            self.requests,
            self.counters,
        )
        self.links.connect(self.dispatcher.deliver)
        self.timers.connect(self.dispatcher.fire_timer)

    async def async_start(self, *aggregates: aggregate.Aggregate) -> None:
        """Accept links from other processes, then start the aggregates.

        Raises:
            LinkError: if the address cannot be bound.
        """
        await self.links.async_listen()
        self.dispatcher.start(*aggregates)


class Process(abc.ABC):
    """A role that can be started and stopped on the running loop."""

    __slots__ = ()

    @abc.abstractmethod
    async def async_start(self) -> None:
        """Start.

        Raises:
            ShallotwharfError: if it cannot start; nothing is left running.
        """

    @abc.abstractmethod
    async def async_stop(self) -> None:
        """Stop after letting the work in flight finish."""


def run(
    make_process: collections_abc.Callable[[], Process],
    log_level: str,
) -> None:
    """Run a process until SIGTERM or SIGINT, then stop it gracefully.

    Raises:
        ShallotwharfError: if it cannot start.
    """
    logs.configure(log_level)
    asyncio.run(_async_run(make_process))


async def _async_run(
    make_process: collections_abc.Callable[[], Process],
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    # Nothing to reload: the only settings that may change while a process runs
    # are the seeds, which are read again at intervals. Without a handler, the
    # signal would end the process.
    loop.add_signal_handler(signal.SIGHUP, logs.write, 'reload_ignored')
    process = make_process()
    await process.async_start()
    await stopping.wait()
    logs.write('stopping')
    await process.async_stop()
    logs.write('stopped')
