"""Edits as operators send them, checked."""

import typing

import voluptuous

from shallotwharf.components.ledger import messages
from shallotwharf.components.tables import document
from shallotwharf.core import errors, schema

_STEP: typing.Final = 'edit.read'

_AUTHOR: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('request_id'): str,
        voluptuous.Required('operator'): str,
        voluptuous.Required('base'): voluptuous.All(
            int,
            voluptuous.Range(min=0),
        ),
    },
)
_EDIT: typing.Final = _AUTHOR.extend(
    {
        voluptuous.Required('routes'): dict,
        voluptuous.Required('pools'): dict,
    },
)
_REVERT: typing.Final = _AUTHOR.extend(
    {voluptuous.Required('number'): voluptuous.All(int, voluptuous.Range(0))},
)


def read_edit(sent: typing.Any, wall_now: int) -> messages.ApplyEdit:
    """Return the command of a JSON document.

    Raises:
        ExceptionGroup: one error for each fault.
    """
    checked = schema.check_document(_EDIT, sent, errors.ProtocolError, _STEP)
    return messages.ApplyEdit(
        checked['request_id'],
        checked['operator'],
        checked['base'],
        document.read_tables(checked['routes'], checked['pools']),
        wall_now,
    )


def read_revert(sent: typing.Any, wall_now: int) -> messages.Revert:
    """Return the command of a JSON document; raises as `read_edit` does."""
    checked = schema.check_document(_REVERT, sent, errors.ProtocolError, _STEP)
    return messages.Revert(
        checked['request_id'],
        checked['operator'],
        checked['base'],
        checked['number'],
        wall_now,
    )
