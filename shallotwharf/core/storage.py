"""Operations on the data folder of a process.

A replicated log keeps three things on disk: its state (small, replaced as a
whole), a log of records with consecutive indices, and a snapshot that
replaces the records up to its index. The adapter's codec encodes messages.
"""

from shallotwharf.core import messages, records


class SaveState(records.Record):
    """Replace the state."""

    __slots__ = ('state',)

    def __init__(self, state: messages.Message) -> None:
        self.state = state


class AppendRecords(records.Record):
    """Write records with the indices `first`, `first + 1` and so on.

    Records that the log held from `first` on are replaced; without entries
    they are removed. `first` is at most one beyond the last index, or any
    index if the log is empty.
    """

    __slots__ = ('first', 'entries')

    def __init__(
        self,
        first: int,
        entries: tuple[messages.Message, ...],
    ) -> None:
        self.first = first
        self.entries = entries


class SaveSnapshot(records.Record):
    """Replace the snapshot, then keep only a range of the log's records.

    Attributes:
        header: describes the snapshot.
        parts: its content; each part is small enough for the codec.
        first: index of the first record that is kept.
        last: index of the last one; `first - 1` keeps none.
    """

    __slots__ = ('header', 'parts', 'first', 'last')

    def __init__(
        self,
        header: messages.Message,
        parts: tuple[messages.Message, ...],
        first: int,
        last: int,
    ) -> None:
        self.header = header
        self.parts = parts
        self.first = first
        self.last = last


class Recovered(records.Record):
    """Content of a data folder when it was opened.

    Attributes:
        identity: random name of the folder, created at its first use.
        state: the state; None if none was saved.
        header: describes the snapshot; None if none was saved.
        parts: content of the snapshot.
        entries: records of the log in the order of their indices.
    """

    __slots__ = ('identity', 'state', 'header', 'parts', 'entries')

    def __init__(
        self,
        identity: str,
        state: messages.Message | None = None,
        header: messages.Message | None = None,
        parts: tuple[messages.Message, ...] = (),
        entries: tuple[messages.Message, ...] = (),
    ) -> None:
        self.identity = identity
        self.state = state
        self.header = header
        self.parts = parts
        self.entries = entries
