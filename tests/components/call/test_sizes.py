"""Guards against large responses that cross regions."""

from shallotwharf.core import calls
from tests.components.call import build


def build_full_region():
    return build.build_router(
        build.build_row('near', spare=0),
        build.build_row('far', 'd9', 'r9', spare=5),
    )


def send(made, size):
    plan = made.plan(calls.Request('GET', '/'))
    plan.start(0)
    chosen = plan._target.announcement.node.name
    plan.resume(calls.Result('answered', '', 200, size=size), 1)
    return chosen


def test_large_responses_stay_within_the_region():
    made = build_full_region()
    assert send(made, 90_000) == 'far'
    assert send(made, 90_000) == 'near'


def test_small_responses_go_where_there_is_room():
    made = build_full_region()
    assert [send(made, 1500) for _ in range(3)] == ['far'] * 3


def test_large_responses_leave_a_region_without_an_upstream():
    made = build.build_router(build.build_row('far', 'd9', 'r9'))
    assert [send(made, 90_000) for _ in range(2)] == ['far'] * 2
