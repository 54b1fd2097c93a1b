"""A group of control processes with real replicas, ledgers and disks.

Everything runs on the fake network; a crash loses data that was not synced.
"""

import random
import uuid

from shallotwharf.adapters import disk
from shallotwharf.components.ledger import ledger
from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.replica import messages, replica
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import pool, version
from shallotwharf.core import aggregate
from tests import fakes, folders

FINAL = (
    ledger_messages.EditAccepted,
    ledger_messages.EditConflict,
    ledger_messages.EditRefused,
)


def build_request_id(at, number):
    """Return the UUIDv7 of a time, unique by its number."""
    return str(uuid.UUID(int=(at << 80) | (7 << 76) | (2 << 62) | number))


def build_tables(label, size=0):
    rows = [pool.Pool('p', label, {'v1': 100})]
    rows.extend(pool.Pool(f'p{row}', label, {'v1': 100}) for row in range(size))
    return version.Tables((), tuple(rows))


class Watcher(aggregate.Aggregate):
    """Compares what a process publishes with what all published before."""

    name = 'watcher'
    handlers = {
        messages.Committed: 'commit',
        messages.LeaderChanged: 'record_leader',
        tables_messages.VersionAccepted: 'accept',
    }

    def __init__(self, group, process):
        self.group = group
        self.process = process
        self.index = 0
        self.leading = False

    def start(self, now):
        return []

    def commit(self, message, sender, now):
        assert message.index > self.index, 'published out of order'
        self.index = message.index
        known = self.group.log.setdefault(message.index, message.command)
        assert known == message.command, 'a committed entry changed'
        return []

    def record_leader(self, message, sender, now):
        self.leading = message.leading
        return []

    def accept(self, message, sender, now):
        number = message.accepted.number
        digest = message.accepted.compute_digest()
        self.group.record_shown(self.process, number)
        known = self.group.digests.setdefault(number, digest)
        assert known == digest, 'two versions with one number'
        return []


