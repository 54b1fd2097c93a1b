"""Offline validation of settings and tables for the command `check`."""

import typing
from collections import abc

from shallotwharf.components.tables import const as tables_const
from shallotwharf.components.tables import document as tables_document
from shallotwharf.core import errors
from shallotwharf.roles import const
from shallotwharf.roles.settings import files

# Keys by which the kind of a settings file is recognized, with their readers.
_SETTINGS_KINDS: typing.Final = (
    (const.CONF_NODES, files.read_dev),
    (const.CONF_DATA_FOLDER, files.read_control),
    (const.CONF_CALL_PORT, files.read_node),
)


_TABLES: typing.Final = (
    tables_const.CONF_ROUTES,
    tables_const.CONF_POOLS,
    tables_const.CONF_TENANTS,
)


def check_files(paths: abc.Sequence[str]) -> None:
    """Check settings files, and tables against each other.

    Raises:
        ShallotwharfError: if a file cannot be read or its kind is unknown.
        ExceptionGroup: of one error for each fault.
    """
    tables: dict[str, typing.Any] = {}
    for path in paths:
        document = files.read_document(path)
        kind = _find_table(document)
        if kind:
            tables[kind] = document
        else:
            _check_settings(path, document)
    if tables:
        _check_tables(tables)


def _find_table(document: typing.Any) -> str:
    if not isinstance(document, dict):
        return ''
    if const.CONF_NODES in document:
        return ''
    for kind in _TABLES:
        if kind in document:
            return kind
    return ''


def _check_settings(path: str, document: typing.Any) -> None:
    for key, read in _SETTINGS_KINDS:
        if isinstance(document, dict) and key in document:
            read(path)
            return
    raise errors.SettingsError(
        'neither a table nor settings of a control process, node or dev mode',
        'check',
        path,
    )


def _check_tables(tables: dict[str, typing.Any]) -> None:
    routes = tables.get(tables_const.CONF_ROUTES)
    if routes is None:
        routes = {tables_const.CONF_ROUTES: []}
    pools = tables.get(tables_const.CONF_POOLS)
    if pools is None:
        raise errors.TablesError(
            'a table of routes can only be checked with its table of pools',
            'check',
            tables_const.CONF_POOLS,
        )
    tables_document.read_tables(
        routes, pools, tables.get(tables_const.CONF_TENANTS)
    )
