"""Digests of records, independent of the encoding on the wire."""

import hashlib
import json
import typing
from collections import abc

from shallotwharf.core import records

_SCALARS: typing.Final = frozenset((str, int, bool, type(None)))


def compute_digest(*parts: records.Record | int | str) -> bytes:
    """Return the SHA-256 digest of values in canonical JSON, 32 bytes."""
    canonical = json.dumps(
        [_flatten(part) for part in parts],
        separators=(',', ':'),
        sort_keys=True,
    )
    return hashlib.sha256(canonical.encode()).digest()


def _flatten(part: typing.Any) -> typing.Any:
    # Most values are scalars; a version has thousands of them.
    if type(part) in _SCALARS:
        return part
    if isinstance(part, records.Record):
        return [_flatten(field) for field in part.read_fields()]
    if isinstance(part, tuple):
        return [_flatten(field) for field in part]
    if isinstance(part, abc.Mapping):
        return {key: _flatten(field) for key, field in part.items()}
    if isinstance(part, bytes):
        return part.hex()
    return part
