"""Simulated nodes with coordinators, holders and a runner of calls."""

import random

from shallotwharf.components.once import coordinator, holder, messages
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import version
from shallotwharf.core import aggregate, clock, effects
from shallotwharf.core import messages as core_messages
from tests import fakes

NODES = ('h0', 'h1', 'h2', 'h3', 'c0')
LIFETIME_MS = 10 * clock.MINUTE_MS


@core_messages.register('test.once.granted')
class Granted(core_messages.Message):
    __slots__ = ('request', 'expires_at')

    def __init__(self, request: str, expires_at: int) -> None:
        self.request = request
        self.expires_at = expires_at


class Runner(aggregate.Aggregate):
    """Runs a granted call up to 50 ms later, in place of the HTTP layer."""

    name = 'runner'
    handlers = {Granted: 'wait', core_messages.TimerFired: 'run'}

    def __init__(self, world, node):
        self.world = world
        self.node = node
        self.granted = {}

    def start(self, now):
        return []

    def wait(self, message, sender, now):
        self.granted[message.request] = message.expires_at
        delay = self.world.cluster.random.randint(0, 50)
        return [effects.SetTimer(message.request, now + delay)]

    def run(self, message, sender, now):
        call = self.world.calls[message.name]
        outcome, body = messages.OUTCOME_NOT_RUN, b''
        if now < self.granted.pop(message.name) and not call.rejected:
            outcome = messages.OUTCOME_RUN
            body = f'{call.key} at {now}'.encode()
            self.world.runs.setdefault(call.key, []).append((now, body))
        return [
            effects.Publish(
                messages.CallFinished(call.key, outcome, 200, 't', body)
            )
        ]


class Call:
    def __init__(self, key, rejected):
        self.key = key
        self.rejected = rejected


class World:
    """One group of three of the first four nodes; all are coordinators."""

    def __init__(self, seed, fresh=True):
        self.cluster = fakes.Cluster(seed)
        self.random = random.Random(seed)
        self.calls = {}
        self.runs = {}
        self.replies = []
        self.versions = [version.Version(0, version.Tables())]
        self.applied = dict.fromkeys(NODES, 0)
        self.holders = {}
        for name in NODES:
            self.start(name)
        self.add_version(('h0', 'h1', 'h2'), 0)
        for name in NODES:
            self.apply(name)
        self.cluster.run_for(5000)

    def start(self, name):
        offset = self.cluster.clock.read_wall() - self.cluster.clock.read()
        self.holders[name] = holder.Holder(
            name, self.random.getrandbits(63), offset, ()
        )
        runner = Runner(self, name)
        source = random.Random(self.random.random())
        process = self.cluster.start(
            name, coordinator.Coordinator(source), self.holders[name], runner
        )
        process.requests.answer = lambda request, reply: self.answer(
            process, request, reply
        )
        self.deliver_version(name)

    def answer(self, process, request, reply):
        now = self.cluster.clock.read()
        self.replies.append((now, self.calls[request].key, reply))
        if isinstance(reply, messages.CallGranted):
            process.dispatcher.deliver(
                Granted(request, reply.expires_at), process.name
            )

    def add_version(self, members, epoch):
        group = version.HolderGroup(
            'g', tuple(version.Holder(name, '', 1) for name in members), epoch
        )
        number = len(self.versions)
        self.versions.append(
            version.Version(number, version.Tables(), holders=(group,))
        )

    def apply(self, name):
        """Let a node apply the newest version."""
        self.applied[name] = len(self.versions) - 1
        if name in self.cluster.processes:
            self.deliver_version(name)

    def deliver_version(self, name):
        applied = tables_messages.VersionApplied(
            self.versions[self.applied[name]]
        )
        self.cluster._run_on(
            name,
            lambda: self.cluster.processes[name].dispatcher.deliver(
                applied, name
            ),
        )

    def read_group(self):
        return self.versions[-1].holders[0]

    def find_slot(self, name):
        return self.holders[name]._slots.find('g')

    def is_replaceable(self):
        """Return whether control may change a member.

        Control requires a live member that has sealed the current epoch.
        """
        epoch = self.read_group().epoch
        slots = [
            self.find_slot(member.name)
            for member in self.read_group().members
            if member.name in self.cluster.processes
        ]
        return any(
            slot and slot.epoch == epoch and slot.sealed for slot in slots
        )

    def replace(self, old, new):
        members = tuple(
            new if member.name == old else member.name
            for member in self.read_group().members
        )
        self.add_version(members, self.read_group().epoch + 1)

    def build_key(self, offset_ms=0):
        moment = self.cluster.clock.read_wall() + offset_ms
        tail = self.random.getrandbits(62)
        number = moment << 80 | 7 << 76 | 2 << 62 | tail
        text = f'{number:032x}'
        return '-'.join(
            (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
        )

    def call(self, node, key, digest=b'd', rejected=False):
        request = f'r{len(self.calls)}'
        self.calls[request] = Call(key.lower(), rejected)
        begin = messages.BeginCall(
            request, key, digest, self.cluster.clock.read_wall()
        )
        self.cluster._run_on(
            node,
            lambda: self.cluster.processes[node].dispatcher.deliver(
                begin, node
            ),
        )
        return request

    def read_reply(self, key):
        return [reply for _, known, reply in self.replies if known == key][-1]

    def check(self):
        """Check that no call ran twice or late and no reply is wrong."""
        for key, runs in self.runs.items():
            assert len(runs) == 1, f'{key} ran at {[at for at, _ in runs]}'
            offset = self.cluster.clock.read_wall() - self.cluster.clock.read()
            started = (
                runs[0][0] + offset - (int(key.replace('-', ''), 16) >> 80)
            )
            assert started <= LIFETIME_MS, f'{key} ran after its lifetime'
        for at, key, reply in self.replies:
            runs = self.runs.get(key, [])
            if isinstance(reply, messages.CallReplayed):
                assert [reply.body] == [body for _, body in runs]
            outcome = getattr(reply, 'outcome', '')
            if outcome == messages.OUTCOME_NOT_RUN:
                assert all(started > at for started, _ in runs)
