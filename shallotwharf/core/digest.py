"""Digests of records, independent of the encoding on the wire."""

import hashlib
import json
import typing
from collections import abc

from shallotwharf.core import records

_SCALARS: typing.Final = frozenset((str, int, bool, type(None)))


class SharedRecord(records.Record):
    """A record that is part of many values; caches its canonical JSON.

    A version has hundreds of rows and shares most of them with the version
    before it, and a control process applies dozens of versions at its start.
    """

    __slots__ = ('_canonical',)

    def read_canonical_json(self) -> str:
        """Return its canonical JSON."""
        cached: str | None = getattr(self, '_canonical', None)
        if cached is None:
            cached = _dump(_list_fields(self))
            self._canonical = cached
        return cached


def compute_digest(*parts: records.Record | int | str) -> bytes:
    """Return the SHA-256 digest of values in canonical JSON, 32 bytes."""
    return hashlib.sha256(_render(parts).encode()).digest()


def _render(part: typing.Any) -> str:
    if isinstance(part, SharedRecord):
        return part.read_canonical_json()
    if isinstance(part, records.Record):
        return _render(part.read_digest_fields())
    if isinstance(part, tuple):
        return f'[{",".join([_render(field) for field in part])}]'
    return _dump(_flatten(part))


def _dump(part: typing.Any) -> str:
    return json.dumps(part, separators=(',', ':'), sort_keys=True)


def _list_fields(record: records.Record) -> list[typing.Any]:
    return [_flatten(field) for field in record.read_digest_fields()]


def _flatten(part: typing.Any) -> typing.Any:
    if type(part) in _SCALARS:
        return part
    if isinstance(part, records.Record):
        return _list_fields(part)
    if isinstance(part, tuple):
        return [_flatten(field) for field in part]
    if isinstance(part, abc.Mapping):
        return {key: _flatten(field) for key, field in part.items()}
    if isinstance(part, bytes):
        return part.hex()
    return part
