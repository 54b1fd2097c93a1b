"""Estimates of encoded sizes, so that decisions need no codec."""

import typing
from collections import abc

from shallotwharf.core import records

# Most bytes that precede a value on the wire, or hold a number.
_OVERHEAD_BYTES: typing.Final = 9

RecordT = typing.TypeVar('RecordT', bound=records.Record)


def estimate_bytes(part: typing.Any) -> int:
    """Return an upper bound of the encoded size of a value in bytes."""
    if isinstance(part, str):
        return _OVERHEAD_BYTES + len(part.encode())
    if isinstance(part, bytes):
        return _OVERHEAD_BYTES + len(part)
    if isinstance(part, records.Record):
        tag = getattr(part, 'tag', '')
        return estimate_bytes(tag) + estimate_bytes(part.read_fields())
    if isinstance(part, abc.Mapping):
        return estimate_bytes(tuple(part)) + estimate_bytes(
            tuple(part.values()),
        )
    if isinstance(part, tuple):
        return _OVERHEAD_BYTES + sum(map(estimate_bytes, part))
    return _OVERHEAD_BYTES


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
    """Return all records in batches within the limit."""
    batches = []
    done = 0
    while done < len(candidates):
        batch = select_batch(candidates[done:], limit_bytes)
        batches.append(batch)
        done += len(batch)
    return batches
