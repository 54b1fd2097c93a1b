"""Snapshots of the ledger, split into parts that fit into messages."""

import types
import typing

from shallotwharf.components.ledger import (
    evacuations,
    history,
    orders,
    requests,
)
from shallotwharf.components.tables import version
from shallotwharf.core import errors, messages, sizes

_STEP = 'ledger.restore'


@messages.register('ledger.snapshot_base')
class SnapshotBase(messages.Message):
    """First part: the oldest version and the counters."""

    __slots__ = ('oldest', 'tables_number', 'dropped_until')

    def __init__(
        self,
        oldest: version.Version,
        tables_number: int,
        dropped_until: int,
    ) -> None:
        self.oldest = oldest
        self.tables_number = tables_number
        self.dropped_until = dropped_until


@messages.register('ledger.snapshot_revisions')
class SnapshotRevisions(messages.Message):
    """Versions that follow those of the previous parts."""

    __slots__ = ('entries',)

    def __init__(self, entries: tuple[history.HistoryEntry, ...]) -> None:
        self.entries = entries


@messages.register('ledger.snapshot_orders')
class SnapshotOrders(messages.Message):
    """Accepted orders, and the document of the latest revision."""

    __slots__ = ('accepted', 'document')

    def __init__(
        self,
        accepted: tuple[orders.OrderRecord, ...],
        document: bytes,
    ) -> None:
        self.accepted = accepted
        self.document = document


@messages.register('ledger.snapshot_requests')
class SnapshotRequests(messages.Message):
    """Request ids with their first answers."""

    __slots__ = ('answered',)

    def __init__(
        self,
        answered: tuple[requests.RequestRecord, ...],
    ) -> None:
        self.answered = answered


@messages.register('ledger.snapshot_evacuations')
class SnapshotEvacuations(messages.Message):
    """Evacuations in force; left out of a snapshot without any."""

    __slots__ = ('rows',)

    def __init__(self, rows: tuple[evacuations.Evacuation, ...]) -> None:
        self.rows = rows


def build_parts(
    version_history: history.History,
    answered_requests: requests.AnsweredRequests,
    accepted: orders.AcceptedOrders,
    evacuated: evacuations.Evacuations,
    part_bytes: int,
) -> tuple[messages.Message, ...]:
    """Return the parts of a snapshot; the base is the first."""
    base = SnapshotBase(
        version_history.oldest,
        version_history.tables_number,
        answered_requests.dropped_until,
    )
    entries = sizes.split_batches(
        version_history.list_entries(),
        part_bytes,
    )
    answered = sizes.split_batches(answered_requests.list_records(), part_bytes)
    rows = evacuated.list_rows()
    return (
        base,
        *(SnapshotRevisions(batch) for batch in entries),
        *(SnapshotRequests(batch) for batch in answered),
        SnapshotOrders(accepted.list_records(), accepted.document),
        *((SnapshotEvacuations(rows),) if rows else ()),
    )


class RestoredState:
    """State built from the parts of a snapshot."""

    __slots__ = ('history', 'requests', 'orders', 'evacuations')

    def __init__(self, parts: tuple[messages.Message, ...]) -> None:
        """Apply the parts in order.

        Raises:
            ProtocolError: if they are not the parts of a ledger snapshot.
        """
        base = parts[0]
        if not isinstance(base, SnapshotBase):
            raise errors.ProtocolError(
                f'first snapshot part is {base.tag}', _STEP
            )
        self.requests = requests.AnsweredRequests(base.dropped_until)
        self.orders = orders.AcceptedOrders()
        self.evacuations = evacuations.Evacuations()
        self.history = history.History(base.oldest, base.tables_number)
        for part in parts[1:]:
            self._apply(part)

    def _apply(self, part: messages.Message) -> None:
        method = _PARTS.get(type(part))
        if method is None:
            raise errors.ProtocolError(
                f'unexpected snapshot part {part.tag}', _STEP
            )
        getattr(self, method)(part)

    def _apply_revisions(self, part: SnapshotRevisions) -> None:
        for entry in part.entries:
            self.history.append_entry(entry)

    def _apply_requests(self, part: SnapshotRequests) -> None:
        for record in part.answered:
            self.requests.add(record)

    def _apply_orders(self, part: SnapshotOrders) -> None:
        self.orders = orders.AcceptedOrders(part.accepted, part.document)

    def _apply_evacuations(self, part: SnapshotEvacuations) -> None:
        self.evacuations = evacuations.Evacuations(part.rows)


_PARTS: typing.Final = types.MappingProxyType(
    {
        SnapshotRevisions: '_apply_revisions',
        SnapshotRequests: '_apply_requests',
        SnapshotOrders: '_apply_orders',
        SnapshotEvacuations: '_apply_evacuations',
    }
)
