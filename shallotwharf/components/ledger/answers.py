"""Checks that refuse commands, and the counter of replies."""

from shallotwharf.components.ledger import const, messages
from shallotwharf.components.tables import document, version
from shallotwharf.core import effects, schema
from shallotwharf.core import messages as core_messages


def refuse(reason: str, detail: str) -> messages.EditRefused:
    """Return a refusal; a long detail is truncated."""
    return messages.EditRefused(reason, detail[: const.MAX_DETAIL_LENGTH])


def check_tables(tables: version.Tables) -> messages.EditRefused | None:
    """Return the refusal of invalid tables; None if they are valid."""
    try:
        document.check_tables(tables)
    except ExceptionGroup as faults:
        detail = '; '.join(schema.format_errors(faults))
        return refuse(const.REASON_INVALID_TABLES, detail)
    return None


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
    return check_tables(command.tables)


def count_reply(reply: core_messages.Message) -> effects.Effect:
    """Return the effect that counts a reply by its type and reason."""
    reason = getattr(reply, 'reason', '')
    suffix = f'.{reason}' if reason else ''
    return effects.Count(f'{reply.tag}{suffix}')
