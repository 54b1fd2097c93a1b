"""Commands that run a process until it receives a stop signal."""

import asyncio
import typing

import typer

from shallotwharf.cli import options
from shallotwharf.roles import dev, sample
from shallotwharf.roles.control import process as control_process
from shallotwharf.roles.node import process as node_process
from shallotwharf.roles.settings import files


def control(settings: options.SettingsOption) -> None:
    """Run a control process.

    Example: shallotwharf control --settings control-1.json
    """
    control_process.run(files.read_control(settings))


def node(settings: options.SettingsOption) -> None:
    """Run the node on the VM of an upstream.

    Example: shallotwharf node --settings node-1.json
    """
    node_process.run(files.read_node(settings))


def run_dev(settings: options.SettingsOption) -> None:
    """Run control, nodes and sample upstreams in a single process.

    Example: shallotwharf dev --settings examples/dev/settings.json
    """
    dev.run(files.read_dev(settings))


def run_sample(
    node_admin: typing.Annotated[
        str,
        typer.Option('--admin', help='Admin address of the node, HOST:PORT.'),
    ],
    service: typing.Annotated[str, typer.Option(help='Name of the service.')],
    version: typing.Annotated[str, typer.Option(help='Service version.')],
    port: typing.Annotated[int, typer.Option(help='Port; 0: any free.')] = 0,
    slots: typing.Annotated[int, typer.Option(help='Concurrent requests.')] = 9,
    delay_ms: typing.Annotated[
        int, typer.Option(help='Response time, ms.')
    ] = 0,
    warmup_ms: typing.Annotated[
        int, typer.Option(help='Warm-up time, ms.')
    ] = 0,
    mode: typing.Annotated[
        str,
        typer.Option(help='Behaviour: ok, error, close, truncate or exit.'),
    ] = sample.MODE_OK,
) -> None:
    """Run a sample upstream beside a node, for experiments.

    Example: shallotwharf sample --admin 127.0.0.1:7112 --service menu
    --version v1
    """
    host = node_admin.partition(':')[0]
    asyncio.run(
        sample.async_run(
            sample.SampleSettings(
                service,
                version,
                host,
                port,
                node_admin,
                slots,
                warmup_ms,
                delay_ms,
                mode,
            ),
        ),
    )
