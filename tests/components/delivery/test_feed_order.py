"""Guards against a control process that states what it has not applied."""

import random

from shallotwharf.components.delivery import feed
from shallotwharf.components.delivery import messages as delivery_messages
from shallotwharf.components.ledger import ledger
from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import version
from shallotwharf.core import aggregate, effects, messages
from tests import fakes

VOTERS = [
    delivery_messages.ControlProcess(name, name, 'r') for name in ('a', 'b')
]


class Log(aggregate.Aggregate):
    """Commits an entry of an earlier term and leads, in one step."""

    name = 'log'
    handlers = {messages.TimerFired: 'lead'}

    def start(self, now):
        return [effects.SetTimer('lead', now + 100)]

    def lead(self, message, sender, now):
        order = ledger_messages.ApplyRevision(
            'operator', 0, version.Tables(revision=1), b'', b'd' * 32, now
        )
        return [
            effects.Publish(replica_messages.Committed(1, order, '')),
            effects.Publish(replica_messages.LeaderChanged('a', True)),
        ]


class Progress(aggregate.Aggregate):
    name = 'progress'
    handlers = {delivery_messages.PeerProgress: 'receive'}

    def __init__(self):
        self.led = []

    def start(self, now):
        return []

    def receive(self, message, sender, now):
        if message.leading:
            self.led.append(message.number)
        return []


def test_leader_states_no_number_below_what_it_has_committed():
    """Guards against followers that answer nodes with an outdated floor."""
    cluster = fakes.Cluster(1)
    progress = Progress()
    cluster.start('b', progress)
    fed = feed.Feed(VOTERS[0], VOTERS, ('a',), random.Random(1))
    cluster.start('a', Log(), ledger.Ledger(), fed)
    cluster.run_for(1000)
    assert progress.led
    assert set(progress.led) == {1}
