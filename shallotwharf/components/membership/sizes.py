"""Estimates of encoded sizes, to keep messages within their size limit.

The estimate is based on CBOR and never below the actual size for the fields
used here. It needs no encoder, which keeps decisions apart from encoding.
"""

import typing

from shallotwharf.core import messages, records

_HEAD_BYTES: typing.Final = 3
_INTEGER_BYTES: typing.Final = 9
# Integers up to this value take at most two bytes.
_SMALL_INTEGER: typing.Final = 255


def estimate_bytes(part: typing.Any) -> int:
    """Return an upper estimate of the encoded size of a field or record."""
    if isinstance(part, str):
        return _HEAD_BYTES + len(part.encode())
    if isinstance(part, bytes):
        return _HEAD_BYTES + len(part)
    if isinstance(part, tuple):
        return _HEAD_BYTES + sum(estimate_bytes(inner) for inner in part)
    if isinstance(part, records.Record):
        tag = len(part.tag) if isinstance(part, messages.Message) else 0
        return tag + estimate_bytes(part.read_fields())
    if isinstance(part, int) and 0 <= part <= _SMALL_INTEGER:
        return 2
    return _INTEGER_BYTES
