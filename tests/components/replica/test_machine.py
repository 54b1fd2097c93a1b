"""Guards against faults of the log that only combinations bring out.

Real replicas, ledgers and disks on a network with delay, loss, duplicates,
reordering and cuts; processes freeze, stop, restart and lose disks. After
each step `Group.check` compares what was published and answered.
"""

import hypothesis
from hypothesis import stateful, strategies

from tests.components.replica import groups

SECOND_MS = 1000
PICK = strategies.integers(0, 10**6)


class GroupMachine(stateful.RuleBasedStateMachine):
    names = 'abc'

    @stateful.initialize(seed=strategies.integers(0, 10**9))
    def begin(self, seed):
        self.group = groups.Group(self.names, seed)
        self.group.wait_for_leader()
        self.lost = 0

    def pick(self, number):
        return self.group.names[number % len(self.group.names)]

    @stateful.rule(duration=strategies.sampled_from((50, 300, 1200, 4000)))
    def run(self, duration):
        self.group.run(duration)

    @stateful.rule(number=PICK, stale=strategies.integers(0, 2))
    def edit(self, number, stale):
        name = self.group.find_leader() or self.pick(number)
        if self.group.is_up(name):
            base = self.group.ledgers[name].current.number
            self.group.edit(name, max(base - stale, 0))

    @stateful.rule(number=PICK, other=PICK)
    def resend(self, number, other):
        sent = list(self.group.edits)
        name = self.group.find_leader() or self.pick(other)
        if sent and self.group.is_up(name):
            self.group.resend(name, sent[number % len(sent)])

    @stateful.rule(number=PICK)
    def cut_leader(self, number):
        leader = self.group.find_leader() or self.pick(number)
        self.group.cluster.cut([leader], set(self.group.names) - {leader})

    @stateful.rule(mask=strategies.integers(1, 30))
    def cut(self, mask):
        names = self.group.names
        left = [n for place, n in enumerate(names) if mask >> place & 1]
        self.group.cluster.cut(left, set(names) - set(left))

    @stateful.rule()
    def heal(self):
        self.group.cluster.heal()

    @stateful.rule(
        loss=strategies.sampled_from((0, 0.1, 0.4)),
        duplicate=strategies.sampled_from((0, 0.2)),
        delay=strategies.sampled_from(((1, 15), (1, 200), (12, 13))),
    )
    def disturb(self, loss, duplicate, delay):
        self.group.cluster.loss = loss
        self.group.cluster.duplicate = duplicate
        self.group.cluster.delay_ms = delay

    @stateful.rule(number=PICK)
    def freeze(self, number):
        if self.group.is_up(self.pick(number)):
            self.group.cluster.freeze(self.pick(number))

    @stateful.rule(number=PICK)
    def thaw(self, number):
        if self.group.is_frozen(self.pick(number)):
            self.group.thaw(self.pick(number))
            self.group.check()

    @stateful.rule(number=PICK)
    def kill(self, number):
        if self.group.is_up(self.pick(number)):
            self.group.kill(self.pick(number))

    @stateful.rule(number=PICK, operations=strategies.integers(0, 8))
    def crash_in_store(self, number, operations):
        self.group.folders[self.pick(number)].crash_in = operations

    @stateful.rule(number=PICK)
    def restart(self, number):
        if not self.group.is_up(self.pick(number)):
            self.group.start(self.pick(number))

    @stateful.rule(number=PICK, full=strategies.booleans())
    def fill(self, number, full):
        self.group.folders[self.pick(number)].full = full

    @stateful.rule(number=PICK)
    def wipe(self, number):
        # More disks than a minority at once are beyond repair.
        if self.group.is_whole():
            self.lost = 0
        if self.lost < (len(self.group.names) - 1) // 2:
            self.lost += 1
            self.group.wipe(self.pick(number))

    @stateful.rule()
    def repair(self):
        self.group.recover()

    @stateful.invariant()
    def check(self):
        if hasattr(self, 'group'):
            self.group.check()

    def teardown(self):
        if hasattr(self, 'group'):
            self.group.recover()


class LargeGroupMachine(GroupMachine):
    names = 'abcde'


TestThree = GroupMachine.TestCase
TestThree.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
)
TestFive = LargeGroupMachine.TestCase
TestFive.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=40,
)
