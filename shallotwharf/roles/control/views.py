"""JSON responses to operators."""

import datetime
import types
import typing

from shallotwharf.adapters import admin
from shallotwharf.components.delivery import summary
from shallotwharf.components.ledger import const as ledger_const
from shallotwharf.components.ledger import history
from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.move import messages as move_messages
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.replica import status as replica_status
from shallotwharf.components.tables import (
    document,
    tenants_document,
    version,
)
from shallotwharf.core import clock

HTTP_OK: typing.Final = 200
_HTTP_NOT_FOUND: typing.Final = 404
_HTTP_CONFLICT: typing.Final = 409
_HTTP_REFUSED: typing.Final = 422
_HTTP_UNAVAILABLE: typing.Final = 503
_SHARES_PER_PERCENT: typing.Final = 100
# HTTP status of a refused command by its reason.
_REFUSALS: typing.Final = types.MappingProxyType(
    {
        ledger_const.REASON_UNKNOWN_DATACENTRE: _HTTP_NOT_FOUND,
        ledger_const.REASON_LAST_DATACENTRE: _HTTP_CONFLICT,
    },
)
_NUMBER: typing.Final = 'number'
_REASON: typing.Final = 'reason'


def reply_health(
    name: str,
    status: replica_status.Status,
    number: int,
) -> admin.AdminReply:
    """Return the state of a replica and the members of its group."""
    return admin.AdminReply(
        HTTP_OK,
        {
            'name': name,
            'leader': status.leader,
            'term': status.term,
            'commit': status.commit,
            'last_index': status.last_index,
            'voters': [voter.name for voter in status.members.voters],
            'learners': [learner.name for learner in status.members.learners],
            'storage_failed': status.storage_failed,
            _NUMBER: number,
        },
    )


def reply_tables(found: version.Version) -> admin.AdminReply:
    """Return the tables of a version."""
    routes, pools = document.write_tables(found.tables)
    return admin.AdminReply(
        HTTP_OK,
        {
            _NUMBER: found.number,
            'digest': found.compute_digest().hex(),
            'routes': routes,
            'pools': pools,
            'tenants': tenants_document.write_tenants(found.tables.tenants),
        },
    )


def reply_unknown_version() -> admin.AdminReply:
    """Return the response for a version that is not in the history."""
    return admin.AdminReply(_HTTP_NOT_FOUND, {_REASON: 'unknown_version'})


def reply_accepted(
    outcome: ledger_messages.EditAccepted,
) -> admin.AdminReply:
    """Return the response to an accepted edit."""
    return admin.AdminReply(
        HTTP_OK,
        {
            'result': 'accepted',
            _NUMBER: outcome.number,
            'digest': outcome.digest.hex(),
        },
    )


def reply_change(
    _outcome: replica_messages.ChangeAccepted,
) -> admin.AdminReply:
    """Return the response to an accepted change of control processes."""
    return admin.AdminReply(HTTP_OK, {'result': 'accepted'})


def reply_conflict(
    outcome: ledger_messages.EditConflict,
) -> admin.AdminReply:
    """Return the response to an edit whose base is no longer current."""
    return admin.AdminReply(
        _HTTP_CONFLICT,
        {
            _REASON: 'conflict',
            'current': outcome.current,
            'winner': outcome.winner,
            'operator': outcome.operator,
        },
    )


def reply_refused(outcome: ledger_messages.EditRefused) -> admin.AdminReply:
    """Return the response to a refused edit."""
    return admin.AdminReply(
        _REFUSALS.get(outcome.reason, _HTTP_REFUSED),
        {_REASON: outcome.reason, 'detail': outcome.detail},
    )


def reply_unknown(
    _outcome: replica_messages.OutcomeUnknown,
) -> admin.AdminReply:
    """Return the response to an edit whose outcome is unknown."""
    return admin.AdminReply(_HTTP_UNAVAILABLE, {_REASON: 'outcome_unknown'})


def reply_not_proposed(
    outcome: replica_messages.ProposalRefused,
) -> admin.AdminReply:
    """Return the response to an edit that certainly has no effect."""
    return admin.AdminReply(
        _HTTP_UNAVAILABLE,
        {_REASON: outcome.reason, 'not_run': True},
    )


def describe_summary(summarized: summary.Summary) -> dict[str, typing.Any]:
    """Return on which nodes a version is in force."""
    return {
        _NUMBER: summarized.number,
        'everywhere': summarized.everywhere,
        'age_ms': summarized.age_ms,
        'nodes': sum(part.members for part in summarized.datacentres),
        'active': sum(part.in_force for part in summarized.datacentres),
        'datacentres': [
            {
                'name': part.datacentre,
                'known': part.known,
                'nodes': part.members,
                'active': part.in_force,
                'age_ms': part.age_ms,
            }
            for part in summarized.datacentres
        ],
        'lacking': [
            f'datacentre={part.datacentre} {_describe_lacking(part)}'
            for part in summarized.datacentres
            if not part.known or part.in_force < part.members
        ],
    }


def _describe_lacking(part: summary.DatacentreSummary) -> str:
    if not part.known:
        return 'no report'
    nodes = ' '.join(
        f'{status.name}:{status.active}:{status.reason or "pending"}'
        for status in part.lacking
    )
    return f'nodes={nodes}'


def describe_move(
    status: move_messages.MoveStatus,
    current: version.Version,
) -> dict[str, typing.Any]:
    """Return the progress of a move."""
    move = current.find_move(status.pool)
    return {
        'pool': status.pool,
        'move_id': status.move_id,
        'from': move.from_version if move else '',
        'to': move.to_version if move else '',
        'state': status.status,
        'share': f'{status.share / _SHARES_PER_PERCENT:g}%',
        'due': format_time(status.due_at),
        'forecast': format_time(status.forecast_at),
        _REASON: status.detail,
    }


def describe_row(row: history.HistoryRow) -> dict[str, typing.Any]:
    """Return a row of the history as a JSON object."""
    return {
        _NUMBER: row.number,
        'digest': row.digest.hex(),
        'change': row.kind,
        'operator': row.operator,
        'request_id': row.request_id,
        'at': format_time(row.at),
        'detail': row.detail,
    }


def format_time(wall_ms: int | None) -> str:
    """Return a wall time in milliseconds as RFC 3339; empty for None."""
    if wall_ms is None:
        return ''
    return datetime.datetime.fromtimestamp(
        wall_ms / clock.SECOND_MS,
        datetime.UTC,
    ).isoformat(timespec='seconds')
