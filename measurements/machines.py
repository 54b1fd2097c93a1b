"""Machines of the users' platform on loopback: their processes and disks.

Each machine has a loopback address of its own and runs one program of
`shallotwharf.platform` as a process. A machine without power accepts no
connections and refuses none: attempts to connect to it hang. Its disk then
has what was synced.
"""

import json
import os
import pathlib
import random
import re
import shutil
import socket
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parent.parent
# Ports of the same use are equal on all machines.
_READINESS, _REPORTS, _UPSTREAM, _NODES, _CALLERS, _LINKS = 1, 4, 5, 6, 7, 20
_LAST_LINK = 35
_PORTS = (_READINESS, _REPORTS, _UPSTREAM, _NODES, _CALLERS, _LINKS)
_FIRST_PORT = 11_000
_LAST_PORT = 30_000
_PORT_STEP = 50
_FIRST_HOST = 10
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)\|json\}\}')
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}', re.DOTALL)
SYNCED_SUFFIX = '.synced'


class DarkPort:
    """An address at which connections hang, as at a machine without power."""

    __slots__ = (
        '_bound',
        '_waiting',
    )

    def __init__(self, address):
        self._bound = socket.socket()
        self._bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._bound.bind(address)
        self._bound.listen(0)
        self._waiting = []
        # The queue of a listener takes one connection more than its length.
        for _ in range(2):
            opened = socket.socket()
            opened.setblocking(False)
            opened.connect_ex(address)
            self._waiting.append(opened)

    def close(self):
        for opened in (*self._waiting, self._bound):
            opened.close()


class Network:
    """The network between the machines, as a process.

    Args:
        folder: folder that says what is cut.
        delay_ms: time that a segment takes.
        forgets: whether connections that were open during a cut stay silent.
    """

    __slots__ = (
        'port',
        '_folder',
        '_process',
    )

    def __init__(self, folder, delay_ms, forgets):
        self._folder = folder
        folder.mkdir()
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            self.port = probe.getsockname()[1]
        self._process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'measurements.wires',
                str(self.port),
                str(folder),
                str(delay_ms),
                'forget' if forgets else 'keep',
            ],
            cwd=_ROOT,
        )

    def cut(self, *names):
        """Cut machines off, or pairs of them."""
        for name in names:
            (self._folder / name).touch()

    def connect_all(self):
        """End all cuts."""
        for path in self._folder.iterdir():
            path.unlink()

    def close(self):
        self._process.kill()
        self._process.wait()


