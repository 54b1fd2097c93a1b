"""Header fields of a message, by name."""

import functools
import typing
from collections import abc

from tornado import httputil

# Longer names are not cached, so that callers cannot fill the memory.
_MAX_CACHED_NAME_BYTES: typing.Final = 64
_CACHED_NAMES: typing.Final = 1024


class Fields(httputil.HTTPHeaders):
    """Tornado's headers, with shorter paths for the most frequent uses.

    A call through two nodes looks up some 60 fields and adds 18. `get` of the
    base class raises and catches an error for each field that is absent.
    """

    def __init__(self) -> None:
        """Create headers without any field."""
        # The base class builds the same dictionaries by `update`.
        self._as_list: dict[str, list[str]] = {}
        self._combined_cache: dict[str, str] = {}

    def __contains__(self, name: object) -> bool:
        """Return whether there is a field with a name."""
        return _find_key(typing.cast(str, name)) in self._as_list

    def get(self, name: str, default: typing.Any = None) -> typing.Any:
        """Return the value of a field, several joined by commas."""
        key = _find_key(name)
        found = self._combined_cache.get(key)
        if found is not None:
            return found
        return self[key] if key in self._as_list else default

    def list_lines(self) -> list[str]:
        """Return the lines of the fields, without line ends."""
        return [
            f'{name}: {text}'
            for name, texts in self._as_list.items()
            for text in texts
        ]

    def receive(self, received: abc.Iterable[tuple[bytes, bytes]]) -> None:
        """Add the fields of a message that was received.

        Raises:
            HTTPInputError: if one repeats a name and is not valid.
        """
        lines = self._as_list
        for name, field in received:
            if len(name) <= _MAX_CACHED_NAME_BYTES:
                key = _read_name(name)
            else:
                key = _normalize(name.decode('latin1'))
            text = field.decode('latin1')
            if key in lines:
                self.add(key, text)
            else:
                lines[key] = [text]
                self._combined_cache[key] = text


def _normalize(name: str) -> str:
    return '-'.join([part.capitalize() for part in name.split('-')])


# Names that this package looks up, and those in received messages.
_find_key: typing.Final = functools.lru_cache(_CACHED_NAMES)(_normalize)


@functools.lru_cache(_CACHED_NAMES)
def _read_name(name: bytes) -> str:
    return _normalize(name.decode('latin1'))
