"""Revisions of the tables as changes of the ones before.

An edit changes a few rows of tables that have hundreds, and each edit is sent
to every control process and stored there.
"""

import typing
import zlib
from collections import abc

from shallotwharf.components.ledger import messages
from shallotwharf.components.tables import pool, route, tenant, version
from shallotwharf.core import patches, records

# A document that changes by more than this is sent whole, compressed: a command
# has a limit of size.
_MAX_ADDED_BYTES: typing.Final = 65_536
# First byte of a zlib stream; no text of a document begins like that.
_ZLIB_MARK: typing.Final = b'\x78'

_RowT = typing.TypeVar('_RowT', route.Route, pool.Pool, tenant.Tenant)


class Base(records.Record):
    """The tables in force and the document that the operators sent for them.

    Attributes:
        tables: the tables.
        number: number of the version that last changed the tables.
        document: the document; empty if there is none.
    """

    __slots__ = ('tables', 'number', 'document')

    def __init__(
        self,
        tables: version.Tables,
        number: int,
        document: bytes,
    ) -> None:
        self.tables = tables
        self.number = number
        self.document = document


def compact(
    command: messages.ApplyRevision,
    base: Base,
) -> messages.ApplyRevision | messages.ChangeRevision:
    """Return a revision as a change of its base, if that is in force.

    A revision that is proposed whole has a compressed document. Tables with two
    rows of a name are not valid and stay whole.
    """
    tables = command.tables
    before = base.tables
    is_next = base.number > 0 and command.base == before.revision
    pieces: tuple[patches.Piece, ...] = ()
    if is_next and not _has_duplicates(tables):
        pieces = patches.make_patch(base.document, command.document)
    added = sum(len(piece.added) for piece in pieces)
    if not pieces or added > _MAX_ADDED_BYTES:
        return command.replace(document=zlib.compress(command.document))
    return messages.ChangeRevision(
        command.operator,
        command.base,
        base.number,
        tables.revision,
        _find_changed(before.routes, tables.routes),
        _find_changed(before.pools, tables.pools),
        _find_removed(before.routes, tables.routes),
        _find_removed(before.pools, tables.pools),
        pieces,
        command.digest,
        command.at,
        _find_changed(before.tenants, tables.tenants),
        _find_removed(before.tenants, tables.tenants),
        tables.limits,
    )


def expand(
    command: messages.ChangeRevision,
    base: Base,
) -> messages.ApplyRevision:
    """Return a revision whose base has the number that it names.

    Raises:
        ProtocolError: if its document does not fit that of the base.
    """
    before = base.tables
    tables = version.Tables(
        _apply(before.routes, command.routes, command.removed_routes),
        _apply(before.pools, command.pools, command.removed_pools),
        command.revision,
        _apply(before.tenants, command.tenants, command.removed_tenants),
        command.limits,
    )
    return messages.ApplyRevision(
        command.operator,
        command.base,
        tables,
        patches.apply_patch(base.document, command.document),
        command.digest,
        command.at,
    )


def expand_document(
    command: messages.ApplyRevision,
) -> messages.ApplyRevision:
    """Return a revision with its document as the operators sent it."""
    if not command.document.startswith(_ZLIB_MARK):
        return command
    return command.replace(document=zlib.decompress(command.document))


def _find_changed(
    before: tuple[_RowT, ...],
    after: tuple[_RowT, ...],
) -> tuple[_RowT, ...]:
    known = _index(before)
    return tuple(row for row in after if known.get(row.name) != row)


def _find_removed(
    before: tuple[_RowT, ...],
    after: tuple[_RowT, ...],
) -> tuple[str, ...]:
    return tuple(sorted(_index(before).keys() - _index(after).keys()))


def _apply(
    before: tuple[_RowT, ...],
    changed: tuple[_RowT, ...],
    removed: tuple[str, ...],
) -> tuple[_RowT, ...]:
    rows = _index(before)
    for name in removed:
        rows.pop(name, None)
    rows.update(_index(changed))
    return tuple(rows.values())


def _has_duplicates(tables: version.Tables) -> bool:
    return any(
        len(names) < len(rows)
        for names, rows in (
            (_index(tables.routes), tables.routes),
            (_index(tables.pools), tables.pools),
            (_index(tables.tenants), tables.tenants),
        )
    )


def _index(
    rows: abc.Iterable[_RowT],
) -> dict[str, _RowT]:
    return {row.name: row for row in rows}
