"""Replicated entries of the membership, last writer wins.

Entries may arrive in any order and more than once; all nodes that received
the same entries hold the same state.
"""

import typing
import zlib
from collections import abc

from shallotwharf.components.membership import broadcasts, const, messages, wire
from shallotwharf.core import records

Key: typing.TypeAlias = tuple[str, str]


class EntryStore:
    """Members, announcements and loads of all data centres, by node name.

    Also holds broadcasts, and the last heartbeat of each data centre.
    """

    __slots__ = (
        'states',
        'broadcasts',
        '_announcements',
        '_loads',
        '_announcements_with_load',
        '_heartbeats',
        '_ended_at',
        '_first_seen_at',
    )

    def __init__(self) -> None:
        self.states: dict[str, wire.MemberState] = {}
        self.broadcasts = broadcasts.Broadcasts()
        self._announcements: dict[str, messages.Announcement] = {}
        self._loads: dict[str, wire.Load] = {}
        # Announcements with the latest load, kept up to date here so that
        # `list_announcements` need not combine them.
        self._announcements_with_load: dict[str, messages.Announcement] = {}
        # Number and time of receipt of the last heartbeat of a data centre.
        self._heartbeats: dict[str, tuple[int, int]] = {}
        # Time at which a member was first seen as dead or departed.
        self._ended_at: dict[str, int] = {}
        # Time at which a data centre was first seen.
        self._first_seen_at: dict[str, int] = {}

    def merge(self, batch: wire.Batch, now: int) -> list[Key]:
        """Apply entries; return the keys of those that were newer."""
        return [
            *self._merge_members(batch, now),
            *(
                (const.KIND_LOAD, load.node)
                for load in batch.loads
                if self.apply_load(load)
            ),
            *(
                (const.KIND_BROADCAST, broadcast.key)
                for broadcast in batch.broadcasts
                if self.broadcasts.accept(broadcast, now)
            ),
            *(
                (const.KIND_HEARTBEAT, heartbeat.datacentre)
                for heartbeat in batch.heartbeats
                if self.apply_heartbeat(heartbeat, now)
            ),
        ]

    def apply_state(self, state: wire.MemberState, now: int) -> bool:
        """Store a state if it is newer; return whether it was."""
        name = state.member.name
        current = self.states.get(name)
        if current is not None and not state.is_newer(current):
            return False
        self.states[name] = state
        self._first_seen_at.setdefault(state.member.datacentre, now)
        if state.is_live():
            self._ended_at.pop(name, None)
        else:
            self._ended_at.setdefault(name, now)
        return True

    def apply_announcement(self, announcement: messages.Announcement) -> bool:
        """Store an announcement if it is newer; return whether it was."""
        current = self._announcements.get(announcement.node.name)
        if (
            current is not None
            and current.generation >= announcement.generation
        ):
            return False
        self._announcements[announcement.node.name] = announcement
        self._merge_load(announcement.node.name)
        return True

    def apply_load(self, load: wire.Load) -> bool:
        """Store a load if it is newer; return whether it was."""
        current = self._loads.get(load.node)
        if current is not None and current.number >= load.number:
            return False
        self._loads[load.node] = load
        self._merge_load(load.node)
        return True

    def apply_heartbeat(self, heartbeat: wire.Heartbeat, now: int) -> bool:
        """Store a heartbeat if its number is higher; return whether it was."""
        number, _ = self._heartbeats.get(heartbeat.datacentre, (0, 0))
        if heartbeat.number <= number:
            return False
        self._heartbeats[heartbeat.datacentre] = (heartbeat.number, now)
        return True

    def read_entry(self, key: Key, now: int) -> records.Record | None:
        """Return the entry of a key as it is sent to peers."""
        kind, name = key
        if kind == const.KIND_BROADCAST:
            return self.broadcasts.read(name, now)
        if kind == const.KIND_HEARTBEAT:
            return wire.Heartbeat(name, self._heartbeats[name][0])
        registers: dict[str, abc.Mapping[str, records.Record]] = {
            const.KIND_STATE: self.states,
            const.KIND_ANNOUNCEMENT: self._announcements,
            const.KIND_LOAD: self._loads,
        }
        return registers[kind].get(name)

    def read_announcement(self, name: str) -> messages.Announcement | None:
        """Return the announcement of a node, without later changes of load."""
        return self._announcements.get(name)

    def read_load(self, name: str) -> wire.Load | None:
        """Return the latest load of a node."""
        return self._loads.get(name)

    def read_heartbeat(self, datacentre: str) -> tuple[int, int]:
        """Return number and time of the last heartbeat; (0, 0) if none."""
        return self._heartbeats.get(datacentre, (0, 0))

    def list_live(self, datacentre: str) -> tuple[messages.Member, ...]:
        """Return the live members of a data centre, ordered by name."""
        live = [
            state.member
            for state in self.states.values()
            if state.is_live() and state.member.datacentre == datacentre
        ]
        return tuple(sorted(live, key=_read_name))

    def list_ended(self, datacentre: str) -> list[str]:
        """Return names of the dead and departed members of a data centre."""
        return [
            name
            for name in self._ended_at
            if self.states[name].member.datacentre == datacentre
        ]

    def list_announcements(self) -> tuple[messages.Announcement, ...]:
        """Return announcements of live nodes with their latest load."""
        return tuple(
            announcement
            for name, announcement in sorted(
                self._announcements_with_load.items()
            )
            if self._is_listed(name, announcement)
        )

    def list_stale(self, local_datacentre: str, now: int) -> tuple[str, ...]:
        """Return other data centres without a heartbeat for `STALE_MS`."""
        return tuple(
            datacentre
            for datacentre, first_seen_at in sorted(self._first_seen_at.items())
            if datacentre != local_datacentre
            and now - max(first_seen_at, self.read_heartbeat(datacentre)[1])
            > const.STALE_MS
        )

    def list_datacentres(self) -> list[str]:
        """Return the data centres of all members seen so far."""
        return sorted(self._first_seen_at)

    def purge_expired(self, now: int) -> None:
        """Drop expired broadcasts, and ended members after `TOMBSTONE_MS`.

        An earlier removal would let a late message bring a member back.
        """
        self.broadcasts.purge_expired(now)
        for name, ended_at in list(self._ended_at.items()):
            if now - ended_at > const.TOMBSTONE_MS:
                self._ended_at.pop(name)
                self.states.pop(name)
                self._announcements.pop(name, None)
                self._announcements_with_load.pop(name, None)
                self._loads.pop(name, None)

    def compute_digests(self) -> abc.Mapping[str, int]:
        """Return a digest of the live entries of each data centre.

        Spare slots and suspicions are left out because they change often. The
        digest of the broadcasts is under the empty name.
        """
        digests: dict[str, int] = {}
        for name, state in self.states.items():
            if state.is_live():
                announcement = self._announcements.get(name)
                generation = announcement.generation if announcement else 0
                line = f'{name} {state.run} {generation}'.encode()
                datacentre = state.member.datacentre
                digests[datacentre] = digests.get(datacentre, 0) ^ zlib.crc32(
                    line,
                )
        digests[''] = self.broadcasts.compute_digest()
        return digests

    def export(
        self,
        datacentres: abc.Container[str],
        now: int,
    ) -> list[wire.Batch]:
        """Return the entries of data centres in batches of bounded size.

        The empty name stands for the broadcasts.
        """
        names = [
            name
            for name, state in self.states.items()
            if state.member.datacentre in datacentres
        ]
        batches = [
            self._export_members(
                names[start : start + const.MAX_SNAPSHOT_MEMBERS]
            )
            for start in range(0, len(names), const.MAX_SNAPSHOT_MEMBERS)
        ]
        if '' in datacentres:
            batches.append(wire.Batch(broadcasts=self.broadcasts.read_all(now)))
        return batches

    def _merge_members(self, batch: wire.Batch, now: int) -> list[Key]:
        return [
            *(
                (const.KIND_STATE, state.member.name)
                for state in batch.states
                if self.apply_state(state, now)
            ),
            *(
                (const.KIND_ANNOUNCEMENT, announcement.node.name)
                for announcement in batch.announcements
                if self.apply_announcement(announcement)
            ),
        ]

    def _export_members(self, names: list[str]) -> wire.Batch:
        return wire.Batch(
            states=tuple(self.states[name] for name in names),
            announcements=_pick(self._announcements, names),
            loads=_pick(self._loads, names),
        )

    def _is_listed(
        self,
        name: str,
        announcement: messages.Announcement,
    ) -> bool:
        # An announcement of an earlier run need not match the upstream that
        # the restarted node found.
        state = self.states.get(name)
        return (
            state is not None
            and state.is_live()
            and announcement.generation >= state.run
            and announcement.state != messages.UPSTREAM_GONE
        )

    def _merge_load(self, name: str) -> None:
        announcement = self._announcements.get(name)
        load = self._loads.get(name)
        if announcement is None:
            return
        if load is not None:
            announcement = announcement.replace(
                spare=load.spare, condition=load.condition
            )
        self._announcements_with_load[name] = announcement


Entry = typing.TypeVar('Entry')


def _pick(
    register: abc.Mapping[str, Entry],
    names: list[str],
) -> tuple[Entry, ...]:
    return tuple(register[name] for name in names if name in register)


def _read_name(member: messages.Member) -> str:
    return member.name
