"""Guards against a request that crashes one upstream after another."""

import hypothesis
from hypothesis import strategies

from shallotwharf.components.membership import membership
from shallotwharf.components.poison import messages, poison
from tests import fakes
from tests.components.membership import world

DIGESTS = tuple(bytes([number]) * 32 for number in range(4))
TEN_MINUTES_MS = 600_000


def deliver(poisons, node, crash, digests, now=0):
    message = messages.CrashSeen(node, crash, tuple(digests))
    return poisons.handle(message, node, now)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from('xyz'),
            strategies.sets(strategies.sampled_from(DIGESTS)),
        ),
        max_size=12,
    ),
)
def test_only_digests_of_two_crashed_nodes_are_refused(crashes):
    poisons = poison.PoisonList('x', 1)
    nodes = {digest: set() for digest in DIGESTS}
    for number, (node, digests) in enumerate(crashes):
        deliver(poisons, node, number + 1, sorted(digests))
        for digest in digests:
            nodes[digest].add(node)
    for digest, crashed in nodes.items():
        assert poisons.is_refused(digest, 1) == (len(crashed) >= 2)


def test_refusal_ends_after_ten_minutes():
    poisons = poison.PoisonList('x', 1)
    deliver(poisons, 'y', 1, DIGESTS[:1], 0)
    deliver(poisons, 'z', 1, DIGESTS[:1], 5000)
    end = 5000 + TEN_MINUTES_MS
    assert poisons.is_refused(DIGESTS[0], end - 1)
    assert not poisons.is_refused(DIGESTS[0], end)


def test_crashes_far_apart_do_not_count_together():
    poisons = poison.PoisonList('x', 1)
    deliver(poisons, 'y', 1, DIGESTS[:1], 0)
    deliver(poisons, 'z', 1, DIGESTS[:1], TEN_MINUTES_MS)
    assert not poisons.is_refused(DIGESTS[0], TEN_MINUTES_MS + 1)


def test_digest_that_completed_between_crashes_is_not_refused():
    poisons = poison.PoisonList('x', 1)
    deliver(poisons, 'y', 1, DIGESTS[:2])
    poisons.mark_completed(DIGESTS[1])
    deliver(poisons, 'z', 1, DIGESTS[:2])
    assert poisons.is_refused(DIGESTS[0], 1)
    assert not poisons.is_refused(DIGESTS[1], 1)


def test_list_is_bounded_and_keeps_the_latest_digests():
    poisons = poison.PoisonList('x', 1)
    for number in range(5000):
        digest = number.to_bytes(32, 'big')
        deliver(poisons, 'y', number + 1, [digest])
        deliver(poisons, 'z', number + 1, [digest])
    assert poisons.is_refused((4999).to_bytes(32, 'big'), 1)
    assert not poisons.is_refused(bytes(32), 1)


def test_crashes_are_broadcast_to_all_nodes_of_the_data_centre():
    cluster = fakes.Cluster(1)
    names = [f'a{number:02}' for number in range(8)]
    lists = {name: poison.PoisonList(name, 1) for name in names}
    for name in names:
        node = membership.Membership(
            world.build_member(name), 1, (names[0],), cluster.random
        )
        cluster.start(name, node, lists[name])
    cluster.run_for(8000)
    cluster.loss = 0.2
    for name in names[:2]:
        message = messages.CrashSeen(name, 1, DIGESTS[:1])
        cluster.processes[name].dispatcher.deliver(message, name)
    cluster.run_until(
        lambda: all(
            lists[name].is_refused(DIGESTS[0], cluster.clock.read())
            for name in names
        ),
        3000,
    )


def test_digest_that_completed_before_crashes_is_not_refused():
    """Identical look-ups without parameters may run during every crash."""
    poisons = poison.PoisonList('x', 1)
    poisons.mark_completed(DIGESTS[0])
    deliver(poisons, 'y', 1, DIGESTS[:2])
    deliver(poisons, 'z', 1, DIGESTS[:2])
    assert not poisons.is_refused(DIGESTS[0], 1)
    assert poisons.is_refused(DIGESTS[1], 1)
