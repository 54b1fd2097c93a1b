"""Identifiers that carry their time."""

import typing
import uuid

_VERSION: typing.Final = 7
_TIME_SHIFT_BITS: typing.Final = 80


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
