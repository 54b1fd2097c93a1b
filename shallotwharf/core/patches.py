"""Differences between two texts that share most of their parts.

Both texts are split after each closing brace, the end of an object in JSON, so
that an object that moved within the text is still found.
"""

import typing
from collections import abc

from shallotwharf.core import errors, records

_SEPARATOR: typing.Final = b'}'
_STEP: typing.Final = 'patch.apply'


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
    offsets = {part: start for start, part in _split(base)}
    pieces = [Piece(0, 0, b'')]
    for _, part in _split(target):
        last = pieces[-1]
        end = last.start + last.length
        start = offsets.get(part)
        if not last.added and base.startswith(part, end):
            pieces[-1] = last.replace(length=last.length + len(part))
        elif start is None:
            pieces[-1] = last.replace(added=last.added + part)
        else:
            pieces.append(Piece(start, len(part), b''))
    return tuple(pieces)


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


def _split(text: bytes) -> abc.Iterator[tuple[int, bytes]]:
    start = 0
    while start < len(text):
        end = text.find(_SEPARATOR, start) + 1 or len(text)
        yield start, text[start:end]
        start = end
