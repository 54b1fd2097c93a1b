"""Validation of documents sent by the platform and its operators."""

import typing

# Exceptions raised while parsing a document with an unexpected structure.
PARSE_ERRORS: typing.Final = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


def check(holds: bool, detail: str) -> None:
    """Raise ValueError with a detail unless a condition holds."""
    if not holds:
        raise ValueError(detail)


def check_text(raw: typing.Any) -> str:
    """Return a non-empty string, or raise ValueError."""
    check(isinstance(raw, str) and bool(raw), 'expected a non-empty string')
    return str(raw)


def check_count(raw: typing.Any) -> int:
    """Return a non-negative integer, or raise ValueError."""
    check(type(raw) is int and raw >= 0, 'expected a non-negative integer')
    return int(raw)
