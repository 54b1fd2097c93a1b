"""Reads settings files: JSON that is validated before anything starts."""

import pathlib
import typing
from collections import abc

import voluptuous

from shallotwharf.core import errors, schema
from shallotwharf.roles import const
from shallotwharf.roles.settings import model, schemas

_STEP: typing.Final = 'settings.check'


def read_document(path: str) -> typing.Any:
    """Return the parsed JSON document of a file.

    Raises:
        SettingsError: if it cannot be read or is not JSON.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.SettingsError(
            f'cannot read: {error.strerror}',
            'settings.read',
            path,
        ) from error
    return schema.parse_json(text, errors.SettingsError, 'settings.read', path)


def read_control(path: str) -> model.ControlSettings:
    """Return the settings of a control process.

    Raises:
        SettingsError: if the file cannot be read.
        ExceptionGroup: of `SettingsError`, one for each fault.
    """
    return _build_control(_check(schemas.CONTROL, read_document(path)))


def read_node(path: str) -> model.NodeSettings:
    """Return the settings of a node; raises as `read_control` does."""
    return _build_node(_check(schemas.NODE, read_document(path)))


def read_dev(path: str) -> model.DevSettings:
    """Return the settings of the `dev` mode; raises as `read_control` does.

    Paths in the file are relative to its folder.
    """
    document = _check(schemas.DEV, read_document(path))
    folder = pathlib.Path(path).parent
    return model.DevSettings(
        _build_control(document[const.CONF_CONTROL]),
        tuple(_build_node(row) for row in document[const.CONF_NODES]),
        tuple(
            model.UpstreamSettings(**row)
            for row in document[const.CONF_UPSTREAMS]
        ),
        str(folder / document[const.CONF_ROUTES]),
        str(folder / document[const.CONF_POOLS]),
    )


def _check(
    table: voluptuous.Schema,
    document: typing.Any,
) -> dict[str, typing.Any]:
    checked: dict[str, typing.Any] = schema.check_document(
        table,
        document,
        errors.SettingsError,
        _STEP,
    )
    return checked


def _build_peers(
    rows: abc.Iterable[dict[str, typing.Any]],
) -> tuple[model.ControlPeer, ...]:
    peers = tuple(model.ControlPeer(**row) for row in rows)
    _check_unique('name', [peer.name for peer in peers])
    # Two voters in the same data centre would fail together with it.
    _check_unique('datacentre', [peer.datacentre for peer in peers])
    return peers


def _check_unique(key: str, found: abc.Sequence[str]) -> None:
    for name in found:
        if found.count(name) > 1:
            raise errors.SettingsError(
                f'two control processes with {key} {name}',
                _STEP,
                const.CONF_CONTROL,
            )


def _build_control(document: dict[str, typing.Any]) -> model.ControlSettings:
    peers = _build_peers(document[const.CONF_CONTROL])
    name = document[const.CONF_NAME]
    local_peers = [peer for peer in peers if peer.name == name]
    if not local_peers:
        raise errors.SettingsError(
            f'{name} is not in the list of control processes',
            _STEP,
            const.CONF_NAME,
        )
    return model.ControlSettings(
        local_peers[0],
        peers,
        tuple(
            document.get(
                const.CONF_DATACENTRES,
                [peer.datacentre for peer in peers],
            ),
        ),
        document[const.CONF_DATA_FOLDER],
        document[const.CONF_LOG_LEVEL],
    )


def _build_node(document: dict[str, typing.Any]) -> model.NodeSettings:
    return model.NodeSettings(
        **(
            document
            | {
                const.CONF_CONTROL: _build_peers(document[const.CONF_CONTROL]),
                const.CONF_SEEDS: tuple(
                    model.Seed(**row) for row in document[const.CONF_SEEDS]
                ),
            }
        ),
    )
