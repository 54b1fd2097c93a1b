"""Guards against nodes that lose contact with control.

This can happen when all seeds have been removed, when a delayed roster replaces
a newer one, or when a roster lists a process twice.
"""

import random

from shallotwharf.components.replica import configuration
from shallotwharf.components.replica import messages as replica
from shallotwharf.components.roster import finder, messages, registrar
from shallotwharf.core import aggregate, locations
from tests import fakes


class Recorder(aggregate.Aggregate):
    name = 'recorder'
    handlers = {messages.ControlChanged: 'record'}

    def __init__(self):
        self.names = ()

    def start(self, now):
        return []

    def record(self, message, sender, now):
        self.names = message.roster.list_names()
        return []


def build_group(index, *names, learners=()):
    def member(name):
        location = locations.Location('d', 'r', name, 1, 2)
        return configuration.Member(name, f'{name}1', location)

    return replica.GroupChanged(
        index,
        configuration.Configuration(
            tuple(map(member, names)), tuple(map(member, learners))
        ),
    )


def test_newest_roster_is_found_after_all_seeds_are_gone():
    cluster = fakes.Cluster(1)
    recorder = Recorder()
    cluster.start('n', finder.Finder(('a', 'b'), random.Random(1)), recorder)
    for name in ('a', 'c'):
        cluster.start(name, registrar.Registrar())
    for name in ('a', 'c'):
        cluster.processes[name].dispatcher.deliver(build_group(3, 'a', 'c'), '')
    cluster.run_until(lambda: recorder.names == ('a', 'c'), 1000)
    cluster.kill('a')
    cluster.processes['c'].dispatcher.deliver(build_group(5, 'c', 'd'), '')
    cluster.run_until(lambda: recorder.names == ('c', 'd'), 10_000)


def test_late_roster_does_not_replace_a_newer_one():
    recorder = Recorder()
    cluster = fakes.Cluster(1)
    cluster.start('n', finder.Finder(('a',), random.Random(1)), recorder)
    process = messages.Process('x', locations.UNKNOWN, True)
    newer = messages.Roster(9, (process,))
    for roster in (newer, messages.Roster(4, ())):
        cluster.processes['n'].dispatcher.deliver(roster, 'a')
    assert recorder.names == ('x',)


def test_voter_that_lost_its_disk_is_listed_once():
    made = registrar.Registrar()
    made.handle(build_group(1, 'a', 'b', learners=('b',)), '', 0)
    sent = made.handle(messages.AskRoster(), 'n', 0)[0].message
    assert sent.list_names() == ('a', 'b')
    assert [known.name for known in sent.list_voters()] == ['a', 'b']
