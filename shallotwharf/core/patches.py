"""Differences between two texts that share most of their parts.

Both texts are split after each closing brace, the end of an object in JSON, so
that an object that moved within the text is still found.
"""

import itertools
import typing
from collections import abc

from shallotwharf.core import errors, records

_SEPARATOR: typing.Final = b'}'
_STEP: typing.Final = 'patch.apply'
# Bytes that are compared first; twice as many while they are equal.
_FIRST_BYTES: typing.Final = 64


class Piece(records.Record):
    """A range of the base, and the bytes that follow it in the target.

    Attributes:
        start: offset of the range in the base.
        length: length of the range; 0 if there is none.
        added: bytes that are not in the base.
    """

    __slots__ = ('start', 'length', 'added')

    def __init__(self, start: int, length: int, added: bytes) -> None:
        self.start = start
        self.length = length
        self.added = added


def make_patch(base: bytes, target: bytes) -> tuple[Piece, ...]:
    """Return the pieces that `apply_patch` puts together to the target."""
    offsets = _find_offsets(base)
    pieces: list[Piece] = []
    start = 0
    length = 0
    added = b''
    position = 0
    while position < len(target):
        if not added:
            common = _count_common(base, start + length, target, position)
            length += common
            position += common
        part = _cut_part(target, position)
        position += len(part)
        found = offsets.get(part)
        if part and found is not None:
            pieces.append(Piece(start, length, added))
            start = found
            length = len(part)
            added = b''
        else:
            added += part
    return (*pieces, Piece(start, length, added))


def apply_patch(base: bytes, pieces: abc.Iterable[Piece]) -> bytes:
    """Return the target of a patch.

    Raises:
        ProtocolError: if a piece lies outside of the base.
    """
    parts: list[bytes] = []
    for piece in pieces:
        end = piece.start + piece.length
        if min(piece.start, piece.length) < 0 or end > len(base):
            raise errors.ProtocolError(
                f'range {piece.start} to {end} of {len(base)} bytes', _STEP
            )
        parts.extend((base[piece.start : end], piece.added))
    return b''.join(parts)


def _cut_part(text: bytes, start: int) -> bytes:
    """Return the bytes from `start` up to the next separator."""
    end = text.find(_SEPARATOR, start) + 1 or len(text)
    return text[start:end]


def _find_offsets(base: bytes) -> dict[bytes, int]:
    """Return the last offset of each part of a text."""
    *ended, rest = base.split(_SEPARATOR)
    parts = [part + _SEPARATOR for part in ended]
    if rest:
        parts.append(rest)
    starts = itertools.accumulate(map(len, parts), initial=0)
    return dict(zip(parts, starts, strict=False))


def _count_common(base: bytes, start: int, target: bytes, position: int) -> int:
    """Return the length of the whole parts that both have in common there.

    Compares long ranges at once: most of a document is unchanged.
    """
    limit = min(len(base) - start, len(target) - position)
    common = 0
    size = _FIRST_BYTES
    is_growing = True
    while size:
        end = common + size
        is_equal = end <= limit and (
            base[start + common : start + end]
            == target[position + common : position + end]
        )
        if is_equal:
            common = end
        else:
            is_growing = False
        size = size * 2 if is_growing else size // 2
    if position + common == len(target):
        return common
    found = target.rfind(_SEPARATOR, position, position + common)
    return found + 1 - position if found >= 0 else 0
