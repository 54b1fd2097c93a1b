"""Messages and records of moves."""

import typing

from shallotwharf.components.move import evidence
from shallotwharf.core import messages, records

STATUS_DONE: typing.Final = 'done'
STATUS_UNDER_WAY: typing.Final = 'under_way'
STATUS_HELD: typing.Final = 'held'
STATUS_TAKEN_BACK: typing.Final = 'taken_back'


@messages.register('move.fence_raised')
class FenceRaised(messages.Message):
    """Stops the traffic of a pool to a version of its service.

    It is gossiped to all nodes and sent to control, and takes effect without
    consensus.

    Attributes:
        move_id: the move that is taken back.
        pool: name of the pool.
        version: version of the service that is fenced.
        reason: one line with the evidence.
        origin: name of the node that raised it.
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
    """Calls that a node counted since its last report, for its collector.

    Attributes:
        move_id: the move that the calls belong to.
        generation: differs after each restart of the node.
        sequence: increases with each report. The collector ignores reports
            whose sequence is not above the last one of their generation.
        rows: counts by route, the overall row included.
        history: long-run counts of the old version if the collector has
            changed since the last report; else empty.
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
    """Calls that a data centre counted since its collector's last report.

    The collector sends it to every control process. A report without calls
    shows that the data centre is reachable.
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
    """Status of a move as shown to operators.

    Attributes:
        move_id: the move.
        pool: name of the pool.
        status: one of the `STATUS_` names.
        share: share of the new version in hundredths of a percent.
        due_at: wall time at which the share is due to be full.
        forecast_at: wall time at which the share is expected to be full;
            None if it is full or if the move is held or taken back.
        detail: why the move is held, or the evidence for its take-back.
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
