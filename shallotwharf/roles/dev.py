"""The `dev` mode: control, nodes and sample upstreams on one loop."""

import pathlib
import random
import typing

from tornado import gen

from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import document
from shallotwharf.core import clock, identifiers, logs
from shallotwharf.roles import process, sample
from shallotwharf.roles.control import process as control_process
from shallotwharf.roles.node import process as node_process
from shallotwharf.roles.settings import files, model

_OPERATOR: typing.Final = 'dev'
_RETRY_SECONDS: typing.Final = 0.1


class DevProcess(process.Process):
    """Runs all roles of a settings file and applies its tables once."""

    __slots__ = ('_settings', '_control', '_nodes', '_samples')

    def __init__(self, settings: model.DevSettings) -> None:
        self._settings = settings
        pathlib.Path(settings.control.data_folder).mkdir(
            parents=True,
            exist_ok=True,
        )
        self._control = control_process.ControlProcess(settings.control)
        self._nodes = [node_process.NodeProcess(row) for row in settings.nodes]
        nodes_by_name = {row.name: row for row in settings.nodes}
        self._samples = [
            sample.SampleUpstream(
                _describe_sample(row, nodes_by_name[row.node])
            )
            for row in settings.upstreams
        ]

    async def async_start(self) -> None:
        """Start control, then nodes, then upstreams; apply the tables."""
        await self._control.async_start()
        for node in self._nodes:
            await node.async_start()
        for upstream in self._samples:
            await upstream.async_start()
        await self._async_apply()
        while not all(started.is_ready() for started in self._nodes):
            await gen.sleep(_RETRY_SECONDS)
        logs.write(
            'ready',
            calls=f'http://{self._settings.nodes[0].host}:'
            f'{self._settings.nodes[0].call_port}/',
        )

    async def async_stop(self) -> None:
        """Drain the upstreams, then stop nodes, upstreams and control."""
        for upstream in self._samples:
            await upstream.async_drain()
        for node in self._nodes:
            await node.async_stop()
        for drained in self._samples:
            await drained.async_stop()
        await self._control.async_stop()

    async def _async_apply(self) -> None:
        """Propose the tables as the first version; retry until control leads.

        The edit has base 0, so it is only accepted for a new data folder.
        """
        tables = document.read_tables(
            files.read_document(self._settings.routes),
            files.read_document(self._settings.pools),
        )
        wall_now = clock.SystemClock().read_wall()
        edit = ledger_messages.ApplyEdit(
            identifiers.make_identifier(wall_now, random.SystemRandom()),
            _OPERATOR,
            0,
            tables,
            wall_now,
        )
        outcome = await self._control.async_propose(edit)
        while isinstance(outcome, replica_messages.NotLeader):
            await gen.sleep(_RETRY_SECONDS)
            outcome = await self._control.async_propose(edit)
        logs.write('tables_applied', outcome=type(outcome).__name__)


def _describe_sample(
    row: model.UpstreamSettings,
    node: model.NodeSettings,
) -> sample.SampleSettings:
    return sample.SampleSettings(
        row.service,
        row.version,
        node.host,
        row.port,
        f'{node.host}:{node.admin_port}',
        row.slots,
        0,
    )


def run(settings: model.DevSettings) -> None:
    """Run the `dev` mode until SIGTERM or SIGINT."""
    process.run(
        lambda: DevProcess(settings),
        settings.control.log_level,
    )
