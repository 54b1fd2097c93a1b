"""Keys of once-only calls: UUIDs of version 7, RFC 9562."""

import re
import typing
import uuid

_TIME_SHIFT: typing.Final = 80
_PATTERN: typing.Final = re.compile(
    '[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}',
)


def normalize(key: str) -> str:
    """Return the key in lower case, or an empty text if it is no UUIDv7."""
    lowered = key.strip().lower()
    return lowered if _PATTERN.fullmatch(lowered) else ''


def read_time(key: str) -> int:
    """Return the time in a normalized key, in ms since the Unix epoch."""
    return uuid.UUID(key).int >> _TIME_SHIFT
