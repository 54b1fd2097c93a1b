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

    __slots__ = ('_settings', '_runtime', '_aggregates', '_folder', '_admin')

    def __init__(self, settings: model.ControlSettings) -> None:
        """Open the data folder and recover the stored state.

        Raises:
            StorageError: if the folder cannot be used.
            CorruptionError: if a file in it is damaged.
        """
        self._settings = settings
        local_peer = settings.local_peer
        self._folder = folder.OsFolder(settings.data_folder)
        storage = disk.DiskStorage(self._folder, uuid.uuid4().hex)
        self._runtime = process.Runtime(
            local_peer.name,
            local_peer.location,
            storage,
        )
        self._aggregates = _build_aggregates(settings, storage, self._runtime)
        self._admin = admin.AdminServer(
            local_peer.host,
            local_peer.admin_port,
            api.ControlApi(settings, self._runtime, self._aggregates).table,
            shared_capacity=self._runtime.capacity,
        )

    async def async_start(self) -> None:
        """Accept requests from operators, then start the aggregates."""
        for peer in self._settings.control:
            self._runtime.links.set_address(
                peer.name,
                peer.host,
                peer.link_port,
            )
        self._admin.listen()
        await self._runtime.async_start(*self._aggregates.list_all())
        local_peer = self._settings.local_peer
        logs.write(
            'control_started',
            name=local_peer.name,
            admin=f'{local_peer.host}:{local_peer.admin_port}',
        )

    async def async_propose(
        self,
        command: messages.Message,
    ) -> messages.Message:
        """Propose a command and return its outcome."""
        return await proposals.async_propose(self._runtime, command)

    async def async_stop(self) -> None:
        """Stop serving operators, close the links and release the folder."""
        await self._admin.async_close()
        await self._runtime.links.async_close()
        self._folder.close()


def _build_aggregates(
    settings: model.ControlSettings,
    storage: disk.DiskStorage,
    runtime: process.Runtime,
) -> aggregates.ControlAggregates:
    local_peer = settings.local_peer
    voters = tuple(
        delivery.ControlProcess(peer.name, peer.datacentre, peer.region)
        for peer in settings.control
    )
    source: random.Random = runtime.random
    return aggregates.ControlAggregates(
        replica.Replica(
            local_peer.name,
            tuple(peer.name for peer in settings.control),
            storage.recover(),
            source,
        ),
        ledger.Ledger(),
        feed.Feed(
            delivery.ControlProcess(
                local_peer.name, local_peer.datacentre, local_peer.region
            ),
            voters,
            settings.datacentres,
            source,
        ),
        director.Director(runtime.clock, settings.datacentres),
        (
            directory.Directory(),
            assignment.HolderAssignment(
                runtime.clock.read_wall() - runtime.clock.read(),
            ),
        ),
    )


def run(settings: model.ControlSettings) -> None:
    """Run a control process until SIGTERM or SIGINT."""
    process.run(lambda: ControlProcess(settings), settings.log_level)
