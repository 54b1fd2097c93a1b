"""A control process: replicated log, ledger, delivery and moves."""

import random
import uuid

from shallotwharf.adapters import admin, disk, folder
from shallotwharf.components.delivery import feed
from shallotwharf.components.delivery import messages as delivery
from shallotwharf.components.ledger import ledger
from shallotwharf.components.membership import directory
from shallotwharf.components.move import director
from shallotwharf.components.once import assignment
from shallotwharf.components.replica import replica
from shallotwharf.core import logs, messages
from shallotwharf.roles import process
from shallotwharf.roles.control import aggregates, api, proposals
from shallotwharf.roles.settings import model


class ControlProcess(process.Process):
    """A control process with a fixed list of peers."""

    __slots__ = ('_settings', '_frame', '_aggregates', '_folder', '_admin')

    def __init__(self, settings: model.ControlSettings) -> None:
        """Open the data folder and recover the stored state.

        Raises:
            StorageError: if the folder cannot be used.
            CorruptionError: if a file in it is damaged.
        """
        self._settings = settings
        own = settings.own
        self._folder = folder.OsFolder(settings.data_folder)
        storage = disk.DiskStorage(self._folder, uuid.uuid4().hex)
        self._frame = process.Frame(
            own.name,
            own.host,
            own.link_port,
            storage,
        )
        self._aggregates = _build_aggregates(settings, storage, self._frame)
        self._admin = admin.AdminServer(
            own.host,
            own.admin_port,
            api.ControlApi(settings, self._frame, self._aggregates).table,
        )

    async def async_start(self) -> None:
        """Set the addresses of the peers, accept operators and start."""
        for peer in self._settings.control:
            self._frame.links.set_address(
                peer.name,
                peer.host,
                peer.link_port,
            )
        self._admin.listen()
        await self._frame.async_start(*self._aggregates.list_all())
        logs.write(
            'control_started',
            name=self._settings.own.name,
            admin=f'{self._settings.own.host}:{self._settings.own.admin_port}',
        )

    async def async_propose(
        self,
        command: messages.Message,
    ) -> messages.Message:
        """Propose a command and return its outcome."""
        return await proposals.async_propose(self._frame, command)

    async def async_stop(self) -> None:
        """Stop serving operators, close the links and release the folder."""
        await self._admin.async_close()
        await self._frame.links.async_close()
        self._folder.close()


def _build_aggregates(
    settings: model.ControlSettings,
    storage: disk.DiskStorage,
    frame: process.Frame,
) -> aggregates.ControlAggregates:
    own = settings.own
    voters = tuple(
        delivery.ControlProcess(peer.name, peer.datacentre, peer.region)
        for peer in settings.control
    )
    source: random.Random = frame.random
    return aggregates.ControlAggregates(
        replica.Replica(
            own.name,
            tuple(peer.name for peer in settings.control),
            storage.recover(),
            source,
        ),
        ledger.Ledger(),
        feed.Feed(
            delivery.ControlProcess(own.name, own.datacentre, own.region),
            voters,
            settings.datacentres,
            source,
        ),
        director.Director(frame.clock, settings.datacentres),
        (
            directory.Directory(),
            assignment.HolderAssignment(
                frame.clock.read_wall() - frame.clock.read(),
            ),
        ),
    )


def run(settings: model.ControlSettings) -> None:
    """Run a control process until SIGTERM or SIGINT."""
    process.run(lambda: ControlProcess(settings), settings.log_level)