class Machine:
    """One machine: its settings, its process and its disk."""

    __slots__ = (
        'role',
        'fields',
        'name',
        'host',
        'folder',
        'process',
        'started_at',
        '_dark',
        '_relay',
    )

    def __init__(self, role, fields, folder, relay):
        self.role = role
        self.fields = fields
        self.name = fields['nodeName']
        self.host = fields['ip']
        self.folder = folder
        self.process = None
        self.started_at = 0.0
        self._dark = []
        self._relay = relay

    def find_address(self, use):
        """Return an address; the use is a key of `listenAddrs`."""
        host, _, port = self.fields['listenAddrs'][use].partition(':')
        return host, int(port)

    def start(self, sync_ms=0):
        """Start the process, with power."""
        self.connect_power()
        settings = self.folder / 'settings.json'
        settings.write_text(self._render())
        environment = {
            **os.environ,
            'SHALLOTWHARF_NODE_FILE': str(settings),
            'SHALLOTWHARF_SYNC_MS': str(sync_ms),
            'SHALLOTWHARF_RELAY_PORT': str(self._relay.port),
            'SHALLOTWHARF_LINK_PORT': str(self.fields['internalPortRange'][0]),
            'SHALLOTWHARF_HOST': self.host,
        }
        with open(self.folder / 'log.txt', 'ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'measurements.machine', self.role],
                cwd=_ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        """Kill the process, which may have ended; `wait` follows."""
        if self.process is not None:
            self.process.kill()

    def wait(self):
        """Wait for the end of the process."""
        if self.process is not None:
            self.process.wait()
            self.process = None

    def cut_power(self):
        """Let connections hang from now on; the process has ended.

        Links hang if the network is cut.
        """
        uses = self.fields['listenAddrs']
        self._dark = [DarkPort(self.find_address(use)) for use in uses]

    def connect_power(self):
        """Let connections be refused until a process listens."""
        for port in self._dark:
            port.close()
        self._dark = []

    def restore_disk(self):
        """Take the disk back to what was synced."""
        data = pathlib.Path(self.fields['dataDir'])
        synced = data.with_name(data.name + SYNCED_SUFFIX)
        if synced.is_dir():
            shutil.rmtree(data, ignore_errors=True)
            shutil.copytree(synced, data)

    def lose_disk(self):
        """Empty the disk."""
        data = pathlib.Path(self.fields['dataDir'])
        shutil.rmtree(data, ignore_errors=True)
        shutil.rmtree(
            data.with_name(data.name + SYNCED_SUFFIX), ignore_errors=True
        )

    def _render(self):
        template = (_ROOT / 'deploy' / f'{self.role}.json').read_text()
        # None of the optional settings is given.
        template = _SECTION.sub('', template)
        return _PLACEHOLDER.sub(
            lambda match: json.dumps(self._find(match.group(1))), template
        )

    def _find(self, path):
        found = self.fields
        for part in path.split('.'):
            found = found[part]
        return found


class Fleet:
    """All machines of a deployment.

    Args:
        folder: folder for settings, logs and disks.
        zones: region by data centre; each has one control process.
        services: services of the nodes, by data centre in turn.
        lost_disks: disks that may be lost at the same time.
        bounds: the platform's bounds by name.
        delay_ms: time that a segment between two machines takes.
        forgets: whether connections that were open during a cut stay silent.
    """

    __slots__ = (
        'network',
        'controls',
        'nodes',
        '_folder',
        '_zones',
        '_bounds',
        '_lost_disks',
        '_base',
        '_seeds',
    )

    def __init__(
        self,
        folder,
        zones,
        services,
        lost_disks,
        bounds,
        delay_ms=0,
        forgets=False,
    ):
        self._folder = folder
        self.network = Network(pathlib.Path(folder) / 'cuts', delay_ms, forgets)
        self._zones = zones
        self._bounds = bounds
        self._lost_disks = lost_disks
        names = tuple(zones)
        hosts, self._base = _choose_addresses(len(names) + len(services))
        self._seeds = [f'{host}:{self._base + _REPORTS}' for host in hosts[:3]]
        self.controls = [
            self._build('control', f'core-{zone}-1', hosts.pop(0), zone, '')
            for zone in names
        ]
        self.nodes = [
            self._build(
                'node',
                f'sidecar-{names[number % len(names)]}-{number}',
                hosts.pop(0),
                names[number % len(names)],
                service,
            )
            for number, service in enumerate(services)
        ]

    def list_all(self):
        """Return all machines, control first."""
        return [*self.controls, *self.nodes]

    def end_bootstrap(self):
        """Let the settings of later starts say that it is not the first."""
        for machine in self.list_all():
            machine.fields['bootstrap'] = False

    def close(self):
        """End all processes."""
        for machine in self.list_all():
            machine.kill()
            machine.wait()
            machine.connect_power()
        self.network.close()

    def _build(self, role, name, host, zone, service):
        folder = pathlib.Path(self._folder) / name
        folder.mkdir(parents=True)
        base = self._base
        fields = {
            'nodeName': name,
            'ip': host,
            'zone': zone,
            'region': self._zones[zone],
            'zones': self._zones,
            'listenAddrs': {'control': f'{host}:{base + _REPORTS}'},
            'internalPortRange': [base + _LINKS, base + _LAST_LINK],
            'seeds': self._seeds,
            'bootstrap': True,
            'faultTolerance': {'machines': self._lost_disks},
            'bounds': self._bounds,
            'appAddr': f'{host}:{base + _UPSTREAM}',
            'service': service,
            'dataDir': str(folder / 'data'),
        }
        if role == 'node':
            fields['listenAddrs'] |= {
                'inbound': f'{host}:{base + _NODES}',
                'outbound': f'{host}:{base + _CALLERS}',
                'ready': f'{host}:{base + _READINESS}',
            }
        return Machine(role, fields, folder, self.network)


def _choose_addresses(count):
    for _ in range(50):
        net = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        base = random.randrange(_FIRST_PORT, _LAST_PORT, _PORT_STEP)
        hosts = [f'{net}.{number + _FIRST_HOST}' for number in range(count)]
        if all(_is_free(host, base) for host in hosts):
            return hosts, base
    raise RuntimeError('no free addresses')


def _is_free(host, base):
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((host, base + port))
            except OSError:
                return False
    return True
