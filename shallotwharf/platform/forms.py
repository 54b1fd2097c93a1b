"""Forms of JSON values; each fault is reported with its path.

A configuration has thousands of rules, which are checked on the event loop of
the leader, so a value without a fault costs one call and no allocation.
"""

import abc
import math
import typing
from collections import abc as abc_collections

from shallotwharf.core import records, schema

Path: typing.TypeAlias = tuple[str | int, ...]


class Fault(records.Record):
    """What is wrong with a value.

    Attributes:
        path: keys and indices that lead to the value.
        detail: one line for the operator.
    """

    __slots__ = ('path', 'detail')

    def __init__(self, detail: str, path: Path = ()) -> None:
        self.path = path
        self.detail = detail

    def put_under(self, step: str | int) -> 'Fault':
        """Return the fault with the path from the value that contains it."""
        return Fault(self.detail, (step, *self.path))


Faults: typing.TypeAlias = abc_collections.Sequence[Fault]

NO_FAULTS: typing.Final[Faults] = ()
_MISSING: typing.Final = object()
_NUMBERS: typing.Final = frozenset((int, float))


class Form(abc.ABC):
    """What a value must be."""

    __slots__ = ()

    @abc.abstractmethod
    def find_faults(self, raw: typing.Any) -> Faults:
        """Return all faults of a value and of those that it contains."""


class Text(Form):
    """A string that is not empty."""

    __slots__ = ()

    def find_faults(self, raw: typing.Any) -> Faults:
        """Return the fault of a value that is no such string."""
        if type(raw) is str and raw:
            return NO_FAULTS
        return (Fault('expected a non-empty string'),)


class Flag(Form):
    """A boolean."""

    __slots__ = ()

    def find_faults(self, raw: typing.Any) -> Faults:
        """Return the fault of a value that is not boolean."""
        if type(raw) is bool:
            return NO_FAULTS
        return (Fault('expected true or false'),)


class Choice(Form):
    """One of several strings."""

    __slots__ = ('_options', '_detail')

    def __init__(self, *options: str) -> None:
        self._options = frozenset(options)
        self._detail = f'expected one of {", ".join(options)}'

    def find_faults(self, raw: typing.Any) -> Faults:
        """Return the fault of a value that is none of the options."""
        if type(raw) is str and raw in self._options:
            return NO_FAULTS
        return (Fault(self._detail),)


class Figure(Form):
    """A finite number within bounds.

    Args:
        low: lowest value.
        high: highest value.
        above: the value must be above this one.
        is_whole: whether it must be an integer.
    """

    __slots__ = ('_low', '_high', '_above', '_types', '_detail')

    def __init__(
        self,
        low: float = 0,
        high: float = math.inf,
        above: float = -math.inf,
        is_whole: bool = False,
    ) -> None:
        self._low = low
        self._high = high
        self._above = above
        self._types = frozenset((int,)) if is_whole else _NUMBERS
        kind = 'an integer' if is_whole else 'a finite number'
        bounds = f'above {above}' if above >= low else f'from {low}'
        upper = '' if high == math.inf else f' to {high}'
        self._detail = f'expected {kind} {bounds}{upper}'

    def find_faults(self, raw: typing.Any) -> Faults:
        """Return the fault of a value that is no such number."""
        if (
            type(raw) in self._types
            and self._low <= raw <= self._high
            and self._above < raw < math.inf
        ):
            return NO_FAULTS
        return (Fault(self._detail),)


class Rows(Form):
    """A list of values of one form.

    Args:
        row: form of each value.
        fewest: least number of values.
    """

    __slots__ = ('_row', '_fewest')

    def __init__(self, row: Form, fewest: int = 0) -> None:
        self._row = row
        self._fewest = fewest

    def find_faults(self, raw: typing.Any) -> Faults:
        """Return the faults of a list and of its values.

        Values behind the last fault that is reported are not checked.
        """
        if type(raw) is not list:
            return (Fault('expected a list'),)
        if len(raw) < self._fewest:
            return (Fault(f'expected at least {self._fewest} values'),)
        find_faults = self._row.find_faults
        found: list[Fault] = []
        for position, row in enumerate(raw):
            faults = find_faults(row)
            if faults:
                found.extend(fault.put_under(position) for fault in faults)
                if len(found) >= schema.MAX_FAULTS:
                    break
        return found


class Object(Form):
    """An object; keys that the form does not name are allowed.

    Args:
        required: forms of the keys that it must have.
        optional: forms of the keys that it may have. They may be null, too,
            unless `strict` is set.
        strict: forms of the keys that it may have, but not as null.
    """

    __slots__ = ('_required', '_optional', '_strict')

    def __init__(
        self,
        required: abc_collections.Mapping[str, Form],
        optional: abc_collections.Mapping[str, Form] | None = None,
        strict: abc_collections.Mapping[str, Form] | None = None,
    ) -> None:
        self._required = _bind(required)
        self._optional = _bind(optional or {})
        self._strict = _bind(strict or {})

    def find_faults(self, raw: typing.Any) -> Faults:
        """Return the faults of an object and of its values."""
        if type(raw) is not dict:
            return (Fault('expected an object'),)
        found: list[Fault] = []
        for name, find_faults in self._required:
            given = raw.get(name, _MISSING)
            if given is _MISSING:
                faults = _MISSING_FAULTS
            else:
                faults = find_faults(given)
            if faults:
                found.extend(fault.put_under(name) for fault in faults)
        for key, check in self._optional:
            given = raw.get(key)
            if given is not None:
                found.extend(one.put_under(key) for one in check(given))
        for key, check in self._strict:
            given = raw.get(key, _MISSING)
            if given is not _MISSING:
                found.extend(one.put_under(key) for one in check(given))
        return found


class Either(Form):
    """A value that is equal to a constant, or of a form.

    Args:
        constant: the constant; its type must be the same, too.
        form: form of any other value.
    """

    __slots__ = ('_constant', '_form')

    def __init__(self, constant: int, form: Form) -> None:
        self._constant = constant
        self._form = form

    def find_faults(self, raw: typing.Any) -> Faults:
        """Return the faults of a value other than the constant."""
        if type(raw) is type(self._constant) and raw == self._constant:
            return NO_FAULTS
        return self._form.find_faults(raw)


_MISSING_FAULTS: typing.Final[Faults] = (Fault('required key not provided'),)
_Check: typing.TypeAlias = abc_collections.Callable[[typing.Any], Faults]


def _bind(
    forms: abc_collections.Mapping[str, Form],
) -> tuple[tuple[str, _Check], ...]:
    return tuple((name, form.find_faults) for name, form in forms.items())
