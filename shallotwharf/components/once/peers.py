"""Messages among holders, and from holders to control."""

from shallotwharf.components.once import wire
from shallotwharf.core import messages, records


@messages.register('once.peek')
class Peek(messages.Message):
    """A holder tells the others of its group where it stands.

    Attributes:
        group: name of the group.
        epoch: epoch of the group that it has applied.
        instance: identifies the process.
        settled: whether it grants claims.
        sealed: whether it knows that all three have applied this epoch, so
            that no majority of an earlier epoch can grant any more.
        fresh: whether this process saw the time before the first groups and
            never granted a claim.
        initial: instances of the others with which it settled at once.
    """

    __slots__ = (
        'group',
        'epoch',
        'instance',
        'settled',
        'sealed',
        'fresh',
        'initial',
    )

    def __init__(
        self,
        group: str,
        epoch: int,
        instance: int,
        settled: bool,
        sealed: bool,
        fresh: bool,
        initial: tuple[int, ...],
    ) -> None:
        self.group = group
        self.epoch = epoch
        self.instance = instance
        self.settled = settled
        self.sealed = sealed
        self.fresh = fresh
        self.initial = initial


@messages.register('once.copy')
class Copy(messages.Message):
    """Asks a settled holder for records after position `after`.

    `number` identifies the copy; the answer carries it.
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
    """A record; it has no result while it is claimed.

    The body of a result is left out if it is larger than `COPY_BODY_BYTES`.
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
class Copied(messages.Message):
    """Records in the order of their positions.

    Attributes:
        group: name of the group.
        number: that of the request.
        after: that of the request.
        records: some records, at most `COPY_RECORDS`.
        last: position of the last of them.
        complete: whether there are no more.
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


class SeatReport(records.Record):
    """Where a holder stands in one of its groups."""

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
    """A node reports its seats to control.

    `fresh` says that it applied a version without groups and could settle at
    once in the first ones.
    """

    __slots__ = ('seats', 'fresh')

    def __init__(self, seats: tuple[SeatReport, ...], fresh: bool) -> None:
        self.seats = seats
        self.fresh = fresh
