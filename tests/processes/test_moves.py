"""Guards against a version that fails and still gets calls on some node."""

import collections
import datetime
import json
import threading
import time

import pytest

from measurements import site as processes
from tests.processes import test_path

CALLER_PAUSE_SECONDS = 0.01


@pytest.fixture
def site(tmp_path):
    started = processes.Site(tmp_path, test_path.NODES)
    started.start_all()
    processes.wait_until(started.find_leader)
    yield started
    started.stop_all()


class Callers:
    """Threads, one per node, that call `/menu` and count calls by version."""

    def __init__(self, site):
        self.counts = collections.Counter()
        self._site = site
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(node,))
            for node in site.nodes
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, node):
        while not self._stopping.is_set():
            _, body = self._site.call(node, '/menu')
            self.counts[json.loads(body).get('version')] += 1
            time.sleep(CALLER_PAUSE_SECONDS)


def read_states(site):
    _, printed, _ = site.run_command('moves', '--json')
    return [row['state'] for row in json.loads(printed)['moves']]


def test_version_that_fails_is_taken_back_everywhere(site):
    for node in ('n1', 'n3'):
        site.start_sample(node, 'menu', 'v1')
    for node in ('n2', 'n4'):
        site.start_sample(node, 'menu', 'v2', mode='error')
    tables = site.write_tables(test_path.ROUTES, test_path.POOLS)
    assert site.run_command('apply', *tables, '--wait')[0] == 0
    processes.wait_until(
        lambda: all(
            site.call(node, '/menu')[0] == 200 for node in test_path.NODES
        )
    )
    callers = Callers(site)
    due = datetime.datetime.now(datetime.UTC) + datetime.timedelta(minutes=1)
    move = {'to_version': 'v2', 'due': due.isoformat()}
    tables = site.write_tables(
        test_path.ROUTES, [test_path.POOLS[0] | {'move': move}]
    )
    assert site.run_command('apply', *tables)[0] == 0
    processes.wait_until(
        lambda: read_states(site) == ['taken_back'], limit_seconds=60
    )
    # Calls in flight may still get responses from v2.
    time.sleep(1)
    bad = callers.counts['v2']
    good = callers.counts['v1']
    processes.wait_until(lambda: callers.counts['v1'] > good + 100)
    callers.stop()
    assert callers.counts['v2'] == bad
    assert 0 < bad < callers.counts['v1'] / 20
