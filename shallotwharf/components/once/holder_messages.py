"""Messages between holders, and from holders to control."""

from shallotwharf.components.once import wire
from shallotwharf.core import messages, records


@messages.register('once.peek')
class SlotState(messages.Message):
    """State of a holder, sent to the other members of its group.

    Attributes:
        group: name of the group.
        epoch: epoch of the group that the holder has applied.
        instance: random number that identifies the process.
        settled: whether the holder grants claims.
        sealed: whether all three members are known to have applied this
            epoch, so that no majority of an earlier epoch can grant a claim.
        fresh: whether the process was already running before the first groups
            were assigned and has never granted a claim.
        initial_instances: instances of the other members with which the
            holder settled in a new group; empty if it settled otherwise.
    """

    __slots__ = (
        'group',
        'epoch',
        'instance',
        'settled',
        'sealed',
        'fresh',
        'initial_instances',
    )

    def __init__(
        self,
        group: str,
        epoch: int,
        instance: int,
        settled: bool,
        sealed: bool,
        fresh: bool,
        initial_instances: tuple[int, ...],
    ) -> None:
        self.group = group
        self.epoch = epoch
        self.instance = instance
        self.settled = settled
        self.sealed = sealed
        self.fresh = fresh
        self.initial_instances = initial_instances


@messages.register('once.copy')
class CopyRequest(messages.Message):
    """Request to a settled holder for the records after position `after`.

    `number` identifies the copy and is repeated in the reply.
    """

    __slots__ = ('group', 'epoch', 'number', 'after')

    def __init__(
        self,
        group: str,
        epoch: int,
        number: int,
        after: int,
    ) -> None:
        self.group = group
        self.epoch = epoch
        self.number = number
        self.after = after


class CopiedRecord(records.Record):
    """A record in a copy; `result` is None while the call is claimed.

    The body of a result is left out if it is larger than `MAX_COPY_BODY_BYTES`.
    """

    __slots__ = ('key', 'digest', 'token', 'remaining_ms', 'result')

    def __init__(
        self,
        key: str,
        digest: bytes,
        token: bytes,
        remaining_ms: int,
        result: wire.Result | None,
    ) -> None:
        self.key = key
        self.digest = digest
        self.token = token
        self.remaining_ms = remaining_ms
        self.result = result


@messages.register('once.copied')
class CopyPage(messages.Message):
    """A page of records in the order of their positions.

    Attributes:
        group: name of the group.
        number: number of the copy, from the request.
        after: position before the page, from the request.
        records: at most `MAX_PAGE_RECORDS` records.
        last: position of the last record; `after` if there are none.
        complete: whether this is the last page.
    """

    __slots__ = ('group', 'number', 'after', 'records', 'last', 'complete')

    def __init__(
        self,
        group: str,
        number: int,
        after: int,
        records: tuple[CopiedRecord, ...],
        last: int,
        complete: bool,
    ) -> None:
        self.group = group
        self.number = number
        self.after = after
        self.records = records
        self.last = last
        self.complete = complete


class SlotReport(records.Record):
    """State of one replica slot, as reported to control."""

    __slots__ = ('group', 'epoch', 'settled', 'sealed')

    def __init__(
        self,
        group: str,
        epoch: int,
        settled: bool,
        sealed: bool,
    ) -> None:
        self.group = group
        self.epoch = epoch
        self.settled = settled
        self.sealed = sealed


@messages.register('once.holder_report')
class HolderReport(messages.Message):
    """Report of all replica slots of a node to control.

    `fresh` is true if the node has applied a version without groups, and could
    therefore settle at once in the first groups.
    """

    __slots__ = ('slots', 'fresh')

    def __init__(self, slots: tuple[SlotReport, ...], fresh: bool) -> None:
        self.slots = slots
        self.fresh = fresh
