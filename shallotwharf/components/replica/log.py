"""Entries of the log in memory."""

import typing
from collections import abc

from shallotwharf.components.replica import (
    configuration,
    const,
    stored,
)
from shallotwharf.core import errors, records, sizes

_NO_CONFIGURATION: typing.Final = configuration.Configuration(())


class Checkpoint(records.Record):
    """State of a log, for the rollback after a failed store."""

    __slots__ = ('entries', 'length', 'base', 'base_term', 'changes')

    def __init__(
        self,
        entries: list[stored.Entry],
        length: int,
        base: int,
        base_term: int,
        changes: tuple[stored.Entry, ...],
    ) -> None:
        self.entries = entries
        self.length = length
        self.base = base
        self.base_term = base_term
        self.changes = changes


class Log:
    """Consecutive entries after `base`, the last index that was dropped.

    The list of entries is extended in place and otherwise replaced by a new
    list, so that a checkpoint needs only a reference and a length.
    """

    __slots__ = ('base', 'base_term', '_entries', '_configurations')

    def __init__(self) -> None:
        self.base = 0
        self.base_term = 0
        self._entries: list[stored.Entry] = []
        # Entries with configurations; the oldest may be from the snapshot.
        self._configurations: tuple[stored.Entry, ...] = ()

    @property
    def last_index(self) -> int:
        """Return the index of the last entry; 0 if there is none."""
        return self.base + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry; 0 if there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> configuration.Configuration:
        """Return the current configuration; empty if there is none."""
        if not self._configurations:
            return _NO_CONFIGURATION
        return _read_members(self._configurations[-1])

    @property
    def configuration_index(self) -> int:
        """Return the index of the current configuration; 0 if none."""
        return self._configurations[-1].index if self._configurations else 0

    def find_members(self, index: int) -> configuration.Configuration:
        """Return the configuration at an index."""
        found = _NO_CONFIGURATION
        for change in self._configurations:
            if change.index <= index:
                found = _read_members(change)
        return found

    def find_term(self, index: int) -> int | None:
        """Return the term of an entry; None if it is not in memory."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last_index:
            return self._entries[index - self.base - 1].term
        return None

    def find_entry(self, index: int) -> stored.Entry | None:
        """Return an entry; None if it is not in memory."""
        if self.base < index <= self.last_index:
            return self._entries[index - self.base - 1]
        return None

    def find_first_of_term(self, index: int) -> int:
        """Return the first index in memory with the term of `index`."""
        term = self.find_term(index)
        while index > self.base + 1 and self.find_term(index - 1) == term:
            index -= 1
        return index

    def read_batch(self, first: int) -> tuple[stored.Entry, ...]:
        """Return the entries from `first` on that fit into one message."""
        start = first - self.base - 1
        return sizes.select_batch(
            self._entries[start : start + const.BATCH_ENTRIES],
            const.BATCH_BYTES,
        )

    def read_range(
        self,
        first: int,
        last: int,
    ) -> abc.Sequence[stored.Entry]:
        """Return the entries from `first` to `last`."""
        return self._entries[first - self.base - 1 : last - self.base]

    def append(self, entries: tuple[stored.Entry, ...]) -> None:
        """Replace all entries from the first index of the new ones on."""
        kept = entries[0].index - self.base - 1
        if kept < len(self._entries):
            self._entries = self._entries[:kept]
            self._configurations = tuple(
                change
                for change in self._configurations
                if change.index < entries[0].index
            )
        self._entries.extend(entries)
        self._configurations += _select_configurations(entries)

    def compact(self, snapshot: stored.Snapshot, first: int) -> None:
        """Drop the entries before `first`, which the snapshot includes."""
        term = self.find_term(first - 1)
        self._entries = self._entries[first - self.base - 1 :]
        self.base = first - 1
        self.base_term = term or 0
        self._rebase_configurations(snapshot)

    def reset(self, snapshot: stored.Snapshot) -> None:
        """Drop all entries; the log continues after the snapshot."""
        self._entries = []
        self.base = snapshot.index
        self.base_term = snapshot.term
        self._configurations = ()
        self._rebase_configurations(snapshot)

    def load(
        self,
        snapshot: stored.Snapshot | None,
        entries: tuple[stored.Entry, ...],
    ) -> None:
        """Load the snapshot and the entries that were on disk.

        Drops entries that conflict with the snapshot: the process stopped
        before it had removed them from the disk.

        Raises:
            CorruptionError: if entries are missing.
        """
        _check_consecutive(snapshot, entries)
        if snapshot is not None:
            self.reset(snapshot)
            entries = _drop_stale(snapshot, entries)
        if entries and entries[0].index <= self.base:
            # The first entry is the base: only its term is needed.
            self.base = entries[0].index
            self.base_term = entries[0].term
            entries = entries[1:]
        self._entries = list(entries)
        if snapshot is None:
            self._configurations = _select_configurations(entries)
        else:
            later = [entry for entry in entries if entry.index > snapshot.index]
            self._configurations += _select_configurations(later)

    def checkpoint(self) -> Checkpoint:
        """Return the current state, to be passed to `restore`."""
        return Checkpoint(
            self._entries,
            len(self._entries),
            self.base,
            self.base_term,
            self._configurations,
        )

    def restore(self, saved: Checkpoint) -> None:
        """Roll back to a checkpoint after a failed store."""
        self._entries = saved.entries[: saved.length]
        self.base = saved.base
        self.base_term = saved.base_term
        self._configurations = saved.changes

    def _rebase_configurations(self, snapshot: stored.Snapshot) -> None:
        later = tuple(
            change
            for change in self._configurations
            if change.index > snapshot.index
        )
        first = stored.Entry(snapshot.index, snapshot.term, snapshot.members)
        self._configurations = (first, *later)


def _read_members(change: stored.Entry) -> configuration.Configuration:
    return typing.cast(configuration.Configuration, change.command)


def _select_configurations(
    entries: abc.Iterable[stored.Entry],
) -> tuple[stored.Entry, ...]:
    return tuple(
        entry
        for entry in entries
        if isinstance(entry.command, configuration.Configuration)
    )


def _check_consecutive(
    snapshot: stored.Snapshot | None,
    entries: tuple[stored.Entry, ...],
) -> None:
    base = 0 if snapshot is None else snapshot.index
    if entries and entries[0].index > base + 1:
        raise errors.CorruptionError(
            f'entries {base + 1} to {entries[0].index - 1} are missing',
            'replica.load',
        )


def _drop_stale(
    snapshot: stored.Snapshot,
    entries: tuple[stored.Entry, ...],
) -> tuple[stored.Entry, ...]:
    if not entries or entries[0].index > snapshot.index:
        return entries
    offset = snapshot.index - entries[0].index
    if offset >= len(entries) or entries[offset].term != snapshot.term:
        return ()
    return entries
