"""Guards against what repeated crowds leave behind.

The crowd, its seed and the bounds are fixed: a change of the product must not
touch them. Each test runs alone and checks nothing that depends on the
machine's speed.
"""

import random

import pytest

from measurements import site as processes
from tests.processes import crowds

SEED = 41
WAVES = 20
CROWD = 120
# Connections of the process itself that may have been opened meanwhile.
OTHER_DESCRIPTORS = 32
TEXTS = [
    crowds.LINES,
    crowds.LINES + b'\r\n',
    crowds.write_body(crowds.MEBIBYTE),
    crowds.write_body(4 * crowds.MEBIBYTE),
    crowds.CHUNKS,
    crowds.BYTES,
    crowds.PIPELINED,
]


def send_wave(port, source):
    """Send parts of requests; then leave, most without a word."""
    texts = {}
    for opened in crowds.connect_many(port, CROWD):
        text = source.choice(TEXTS)
        texts[opened] = text[: source.randrange(1, len(text))]
    crowds.send_all(texts, idle_limit=20)
    for opened in texts:
        leave = source.choice((crowds.reset, crowds.reset, type(opened).close))
        leave(opened)


@pytest.mark.timeout(300)
@pytest.mark.parametrize(
    ('process', 'kind', 'names'),
    [
        ('n1', 'call', ('n1',)),
        ('n1', 'call', ('n1', 'n2')),
        ('n1', 'admin', ('n1',)),
        ('n1', 'link', ('n1',)),
        ('control-0', 'admin', ('n1',)),
        ('control-0', 'link', ('n1',)),
    ],
)
def test_waves_leave_nothing_behind(tmp_path, process, kind, names):
    with crowds.run_site(tmp_path, names) as site:
        crowded = [crowds.Process(site, name) for name in (*names, 'control-0')]
        source = random.Random(SEED)
        port = crowds.find_port(site, process, kind)
        for _ in range(WAVES):
            send_wave(port, source)
        assert crowds.call(site) == 200
        for left in crowded:
            processes.wait_until(
                lambda left=left: (
                    left.count_descriptors()
                    <= left.descriptors + OTHER_DESCRIPTORS
                )
            )
            left.check()
