"""Guards against transfers that a node starts again although they progress."""

import random

from shallotwharf.components.delivery import const, messages, source


def build_source(voters):
    chosen = source.Source(random.Random(1))
    chosen.set_control(dict.fromkeys(voters, 0), 0)
    return chosen


def state(chosen, sender, number, now):
    status = messages.FeedStatus(number, True, now, 0, True, 1)
    chosen.receive_status(sender, status, 0, now)


def test_watched_processes_and_source_intersect_each_majority():
    for size in range(1, 8):
        voters = [f'c{index}' for index in range(size)]
        chosen = build_source(voters)
        known = {chosen.name, *chosen.watched}
        assert len(known) == 1 + len(chosen.watched)
        assert size - len(known) < size // 2 + 1


def test_version_that_does_not_arrive_is_requested_at_growing_intervals():
    voters = ('c1', 'c2', 'c3')
    chosen = build_source(voters)
    left_at = []
    for now in range(0, 5000, 50):
        for voter in voters:
            state(chosen, voter, 1, now)
        if chosen.replace_unusable(0, now):
            left_at.append(now)
    assert left_at[0] == const.LAG_TIMEOUT_MS
    assert len(left_at) <= 4


def test_source_that_delivers_parts_is_kept():
    chosen = build_source(('c1', 'c2', 'c3'))
    for now in range(0, 5000, 50):
        for voter in ('c1', 'c2', 'c3'):
            state(chosen, voter, 1, now)
        if now % 250 == 0:
            chosen.record_part(now)
        assert not chosen.replace_unusable(0, now)
