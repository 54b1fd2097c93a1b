"""Measure the cost of the control plane with real processes on loopback.

For several numbers of nodes in six data centres, prints for nodes and for
control processes the CPU use (percent of a core), the resident memory and the
bytes per second sent on links, while idle and during edits. Also prints the
time from the acceptance of an edit until the last node has applied it.

Usage: python -m measurements.fleet [--sizes 6,12,24] [--json FILE]
"""

import argparse
import datetime
import json
import os
import pathlib
import random
import re
import statistics
import tempfile
import time

from measurements import site as site_module
from shallotwharf.core import identifiers

DATACENTRES = 6
IDLE_SECONDS = 20
EDITS = 20
EDIT_PAUSE_SECONDS = 1.0
JOIN_SECONDS = 120
_TICKS = os.sysconf('SC_CLK_TCK')
_APPLIED = re.compile(
    r'time=(\S+)Z .*event=version_applied number=(\d+)',
)


def build_tables(entries, slow_ms):
    """Return documents with `entries` routes and as many pools."""
    routes = [
        {'name': f'r{row}', 'path_prefix': f'/r{row}', 'pool': f'p{row}'}
        for row in range(entries)
    ]
    pools = [
        {'name': f'p{row}', 'service': f's{row}', 'weights': {'v1': 100}}
        for row in range(entries)
    ]
    pools[0]['slow_ms'] = slow_ms
    return {'routes': {'routes': routes}, 'pools': {'pools': pools}}


class Fleet:
    """Processes of nodes, distributed over data centres, and of control."""

    __slots__ = (
        'site',
        'random',
        'version_number',
    )

    def __init__(self, folder, nodes, control_count=3):
        names = {f'n{row}': f'dc-{row % DATACENTRES}' for row in range(nodes)}
        self.site = site_module.Site(folder, names, control_count)
        self.random = random.Random(nodes)
        self.version_number = 0

    def start(self):
        self.site.start_all()
        site_module.wait_until(self.site.find_leader, JOIN_SECONDS)

    def edit(self, entries):
        """Apply an edit.

        Returns:
            Time of the response in seconds since the epoch.
        """
        body = build_tables(entries, 100 + self.version_number) | {
            'request_id': identifiers.make_identifier(
                round(time.time() * 1000),
                self.random,
            ),
            'operator': 'fleet',
            'base': self.version_number,
        }
        leader = self.site.find_leader()
        port = next(
            peer['admin_port']
            for peer in self.site.control
            if peer['name'] == leader
        )
        status, response = site_module.request(
            port,
            '/v1/edits',
            'POST',
            json.dumps(body).encode(),
        )
        assert status == 200, response
        self.version_number = json.loads(response)['number']
        return time.time()

    def wait_everywhere(self):
        expected = len(self.site.nodes)
        site_module.wait_until(
            lambda: len(self.read_applied(self.version_number)) == expected,
            JOIN_SECONDS,
        )

    def read_applied(self, number):
        """Return when each node applied a version, in seconds since the epoch.

        For a node that skipped the version, the first later one counts.
        Nodes that have applied neither are left out.
        """
        times = []
        for name in self.site.nodes:
            for line in self.site.read_log(name).splitlines():
                match = _APPLIED.search(line)
                if match and int(match.group(2)) >= number:
                    times.append(_parse_time(match.group(1)))
                    break
        return times

    def sample(self):
        """Return CPU seconds, memory in MB and bytes sent by process name."""
        found = {}
        ports = {
            **{p['name']: p['admin_port'] for p in self.site.control},
            **{n: s['admin_port'] for n, s in self.site.nodes.items()},
        }
        for name, process in self.site.running.items():
            found[name] = (
                _read_cpu_seconds(process.pid),
                _read_memory_mb(process.pid),
                _read_bytes_sent(ports[name]),
            )
        return found


def _parse_time(text):
    parsed = datetime.datetime.fromisoformat(text)
    return parsed.replace(tzinfo=datetime.UTC).timestamp()


def _read_cpu_seconds(pid):
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS


def _read_memory_mb(pid):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmRSS:\s+(\d+)', status).group(1)) / 1024


def _read_bytes_sent(port):
    _, text = site_module.request(port, '/metrics')
    match = re.search(rb'links_bytes_sent (\d+)', text)
    return int(match.group(1)) if match else 0


def describe_rates(before, after, seconds):
    """Return minimum, median and maximum rates of nodes and of control."""
    rates = {'node': [], 'control': []}
    for name, (cpu, memory, sent) in after.items():
        kind = 'control' if name.startswith('control') else 'node'
        rates[kind].append(
            (
                100 * (cpu - before[name][0]) / seconds,
                memory,
                (sent - before[name][2]) / seconds,
            ),
        )
    return {
        kind: {
            'cpu_percent': _summarize([row[0] for row in rows]),
            'memory_mb': _summarize([row[1] for row in rows]),
            'bytes_per_second': _summarize([row[2] for row in rows]),
        }
        for kind, rows in rates.items()
    }


def _summarize(values):
    return {
        'min': round(min(values), 2),
        'median': round(statistics.median(values), 2),
        'max': round(max(values), 2),
    }


def measure_idle(fleet):
    before = fleet.sample()
    time.sleep(IDLE_SECONDS)
    return describe_rates(before, fleet.sample(), IDLE_SECONDS)


def measure_edits(fleet, entries):
    """Return the rates during edits and the convergence times in ms.

    The convergence time of an edit runs from the response until the last node
    has applied it.
    """
    started = time.monotonic()
    before = fleet.sample()
    accepted = {}
    for _ in range(EDITS):
        accepted_at = fleet.edit(entries)
        accepted[fleet.version_number] = accepted_at
        time.sleep(EDIT_PAUSE_SECONDS)
    fleet.wait_everywhere()
    rates = describe_rates(
        before,
        fleet.sample(),
        time.monotonic() - started,
    )
    convergence_ms = [
        1000 * (max(fleet.read_applied(number)) - accepted_at)
        for number, accepted_at in accepted.items()
    ]
    return rates | {'convergence_ms': _summarize(convergence_ms)}


def measure_size(nodes, entries):
    """Measure one number of nodes with tables of `entries` routes and pools."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), nodes)
        try:
            fleet.start()
            fleet.edit(entries)
            fleet.wait_everywhere()
            time.sleep(5)
            idle = measure_idle(fleet)
            edits = measure_edits(fleet, entries)
        finally:
            fleet.site.stop_all()
    return {'nodes': nodes, 'entries': entries, 'idle': idle, 'edits': edits}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='6,12,24')
    parser.add_argument('--entries', default='20')
    parser.add_argument('--json')
    options = parser.parse_args()
    rows = []
    for nodes in map(int, options.sizes.split(',')):
        for entries in map(int, options.entries.split(',')):
            rows.append(measure_size(nodes, entries))
            print(json.dumps(rows[-1]), flush=True)
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(rows, indent=2))


if __name__ == '__main__':
    main()
