"""Strict reading of JSON documents (RFC 8259)."""

import json
import typing
from collections import abc

# Beginning of the escape of a surrogate. JSON allows one that stands alone, but
# no UTF-8 text, and so no message and no log entry, can hold it.
_SURROGATE_ESCAPE: typing.Final = r'\ud'


def load(text: str | bytes) -> typing.Any:
    """Return a document all of whose parts are unambiguous and can be encoded.

    Raises:
        ValueError: if the text is not JSON or not UTF-8, names a key twice in
            an object, contains a lone surrogate, or a number that is not
            finite.
        RecursionError: if it is nested too deeply.
    """
    if isinstance(text, bytes):
        text = text.decode('utf-8-sig')
    document = json.loads(
        text,
        object_pairs_hook=_build_object,
        parse_constant=_refuse_constant,
    )
    if _SURROGATE_ESCAPE in text.lower():
        # Raises UnicodeEncodeError for a lone surrogate.
        json.dumps(document, ensure_ascii=False).encode()
    return document


def _build_object(
    pairs: abc.Sequence[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    built = dict(pairs)
    if len(built) < len(pairs):
        repeated = _find_repeated(pairs)
        raise ValueError(f'key {repeated!r:.40} appears twice in an object')
    return built


def _find_repeated(pairs: abc.Iterable[tuple[str, typing.Any]]) -> str:
    """Return the first key that stands behind itself."""
    seen: set[str] = set()
    for name, _ in pairs:
        if name in seen:
            return name
        seen.add(name)
    raise ValueError('no key is repeated')


def _refuse_constant(constant: str) -> typing.NoReturn:
    raise ValueError(f'{constant} is not JSON')
