"""Follower role: handles entries and snapshots of the leader."""

from shallotwharf.components.replica import (
    kernel,
    protocol,
    stored,
)
from shallotwharf.core import messages as core_messages


class _Incoming:
    """Received parts of an incomplete snapshot."""

    __slots__ = ('header', 'parts')

    def __init__(self, header: stored.Snapshot) -> None:
        self.header = header
        self.parts: list[core_messages.Message] = []


class Following:
    """Stores what the leader sends, and answers once it is on disk."""

    __slots__ = ('_kernel', '_incoming')

    def __init__(self, shared: kernel.Kernel) -> None:
        self._kernel = shared
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
        if message.probe and not self._kernel.storage_failed:
            self._kernel.change_term(self._kernel.term, self._kernel.vote)
        if not self._kernel.storage_failed:
            index += len(message.entries)
            self._append_new(message.entries)
        commit = min(message.commit, index)
        if commit > self._kernel.commit:
            self._kernel.commit_to(commit)
        self._reply(message, sender, accepted=True, index=index)

    def receive_part(
        self,
        message: protocol.InstallSnapshot,
        sender: str,
    ) -> None:
        """Collect a part of a snapshot; install it once it is complete."""
        if message.header.index <= self._kernel.commit:
            self._reply_part(message, sender, message.total)
            return
        if self._kernel.storage_failed:
            return
        incoming = self._incoming
        if incoming is None or incoming.header != message.header:
            incoming = _Incoming(message.header)
            self._incoming = incoming
        if message.part == len(incoming.parts):
            incoming.parts.append(message.content)
        needed = len(incoming.parts)
        if needed == message.total:
            self._kernel.install(incoming.header, tuple(incoming.parts))
            self._incoming = None
        self._reply_part(message, sender, needed)

    def _matches(self, message: protocol.AppendEntries) -> bool:
        # Committed entries are the same on all replicas, so entries that the
        # snapshot has replaced need no comparison.
        if message.previous_index <= self._kernel.commit:
            return True
        found = self._kernel.log.find_term(message.previous_index)
        return found == message.previous_term

    def _find_hint(self, previous: int) -> int:
        log = self._kernel.log
        if previous > log.last_index:
            return log.last_index + 1
        return max(
            log.find_first_of_term(previous),
            self._kernel.commit + 1,
        )

    def _append_new(self, entries: tuple[stored.Entry, ...]) -> None:
        """Append the entries from the first one that the log lacks."""
        for offset, entry in enumerate(entries):
            if entry.index <= self._kernel.commit:
                continue
            if self._kernel.log.find_term(entry.index) != entry.term:
                self._kernel.append(entries[offset:])
                return

    def _reply(
        self,
        message: protocol.AppendEntries,
        sender: str,
        accepted: bool,
        index: int,
    ) -> None:
        self._kernel.outbox.send(
            sender,
            protocol.AppendReply(
                self._kernel.term,
                self._kernel.identity,
                accepted,
                index,
                not self._kernel.storage_failed,
                message.sent_at,
            ),
        )

    def _reply_part(
        self,
        message: protocol.InstallSnapshot,
        sender: str,
        needed: int,
    ) -> None:
        self._kernel.outbox.send(
            sender,
            protocol.InstallReply(
                self._kernel.term,
                self._kernel.identity,
                message.header.index,
                needed,
                message.sent_at,
            ),
        )
