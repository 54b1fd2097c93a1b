"""State that the parts of a replica share, and how it is stored."""

import random
import typing

from shallotwharf.components.replica import (
    checkpoint,
    configuration,
    const,
    log,
    messages,
    outbox,
    stored,
)
from shallotwharf.core import effects, locations, storage
from shallotwharf.core import messages as core_messages

INTERNAL: typing.Final = (stored.Noop, configuration.Configuration)


class SharedState:
    """Term, vote, log, commit index and role of one replica.

    Changes made by a step become visible to other processes only through
    effects that run after its stores. When a store fails, `roll_back` restores
    the state before the step. The disk may then be ahead, with a term, vote or
    entries that were never sent, which has the same effect as a lost reply.

    Attributes:
        leader_last_received_at: when the latest message of a leader arrived;
            before the first one, the start of this process.
        failed_at: when the latest store failed; None while the disk accepts
            writes.
        pending: requests by the index of the entry that this process appended
            for them.
        step_requests: requests added or answered in this step; they get
            `OutcomeUnknown` if one of its stores fails.
    """

    __slots__ = (
        'name',
        'identity',
        'location',
        'random',
        'log',
        'term',
        'vote',
        'commit',
        'snapshot',
        'parts',
        'role',
        'leader',
        'leader_last_received_at',
        'failed_at',
        'outbox',
        'pending',
        'step_requests',
        'snapshot_wanted',
        '_stored_commit',
        '_snapshot_entries',
        '_checkpoint',
    )

    def __init__(
        self,
        name: str,
        recovered: storage.Recovered,
        source: random.Random,
        snapshot_entries: int,
        location: locations.Location = locations.UNKNOWN,
    ) -> None:
        self.name = name
        self.identity = recovered.identity
        self.location = location
        self.random = source
        self.outbox = outbox.Outbox()
        self.role = const.ROLE_FOLLOWER
        self.leader = ''
        self.leader_last_received_at = 0
        self.failed_at: int | None = None
        self.pending: dict[int, str] = {}
        self.step_requests: list[str] = []
        self.snapshot_wanted = False
        self._snapshot_entries = snapshot_entries
        state = typing.cast(stored.State | None, recovered.state)
        self.term = 0 if state is None else state.term
        self.vote = '' if state is None else state.vote
        self._stored_commit = 0 if state is None else state.commit
        self.snapshot = typing.cast(stored.Snapshot | None, recovered.header)
        self.parts = recovered.parts
        self.commit = 0 if self.snapshot is None else self.snapshot.index
        self.log = log.Log()
        self._load(typing.cast(tuple[stored.Entry, ...], recovered.entries))
        self._checkpoint = self._build_checkpoint()

    @property
    def members(self) -> configuration.Configuration:
        """Return the current configuration."""
        return self.log.members

    @property
    def storage_failed(self) -> bool:
        """Return whether the disk refused the latest write."""
        return self.failed_at is not None

    @property
    def has_configuration(self) -> bool:
        """Return whether this process has a configuration."""
        return bool(self.members.voters)

    def begin_step(self) -> None:
        """Save the state for a rollback in case a store fails."""
        self.step_requests = []
        self._checkpoint = self._build_checkpoint()

    def roll_back(self) -> bool:
        """Roll back to the state before the step.

        Return whether this process led before the step and still does.
        """
        saved = self._checkpoint
        led = const.ROLE_LEADER == saved.role == self.role
        self.term = saved.term
        self.vote = saved.vote
        self.commit = saved.commit
        self.snapshot = saved.snapshot
        self.parts = saved.parts
        self.log.restore(saved.log)
        return led

    def change_term(self, term: int, vote: str = '') -> None:
        """Set and store the term and the vote in that term."""
        self.term = term
        self.vote = vote
        self._save_state()

    def become_follower(self, leader: str) -> None:
        """Become a follower; pending requests get `OutcomeUnknown`."""
        if self.role == const.ROLE_LEADER:
            self.outbox.add(effects.Count('replica.stepped_down'))
        self.role = const.ROLE_FOLLOWER
        self.leader = leader
        for request in self.pending.values():
            self.outbox.answer_early(request, messages.OutcomeUnknown())
        self.pending = {}

    def drop_requests(self) -> None:
        """Answer the requests of a step that was rolled back."""
        lost = {
            index: request
            for index, request in self.pending.items()
            if index > self.log.last_index
        }
        for index in lost:
            self.pending.pop(index)
        for request in (*lost.values(), *self.step_requests):
            self.outbox.answer_early(request, messages.OutcomeUnknown())

    def append(self, entries: tuple[stored.Entry, ...]) -> None:
        """Write entries to log and disk."""
        self.log.append(entries)
        self.outbox.store(storage.AppendRecords(entries[0].index, entries))

    def republish(self) -> None:
        """Publish again what was published before the last stop."""
        self.publish_snapshot()
        index = min(self._stored_commit, self.log.last_index)
        if index > self.commit:
            self._publish_commands(index)

    def rewrite_tail(self) -> None:
        """Make the disk agree with memory after a failed store.

        The disk may hold parts of the step that was rolled back, which may
        differ from the entries that are appended next.
        """
        tail = self.log.read_range(self.commit + 1, self.log.last_index)
        self.outbox.store(storage.AppendRecords(self.commit + 1, tuple(tail)))
        self._save_state()

    def advance_commit(self, index: int) -> None:
        """Publish the commands up to an index that is now committed.

        They are published even if the local disk is full, because they are
        on the disks of a majority.
        """
        self._publish_commands(index)
        if not self.storage_failed:
            self._save_state()
        self._request_snapshot_if_due()

    def take_snapshot(self, taken: messages.SnapshotTaken) -> None:
        """Store a snapshot of the local state and compact the log."""
        self.snapshot_wanted = False
        term = self.log.find_term(taken.index)
        held = 0 if self.snapshot is None else self.snapshot.index
        current = held < taken.index <= self.commit
        if self.storage_failed or term is None or not current:
            return
        self.snapshot = stored.Snapshot(
            taken.index,
            term,
            self.log.find_members(taken.index),
        )
        self.parts = taken.parts
        kept = self._snapshot_entries // const.KEPT_ENTRIES_DIVISOR
        first = max(taken.index - kept, self.log.base) + 1
        self.log.compact(self.snapshot, first)
        self._save_snapshot(first)

    def install(
        self,
        snapshot: stored.Snapshot,
        parts: tuple[core_messages.Message, ...],
    ) -> None:
        """Replace state and log with the snapshot of the leader."""
        self.snapshot = snapshot
        self.parts = parts
        if self.log.find_term(snapshot.index) == snapshot.term:
            self.log.compact(snapshot, snapshot.index + 1)
        else:
            self.log.reset(snapshot)
        self.commit = snapshot.index
        self._save_snapshot(snapshot.index + 1)
        self._save_state()
        self.publish_snapshot()

    def publish_snapshot(self) -> None:
        """Publish the snapshot to the component that applies commands."""
        if self.snapshot is not None:
            self.outbox.add(
                effects.Publish(
                    messages.SnapshotRestored(self.snapshot.index, self.parts),
                ),
            )

    def _publish_commands(self, index: int) -> None:
        for entry in self.log.read_range(self.commit + 1, index):
            request = self.pending.pop(entry.index, '')
            if request:
                self.step_requests.append(request)
            if not isinstance(entry.command, INTERNAL):
                self.outbox.add(
                    effects.Publish(
                        messages.Committed(
                            entry.index,
                            entry.command,
                            request,
                        ),
                    ),
                )
        self.commit = max(index, self.commit)

    def _save_state(self) -> None:
        self.outbox.save_state(
            stored.State(self.term, self.vote, self.commit),
        )

    def _build_checkpoint(self) -> checkpoint.Checkpoint:
        return checkpoint.Checkpoint(
            self.term,
            self.vote,
            self.commit,
            self.snapshot,
            self.parts,
            self.role,
            self.log.checkpoint(),
        )

    def _load(self, entries: tuple[stored.Entry, ...]) -> None:
        self.log.load(self.snapshot, entries)
        # After a failed store a term may be on disk only in an entry.
        if self.log.last_term > self.term:
            self.term = self.log.last_term
            self.vote = ''

    def _request_snapshot_if_due(self) -> None:
        held = 0 if self.snapshot is None else self.snapshot.index
        due = self.commit - held >= self._snapshot_entries
        if due and not self.snapshot_wanted:
            self.snapshot_wanted = True
            self.outbox.add(effects.Publish(messages.SnapshotWanted()))

    def _save_snapshot(self, first: int) -> None:
        if self.snapshot is not None:
            self.outbox.store(
                storage.SaveSnapshot(
                    self.snapshot,
                    self.parts,
                    first,
                    self.log.last_index,
                ),
            )
