"""What the encoding of a value takes, so that decisions need no codec."""

import re
import typing
from collections import abc

from shallotwharf.core import records

# Upper bound of the bytes that precede a value or encode a number.
_OVERHEAD_BYTES: typing.Final = 9
_UTF8_BYTES: typing.Final = 4
_SURROGATE: typing.Final = re.compile(r'[\ud800-\udfff]')
_NUMBERS: typing.Final = frozenset((int, float, bool, type(None)))

RecordT = typing.TypeVar('RecordT', bound=records.Record)


def estimate_bytes(part: typing.Any) -> int:
    """Return an upper bound of the encoded size of a value in bytes."""
    if type(part) is str:
        # Most strings are short ASCII names; others have at most 4 bytes
        # a character in UTF-8.
        width = 1 if part.isascii() else _UTF8_BYTES
        return _OVERHEAD_BYTES + width * len(part)
    if type(part) in _NUMBERS:
        return _OVERHEAD_BYTES
    if isinstance(part, bytes):
        return _OVERHEAD_BYTES + len(part)
    return _OVERHEAD_BYTES + sum(map(estimate_bytes, _list_parts(part)))


def is_encodable(part: typing.Any) -> bool:
    """Return whether all texts of a value can be encoded.

    UTF-8 cannot hold a lone surrogate.
    """
    if type(part) is str:
        return part.isascii() or not _SURROGATE.search(part)
    if type(part) in _NUMBERS or isinstance(part, bytes):
        return True
    return all(map(is_encodable, _list_parts(part)))


def _list_parts(part: typing.Any) -> abc.Iterable[typing.Any]:
    if isinstance(part, records.Record):
        return (getattr(part, 'tag', ''), *part.read_fields())
    if isinstance(part, abc.Mapping):
        return (*part.keys(), *part.values())
    return typing.cast(tuple[typing.Any, ...], part)


def select_batch(
    candidates: abc.Iterable[RecordT],
    limit_bytes: int,
) -> tuple[RecordT, ...]:
    """Return the first records within the limit, but at least one."""
    batch: list[RecordT] = []
    total = 0
    for candidate in candidates:
        total += estimate_bytes(candidate)
        if batch and total > limit_bytes:
            break
        batch.append(candidate)
    return tuple(batch)


def split_batches(
    candidates: abc.Sequence[RecordT],
    limit_bytes: int,
) -> list[tuple[RecordT, ...]]:
    """Return all records in batches within the limit.

    A record that is larger than the limit gets a batch of its own.
    """
    batches = []
    done = 0
    while done < len(candidates):
        batch = select_batch(candidates[done:], limit_bytes)
        batches.append(batch)
        done += len(batch)
    return batches