class Group:
    """Processes that share a log; `check` must pass after every step."""

    def __init__(self, names, seed=1, snapshot_entries=8):
        self.names = tuple(names)
        self.cluster = fakes.Cluster(seed)
        self.snapshot_entries = snapshot_entries
        self.seed = seed
        self.log = {}
        self.digests = {}
        self.edits = {}
        self.replies = {}
        self.folders = {}
        self.disks = {}
        self.boots = 0
        self.replicas = {}
        self.ledgers = {}
        self.watchers = {}
        self.waiting = {}
        self.shown = {}
        self.requests = 0
        for name in self.names:
            self.start(name)

    @property
    def now(self):
        return self.cluster.clock.read()

    def start(self, name):
        """Start or restart a process with its disk."""
        self._guard(lambda: self._start(name))

    def _start(self, name):
        self.boots += 1
        if name not in self.folders:
            self.disks[name] = self.disks.get(name, 0) + 1
            self.folders[name] = folders.FakeFolder(self.boots)
        storage = disk.DiskStorage(
            self.folders[name],
            f'{name}{self.disks[name]}',
        )
        self.replicas[name] = replica.Replica(
            name,
            self.names,
            storage.recover(),
            random.Random(f'{self.seed}{name}{self.boots}'),
            self.snapshot_entries,
        )
        self.ledgers[name] = ledger.Ledger(snapshot_part_bytes=200)
        self.watchers[name] = Watcher(self, name)
        self.cluster.start(
            name,
            self.replicas[name],
            self.ledgers[name],
            self.watchers[name],
            storage=storage,
        )

    def record_shown(self, name, number):
        """Record the latest version that a process served from its disk.

        With a full disk it serves versions that it cannot store.
        """
        if not self.folders[name].full:
            disk_name = (name, self.disks[name])
            self.shown[disk_name] = max(self.shown.get(disk_name, 0), number)

    def kill(self, name):
        self.collect()
        self.cluster.kill(name)
        self.replicas.pop(name, None)
        self.ledgers.pop(name, None)
        self.folders[name].crash()

    def wipe(self, name):
        """Restart a process with an empty disk."""
        self.kill(name)
        self.folders.pop(name)
        self.start(name)

    def thaw(self, name):
        self._guard(lambda: self.cluster.thaw(name))

    def is_up(self, name):
        return name in self.replicas

    def is_frozen(self, name):
        return self.is_up(name) and self.cluster.processes[name].frozen

    def find_leader(self):
        leading = [
            name
            for name, found in self.replicas.items()
            if not self.is_frozen(name) and found.is_leading(self.now)
        ]
        assert len(leading) <= 1, f'{leading} hold the lease at {self.now}'
        return leading[0] if leading else None

    def run(self, duration_ms, step_ms=50):
        for _ in range(max(duration_ms // step_ms, 1)):
            self._run_step(step_ms)
            self.check()

    def run_until(self, done, limit_ms=20_000):
        ends_at = self.now + limit_ms
        while not done():
            assert self.now < ends_at, f'not done within {limit_ms} ms'
            self.run(50)

    def wait_for_leader(self, limit_ms=20_000):
        self.run_until(self.find_leader, limit_ms)
        return self.find_leader()

    def edit(self, name, base=None, label=None, size=0):
        """Send an edit to a process; return the request id."""
        self.requests += 1
        wall = self.cluster.clock.read_wall()
        request_id = build_request_id(wall, self.requests)
        if base is None:
            base = self.ledgers[name].current.number
        tables = build_tables(label or f's{self.requests}', size)
        self.edits[request_id] = ledger_messages.ApplyEdit(
            request_id,
            f'operator-{self.requests}',
            base,
            tables,
            wall,
        )
        self.resend(name, request_id)
        return request_id

    def resend(self, name, request_id):
        self.boots += 1
        request = f'{request_id}#{self.boots}'
        self.waiting[request] = request_id
        command = self.edits[request_id].replace(
            at=self.cluster.clock.read_wall(),
        )
        proposal = messages.Propose(request, command)
        process = self.cluster.processes[name]
        self._guard(
            lambda: self.cluster._run_on(
                name,
                lambda: process.dispatcher.deliver(proposal, ''),
            ),
        )

    def commit_edit(self, base=None, size=0):
        """Send an edit until it is answered; return the request id."""
        request_id = self.edit(self.wait_for_leader(), base, size=size)
        for _ in range(20):
            self.run(100)
            if request_id in self.replies:
                return request_id
            self.resend(self.wait_for_leader(), request_id)
        raise AssertionError(f'{request_id} got no answer')

    def collect(self):
        """Check that no request id gets an answer unlike its first one."""
        for process in self.cluster.processes.values():
            for request, reply in process.requests.answers.items():
                if isinstance(reply, FINAL):
                    request_id = self.waiting[request]
                    known = self.replies.setdefault(request_id, reply)
                    assert known == reply, 'a request id got two answers'
            process.requests.answers.clear()

    def check(self):
        self.collect()
        self.find_leader()
        for name, found in self.ledgers.items():
            current = found.current
            known = self.digests.get(current.number)
            assert current.number == 0 or known, f'{name}: unknown version'
            shown = self.shown.get((name, self.disks[name]), 0)
            assert current.number >= shown, f'{name} went back from {shown}'

    def calm(self):
        self.cluster.heal()
        self.cluster.loss = self.cluster.duplicate = 0
        self.cluster.delay_ms = (1, 15)

    def recover(self):
        """Clear all faults, wait until all agree and check the answers."""
        self.calm()
        for name in self.names:
            self.folders[name].full = False
            self.folders[name].crash_in = None
            if self.is_frozen(name):
                self.thaw(name)
            if not self.is_up(name):
                self.start(name)
        self.run_until(self._restore_members, 60_000)
        for name in self.names:
            self._check_answers(self.ledgers[name])

    def remove(self, name):
        """Remove a voter by an operator's request, if there is a leader."""
        self._change(messages.RemoveMember('', name))

    def _restore_members(self):
        leader = self.find_leader()
        if leader:
            members = self.replicas[leader].read_status().members
            for name in self.names:
                if not members.has_name(name):
                    self._change(messages.AddMember('', name))
        return self.is_whole()

    def _change(self, change):
        leader = self.find_leader()
        if leader:
            process = self.cluster.processes[leader]
            self._guard(lambda: process.dispatcher.deliver(change, ''))

    def is_whole(self):
        leader = self.find_leader()
        if leader is None:
            return False
        status = self.replicas[leader].read_status()
        disks = {member.identity for member in status.members.voters}
        current = {f'{name}{self.disks[name]}' for name in self.names}
        applied = {found.applied for found in self.ledgers.values()}
        settled = (
            status.commit == status.last_index and not status.members.learners
        )
        return disks == current and settled and len(applied) == 1

    def _check_answers(self, found):
        rows = {row.request_id: row for row in found.list_history()}
        for request_id, reply in self.replies.items():
            assert found.find_outcome(request_id) == reply
            if isinstance(reply, ledger_messages.EditAccepted):
                row = rows[request_id]
                assert (row.number, row.digest) == (reply.number, reply.digest)

    def _run_step(self, step_ms):
        self._guard(lambda: self.cluster.run_for(step_ms))

    def _guard(self, action):
        """Run an action; kill the process whose disk crashed in it."""
        try:
            action()
        except folders.CrashError:
            for name, data in self.folders.items():
                if data.crash_in is not None and data.crash_in < 0:
                    self.kill(name)
