"""A control process that finds the others through seeds."""

import abc
import random
import uuid

from shallotwharf.adapters import disk, folder
from shallotwharf.components.delivery import feed
from shallotwharf.components.delivery import messages as delivery
from shallotwharf.components.ledger import ledger
from shallotwharf.components.membership import directory
from shallotwharf.components.move import director
from shallotwharf.components.replica import founding, replica
from shallotwharf.components.roster import registrar
from shallotwharf.core import logs
from shallotwharf.roles import addresses, process
from shallotwharf.roles.control import operations
from shallotwharf.roles.settings import seeded


class FrontEnd(abc.ABC):
    """Serves operators."""

    __slots__ = ()

    @abc.abstractmethod
    def listen(self, served: operations.Operations) -> None:
        """Accept requests.

        Raises:
            LinkError: if the address cannot be bound.
        """

    @abc.abstractmethod
    async def async_close(self) -> None:
        """Stop."""


class SeededControlProcess(process.Process):
    """Owns one copy of the log and serves operators."""

    __slots__ = ('_settings', '_frame', '_folder', '_front', '_aggregates')

    def __init__(
        self,
        settings: seeded.SeededControl,
        front: FrontEnd,
    ) -> None:
        """Open the data folder.

        Raises:
            StorageError: if the folder cannot be used.
            CorruptionError: if it is damaged.
        """
        self._settings = settings
        self._front = front
        self._folder = folder.OsFolder(settings.data_folder)
        storage = disk.DiskStorage(self._folder, uuid.uuid4().hex)
        self._frame = process.Frame(
            settings.name,
            settings.place.host,
            settings.place.link_port,
            storage,
        )
        self._aggregates = _build_aggregates(settings, storage, self._frame)

    async def async_start(self) -> None:
        """Look for the other control processes and serve operators."""
        for seed in self._settings.seeds:
            self._frame.links.set_address(
                seeded.name_process(seed.host),
                seed.host,
                seed.link_port,
            )
        served = operations.Operations(self._frame, *self._aggregates[:3])
        self._front.listen(served)
        await self._frame.async_start(
            *self._aggregates[1:],
            served.roster,
            registrar.Registrar(),
            addresses.ControlBook(self._frame.links),
            directory.Directory(),
            self._aggregates[0],
        )
        logs.write(
            'control_started',
            name=self._settings.name,
            seeds=','.join(known.host for known in self._settings.seeds),
        )

    async def async_stop(self) -> None:
        """Stop serving operators, then leave the others."""
        await self._front.async_close()
        await self._frame.links.async_close()
        self._folder.close()


def _build_aggregates(
    settings: seeded.SeededControl,
    storage: disk.DiskStorage,
    frame: process.Frame,
) -> tuple[replica.Replica, ledger.Ledger, director.Director, feed.Feed]:
    source: random.Random = frame.random
    place = settings.place
    own = delivery.ControlProcess(
        settings.name,
        place.datacentre,
        place.region,
    )
    electorate = founding.SeededVoters(
        tuple(seeded.name_process(seed.host) for seed in settings.seeds),
        settings.may_found,
        settings.wanted_voters,
    )
    return (
        replica.Replica(
            settings.name,
            (),
            storage.recover(),
            source,
            electorate=electorate,
            place=place,
        ),
        ledger.Ledger(),
        director.Director(frame.clock),
        feed.Feed(own, (own,), (), source),
    )
