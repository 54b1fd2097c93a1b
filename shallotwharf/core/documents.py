"""Strict reading of JSON documents (RFC 8259)."""

import json
import re
import typing
from collections import abc

# Beginnings of the escape of a surrogate. JSON allows one that stands alone,
# but no UTF-8 text, and so no message and no log entry, can hold it.
_SURROGATE_ESCAPES: typing.Final = (r'\ud', r'\uD')
_ESCAPE: typing.Final = re.compile(rb'\\u')
# Beginnings of characters for which all of a string takes four bytes each.
_WIDE: typing.Final = re.compile(rb'[\xf0-\xf4]')
_WIDEST_CHARACTER: typing.Final = 4
_WIDER_CHARACTER: typing.Final = 2
# Bytes for each one of a text with such escapes: wide strings, which are
# encoded once more.
_SURROGATES_FACTOR: typing.Final = 13
# Bytes of an object, a list, half a string, a key with its entry and a value
# with its entry, by the character that each of them has.
_SIZES: typing.Final = (
    (b'{', 184),
    (b'[', 64),
    (b'"', 28),
    (b':', 40),
    (b',', 36),
)


def estimate_memory(text: bytes) -> int:
    """Return about how many bytes a document takes while it is read.

    It takes at most a quarter more, with very many keys in one object.

    A text of empty lists takes 25 times its size, one of nested objects 30
    times. Characters in strings count like those of the syntax.

    Args:
        text: JSON in UTF-8; any other text is estimated in the same way.
    """
    parsed = sum(text.count(mark) * size for mark, size in _SIZES)
    return len(text) * _find_factor(text) + parsed


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
    if any(escape in text for escape in _SURROGATE_ESCAPES):
        # Raises UnicodeEncodeError for a lone surrogate.
        json.dumps(document, ensure_ascii=False).encode()
    return document


def _find_factor(text: bytes) -> int:
    """Return the bytes of a text and of its strings for each byte of it."""
    if any(escape.encode() in text for escape in _SURROGATE_ESCAPES):
        return _SURROGATES_FACTOR
    width = 1
    if _WIDE.search(text):
        width = _WIDEST_CHARACTER
    elif _ESCAPE.search(text) or not text.isascii():
        width = _WIDER_CHARACTER
    # The text itself, as a string, and the strings that are parts of it.
    return 1 + 2 * width


def _build_object(
    pairs: abc.Sequence[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    built = dict(pairs)
    if len(built) < len(pairs):
        repeated = _find_repeated(pairs)
        raise ValueError(f'key {repeated!r:.40} appears twice in an object')
    return built


def _find_repeated(pairs: abc.Iterable[tuple[str, typing.Any]]) -> str:
    """Return the first key that occurs twice."""
    seen: set[str] = set()
    for name, _ in pairs:
        if name in seen:
            return name
        seen.add(name)
    raise ValueError('no key is repeated')


def _refuse_constant(constant: str) -> typing.NoReturn:
    raise ValueError(f'{constant} is not JSON')
