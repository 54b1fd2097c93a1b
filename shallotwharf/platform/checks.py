"""Checks of documents that the platform and its operators send."""

import typing

# What reading a document of another shape raises.
FAULTS: typing.Final = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


def check(holds: bool, detail: str) -> None:
    """Raise ValueError unless a condition holds."""
    if not holds:
        raise ValueError(detail)


def check_text(raw: typing.Any) -> str:
    """Return a text that is not empty, or raise ValueError."""
    check(isinstance(raw, str) and bool(raw), 'empty name')
    return str(raw)


def check_count(raw: typing.Any) -> int:
    """Return a whole number from 0, or raise ValueError."""
    check(type(raw) is int and raw >= 0, 'not a whole number')
    return int(raw)
