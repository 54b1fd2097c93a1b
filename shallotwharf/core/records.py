"""Plain classes with slots that compare by value."""

import operator
import typing
from collections import abc

_Reader: typing.TypeAlias = abc.Callable[[typing.Any], tuple[typing.Any, ...]]

_fields: dict[type, tuple[str, ...]] = {}
# Functions that read all fields of a class; a comparison of routes takes a
# tenth of the time that it takes with `getattr` for each field.
_readers: dict[type, _Reader] = {}


def list_fields(record_type: type) -> tuple[str, ...]:
    """Return the names of the slots of a class, base classes first.

    Slots that begin with an underscore are left out: they cache results
    computed from the others and are not part of the value.
    """
    cached = _fields.get(record_type)
    if cached is None:
        names: list[str] = []
        for parent in reversed(record_type.__mro__):
            slots = parent.__dict__.get('__slots__', ())
            names.extend(name for name in slots if not name.startswith('_'))
        cached = tuple(names)
        _fields[record_type] = cached
    return cached


class Record:
    """A value; `__init__` sets its slots, which do not change afterwards."""

    __slots__ = ()

    # Defaults of the last fields, which later releases added. Digests leave
    # out those at the end that have their default, so that releases agree on
    # the digest of a value that does not use them.
    added_defaults: typing.ClassVar[tuple[typing.Any, ...]] = ()

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Record) or type(self) is not type(other):
            return NotImplemented
        return self is other or self.read_fields() == other.read_fields()

    def __deepcopy__(self, _memo: dict[int, typing.Any]) -> typing.Self:
        """Return the value itself, since it does not change."""
        return self

    def __hash__(self) -> int:
        return hash((type(self), self.read_fields()))

    def __repr__(self) -> str:
        pairs = zip(list_fields(type(self)), self.read_fields(), strict=True)
        shown = ', '.join(f'{name}={field!r}' for name, field in pairs)
        return f'{type(self).__name__}({shown})'

    def read_fields(self) -> tuple[typing.Any, ...]:
        """Return the values of all slots in the order of `list_fields`."""
        read = _readers.get(type(self))
        if read is None:
            read = _build_reader(type(self))
            _readers[type(self)] = read
        return read(self)

    def read_digest_fields(self) -> tuple[typing.Any, ...]:
        """Return the fields that belong to the digest of this value."""
        fields = self.read_fields()
        kept = len(fields)
        for default in reversed(self.added_defaults):
            if fields[kept - 1] != default:
                break
            kept -= 1
        return fields[:kept]

    def replace(self, **changes: object) -> typing.Self:
        """Return a copy with the named slots changed.

        Raises:
            TypeError: if a name is not an argument of `__init__`.
        """
        fields = dict(
            zip(list_fields(type(self)), self.read_fields(), strict=True),
        )
        fields.update(changes)
        return type(self)(**fields)


def _build_reader(record_type: type) -> _Reader:
    names = list_fields(record_type)
    if len(names) > 1:
        return operator.attrgetter(*names)
    # A getter of a single attribute does not return a tuple.
    return lambda record: tuple(getattr(record, name) for name in names)
