"""History of accepted versions."""

import collections
import typing

from shallotwharf.components.ledger import const, messages
from shallotwharf.components.tables import difference, version
from shallotwharf.core import records


class HistoryRow(records.Record):
    """One accepted version.

    Attributes:
        number: number of the version.
        digest: its digest.
        kind: one of the `KIND_` names.
        operator: who made the edit; empty if control made the version.
        request_id: id of the edit; empty if control made the version.
        at: wall time of the command, in milliseconds since the epoch.
        detail: summary of the change, one line.
    """

    __slots__ = (
        'number',
        'digest',
        'kind',
        'operator',
        'request_id',
        'at',
        'detail',
    )

    def __init__(
        self,
        number: int,
        digest: bytes,
        kind: str,
        operator: str,
        request_id: str,
        at: int,
        detail: str,
    ) -> None:
        self.number = number
        self.digest = digest
        self.kind = kind
        self.operator = operator
        self.request_id = request_id
        self.at = at
        self.detail = detail


class HistoryEntry(records.Record):
    """An accepted version as its difference from the one before it."""

    __slots__ = ('row', 'change')

    def __init__(
        self,
        row: HistoryRow,
        change: difference.Difference,
    ) -> None:
        self.row = row
        self.change = change


class History:
    """The latest versions, at most `const.HISTORY_LIMIT` of them.

    Attributes:
        tables_number: number of the version that last changed the tables;
            edits based on this version or a later one do not conflict,
            because later versions only changed moves and holders.
        oldest: the version that the first difference applies to.
    """

    __slots__ = ('tables_number', 'oldest', '_versions', '_entries')

    def __init__(
        self,
        oldest: version.Version = version.EMPTY,
        tables_number: int = 0,
    ) -> None:
        self.tables_number = tables_number
        self.oldest = oldest
        self._versions: dict[int, version.Version] = {oldest.number: oldest}
        self._entries: collections.deque[HistoryEntry] = collections.deque()

    @property
    def current(self) -> version.Version:
        """Return the latest version."""
        if not self._entries:
            return self.oldest
        return self._versions[self._entries[-1].row.number]

    def list_rows(self) -> tuple[HistoryRow, ...]:
        """Return the rows, the latest one last."""
        return tuple(entry.row for entry in self._entries)

    def list_entries(self) -> tuple[HistoryEntry, ...]:
        """Return the rows with their differences, the latest one last."""
        return tuple(self._entries)

    def find_version(self, number: int) -> version.Version | None:
        """Return a version by its number; None if it is not in the history."""
        return self._versions.get(number)

    def find_winner(self, base: int) -> HistoryRow | None:
        """Return the first edit of the tables after version `base`.

        None if there is none or the history starts after `base`.
        """
        if base < self.oldest.number:
            return None
        for row in self._iterate_edits():
            if row.number > base:
                return row
        return None

    def append_version(
        self,
        command: messages.Command,
        kind: str,
        target: version.Version,
        detail: str,
    ) -> HistoryRow:
        """Append a version that a command led to; return its row.

        Unchanged rows of the tables are shared with the version before, so
        that the history needs little memory.
        """
        step = difference.compute_step(self.current, target)
        row = HistoryRow(
            target.number,
            step.change.digest,
            kind,
            getattr(command, 'operator', ''),
            getattr(command, 'request_id', ''),
            command.at,
            detail,
        )
        self._append(HistoryEntry(row, step.change), step.result)
        return row

    def append_entry(self, entry: HistoryEntry) -> None:
        """Append a version given as its difference from the current one.

        Raises:
            ProtocolError: if the difference does not apply to the current
                version.
        """
        accepted = difference.apply_difference(self.current, entry.change)
        self._append(entry, accepted)

    def _append(self, entry: HistoryEntry, accepted: version.Version) -> None:
        self._entries.append(entry)
        self._versions[accepted.number] = accepted
        if entry.row.kind in {const.KIND_EDIT, const.KIND_REVERT}:
            self.tables_number = accepted.number
        while len(self._entries) > const.HISTORY_LIMIT:
            self._versions.pop(self.oldest.number)
            dropped = self._entries.popleft()
            self.oldest = self._versions[dropped.row.number]

    def _iterate_edits(self) -> typing.Iterator[HistoryRow]:
        for entry in self._entries:
            if entry.row.kind in {const.KIND_EDIT, const.KIND_REVERT}:
                yield entry.row
