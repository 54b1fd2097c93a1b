"""Numbers in text that other processes sent."""

import typing

# Any time or count in a header is far below this. Longer texts would make
# `int` raise, and numbers that large overflow when they are added to a time.
_MAX_DIGITS: typing.Final = 15


def parse_count(text: str) -> int | None:
    """Return a non-negative integer in decimal digits.

    None if the text is anything else or has more than 15 digits.
    """
    if text.isdecimal() and text.isascii() and len(text) <= _MAX_DIGITS:
        return int(text)
    return None


def parse_decimal(text: str) -> float | None:
    """Return a non-negative number of decimal digits with an optional point.

    None if the text is anything else or has more than 15 digits before the
    point; digits beyond the 15th after it are ignored.
    """
    whole, _, fraction = text.partition('.')
    is_fraction = not fraction or (fraction.isascii() and fraction.isdecimal())
    if parse_count(whole) is None or not is_fraction:
        return None
    return float(f'{whole}.{fraction[:_MAX_DIGITS]}')
