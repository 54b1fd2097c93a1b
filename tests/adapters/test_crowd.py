"""Guards against connections that are closed too early or too late."""

import pytest

from shallotwharf.adapters import crowd, limits, message_memory
from shallotwharf.core import counters


class Connection(crowd.Member):
    def __init__(self, idle_since, idle=True, busy=False):
        self.idle_since = idle_since
        self.idle = idle
        self.busy = busy
        self.closed = False
        self.aborted = False
        self.read = 0
        self.unread = 0

    def is_idle(self):
        return self.idle

    def is_busy(self):
        return self.busy

    def measure_responses(self):
        return self.read, self.unread

    def abort(self):
        self.aborted = True

    def close(self):
        self.closed = True


@pytest.fixture
def server_limits():
    found = limits.ServerLimits(1000, is_public=True)
    found.max_connections = 2
    found.apply(idle_timeout_ms=15_000)
    return found


def build(server_limits, memory=None):
    return crowd.Crowd(
        server_limits,
        counters.Counters(),
        memory or message_memory.RequestMemory(),
    )


@pytest.mark.parametrize(
    ('rows', 'expected'),
    [
        ([(1,), (2,), (3,)], [0]),
        ([(1, False), (2,), (3,)], [1]),
        ([(2, False), (1, False), (3, False)], [1]),
        ([(1, False, True), (2, False, True), (3, False, False)], [2]),
        ([(1, False, True), (2, False, True), (3, False, True)], [2]),
        # A connection is idle when it is opened.
        ([(1, False), (2, False), (3,)], [0]),
        ([(1, False, True), (2, False), (3,)], [1]),
        ([(1, False, True), (2, False, True), (3,)], [2]),
        ([(1,), (2,)], []),
    ],
)
def test_connection_without_progress_gives_way(server_limits, rows, expected):
    members = [Connection(*row) for row in rows]
    found = build(server_limits)
    for member in members:
        found.add(member)
    closed = [n for n, member in enumerate(members) if member.closed]
    assert closed == expected


def test_idle_connection_is_closed_after_its_time_only(server_limits):
    member, busy = Connection(10), Connection(10, idle=False)
    found = build(server_limits)
    found.add(member)
    found.add(busy)
    found.sweep(25)
    assert not member.closed
    found.sweep(25.1)
    assert member.closed and not busy.closed


@pytest.mark.parametrize(
    ('held', 'reads', 'expected'),
    [
        (0, [(0, 0), (15, 0)], False),
        (0, [(0, 0), (15.1, 16_383)], True),
        (0, [(0, 0), (15, 16_384), (30, 16_384)], False),
        (0, [(0, 0), (15, 16_384), (30.1, 32_767)], True),
        (600, [(0, 0), (2.1, 100)], True),
        (600, [(0, 0), (2, 16_384), (4, 32_768)], False),
    ],
)
def test_responses_that_are_not_read_are_bounded(
    server_limits, held, reads, expected
):
    """Guards against callers that keep the memory without a time limit."""
    memory = message_memory.RequestMemory()
    memory.limit_bytes = 1000
    memory.hold(held)
    found = build(server_limits, memory)
    member = Connection(0, idle=False, busy=True)
    found.add(member)
    for now, count in reads:
        member.read, member.unread = count, 1000
        found.sweep(now)
    assert member.aborted is expected


@pytest.mark.parametrize(
    ('limit', 'sizes', 'expected'),
    [
        (5, [3, 2], [0, 0]),
        (4, [3, 2], [1, 0]),
        (4, [2, 3], [0, 1]),
        (1, [3, 0], [2, 0]),
    ],
)
def test_port_with_most_connections_gives_way(limit, sizes, expected):
    """Guards against a crowd at one port that closes another port's."""
    connections = crowd.Connections()
    connections.limit = limit
    memory = message_memory.RequestMemory()
    closed = []
    for size in sizes:
        found_limits = limits.ServerLimits(1000, is_public=True)
        found = crowd.Crowd(
            found_limits, counters.Counters(), memory, connections
        )
        members = [Connection(number) for number in range(size)]
        closed.append(members)
        for member in members:
            found.add(member)
    assert [sum(row.closed for row in rows) for rows in closed] == expected
    assert connections.is_short()


def test_new_connection_gives_way_to_those_at_work():
    connections = crowd.Connections()
    connections.limit = 2
    memory = message_memory.RequestMemory()
    ports = [
        crowd.Crowd(
            limits.ServerLimits(1000, is_public=True),
            counters.Counters(),
            memory,
            connections,
        )
        for _ in range(2)
    ]
    busy = [Connection(1, idle=False, busy=True) for _ in range(2)]
    for member in busy:
        ports[0].add(member)
    newest = Connection(2)
    ports[1].add(newest)
    assert newest.closed and not any(member.closed for member in busy)
