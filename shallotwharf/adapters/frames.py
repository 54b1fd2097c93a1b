"""Framing of stored records with length and checksums.

A frame is a header of 16 bytes (magic, length, CRC-32 of the payload, CRC-32
of the header so far; big-endian) and the payload.
"""

import struct
import typing
import zlib

from shallotwharf.core import errors, records

MAGIC: typing.Final = b'SWF1'
_FIELDS: typing.Final = struct.Struct('>4sII')
_CHECKSUM: typing.Final = struct.Struct('>I')
HEADER_BYTES: typing.Final = _FIELDS.size + _CHECKSUM.size
_STEP: typing.Final = 'disk.read'


class Parsed(records.Record):
    """Intact payloads of a file and the size of their frames in bytes."""

    __slots__ = ('payloads', 'size')

    def __init__(self, payloads: tuple[bytes, ...], size: int) -> None:
        self.payloads = payloads
        self.size = size


def build_frame(payload: bytes) -> bytes:
    """Return a payload with its header."""
    fields = _FIELDS.pack(MAGIC, len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def parse_whole(content: bytes, file: str) -> tuple[bytes, ...]:
    """Parse a file that is only replaced as a whole; return its payloads.

    Raises:
        CorruptionError: if any frame is damaged; it names the offset.
    """
    parsed = _parse(content)
    if parsed.size < len(content):
        raise _build_error('damaged record', file, parsed.size)
    return parsed.payloads


def parse_log(content: bytes, file: str) -> Parsed:
    """Parse an append-only file.

    The last frame may be torn if the process stopped before the sync. It was
    never acknowledged, so it can be dropped. Damage before it is corruption.

    Raises:
        CorruptionError: if a damaged frame is not the last one; it names the
            offset.
    """
    parsed = _parse(content)
    if parsed.size < len(content) and not _is_torn(content, parsed.size):
        raise _build_error('damaged record', file, parsed.size)
    return parsed


def _parse(content: bytes) -> Parsed:
    payloads: list[bytes] = []
    offset = 0
    while offset < len(content):
        length = _read_length(content, offset)
        end = offset + HEADER_BYTES + (length or 0)
        if length is None or not _is_intact(content, offset, end):
            break
        payloads.append(content[offset + HEADER_BYTES : end])
        offset = end
    return Parsed(tuple(payloads), offset)


def _read_length(content: bytes, offset: int) -> int | None:
    """Return the payload's length; None if the header is damaged."""
    header = content[offset : offset + HEADER_BYTES]
    if len(header) < HEADER_BYTES:
        return None
    magic, length, _ = _FIELDS.unpack_from(header)
    checksum = _CHECKSUM.unpack_from(header, _FIELDS.size)[0]
    if magic != MAGIC or zlib.crc32(header[: _FIELDS.size]) != checksum:
        return None
    return int(length)


def _is_intact(content: bytes, offset: int, end: int) -> bool:
    if end > len(content):
        return False
    _, _, checksum = _FIELDS.unpack_from(content, offset)
    payload = content[offset + HEADER_BYTES : end]
    return zlib.crc32(payload) == int(checksum)


def _is_torn(content: bytes, offset: int) -> bool:
    """Return whether the damaged frame at an offset is the last one."""
    length = _read_length(content, offset)
    if length is not None:
        return offset + HEADER_BYTES + length >= len(content)
    following = content.find(MAGIC, offset + 1)
    while following >= 0:
        if _read_length(content, following) is not None:
            return False
        following = content.find(MAGIC, following + 1)
    return True


def _build_error(
    detail: str,
    file: str,
    offset: int,
) -> errors.CorruptionError:
    return errors.CorruptionError(
        f'{detail} at offset {offset}; restore the data folder from a copy, '
        'or empty it so that this process rejoins as a learner',
        _STEP,
        file,
    )
