"""A small deployment: its processes, settings, operator and consumers."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import typing

from review.stand_ins import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of the site file that the cases name.
BOUNDS = {
    'stabilityS': 3,
    'ackS': 4,
    'drainS': 2,
    'graceS': 6,
    'catchupS': 4,
    'recoveryS': 15,
    'configApplyS': 2,
    'budgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetExtraTries': 58,
}
HEARTBEAT_S = 0.87
ZONES = ('plz-a', 'prg-a', 'brn-a', 'plz-b', 'prg-b', 'brn-b')
REGIONS = ('cz-west', 'cz-central', 'cz-east')
HOST = 'orders.example'


class Impossible(Exception):
    """The case could not run."""


class Record:
    """Log of a run: what was sent, answered and run."""

    def __init__(self, folder: str) -> None:
        self._file = open(
            pathlib.Path(folder) / 'record.txt', 'w', encoding='utf-8'
        )
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Write a line with its time."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


class Machine:
    """A machine: its address, settings and the process on it."""

    def __init__(
        self, role: str, settings: dict[str, typing.Any], folder: pathlib.Path
    ) -> None:
        self.role = role
        self.settings = settings
        self.name: str = settings['nodeName']
        self.host: str = settings['ip']
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None

    def address(self, kind: str) -> tuple[str, int]:
        """Return one of the addresses on which the role listens."""
        host, _, port = self.settings['listenAddrs'][kind].partition(':')
        return host, int(port)


def _find(fields: dict[str, typing.Any], path: str) -> typing.Any:
    found: typing.Any = fields
    for part in path.split('.'):
        found = found[part]
    return found


def render(template: str, fields: dict[str, typing.Any]) -> str:
    """Fill in the placeholders of a template of settings."""
    return re.sub(
        r'\{\{([\w.]+)\|json\}\}',
        lambda match: json.dumps(_find(fields, match.group(1))),
        template,
    )


def _is_free(host: str, ports: list[int]) -> bool:
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Fleet:
    """Control processes and nodes, each at a loopback address of its own."""

    def __init__(
        self,
        record: Record,
        services: tuple[str, ...],
        controls: int = 3,
        lost_disks: int = 1,
    ) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory()
        deploy = ROOT / 'deploy' / 'system.toml'
        self._roles = tomllib.loads(deploy.read_text())['roles']
        if not (ROOT / 'target' / 'deps').is_dir():
            raise Impossible('the build of the deploy file has not run')
        self._machines: list[Machine] = []
        # One address is kept for a machine that is added later.
        count = controls + len(services)
        hosts, self._base = self._choose_addresses(count + 1)
        self._spare = hosts.pop()
        self._lost_disks = lost_disks
        self.seeds = [
            f'{host}:{self._base + 4}' for host in hosts[: min(controls, 3)]
        ]
        self.controls = [
            self._build(f'core-{number}', host, number)
            for number, host in enumerate(hosts[:controls])
        ]
        self.nodes = [
            self._build(f'sidecar-{number}', host, number, service)
            for number, (host, service) in enumerate(
                zip(hosts[controls:], services, strict=True)
            )
        ]

    def add_control(self, zone: str, seeds: list[str]) -> Machine:
        """Return an empty machine for control at a new address."""
        added = self._build('core-added', self._spare, ZONES.index(zone))
        added.settings['seeds'] = seeds
        added.settings['bootstrap'] = False
        self.controls.append(added)
        return added

    def _build(
        self, name: str, host: str, number: int, service: str = ''
    ) -> Machine:
        place = number % len(ZONES)
        base = self._base
        folder = pathlib.Path(self._folder.name) / name
        folder.mkdir()
        fields: dict[str, typing.Any] = {
            'nodeName': name,
            'ip': host,
            'zone': ZONES[place],
            'region': REGIONS[place % len(REGIONS)],
            'listenAddrs': {
                'inbound': f'{host}:{base + 6}',
                'outbound': f'{host}:{base + 7}',
                'ready': f'{host}:{base + 1}',
                'control': f'{host}:{base + 4}',
            },
            'internalPortRange': [base + 20, base + 35],
            'seeds': self.seeds,
            'bootstrap': True,
            'faultTolerance': {'machines': self._lost_disks},
            'bounds': {title: str(raw) for title, raw in BOUNDS.items()},
            'appAddr': f'{host}:{base + 5}',
            'service': service,
            'dataDir': str(folder / 'data'),
        }
        made = Machine('node' if service else 'control', fields, folder)
        self._machines.append(made)
        return made

    def _choose_addresses(self, count: int) -> tuple[list[str], int]:
        for _ in range(50):
            net = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
            base = random.randrange(11_000, 30_000, 50)
            hosts = [f'{net}.{number + 10}' for number in range(count)]
            ports = [base + number for number in (1, 4, 5, 6, 7, 20)]
            if all(_is_free(host, ports) for host in hosts):
                return hosts, base
        raise Impossible('no free addresses')

    def start(self, machine: Machine) -> None:
        """Start the process of a machine with the command of its role."""
        role = self._roles[machine.role]
        template = (ROOT / role['template']).read_text()
        settings = machine.folder / 'settings.json'
        settings.write_text(render(template, machine.settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['SHALLOTWHARF_NODE_FILE'] = str(settings)
        with open(machine.folder / 'log.txt', 'ab') as log:
            machine.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.write(f'started {machine.name} at {machine.host}')

    def start_all(self) -> None:
        """Start all machines."""
        for machine in (*self.controls, *self.nodes):
            self.start(machine)

    def end_bootstrap(self) -> None:
        """Let the settings of later starts say that it is not the first."""
        for machine in (*self.controls, *self.nodes):
            machine.settings['bootstrap'] = False

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        if machine.process is None:
            return
        self.record.write(f'{number.name} to {machine.name}')
        machine.process.send_signal(number)

    async def kill(self, machine: Machine) -> None:
        """Kill the process of a machine and wait for its end."""
        self.signal(machine, signal.SIGKILL)
        await asyncio.to_thread(machine.process.wait)

    async def lose_disk(self, machine: Machine) -> None:
        """Kill the process of a machine and empty its data folder."""
        await self.kill(machine)
        shutil.rmtree(machine.settings['dataDir'])
        self.record.write(f'{machine.name} has lost its disk')

    def has_ended(self, machine: Machine) -> bool:
        """Return whether the process of a machine has ended."""
        return (
            machine.process is not None and machine.process.poll() is not None
        )

    def read_log(self, machine: Machine) -> str:
        """Return what the processes of a machine have logged."""
        path = machine.folder / 'log.txt'
        return path.read_text(errors='replace') if path.exists() else ''

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for machine in self._machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self._folder.cleanup()


def build_config(
    version: int,
    base: int,
    routes: tuple[tuple[str, str, str], ...],
    services: tuple[str, ...],
    timeout_s: float = 1,
) -> dict[str, typing.Any]:
    """Return a configuration; a route is its name, type and service."""
    return {
        'version': f'{version:08x}',
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutS': 3,
            'idleTimeoutS': 15,
        },
        'baseVersion': f'{base:08x}' if base else 0,
        'listeners': [
            {
                'host': HOST,
                'rules': [
                    {
                        'name': f'r-{name}',
                        'routeType': kind,
                        'aimS': 0.3,
                        'priority': 1,
                        'match': {'pathPrefix': f'/{name}/'},
                        'action': {
                            'service': service,
                            'timeoutS': timeout_s,
                            'maxAttempts': 2,
                        },
                    }
                    for name, kind, service in routes
                ],
            }
        ],
        'clusters': [
            {
                'name': name,
                'healthPath': '/health',
                'maxConnections': 110,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
    }


class Operator:
    """The operator: picks a control process, follows redirects, resends."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def call(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        body: bytes = b'',
        note: str = '',
    ) -> http.Answer | None:
        """Make one call; follow a redirect twice."""
        answer = None
        for _ in range(3):
            answer = await http.fetch(
                address,
                method,
                path,
                {'Content-Type': 'application/json'} if body else {},
                body,
            )
            status = answer.status if answer else 'no answer'
            self._fleet.record.write(
                f'operator {method} {path} {note} to {address[0]}: {status}'
            )
            if answer is None or answer.status != 307:
                return answer
            place = answer.headers['location'].split('/')[2]
            host, _, port = place.partition(':')
            address = (host, int(port))
        return answer

    async def order(
        self,
        method: str,
        path: str,
        document: typing.Any = None,
        limit_s: float = 10,
        note: str = '',
    ) -> http.Answer | None:
        """Make a call, again elsewhere until its answer is clear."""
        body = b'' if document is None else json.dumps(document).encode()
        ends_at = time.monotonic() + limit_s
        wait_s = 0.1
        turn = random.randrange(len(self._fleet.controls))
        while time.monotonic() < ends_at:
            controls = self._fleet.controls
            address = controls[turn % len(controls)].address('control')
            answer = await self.call(address, method, path, body, note)
            if answer is not None and answer.status in {
                200,
                400,
                404,
                409,
                412,
                413,
                422,
            }:
                return answer
            turn += 1
            await asyncio.sleep(wait_s)
            wait_s = min(wait_s * 2, 1)
        return None

    async def find_leader(self) -> Machine:
        """Return the control process that the others redirect to."""
        for machine in self._fleet.controls:
            answer = await http.fetch(
                machine.address('control'), 'GET', '/-/config'
            )
            if answer is not None and answer.status == 200:
                return machine
        raise Impossible('no control process answers a read')

    async def configure(
        self, config: dict[str, typing.Any], limit_s: float = 20
    ) -> int:
        """Send a configuration; return the status, 0 without a clear one."""
        note = f'version {config["version"]}'
        answer = await self.order('PUT', '/-/config', config, limit_s, note)
        return answer.status if answer else 0


async def wait_until_ready(fleet: Fleet, limit_s: float = 20) -> None:
    """Wait until each node answers its readiness probe with 200."""
    ends_at = time.monotonic() + limit_s
    for node in fleet.nodes:
        while True:
            answer = await http.fetch(
                node.address('ready'), 'GET', '/-/readiness'
            )
            if answer is not None and answer.status == 200:
                break
            if time.monotonic() > ends_at:
                raise Impossible(f'{node.name} does not get ready')
            await asyncio.sleep(0.1)


async def request(
    fleet: Fleet,
    node: Machine,
    path: str,
    method: str = 'GET',
    body: bytes = b'',
    deadline_ms: int = 1000,
) -> tuple[str, http.Answer | None]:
    """Send a consumer's request; return its id and answer."""
    attempt = f'{random.getrandbits(64):016x}'
    answer = await http.fetch(
        node.address('outbound'),
        method,
        path,
        {
            'Host': HOST,
            'Attempt-Id': attempt,
            'Deadline-Ms': str(deadline_ms),
        },
        body,
        deadline_ms / 1000,
    )
    status = answer.status if answer else 'no answer'
    fleet.record.write(
        f'consumer {attempt} {method} {path} at {node.name}: {status}'
    )
    return attempt, answer
