"""Checks that refuse commands, and the counter of replies."""

import typing

from shallotwharf.components.ledger import const, history, messages, orders
from shallotwharf.components.tables import document, version
from shallotwharf.core import effects, schema
from shallotwharf.core import messages as core_messages

Edit: typing.TypeAlias = messages.ApplyEdit | messages.Revert


def refuse(reason: str, detail: str) -> messages.EditRefused:
    """Return a refusal; a long detail is truncated."""
    return messages.EditRefused(reason, detail[: const.MAX_DETAIL_LENGTH])


def accept_unchanged(current: version.Version) -> messages.EditAccepted:
    """Return the answer to a command whose result is in force already."""
    return messages.EditAccepted(current.number, current.compute_digest())


def check_tables(
    tables: version.Tables, checked: version.Tables = version.EMPTY.tables
) -> messages.EditRefused | None:
    """Return the refusal of invalid tables; None if they are valid.

    Rows shared with `checked`, which are valid tables, are not checked again.
    """
    try:
        document.check_tables(tables, checked)
    except ExceptionGroup as faults:
        detail = '; '.join(schema.format_errors(faults))
        return refuse(const.REASON_INVALID_TABLES, detail)
    return None


def find_refusal(
    versions: history.History,
    command: Edit,
    tables: version.Tables | None,
) -> core_messages.Message | None:
    """Return the conflict or refusal of an edit; None if it may follow.

    `tables` is None if the edit reverts to a version that is not kept.
    """
    current = versions.current.number
    if command.base > current:
        return refuse(
            const.REASON_UNKNOWN_BASE,
            f'version {command.base} does not exist',
        )
    if command.base < versions.tables_number:
        winner = versions.find_winner(command.base)
        return messages.EditConflict(
            current,
            '' if winner is None else winner.request_id,
            '' if winner is None else winner.operator,
        )
    if tables is None:
        return refuse(
            const.REASON_UNKNOWN_VERSION,
            'the version is not in the history',
        )
    return check_tables(tables)


def check_revision(
    current: version.Version,
    command: messages.ApplyRevision,
) -> core_messages.Message | None:
    """Return the conflict or refusal of a revision; None if it may follow."""
    revision = current.tables.revision
    if command.base != revision:
        return messages.EditConflict(revision, '', '')
    if command.tables.revision <= revision:
        return refuse(
            const.REASON_REVISION_NOT_ABOVE,
            f'revision {command.tables.revision} is not above {revision}',
        )
    return check_tables(command.tables, current.tables)


def find_known(
    accepted: orders.AcceptedOrders,
    current: version.Version,
    command: messages.Command,
) -> core_messages.Message | None:
    """Return the answer that a command would get in any case, if known.

    An order that was accepted before, and one on top of an older revision than
    the current one, need not pass the log. Revisions only increase, so no
    command ahead in the log changes such an answer. None otherwise.
    """
    if not isinstance(command, messages.ApplyRevision):
        return None
    known = accepted.find(command.digest)
    if known is None and command.base < current.tables.revision:
        return check_revision(current, command)
    return known


def count_reply(reply: core_messages.Message) -> effects.Effect:
    """Return the effect that counts a reply by its type and reason."""
    reason = getattr(reply, 'reason', '')
    suffix = f'.{reason}' if reason else ''
    return effects.Count(f'{reply.tag}{suffix}')
