"""Guards against stale views of a target's load or recovery."""

import pytest

from shallotwharf.core import calls
from tests.components.call import build


def list_target(made):
    return made.directory.list_targets('s')[0]


def test_load_is_updated_without_a_new_generation():
    made = build.build_router(build.build_row('a', spare=5))
    build.announce(made, build.build_row('a', spare=1))
    assert list_target(made).estimate_spare(0) == 1


def test_new_announcement_ends_the_avoidance_of_a_node():
    made = build.build_router(build.build_row('a'))
    plan = made.plan(calls.Request('POST', '/cut'))
    plan.start(0)
    plan.resume(calls.Result(calls.OUTCOME_UNREACHED), 0)
    assert list_target(made).avoid_until > 0
    build.announce(made, build.build_row('a', generation=2))
    assert list_target(made).avoid_until == 0


def test_spare_slots_of_a_response_override_older_gossip():
    made = build.build_router(build.build_row('a', spare=5))
    plan = made.plan(calls.Request('GET', '/'))
    plan.start(0)
    plan.resume(calls.Result('answered', '', 200, spare=2), 10)
    build.announce(made, build.build_row('a', spare=9))
    assert list_target(made).estimate_spare(0) == 2


def test_spare_slots_of_the_local_gate_override_the_announcement():
    spare = 0
    made = build.build_router(
        build.build_row('own', spare=9), build.build_row('b', spare=1)
    )
    made._count_local_spare = lambda now: spare
    plan = made.plan(calls.Request('GET', '/'))
    plan.start(0)
    assert plan._target.announcement.node.name == 'b'
    spare = 3
    again = made.plan(calls.Request('GET', '/'))
    assert isinstance(again.start(0), calls.Enter)
    assert again._target.estimate_spare(0) == 2


def test_estimated_spare_slots_never_exceed_the_slots():
    made = build.build_router(build.build_row('a', spare=10))
    plan = made.plan(calls.Request('GET', '/'))
    plan.start(0)
    build.announce(made, build.build_row('a', spare=10, generation=2))
    plan.resume(calls.Result('answered', '', 200), 1)
    assert list_target(made).estimate_spare(0) == 10


def test_node_that_times_out_is_avoided_for_a_while():
    made = build.build_router(build.build_row('a'), build.build_row('b'))
    plan = made.plan(calls.Request('GET', '/'))
    plan.start(0)
    frozen = plan._target
    plan.resume(calls.Result(calls.OUTCOME_LATE), 1000)
    for _ in range(5):
        again = made.plan(calls.Request('GET', '/'))
        again.start(1000)
        assert again._target is not frozen


def find_chosen(made, now):
    plan = made.plan(calls.Request('GET', '/'))
    plan.start(now)
    chosen = plan._target.announcement.node.name
    plan.cancel(now)
    return chosen


def end_calls(made, count, ended, now=0):
    for _ in range(count):
        plan = made.plan(calls.Request('POST', '/cut'))
        plan.start(now)
        plan.resume(ended, now)


@pytest.mark.parametrize(
    'failure',
    [
        calls.Result(calls.OUTCOME_REFUSED, calls.REASON_UPSTREAM_FULL),
        calls.Result(calls.OUTCOME_CLOSED),
        calls.Result(calls.OUTCOME_ANSWERED, '', 500),
    ],
)
def test_distant_targets_are_preferred_to_one_that_fails_often(failure):
    near = build.build_row('near')
    made = build.build_router(near, build.build_row('far', 'd2', 'r2'))
    end_calls(made, 1, failure)
    assert find_chosen(made, 100) == 'near'
    end_calls(made, 2, failure, 100)
    assert find_chosen(made, 200) == 'far'
    # The failure rate decays, so the target gets attempts again.
    assert find_chosen(made, 9000) == 'near'


def test_targets_that_all_fail_are_chosen_as_if_none_did():
    made = build.build_router(
        build.build_row('near'), build.build_row('far', 'd2', 'r2')
    )
    for _ in range(20):
        end_calls(made, 1, calls.Result(calls.OUTCOME_CLOSED))
    assert find_chosen(made, 100) == 'near'


def test_lack_of_room_does_not_count_as_a_failure():
    made = build.build_router(
        build.build_row('near'), build.build_row('far', 'd2', 'r2')
    )
    full = calls.Result(calls.OUTCOME_REFUSED, 'slots_full')
    end_calls(made, 20, full)
    assert find_chosen(made, 100) == 'near'


def test_target_that_was_full_is_tried_again_before_its_load_is_announced():
    made = build.build_router(
        build.build_row('near'), build.build_row('far', 'd2', 'r2')
    )
    plan = made.plan(calls.Request('GET', '/'))
    plan.start(0)
    plan.resume(calls.Result(calls.OUTCOME_ANSWERED, '', 200, spare=0), 10)
    assert find_chosen(made, 50) == 'far'
    trial = made.plan(calls.Request('GET', '/'))
    trial.start(120)
    assert trial._target.announcement.node.name == 'near'
    # Only one attempt at a time tests a target that was full.
    assert find_chosen(made, 120) == 'far'


@pytest.mark.parametrize(('region', 'most'), [('r1', 100), ('r9', 50)])
def test_full_targets_of_other_regions_are_tried_less_often(region, most):
    """Guards against an overloaded service that is asked across regions.

    The load: one target that stays full for 10 s, and calls all the time.
    """
    made = build.build_router(build.build_row('only', 'd9', region, spare=0))
    full = calls.Result(calls.OUTCOME_REFUSED, 'slots_full', spare=0)
    target = made.directory.find_target('only')
    tried = 0
    for now in range(0, 10_000, 10):
        if target.estimate_spare(now) > 0:
            plan = made.plan(calls.Request('GET', '/'))
            plan.start(now)
            plan.resume(full, now)
            tried += 1
    assert most / 2 < tried <= most
    # Room that it has again is used at once.
    plan = made.plan(calls.Request('GET', '/'))
    plan.start(10_000)
    plan.resume(calls.Result(calls.OUTCOME_ANSWERED, '', 200, spare=4), 10_000)
    assert target.estimate_spare(10_001) == 4


@pytest.mark.parametrize(
    ('incarnation', 'generation', 'is_used'),
    # Another load of the same start; after a restart of the node; a later
    # start; a node of an earlier release.
    [('i1/5', 1, False), ('i1/5', 9, False), ('i1/6', 9, True), ('', 9, True)],
)
def test_upstream_that_stated_that_it_leaves_is_not_used_again(
    incarnation, generation, is_used
):
    row = build.build_row('a', incarnation='i1/5')
    made = build.build_router(row)
    plan = made.plan(calls.Request('GET', '/'))
    plan.start(0)
    plan.resume(calls.Result('answered', '', 200, leaving='i1/5'), 10)
    build.announce(
        made,
        build.build_row(
            'a', spare=4, incarnation=incarnation, generation=generation
        ),
    )
    step = made.plan(calls.Request('GET', '/')).start(20)
    assert isinstance(step, calls.Forward) == is_used
    if not is_used:
        assert (step.status, step.not_run) == (503, True)
