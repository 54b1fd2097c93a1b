"""Guards against a log that does not commit, or answers without a lease."""

import random

from shallotwharf.components.replica import messages, replica
from shallotwharf.core import aggregate, effects, storage
from tests import fakes


class Listener(aggregate.Aggregate):
    name = 'listener'
    handlers = {messages.Committed: 'commit', messages.LeaderChanged: 'note'}

    def __init__(self):
        self.seen = []
        self.leaders = []

    def start(self, now):
        return []

    def commit(self, message, sender, now):
        self.seen.append((message.index, message.command))
        return [effects.Answer(message.request, message.command)]

    def note(self, message, sender, now):
        self.leaders.append(message)
        return []


def start_group(names):
    cluster = fakes.Cluster(1)
    replicas, listeners = {}, {}
    for name in names:
        recovered = storage.Recovered(f'disk-{name}')
        source = random.Random(name)
        listeners[name] = Listener()
        replicas[name] = replica.Replica(name, names, recovered, source)
        cluster.start(name, replicas[name], listeners[name])
    return cluster, replicas, listeners


def find_leader(cluster, replicas):
    now = cluster.clock.read()
    leading = [n for n, r in replicas.items() if r.is_leading(now)]
    return leading[0] if leading else None


def propose(cluster, name, request):
    command = messages.NotLeader(request)
    cluster.processes[name].dispatcher.deliver(
        messages.Propose(request, command),
        '',
    )


def test_single_voter_commits_at_once():
    cluster, replicas, listeners = start_group(('a',))
    assert find_leader(cluster, replicas) == 'a'
    propose(cluster, 'a', 'r1')
    assert cluster.processes['a'].requests.answers.keys() == {'r1'}
    assert listeners['a'].leaders[-1] == messages.LeaderChanged('a', True)


def test_three_voters_commit_on_all():
    cluster, replicas, listeners = start_group(('a', 'b', 'c'))
    cluster.run_until(lambda: find_leader(cluster, replicas), 5000)
    leader = find_leader(cluster, replicas)
    for number in range(100):
        propose(cluster, leader, f'r{number}')
    answers = cluster.processes[leader].requests.answers
    cluster.run_until(lambda: len(answers) == 100, 1000)
    cluster.run_for(500)
    assert len(listeners['a'].seen) == 100
    assert listeners['a'].seen == listeners['b'].seen == listeners['c'].seen


def test_follower_names_the_leader():
    cluster, replicas, _ = start_group(('a', 'b', 'c'))
    cluster.run_until(lambda: find_leader(cluster, replicas), 5000)
    leader = find_leader(cluster, replicas)
    follower = next(name for name in replicas if name != leader)
    propose(cluster, follower, 'r1')
    answers = cluster.processes[follower].requests.answers
    assert answers == {'r1': messages.NotLeader(leader)}
