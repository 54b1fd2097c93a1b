"""Guards against invalid messages of a peer that reach an aggregate."""

import cbor2
import hypothesis
import pytest
from hypothesis import strategies

from shallotwharf.adapters import codec
from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.core import errors

EDIT = replica_messages.Propose(
    'r', ledger_messages.Revert('id', 'operator', 1, 2, 3)
)


def test_nested_message_survives():
    assert codec.decode(codec.encode(EDIT)) == EDIT


def test_message_without_fields_survives():
    message = replica_messages.OutcomeUnknown()
    assert codec.decode(codec.encode(message)) == message


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_give_a_message_or_a_protocol_error(encoded):
    try:
        codec.decode(encoded, 'peer')
    except errors.ProtocolError as error:
        assert error.peer == 'peer'


@hypothesis.given(strategies.integers(0, len(codec.encode(EDIT)) - 1))
def test_truncated_message_is_refused(length):
    with pytest.raises(errors.ProtocolError):
        codec.decode(codec.encode(EDIT)[:length])


@pytest.mark.parametrize(
    'raw',
    [
        [],
        {},
        ['no.such.tag'],
        ['ledger.revert', 'id', 'operator', True, 2, 3],
        ['ledger.revert', 'id', 'operator', '1', 2, 3],
        ['ledger.revert', 'id'],
    ],
)
def test_wrong_type_is_refused(raw):
    with pytest.raises(errors.ProtocolError):
        codec.decode(cbor2.dumps(raw))


def test_deep_nesting_is_refused():
    with pytest.raises(errors.ProtocolError):
        codec.decode(b'\x81' * 100_000)


def test_huge_message_is_refused():
    with pytest.raises(errors.ProtocolError, match='more than'):
        codec.decode(bytes(codec.MAX_MESSAGE_BYTES + 1))


def test_field_of_a_newer_release_is_ignored():
    raw = ['ledger.revert', 'id', 'operator', 1, 2, 3, 'new']
    assert codec.decode(cbor2.dumps(raw)) == EDIT.command
