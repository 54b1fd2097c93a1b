"""A control process that finds the others through seeds."""

import abc
import random
import typing
import uuid

from shallotwharf.adapters import capacity, disk, folder
from shallotwharf.components.delivery import feed
from shallotwharf.components.delivery import messages as delivery
from shallotwharf.components.ledger import ledger
from shallotwharf.components.membership import directory
from shallotwharf.components.move import director
from shallotwharf.components.quota import allocator
from shallotwharf.components.replica import bootstrap, replica
from shallotwharf.components.roster import registrar
from shallotwharf.core import logs
from shallotwharf.roles import addresses, process, seeds
from shallotwharf.roles.control import aggregates, operations
from shallotwharf.roles.settings import seeded

_INCARNATION_BITS: typing.Final = 48


class FrontEnd(abc.ABC):
    """Interface to operators.

    Attributes:
        capacity: what the process holds for its clients, set before `listen`;
            None if the front end is the only one.
    """

    __slots__ = ('capacity',)

    def __init__(self) -> None:
        self.capacity: capacity.Capacity | None = None

    @abc.abstractmethod
    def listen(self, served: operations.Operations) -> None:
        """Accept requests.

        Raises:
            LinkError: if the address cannot be bound.
        """

    @abc.abstractmethod
    async def async_close(self) -> None:
        """Stop accepting requests."""


class SeededControlProcess(process.Process):
    """A control process that is configured with seeds only."""

    __slots__ = (
        '_settings',
        '_runtime',
        '_folder',
        '_front_end',
        '_aggregates',
        '_served',
    )

    def __init__(
        self,
        settings: seeded.SeededControl,
        front_end: FrontEnd,
        seed_source: seeds.SeedSource,
    ) -> None:
        """Open the data folder and recover the stored state.

        Raises:
            StorageError: if the folder cannot be used.
            CorruptionError: if a file in it is damaged.
        """
        self._settings = settings
        self._front_end = front_end
        self._folder = folder.OsFolder(settings.data_folder)
        storage = disk.DiskStorage(self._folder, uuid.uuid4().hex)
        self._runtime = process.Runtime(
            settings.name,
            settings.location,
            storage,
        )
        known_roster = operations.KnownRoster()
        self._aggregates = _build_aggregates(
            settings,
            storage,
            self._runtime,
            known_roster,
            seeds.SeedWatcher(seed_source, settings.seeds),
        )
        self._served = operations.Operations(
            self._runtime,
            self._aggregates.replica,
            self._aggregates.ledger,
            known_roster,
        )

    async def async_start(self) -> None:
        """Accept requests from operators and start to search for peers."""
        addresses.set_seeds(self._runtime.links, self._settings.seeds)
        self._front_end.capacity = self._runtime.capacity
        self._front_end.listen(self._served)
        await self._runtime.async_start(*self._aggregates.list_all())
        logs.write(
            'control_started',
            name=self._settings.name,
            seeds=','.join(known.host for known in self._settings.seeds),
        )

    async def async_stop(self) -> None:
        """Stop serving operators, close the links and release the folder."""
        await self._front_end.async_close()
        await self._runtime.links.async_close()
        self._folder.close()


def _build_aggregates(
    settings: seeded.SeededControl,
    storage: disk.DiskStorage,
    runtime: process.Runtime,
    known_roster: operations.KnownRoster,
    seed_watcher: seeds.SeedWatcher,
) -> aggregates.ControlAggregates:
    source: random.Random = runtime.random
    location = settings.location
    local_process = delivery.ControlProcess(
        settings.name,
        location.datacentre,
        location.region,
    )
    bootstrap_policy = bootstrap.SeededVoters(
        tuple(seeded.build_process_name(seed.host) for seed in settings.seeds),
        settings.may_found,
        settings.target_voters,
    )
    return aggregates.ControlAggregates(
        replica.Replica(
            settings.name,
            (),
            storage.recover(),
            source,
            bootstrap_policy=bootstrap_policy,
            location=location,
        ),
        ledger.Ledger(),
        feed.Feed(local_process, (local_process,), (), source),
        director.Director(runtime.clock),
        (
            known_roster,
            registrar.Registrar(),
            addresses.ControlAddressBook(runtime.links),
            directory.Directory(),
            allocator.Allocator(
                settings.name,
                source.getrandbits(_INCARNATION_BITS),
                settings.quotas,
            ),
            seed_watcher,
        ),
    )
