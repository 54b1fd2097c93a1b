"""Identifiers that contain the time of their creation (UUIDv7)."""

import random
import typing
import uuid

_VERSION: typing.Final = 7
_TIME_SHIFT_BITS: typing.Final = 80
_VERSION_SHIFT_BITS: typing.Final = 76
_RANDOM_A_BITS: typing.Final = 12
_RANDOM_A_SHIFT_BITS: typing.Final = 64
_VARIANT: typing.Final = 2
_VARIANT_SHIFT_BITS: typing.Final = 62
_RANDOM_B_BITS: typing.Final = 62


def make_identifier(wall_now: int, source: random.Random) -> str:
    """Return a UUIDv7 for a wall time in milliseconds since the epoch.

    Source: RFC 9562, section 5.7.
    """
    number = wall_now << _TIME_SHIFT_BITS
    number |= _VERSION << _VERSION_SHIFT_BITS
    number |= source.getrandbits(_RANDOM_A_BITS) << _RANDOM_A_SHIFT_BITS
    number |= _VARIANT << _VARIANT_SHIFT_BITS
    number |= source.getrandbits(_RANDOM_B_BITS)
    return str(uuid.UUID(int=number))


def read_time(identifier: str) -> int:
    """Return the time of a UUIDv7 in milliseconds since the epoch.

    Source: RFC 9562, section 5.7.

    Raises:
        ValueError: if it is not a UUIDv7 in its canonical form.
    """
    parsed = uuid.UUID(identifier)
    if parsed.version != _VERSION or str(parsed) != identifier:
        raise ValueError(f'{identifier!r:.60} is not a canonical UUIDv7')
    return parsed.int >> _TIME_SHIFT_BITS


def is_identifier(text: str) -> bool:
    """Return whether a text is a UUIDv7, in any form of writing."""
    try:
        return uuid.UUID(text).version == _VERSION
    except ValueError:
        return False
