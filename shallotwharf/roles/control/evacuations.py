"""Orders that evacuate data centres, and what control knows of those."""

import typing
from collections import abc

import voluptuous

from shallotwharf.adapters import admin
from shallotwharf.components.delivery import summary
from shallotwharf.components.ledger import evacuations, messages
from shallotwharf.core import errors, schema
from shallotwharf.roles.control import views

_STEP: typing.Final = 'evacuation.read'
_ORDER: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('datacentre'): voluptuous.All(
            str, voluptuous.Length(min=1)
        ),
        voluptuous.Optional('operator', default=''): str,
    },
)


def read_evacuation(
    sent: typing.Any,
    known: tuple[str, ...],
    wall_now: int,
) -> messages.EvacuateDatacentre:
    """Return the command of a JSON document that evacuates a data centre.

    Raises:
        ExceptionGroup: of `ProtocolError`, one for each fault.
    """
    checked = schema.check_document(_ORDER, sent, errors.ProtocolError, _STEP)
    return messages.EvacuateDatacentre(
        checked['datacentre'],
        tuple(sorted(known)),
        checked['operator'],
        wall_now,
    )


def read_restoration(
    query: abc.Mapping[str, str],
    wall_now: int,
) -> messages.RestoreDatacentre:
    """Return the command of query arguments that restores a data centre.

    Raises:
        ExceptionGroup: of `ProtocolError`, one for each fault.
    """
    checked = schema.check_document(
        _ORDER, dict(query), errors.ProtocolError, _STEP
    )
    return messages.RestoreDatacentre(
        checked['datacentre'],
        checked['operator'],
        wall_now,
    )


def reply_evacuations(
    rows: abc.Iterable[evacuations.Evacuation],
    summarized: summary.Summary,
) -> admin.AdminReply:
    """Return the evacuated data centres and what is known of their nodes."""
    parts = {part.datacentre: part for part in summarized.datacentres}
    listed = [_describe(row, parts.get(row.datacentre)) for row in rows]
    return admin.AdminReply(views.HTTP_OK, {'evacuations': listed})


def _describe(
    row: evacuations.Evacuation,
    part: summary.DatacentreSummary | None,
) -> dict[str, typing.Any]:
    is_known = part is not None and part.known
    return {
        'datacentre': row.datacentre,
        'since': views.format_time(row.at),
        'operator': row.operator,
        # Nodes, and those of them that have the current version in force. A
        # node that has it starts no request at its upstream.
        'nodes': part.members if part is not None and is_known else None,
        'refusing': part.in_force if part is not None and is_known else None,
        # Nodes tell each other the load of their upstreams, but not control.
        'busy_slots': None,
    }
