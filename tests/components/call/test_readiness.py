"""Guards against a node that reports ready before it knows any upstream."""

from shallotwharf.components.call import const
from tests.components.call import build


def test_node_is_ready_once_it_has_a_version_and_upstreams():
    empty = build.build_router(applied=build.version.EMPTY)
    assert not empty.is_ready(10_000)
    made = build.build_router()
    assert not made.is_ready(0)
    build.announce(made, build.build_row('a'))
    assert made.is_ready(0)


def test_pool_without_upstreams_delays_readiness_until_the_timeout_only():
    made = build.build_router()
    assert made.is_ready(const.READY_TIMEOUT_MS)
