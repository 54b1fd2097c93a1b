"""Parses and validates the documents that operators send."""

import types
import typing
from collections import abc

import voluptuous

from shallotwharf.components.ledger import messages
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import document, version
from shallotwharf.core import errors, schema
from shallotwharf.roles.control import proposals

_STEP: typing.Final = 'edit.read'

_COMMON: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('request_id'): str,
        voluptuous.Required('operator'): str,
        voluptuous.Required('base'): voluptuous.All(
            int,
            voluptuous.Range(min=0),
        ),
    },
)
_EDIT: typing.Final = _COMMON.extend(
    {
        voluptuous.Required('routes'): dict,
        voluptuous.Required('pools'): dict,
        voluptuous.Optional('tenants', default=None): voluptuous.Any(
            None, dict
        ),
    },
)
_REVERT: typing.Final = _COMMON.extend(
    {voluptuous.Required('number'): voluptuous.All(int, voluptuous.Range(0))},
)
_CHANGES: typing.Final[abc.Mapping[str, proposals.MemberChange]] = (
    types.MappingProxyType(
        {
            'add': replica_messages.AddMember,
            'remove': replica_messages.RemoveMember,
        },
    )
)
_MEMBER: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('change'): voluptuous.In(list(_CHANGES)),
        voluptuous.Required('name'): str,
    },
)


def read_edit(
    sent: typing.Any,
    wall_now: int,
    find_tables: abc.Callable[[int], version.Tables],
) -> messages.ApplyEdit:
    """Return the command that applies the tables of a JSON document.

    Without a table of tenants, those of the base remain: an edit of the routes
    must not make them public. The limits of callers remain, too.

    Args:
        sent: the document.
        wall_now: time in milliseconds since the epoch.
        find_tables: returns the tables of the version with a number.

    Raises:
        ExceptionGroup: of `ShallotwharfError`, one for each fault.
    """
    checked = schema.check_document(_EDIT, sent, errors.ProtocolError, _STEP)
    before = find_tables(checked['base'])
    sent_tenants = checked['tenants']
    tables = document.read_tables(
        checked['routes'], checked['pools'], sent_tenants
    )
    if sent_tenants is None:
        tables = tables.replace(tenants=before.tenants)
    return messages.ApplyEdit(
        checked['request_id'],
        checked['operator'],
        checked['base'],
        tables.replace(limits=before.limits),
        wall_now,
    )


def read_revert(sent: typing.Any, wall_now: int) -> messages.Revert:
    """Return the command that reverts; raises as `read_edit` does."""
    checked = schema.check_document(_REVERT, sent, errors.ProtocolError, _STEP)
    return messages.Revert(
        checked['request_id'],
        checked['operator'],
        checked['base'],
        checked['number'],
        wall_now,
    )


def read_member_change(
    sent: typing.Any,
) -> tuple[proposals.MemberChange, str]:
    """Return the class of the command and the name of the process.

    Raises:
        ExceptionGroup: of `ShallotwharfError`, one for each fault.
    """
    checked = schema.check_document(_MEMBER, sent, errors.ProtocolError, _STEP)
    return _CHANGES[checked['change']], checked['name']
