"""Guards against log lines that are forged or unbounded, or that block."""

import os

import hypothesis
from hypothesis import strategies

from shallotwharf.core import clock, logs


@hypothesis.given(strategies.text())
def test_no_value_breaks_or_forges_a_line(text):
    line = logs.format_pairs('e', {'id': text, 'last': 1})
    assert line.isprintable() and line.endswith(' last=1')
    assert len(line) <= 4 * logs.MAX_VALUE_LENGTH * 3
    assert line.count('"') in {0, 2}


def test_unread_pipe_does_not_block_and_drops_are_counted():
    reader, writer = os.pipe()
    lines = logs.LineWriter(writer)
    for number in range(10_000):
        lines.write(f'{number:0100d}')
    assert lines.dropped > 0
    dropped = lines.dropped
    got = b''
    while b'lines=%d' % dropped not in got:
        got += os.read(reader, 65_536)
        lines.flush()
        if lines.dropped:
            lines.write('again')
    assert got.startswith(b'0' * 100)
    os.close(reader)
    os.close(writer)


def test_closed_pipe_raises_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    lines = logs.LineWriter(writer)
    lines.write('x')
    assert lines.dropped == 1
    os.close(writer)


def test_full_disk_raises_nothing():
    with open('/dev/full', 'wb', buffering=0) as full:
        lines = logs.LineWriter(full.fileno())
        lines.write('x')
        assert lines.dropped == 1


def test_lines_about_calls_are_bounded():
    ticking = clock.ManualClock()
    limiter = logs.CallLimiter(ticking)
    admitted = sum(limiter.admits() for _ in range(1000))
    assert admitted == logs.CALL_LINES_BURST
    assert limiter.left_out == 1000 - admitted
    ticking.advance(clock.SECOND_MS)
    again = sum(limiter.admits() for _ in range(1000))
    assert again == logs.CALL_LINES_PER_SECOND


def test_lines_left_out_are_reported_once_a_second():
    """Guards against a report of left-out lines before each admitted line."""
    ticking = clock.ManualClock()
    limiter = logs.CallLimiter(ticking)
    reports = []
    admitted = 0
    for _ in range(3000):
        ticking.advance(1)
        admitted += limiter.admits() + limiter.admits()
        reports.append(limiter.pop_left_out())
    assert sum(map(bool, reports)) == 3
    assert sum(reports) + limiter.left_out + admitted == 6000
