"""CBOR encoding of messages and records.

A message is the array `[tag, field, ...]`; a record without a tag is the
array of its fields. Decoding follows the annotations of `__init__`, so that
a value of a wrong type never reaches an aggregate. Trailing fields that have
a default may be missing, and unknown trailing fields are ignored, so that two
releases can exchange messages during an upgrade.
"""

import functools
import inspect
import types
import typing
from collections import abc

import cbor2

from shallotwharf.core import errors, messages, records

MAX_MESSAGE_BYTES: typing.Final = 4 * 1024 * 1024

Decoder: typing.TypeAlias = abc.Callable[[typing.Any], typing.Any]

_SCALARS: typing.Final = frozenset((int, str, bytes, bool, type(None)))
_DECODE_ERRORS: typing.Final = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    KeyError,
    RecursionError,
)
_ENCODE_ERRORS: typing.Final = (
    cbor2.CBOREncodeError,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
)
_STEP: typing.Final = 'codec.decode'

_decoders: dict[type[records.Record], list[Decoder]] = {}


def encode(message: messages.Message) -> bytes:
    """Encode a message as CBOR.

    Raises:
        ProtocolError: if the message is larger than `MAX_MESSAGE_BYTES`, or
            has a field that CBOR cannot hold, such as a lone surrogate.
    """
    try:
        encoded = cbor2.dumps([message.tag, *_flatten_fields(message)])
    except _ENCODE_ERRORS as error:
        raise errors.ProtocolError(
            f'{message.tag} cannot be encoded: {error}',
            'codec.encode',
        ) from error
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise errors.ProtocolError(
            f'{message.tag} has {len(encoded)} bytes, '
            f'more than {MAX_MESSAGE_BYTES}',
            'codec.encode',
        )
    return encoded


def decode(encoded: bytes, peer: str = '') -> messages.Message:
    """Decode a message from CBOR.

    Raises:
        ProtocolError: if the bytes exceed `MAX_MESSAGE_BYTES`, are truncated,
            or have an unknown tag or a field of a wrong type; it names the
            peer.
    """
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise errors.ProtocolError(
            f'message has {len(encoded)} bytes, more than {MAX_MESSAGE_BYTES}',
            _STEP,
            peer,
        )
    try:
        return _decode_message(cbor2.loads(encoded))
    except _DECODE_ERRORS as error:
        raise errors.ProtocolError(
            f'not a valid message: {error}',
            _STEP,
            peer,
        ) from error


def encode_record(record: records.Record) -> bytes:
    """Encode the fields of a record as canonical CBOR."""
    return cbor2.dumps(_flatten_fields(record), canonical=True)


def decode_record(
    record_type: type[records.Record],
    encoded: bytes,
) -> records.Record:
    """Decode a record of the given type from CBOR.

    Raises:
        ProtocolError: if the bytes are not a valid record of this type.
    """
    try:
        return _decode_fields(record_type, cbor2.loads(encoded))
    except _DECODE_ERRORS as error:
        raise errors.ProtocolError(
            f'not a valid {record_type.__name__}: {error}',
            _STEP,
        ) from error


def _flatten_fields(record: records.Record) -> list[typing.Any]:
    return [_flatten(field) for field in record.read_fields()]


def _flatten(field: typing.Any) -> typing.Any:
    if type(field) in _SCALARS:
        return field
    if isinstance(field, messages.Message):
        return [field.tag, *_flatten_fields(field)]
    if isinstance(field, records.Record):
        return _flatten_fields(field)
    if isinstance(field, tuple):
        return [_flatten(part) for part in field]
    if isinstance(field, abc.Mapping):
        return {key: _flatten(part) for key, part in field.items()}
    return field


def _decode_message(raw: typing.Any) -> messages.Message:
    if not isinstance(raw, list) or not raw:
        raise ValueError('a message is a non-empty array')
    message_type = messages.find_type(str(raw[0]))
    if message_type is None:
        raise ValueError(f'unknown tag {raw[0]!r}')
    message = _decode_fields(message_type, raw[1:])
    return typing.cast(messages.Message, message)


def _decode_fields(
    record_type: type[records.Record],
    raw: typing.Any,
) -> records.Record:
    if not isinstance(raw, list):
        raise ValueError(f'{record_type.__name__} is an array')
    decoders = _find_decoders(record_type)
    fields = [
        decoder(part) for decoder, part in zip(decoders, raw, strict=False)
    ]
    return record_type(*fields)


def _find_decoders(record_type: type[records.Record]) -> list[Decoder]:
    decoders = _decoders.get(record_type)
    if decoders is None:
        decoders = _build_decoders(record_type)
        _decoders[record_type] = decoders
    return decoders


def _build_decoders(record_type: type[records.Record]) -> list[Decoder]:
    constructor: typing.Any = record_type.__init__
    if constructor is object.__init__:
        return []
    hints = typing.get_type_hints(constructor)
    arguments = list(inspect.signature(constructor).parameters)[1:]
    if tuple(arguments) != records.list_fields(record_type):
        raise TypeError(f'{record_type.__name__}: slots are not arguments')
    return [_build_decoder(hints[name]) for name in arguments]


def _build_decoder(hint: typing.Any) -> Decoder:
    if hint in _SCALARS:
        return functools.partial(_check_scalar, hint)
    if hint is float:
        return _check_float
    if isinstance(hint, type) and issubclass(hint, messages.Message):
        return functools.partial(_check_message, hint)
    if isinstance(hint, type) and issubclass(hint, records.Record):
        return functools.partial(_decode_fields, hint)
    return _build_generic_decoder(hint)


def _build_generic_decoder(hint: typing.Any) -> Decoder:
    origin = typing.get_origin(hint)
    parts = typing.get_args(hint)
    if origin is tuple and parts[1:] == (Ellipsis,):
        return functools.partial(_check_tuple, _build_decoder(parts[0]))
    if origin is abc.Mapping and parts[0] is str:
        return functools.partial(_check_mapping, _build_decoder(parts[1]))
    if origin in {typing.Union, types.UnionType} and type(None) in parts:
        inner = [part for part in parts if part is not type(None)]
        return functools.partial(_check_optional, _build_decoder(inner[0]))
    raise TypeError(f'{hint} is not allowed in a message')


def _check_scalar(expected: type, raw: typing.Any) -> typing.Any:
    if type(raw) is not expected:
        raise ValueError(f'{raw!r:.40} is not {expected.__name__}')
    return raw


def _check_float(raw: typing.Any) -> float:
    if type(raw) not in {int, float}:
        raise ValueError(f'{raw!r:.40} is not a number')
    return float(raw)


def _check_message(
    expected: type[messages.Message],
    raw: typing.Any,
) -> messages.Message:
    message = _decode_message(raw)
    if not isinstance(message, expected):
        raise ValueError(f'{message.tag} is not {expected.__name__}')
    return message


def _check_tuple(decoder: Decoder, raw: typing.Any) -> tuple[typing.Any, ...]:
    if not isinstance(raw, list):
        raise ValueError(f'{raw!r:.40} is not an array')
    return tuple(decoder(part) for part in raw)


def _check_mapping(
    decoder: Decoder,
    raw: typing.Any,
) -> dict[str, typing.Any]:
    if not isinstance(raw, dict):
        raise ValueError(f'{raw!r:.40} is not a map')
    return {_check_scalar(str, key): decoder(raw[key]) for key in raw}


def _check_optional(decoder: Decoder, raw: typing.Any) -> typing.Any:
    return None if raw is None else decoder(raw)
