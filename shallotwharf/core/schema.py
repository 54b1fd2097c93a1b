"""Validation of JSON documents; each fault is reported with its path."""

import typing
from collections import abc

import voluptuous

from shallotwharf.core import documents, errors

# Faults of a document that are reported. Each one takes about 2 KB, and a
# document of 8 MiB can have millions of them.
MAX_FAULTS: typing.Final = 100
# Values of an object or list within a row, and keys of a document: the library
# collects a fault for each of them.
MAX_WIDTH: typing.Final = 10_000
# No schema of a row looks deeper.
_ROW_DEPTH: typing.Final = 4
_TOO_WIDE: typing.Final = f'an object or list has more than {MAX_WIDTH} values'


def parse_json(
    text: str | bytes,
    error_type: type[errors.ShallotwharfError],
    step: str,
    source: str,
) -> typing.Any:
    """Return a JSON document that `documents.load` accepts.

    Raises:
        ShallotwharfError: of the given type, with line and column of a fault
            of the syntax.
    """
    try:
        return documents.load(text)
    except (ValueError, RecursionError) as error:
        raise error_type(f'not JSON: {error}', step, source) from error


def check_document(
    schema: voluptuous.Schema,
    document: typing.Any,
    error_type: type[errors.ShallotwharfError],
    step: str,
) -> typing.Any:
    """Return a document with the schema's defaults and conversions applied.

    Raises:
        ExceptionGroup: of `error_type`, one for each fault; `peer` is the
            path of the fault, such as `pools[2].weights.v1`.
    """
    if isinstance(document, dict) and len(document) > MAX_WIDTH:
        raise ExceptionGroup(
            'the document is not valid', [error_type(_TOO_WIDE, step, '.')]
        )
    try:
        return schema(document)
    except voluptuous.MultipleInvalid as invalid:
        raise ExceptionGroup(
            'the document is not valid',
            [
                error_type(fault.error_message, step, format_path(fault.path))
                for fault in invalid.errors
            ],
        ) from None


def _check_width(row: typing.Any) -> typing.Any:
    """Return a row without a large object or list in it.

    Raises:
        MultipleInvalid: if there is one.
    """
    if not _is_narrow(row):
        raise voluptuous.MultipleInvalid([voluptuous.Invalid(_TOO_WIDE)])
    return row


def _is_narrow(part: typing.Any, depth: int = _ROW_DEPTH) -> bool:
    if depth == 0 or not isinstance(part, (dict, list)):
        return True
    if len(part) > MAX_WIDTH:
        return False
    return all(_is_narrow(inner, depth - 1) for inner in _list_parts(part))


def _list_parts(
    container: dict[str, typing.Any] | list[typing.Any],
) -> abc.Iterable[typing.Any]:
    return container.values() if isinstance(container, dict) else container


class Rows:
    """Validator of a list whose values have one schema.

    The library has one of its own, which collects the faults of all values.
    """

    __slots__ = ('_row',)

    def __init__(self, row: voluptuous.Schema) -> None:
        self._row = row

    def __call__(self, raw: typing.Any) -> list[typing.Any]:
        """Return the validated values.

        Raises:
            Invalid: if it is no list.
            MultipleInvalid: with the faults of the values, up to `MAX_FAULTS`
                and those of one more value.
        """
        if not isinstance(raw, list):
            raise voluptuous.Invalid('expected a list')
        checked: list[typing.Any] = []
        faults: list[voluptuous.Invalid] = []
        for position, row in enumerate(raw):
            try:
                checked.append(self._row(_check_width(row)))
            except voluptuous.MultipleInvalid as invalid:
                invalid.prepend([position])
                faults.extend(invalid.errors)
            if len(faults) >= MAX_FAULTS:
                break
        if faults:
            raise voluptuous.MultipleInvalid(faults)
        return checked


def format_path(path: abc.Iterable[object]) -> str:
    """Return a path such as `pools[2].weights.v1`; `.` for the top."""
    parts = [
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in path
    ]
    return ''.join(parts).lstrip('.') or '.'


def format_errors(error: BaseException) -> list[str]:
    """Return one line for each single error of an error or group."""
    return [str(single) for single in errors.iterate_errors(error)]
