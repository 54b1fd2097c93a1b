"""Evidence on one move on a node."""

import typing
from collections import abc

from shallotwharf.components.move import (
    call_counts,
    const,
    evidence,
    messages,
    timetable,
    verdict,
)
from shallotwharf.components.tables import version

# States in which the new version is judged.
ACTIVE_STATES: typing.Final = frozenset(
    (
        version.STATE_PENDING,
        version.STATE_STEPPING,
        version.STATE_FULL,
        version.STATE_WATCHING,
        version.STATE_HELD,
    ),
)


class Sequences:
    """Sequence of the last report of each run of a sender.

    The generation names a run and does not order runs: it is the time of day
    of the start, and the clock of the sender may have gone back. Reports of an
    earlier run count calls that were made, whenever they arrive.
    """

    __slots__ = ('_last',)

    def __init__(self) -> None:
        self._last: dict[str, dict[int, int]] = {}

    def accept(self, sender: str, generation: int, sequence: int) -> bool:
        """Record a report; return whether it is the newest of its run."""
        runs = self._last.setdefault(sender, {})
        if sequence <= runs.get(generation, -1):
            return False
        runs[generation] = sequence
        if len(runs) > const.MAX_RUNS:
            runs.pop(next(iter(runs)))
        return True

    def has_sender(self, sender: str) -> bool:
        """Return whether a sender has reported before."""
        return sender in self._last


class LocalEvidence:
    """Evidence from the calls of this node."""

    __slots__ = ('calls', 'trial', '_slices', '_reported_to')

    def __init__(self, move: version.Move, slow_ms: int) -> None:
        self.calls = call_counts.PoolCounts(
            move.from_version,
            move.to_version,
            slow_ms,
        )
        self.trial = verdict.Trial(
            const.MAX_NODES, timetable.build_timetable(move, 0)
        )
        self._slices = 0
        self._reported_to = ''

    def close_slice(self, share: int, now: int) -> tuple[evidence.Row, ...]:
        """Judge and return the calls since the last report if one is due."""
        self._slices += 1
        if self._slices % const.SLICES_PER_REPORT and not self.calls.urgent:
            return ()
        rows = self.calls.drain()
        if rows:
            self.trial.update(rows, share, now)
        return rows

    def pop_history(self, collector: str) -> tuple[evidence.Row, ...]:
        """Return the old version's long-run counts if the collector changed.

        The first collector needs none, because it received all reports.
        """
        previous = self._reported_to
        self._reported_to = collector
        if previous in {'', collector}:
            return ()
        return self.trial.read_history()


class CollectedEvidence:
    """Evidence from the nodes of a data centre, held by its collector."""

    __slots__ = (
        'trial',
        '_timetable',
        '_incoming',
        '_unsent',
        '_sequences',
        '_slices',
    )

    def __init__(
        self, move_timetable: timetable.Timetable | None = None
    ) -> None:
        self._timetable = move_timetable or timetable.DueTimetable()
        self.trial = verdict.Trial(const.MAX_DATACENTRES, self._timetable)
        self._incoming = evidence.Slice()
        self._unsent = evidence.Slice()
        self._sequences = Sequences()
        self._slices = 0

    def add_report(self, report: messages.NodeEvidence, sender: str) -> None:
        """Add a node's report unless it is a duplicate."""
        is_known = self._sequences.has_sender(sender)
        if self._sequences.accept(sender, report.generation, report.sequence):
            self._incoming.merge(report.rows)
            if not is_known:
                self.trial.add_history(report.history)

    def close_slice(self, share: int, now: int) -> bool:
        """Judge the last slice; return whether a summary is due."""
        rows = self._incoming.drain()
        if rows:
            self.trial.update(rows, share, now)
            self._unsent.merge(rows)
        self._slices += 1
        return self._slices % self._timetable.slices_per_summary == 0

    def drain_summary(self) -> tuple[evidence.Row, ...]:
        """Return the rows that control has not received, and reset them."""
        return self._unsent.drain()


class Watch:
    """Evidence on an active move, from this node and its data centre."""

    __slots__ = ('move', 'local', 'collected')

    def __init__(self, move: version.Move, slow_ms: int) -> None:
        self.move = move
        self.local = LocalEvidence(move, slow_ms)
        self.collected = CollectedEvidence(timetable.build_timetable(move, 0))

    def apply(self, move: version.Move) -> None:
        """Update the move from an applied version."""
        if move.share != self.move.share:
            self.local.trial.reset_exposure()
            self.collected.trial.reset_exposure()
        self.move = move

    def find_fault(self) -> str:
        """Return the evidence that shows the new version bad; else empty."""
        return self.collected.trial.fault or self.local.trial.fault


def select_active(
    moves: abc.Iterable[version.Move],
) -> abc.Iterator[version.Move]:
    """Yield the moves whose new version is judged."""
    for move in moves:
        if move.state in ACTIVE_STATES:
            yield move
