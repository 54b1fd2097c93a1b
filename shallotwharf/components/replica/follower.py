"""Follower role: handles entries and snapshots of the leader."""

from shallotwharf.components.replica import (
    protocol,
    shared_state,
    stored,
)
from shallotwharf.core import messages as core_messages


class _Incoming:
    """Received parts of an incomplete snapshot."""

    __slots__ = ('header', 'parts')

    def __init__(self, header: stored.Snapshot) -> None:
        self.header = header
        self.parts: list[core_messages.Message] = []


class Follower:
    """Stores what the leader sends, and answers once it is on disk."""

    __slots__ = ('_state', '_incoming')

    def __init__(self, shared: shared_state.SharedState) -> None:
        self._state = shared
        self._incoming: _Incoming | None = None

    def reset(self) -> None:
        """Drop the received parts of a snapshot after a failed store."""
        self._incoming = None

    def refuse(
        self,
        message: protocol.AppendEntries | protocol.InstallSnapshot,
        sender: str,
    ) -> None:
        """Reply with the current term to a leader of an earlier one."""
        if isinstance(message, protocol.AppendEntries):
            self._reply(message, sender, accepted=False, index=0)
        else:
            self._reply_part(message, sender, 0)

    def receive_entries(
        self,
        message: protocol.AppendEntries,
        sender: str,
    ) -> None:
        """Append entries that match the local log, and commit."""
        if not self._matches(message):
            self._reply(
                message,
                sender,
                accepted=False,
                index=self._find_hint(message.previous_index),
            )
            return
        index = message.previous_index
        if message.require_write and not self._state.storage_failed:
            self._state.change_term(self._state.term, self._state.vote)
        if not self._state.storage_failed:
            index += len(message.entries)
            self._append_new(message.entries)
        commit = min(message.commit, index)
        if commit > self._state.commit:
            self._state.advance_commit(commit)
        self._reply(message, sender, accepted=True, index=index)

    def receive_part(
        self,
        message: protocol.InstallSnapshot,
        sender: str,
    ) -> None:
        """Collect a part of a snapshot; install it once it is complete."""
        if message.header.index <= self._state.commit:
            self._reply_part(message, sender, message.total)
            return
        if self._state.storage_failed:
            return
        incoming = self._incoming
        if incoming is None or incoming.header != message.header:
            incoming = _Incoming(message.header)
            self._incoming = incoming
        if message.part == len(incoming.parts):
            incoming.parts.append(message.content)
        needed = len(incoming.parts)
        if needed == message.total:
            self._state.install(incoming.header, tuple(incoming.parts))
            self._incoming = None
        self._reply_part(message, sender, needed)

    def _matches(self, message: protocol.AppendEntries) -> bool:
        # Committed entries are the same on all replicas, so entries that the
        # snapshot has replaced need no comparison.
        if message.previous_index <= self._state.commit:
            return True
        found = self._state.log.find_term(message.previous_index)
        return found == message.previous_term

    def _find_hint(self, previous: int) -> int:
        log = self._state.log
        if previous > log.last_index:
            return log.last_index + 1
        return max(
            log.find_first_of_term(previous),
            self._state.commit + 1,
        )

    def _append_new(self, entries: tuple[stored.Entry, ...]) -> None:
        """Append the entries from the first one that the log lacks."""
        for offset, entry in enumerate(entries):
            if entry.index <= self._state.commit:
                continue
            if self._state.log.find_term(entry.index) != entry.term:
                self._state.append(entries[offset:])
                return

    def _reply(
        self,
        message: protocol.AppendEntries,
        sender: str,
        accepted: bool,
        index: int,
    ) -> None:
        self._state.outbox.send(
            sender,
            protocol.AppendReply(
                self._state.term,
                self._state.identity,
                accepted,
                index,
                not self._state.storage_failed,
                message.sent_at,
            ),
        )

    def _reply_part(
        self,
        message: protocol.InstallSnapshot,
        sender: str,
        needed: int,
    ) -> None:
        self._state.outbox.send(
            sender,
            protocol.InstallReply(
                self._state.term,
                self._state.identity,
                message.header.index,
                needed,
                message.sent_at,
            ),
        )
