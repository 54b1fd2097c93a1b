"""Guards against a node that applies an older version, or not the newest.

Random faults affect control, relays, nodes and the network. `World` checks
each applied version and each summary during the run. At the end all faults are
removed, and all nodes must have the newest version within 3 s (I1, I2, I3,
I10).
"""

import hypothesis
from hypothesis import stateful, strategies

from tests.components.delivery import world as worlds

CONVERGENCE_MS = 3000
# Reports arrive within two heartbeats of nodes and relays, with the timestamps
# that prove their age.
SUMMARY_MS = 8000
DATACENTRES = ('a', 'b')


class Machine(stateful.RuleBasedStateMachine):
    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def begin(self, seed):
        self.world = worlds.World(seed)
        self.world.run(2500)

    @stateful.rule(count=strategies.integers(1, 40))
    def commit(self, count):
        for _ in range(count):
            self.world.commit()

    @stateful.rule(duration_ms=strategies.sampled_from([50, 300, 2000, 12000]))
    def run(self, duration_ms):
        self.world.run(duration_ms)

    @stateful.rule(data=strategies.data())
    def kill(self, data):
        for name in data.draw(groups(self.world)):
            self.world.kill(name)

    @stateful.rule(data=strategies.data())
    def restart(self, data):
        for name in data.draw(groups(self.world)):
            self.world.restart(name)

    @stateful.rule()
    def restart_all_that_are_dead(self):
        self.world.restart_stopped()

    @stateful.rule(data=strategies.data())
    def freeze(self, data):
        for name in data.draw(groups(self.world)):
            if self.world.is_up(name):
                self.world.freeze(name)

    @stateful.rule()
    def thaw_all(self):
        self.world.thaw_all()

    @stateful.rule(datacentre=strategies.sampled_from(DATACENTRES))
    def cut_datacentre(self, datacentre):
        inside = self.world.list_inside(datacentre)
        self.world.cluster.cut(inside, self.world.list_others(inside))

    @stateful.rule(index=strategies.integers(0, 4))
    def cut_control(self, index):
        process = self.world.control[index]
        inside = self.world.list_inside(process.datacentre)
        self.world.cluster.cut([process.name], self.world.list_others(inside))

    @stateful.rule(data=strategies.data())
    def starve(self, data):
        for names in data.draw(strategies.lists(groups(self.world))):
            self.world.withhold_versions(names)

    @stateful.rule()
    def heal(self):
        self.world.cluster.heal()
        self.world.cluster.withheld.clear()

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.05, 0.3]),
        duplicate=strategies.sampled_from([0.0, 0.2]),
        longest_ms=strategies.sampled_from([15, 200, 2000]),
    )
    def disturb(self, loss, duplicate, longest_ms):
        self.world.cluster.loss = loss
        self.world.cluster.duplicate = duplicate
        self.world.cluster.delay_ms = (1, longest_ms)

    def teardown(self):
        if not hasattr(self, 'world'):
            return
        self.world.remove_faults()
        # The last version may be known only to a leader that has stopped.
        self.world.run_until(lambda: self.world.commit(), 3000)
        self.world.run_until(self.world.is_everywhere, CONVERGENCE_MS)
        self.world.run_until(self.world.is_reported_everywhere, SUMMARY_MS)


def groups(world):
    relays = {f'relays-{name}': world.list_relays(name) for name in DATACENTRES}
    nodes = {f'nodes-{name}': world.list_nodes(name) for name in DATACENTRES}
    single = {name: [name] for name in world.list_all()}
    control = {'control': [process.name for process in world.control]}
    choices = {**relays, **nodes, **single, **control}
    return strategies.sampled_from(list(choices.values()))


TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(
    max_examples=30,
    stateful_step_count=20,
    suppress_health_check=list(hypothesis.HealthCheck),
)
