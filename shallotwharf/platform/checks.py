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


def check_count(raw: typing.Any, most: int) -> int:
    """Return an integer from 0 to `most`, or raise ValueError."""
    in_range = type(raw) is int and 0 <= raw <= most
    check(in_range, f'expected an integer from 0 to {most}')
    return int(raw)
