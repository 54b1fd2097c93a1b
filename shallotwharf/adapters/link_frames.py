"""Frames of messages between processes.

A frame is a message in CBOR, or a zlib stream of one. A message is an array
in CBOR, whose first byte is never that of a zlib stream, so that the first
byte tells which of the two a frame is.
"""

import typing
import zlib

from shallotwharf.core import errors

_STEP: typing.Final = 'links.receive'
# First byte of a zlib stream with a window of 32 KiB.
_ZLIB_MARK: typing.Final = b'\x78'
# Smaller messages, such as heartbeats, gain less than they cost.
_MIN_COMPRESSED_BYTES: typing.Final = 512
# The fastest level: a leader compresses each message for each follower.
_LEVEL: typing.Final = 1


def pack(encoded: bytes) -> bytes:
    """Return the frame of a message for a peer that reads compressed ones."""
    if len(encoded) < _MIN_COMPRESSED_BYTES:
        return encoded
    compressed = zlib.compress(encoded, _LEVEL)
    return compressed if len(compressed) < len(encoded) else encoded


def unpack(frame: bytes, max_bytes: int, peer: str) -> bytes:
    """Return the message of a frame.

    Raises:
        ProtocolError: if a compressed frame is damaged or incomplete, or its
            message has more than `max_bytes`.
    """
    if not frame.startswith(_ZLIB_MARK):
        return frame
    stream = zlib.decompressobj()
    try:
        encoded = stream.decompress(frame, max_bytes)
    except zlib.error as error:
        raise errors.ProtocolError(
            f'not a valid compressed message: {error}',
            _STEP,
            peer,
        ) from error
    if not stream.eof:
        raise errors.ProtocolError(
            f'compressed message is incomplete or above {max_bytes} bytes',
            _STEP,
            peer,
        )
    return encoded
