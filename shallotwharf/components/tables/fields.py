"""Checks of the fields that several tables have."""

import typing

import voluptuous

from shallotwharf.components.tables import const

NAME: typing.Final = voluptuous.All(
    str,
    voluptuous.Match(
        r'\A[A-Za-z0-9][A-Za-z0-9_.-]*\Z',
        msg='expected letters, digits and any of "_.-"',
    ),
    voluptuous.Length(max=const.MAX_NAME_LENGTH),
)
PATH: typing.Final = voluptuous.All(
    str,
    voluptuous.Match('/', msg='expected a path that starts with "/"'),
)


def check_int(low: int, high: int) -> voluptuous.All:
    """Return the check of a whole number from `low` to `high`."""
    return voluptuous.All(
        _check_whole_number,
        voluptuous.Range(low, high, msg=f'expected {low} to {high}'),
    )


def check_amount(raw: typing.Any) -> float:
    """Return a finite number from 0.

    Raises:
        Invalid: if it is anything else.
    """
    is_number = type(raw) in {int, float}
    if not is_number or not 0 <= raw <= const.MAX_AMOUNT:
        raise voluptuous.Invalid(
            f'expected a number from 0 to {const.MAX_AMOUNT}'
        )
    return float(raw)


def check_regions(raw: typing.Any) -> tuple[str, ...]:
    """Return the names of regions, sorted, each once.

    Raises:
        Invalid: if it is not a list of names.
    """
    return tuple(sorted(set(_REGIONS(raw))))


def _check_whole_number(raw: typing.Any) -> int:
    # In Python, `bool` is a subclass of `int`.
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise voluptuous.Invalid('expected a whole number')
    return raw


_REGIONS: typing.Final = voluptuous.Schema([NAME])
