"""Run the roles as processes on loopback, for tests and measurements."""

import itertools
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

HOST = '127.0.0.1'


# Below the range of ephemeral ports. The operating system could assign one of
# those to an outgoing connection between the probe and the start of the
# process, or return the same one twice.
_FIRST_PORT = 20_000
_LAST_PORT = 32_000
# Runs that start together probe before either has bound its ports, so each
# starts at another port.
_START = random.SystemRandom().randrange(_FIRST_PORT, _LAST_PORT)
_candidate_ports = itertools.cycle(
    [*range(_START, _LAST_PORT), *range(_FIRST_PORT, _START)]
)


def find_ports(count):
    """Return free ports.

    A port is returned again only after all others of the range were probed.
    """
    found = []
    while len(found) < count:
        port = next(_candidate_ports)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
    return found


def request(port, path, method='GET', body=None, headers=None):
    """Send a request; return status and body, (0, b'') without a response."""
    sent = urllib.request.Request(
        f'http://{HOST}:{port}{path}',
        data=body,
        method=method,
        headers=headers or {},
    )
    try:
        with urllib.request.urlopen(sent, timeout=10) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b''


def wait_until(condition, limit_seconds=60):
    deadline = time.monotonic() + limit_seconds
    while not condition():
        assert time.monotonic() < deadline, (
            f'condition not met within {limit_seconds} s'
        )
        time.sleep(0.05)


def run_program(*arguments):
    """Run a command; return its exit status, standard output and error."""
    finished = subprocess.run(
        [sys.executable, '-m', 'shallotwharf', *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )
    return finished.returncode, finished.stdout, finished.stderr


class Site:
    """Control and node processes of several data centres.

    The settings, the log and the data of each process are in `folder`.
    """

    __slots__ = (
        'folder',
        'running',
        'control',
        'nodes',
    )

    def __init__(self, folder: pathlib.Path, datacentres, control_count=3):
        self.folder = folder
        self.running = {}
        self.control = []
        for number in range(control_count):
            link, admin = find_ports(2)
            self.control.append(
                {
                    'name': f'control-{number}',
                    'datacentre': f'dc-{number}',
                    'region': 'west',
                    'host': HOST,
                    'link_port': link,
                    'admin_port': admin,
                }
            )
        self.nodes = {}
        for name, datacentre in datacentres.items():
            link, call, admin = find_ports(3)
            self.nodes[name] = {
                'name': name,
                'datacentre': datacentre,
                'region': 'west',
                'host': HOST,
                'link_port': link,
                'call_port': call,
                'admin_port': admin,
                'control': self.control,
            }
        self._set_seeds()

    def start_all(self):
        for peer in self.control:
            self.start_control(peer['name'])
        for name in self.nodes:
            self.start_node(name)

    def start_control(self, name):
        datacentres = sorted(
            {node['datacentre'] for node in self.nodes.values()}
        )
        self._start_role(
            'control',
            name,
            {
                'name': name,
                'data_folder': str(self.folder / f'{name}-data'),
                'control': self.control,
                'datacentres': datacentres,
            },
        )

    def start_node(self, name):
        self._start_role('node', name, self.nodes[name])

    def start_sample(self, node, service, version, **options):
        admin = f'{HOST}:{self.nodes[node]["admin_port"]}'
        arguments = ['--admin', admin, '--service', service]
        arguments += ['--version', version]
        for option, value in options.items():
            arguments += [f'--{option.replace("_", "-")}', str(value)]
        self._start(f'sample-{node}', 'sample', *arguments)

    def run_command(self, *arguments):
        """Run a command with the addresses of all control processes.

        Returns:
            Exit status, standard output and standard error.
        """
        addresses = []
        for peer in self.control:
            addresses += ['--control', f'{HOST}:{peer["admin_port"]}']
        return run_program(*arguments, *addresses)

    def write_tables(self, routes, pools):
        paths = []
        for table, rows in (('routes', routes), ('pools', pools)):
            path = self.folder / f'{table}.json'
            path.write_text(json.dumps({table: rows}))
            paths += [f'--{table}', str(path)]
        return paths

    def find_leader(self):
        for peer in self.control:
            status, body = request(peer['admin_port'], '/health')
            if status == 200 and json.loads(body)['leader']:
                return json.loads(body)['leader']
        return ''

    def call(self, node, path, **options):
        return request(self.nodes[node]['call_port'], path, **options)

    def stop(self, name, signal_number=signal.SIGTERM):
        process = self.running.pop(name)
        process.send_signal(signal_number)
        return process.wait(timeout=40)

    def stop_all(self):
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()

    def read_log(self, name):
        return (self.folder / f'{name}.log').read_text()

    def _set_seeds(self):
        seeds = {}
        for node in self.nodes.values():
            seed = seeds.setdefault(node['datacentre'], node)
            if node is not seed:
                node['seeds'] = [
                    {key: seed[key] for key in ('name', 'host', 'link_port')}
                ]

    def _start_role(self, role, name, settings):
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        self._start(name, role, '--settings', str(path))

    def _start(self, name, *arguments):
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, '-m', 'shallotwharf', *arguments],
                stdout=log,
                stderr=log,
            )
