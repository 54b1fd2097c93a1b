"""Answers to commands that are not accepted, and how they are counted."""

from shallotwharf.components.ledger import const, messages
from shallotwharf.components.tables import document, version
from shallotwharf.core import effects, schema
from shallotwharf.core import messages as core_messages


def refuse(reason: str, detail: str) -> messages.EditRefused:
    """Return a refusal; a long detail is cut."""
    return messages.EditRefused(reason, detail[: const.MAX_DETAIL_LENGTH])


def check_tables(tables: version.Tables) -> messages.EditRefused | None:
    """Return the refusal of tables that are not valid."""
    try:
        document.check_tables(tables)
    except ExceptionGroup as faults:
        detail = '; '.join(schema.format_errors(faults))
        return refuse(const.REASON_INVALID, detail)
    return None


def check_revision(
    current: version.Version,
    command: messages.ApplyRevision,
) -> core_messages.Message | None:
    """Return the answer to a revision that may not follow the current one."""
    revision = current.tables.revision
    if command.base != revision:
        return messages.EditConflict(revision, '', '')
    if command.tables.revision <= revision:
        return refuse(
            const.REASON_REVISION,
            f'revision {command.tables.revision} is not above {revision}',
        )
    return check_tables(command.tables)


def count(reply: core_messages.Message) -> effects.Effect:
    """Return the effect that counts an answer by its type and reason."""
    reason = getattr(reply, 'reason', '')
    suffix = f'.{reason}' if reason else ''
    return effects.Count(f'{reply.tag}{suffix}')
