"""Events of moves that other components use, and their evidence."""

import typing

from shallotwharf.components.move import evidence
from shallotwharf.core import messages, records

STATUS_DONE: typing.Final = 'done'
STATUS_UNDER_WAY: typing.Final = 'under_way'
STATUS_HELD: typing.Final = 'held'
STATUS_TAKEN_BACK: typing.Final = 'taken_back'


@messages.register('move.fence_raised')
class FenceRaised(messages.Message):
    """A version of a service gets no more traffic in a pool.

    Gossiped everywhere and sent to control; it needs no agreement.

    Attributes:
        move_id: the move that is taken back.
        pool: name of the pool.
        version: version of the service that is fenced.
        reason: the evidence, one line.
        origin: node that raised it.
    """

    __slots__ = ('move_id', 'pool', 'version', 'reason', 'origin')

    def __init__(
        self,
        move_id: str,
        pool: str,
        version: str,
        reason: str,
        origin: str,
    ) -> None:
        self.move_id = move_id
        self.pool = pool
        self.version = version
        self.reason = reason
        self.origin = origin


@messages.register('move.node_evidence')
class NodeEvidence(messages.Message):
    """Calls that a node saw since its last report, for its collector.

    Attributes:
        move_id: the move they belong to.
        generation: grows with each restart of the node.
        sequence: grows with each report; a report that does not is ignored.
        rows: counts by route, the overall row included.
        history: long-run counts of the old version, for a collector that
            this node has not reported to before; else empty.
    """

    __slots__ = ('move_id', 'generation', 'sequence', 'rows', 'history')

    def __init__(
        self,
        move_id: str,
        generation: int,
        sequence: int,
        rows: tuple[evidence.Row, ...],
        history: tuple[evidence.Row, ...],
    ) -> None:
        self.move_id = move_id
        self.generation = generation
        self.sequence = sequence
        self.rows = rows
        self.history = history


@messages.register('move.datacentre_evidence')
class DatacentreEvidence(messages.Message):
    """Calls that a data centre saw since the collector's last report.

    Sent to every control process, also when there were no calls.
    """

    __slots__ = ('move_id', 'datacentre', 'generation', 'sequence', 'rows')

    def __init__(
        self,
        move_id: str,
        datacentre: str,
        generation: int,
        sequence: int,
        rows: tuple[evidence.Row, ...],
    ) -> None:
        self.move_id = move_id
        self.datacentre = datacentre
        self.generation = generation
        self.sequence = sequence
        self.rows = rows


class MoveStatus(records.Record):
    """What an operator is told about a move.

    Attributes:
        move_id: the move.
        pool: name of the pool.
        status: one of the `STATUS_` names.
        share: traffic of the new version in hundredths of a percent.
        due_at: wall time at which it should be full.
        forecast_at: wall time at which it is expected to be full; None if
            it is full, held or taken back.
        detail: why it is held, or the evidence on which it was taken back.
    """

    __slots__ = (
        'move_id',
        'pool',
        'status',
        'share',
        'due_at',
        'forecast_at',
        'detail',
    )

    def __init__(
        self,
        move_id: str,
        pool: str,
        status: str,
        share: int,
        due_at: int,
        forecast_at: int | None,
        detail: str,
    ) -> None:
        self.move_id = move_id
        self.pool = pool
        self.status = status
        self.share = share
        self.due_at = due_at
        self.forecast_at = forecast_at
        self.detail = detail
