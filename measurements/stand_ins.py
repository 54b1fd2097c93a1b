"""Stand-ins of what is outside: operators, upstreams and consumers.

Operators send configurations of which each has one route more; consumers at
each node send requests that show which configuration it runs.
"""

import asyncio
import itertools
import json
import random
import time

from tornado import httpclient, httpserver, web

# Bounds of the platform, in seconds.
APPLY_S = 2.0
REGRESS_SLACK_S = 0.25
SERVICES = ('ordini',) * 7 + ('taglio',) * 6
HOST = 'orders.example'
# Numbers of versions are uneven.
_VERSION_STEP = 2
_HEARTBEAT_S = 1.0
_PROBE_S = 0.1
_FINAL = frozenset((200, 400, 412))


def build_config(version, base, moved_to):
    """Return a configuration with the routes of the earlier ones and its own.

    Args:
        version: its number.
        base: number of the one before.
        moved_to: service of the route that changes its service.
    """
    rules = [
        _build_rule('kept', 'ordini'),
        _build_rule('moved', moved_to),
        *(
            _build_rule(f'since-{number}', 'taglio')
            for number in range(_VERSION_STEP, version + 1, _VERSION_STEP)
        ),
    ]
    return {
        'version': f'{version:08x}',
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutS': 3,
            'idleTimeoutS': 15,
        },
        'baseVersion': f'{base:08x}' if base else 0,
        'listeners': [{'host': HOST, 'rules': rules}],
        'clusters': [
            {
                'name': name,
                'healthPath': '/health',
                'maxConnections': 130,
                'protocol': 'h1',
                'tls': False,
            }
            for name in sorted(set(SERVICES))
        ],
    }


def _build_rule(name, service):
    return {
        'name': f'r-{name}',
        'routeType': 'idempotent',
        'aimS': 0.3,
        'priority': 1,
        'match': {'pathPrefix': f'/{name}/'},
        'action': {'service': service, 'timeoutS': 1, 'maxAttempts': 2},
    }


class Record:
    """Log of a run, with the time of day as the processes' logs have it."""

    __slots__ = (
        'faults',
        '_file',
    )

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self.faults = []

    def write(self, text):
        wall = time.time()
        stamp = time.strftime('%H:%M:%S', time.gmtime(wall))
        self._file.write(f'{stamp}.{int(wall % 1 * 1e6):06d} {text}\n')
        self._file.flush()

    def fail(self, text):
        self.faults.append(text)
        self.write(f'BROKEN {text}')


class Upstream:
    """The application beside a node; it checks in and names its service."""

    __slots__ = (
        '_machine',
        '_client',
        '_id',
        '_sequence',
        '_born',
        '_server',
        '_beats',
    )

    def __init__(self, machine, client):
        self._machine = machine
        self._client = client
        self._id = f'i-{machine.name}'
        self._sequence = itertools.count(1)
        self._born = round(time.time() * 1000)
        self._server = httpserver.HTTPServer(
            web.Application(
                [(r'.*', _UpstreamHandler, {'upstream': self})],
                log_function=lambda _handler: None,
            )
        )
        self._beats = None

    @property
    def service(self):
        return self._machine.fields['service']

    @property
    def instance(self):
        return self._id

    def start(self):
        host, _, port = self._machine.fields['appAddr'].partition(':')
        self._server.listen(int(port), host)
        self._beats = asyncio.create_task(self._async_beat())

    def stop(self):
        self._beats.cancel()
        self._server.stop()

    async def _async_beat(self):
        host, port = self._machine.find_address('control')
        while True:
            body = {
                'service': self.service,
                'address': self._machine.fields['appAddr'],
                'zone': self._machine.fields['zone'],
                'version': 'v1',
                'slots': 17,
                'state': 'ready',
                'coldRemainingS': 0,
                'sequence': next(self._sequence),
                'born': self._born,
            }
            await async_fetch(
                self._client,
                f'http://{host}:{port}/-/instances/{self._id}',
                'PUT',
                json.dumps(body),
            )
            await asyncio.sleep(_HEARTBEAT_S)


class _UpstreamHandler(web.RequestHandler):
    def initialize(self, upstream):
        self._upstream = upstream

    async def get(self):
        await asyncio.sleep(0.01)
        attempt = self.request.headers.get('Attempt-Id', '')
        self.set_header('Instance-Id', self._upstream.instance)
        self.set_header('Attempt-Id', attempt)
        self.set_header('Response-Signature', f's.{attempt}')
        self.finish(self._upstream.service)


async def async_fetch(
    client, url, method='GET', body=None, headers=None, limit_s=1.0
):
    """Return the response, also one with an error; None without any."""
    request = httpclient.HTTPRequest(
        url,
        method=method,
        body=body,
        headers=headers,
        connect_timeout=limit_s,
        request_timeout=limit_s,
        follow_redirects=False,
        decompress_response=False,
    )
    try:
        return await client.fetch(request, raise_error=False)
    except (OSError, httpclient.HTTPError):
        return None


class Operator:
    """Sends configurations, again elsewhere until there is a clear answer."""

    __slots__ = (
        'version',
        'acknowledged',
        'moved',
        '_fleet',
        '_client',
        '_record',
        '_random',
    )

    def __init__(self, fleet, client, record, source):
        self._fleet = fleet
        self._client = client
        self._record = record
        self._random = source
        self.version = 0
        self.acknowledged = {}
        self.moved = {}

    async def async_change(self, limit_s=20.0):
        """Send the next configuration; return whether it was accepted."""
        base = self.version
        version = base + _VERSION_STEP
        moved = ('ordini', 'taglio')[version // _VERSION_STEP % 2]
        body = json.dumps(build_config(version, base, moved))
        ends_at = time.monotonic() + limit_s
        self.moved[version] = moved
        self._record.write(f'change {version} is sent')
        while time.monotonic() < ends_at:
            name, response = await self._async_call('PUT', body)
            status = 0 if response is None else response.code
            if status in _FINAL:
                self._record.write(f'change {version} at {name}: {status}')
            if status == 200:
                self.version = version
                self.acknowledged[version] = time.monotonic()
                return True
            if status in _FINAL:
                self._record.fail(f'change {version} is refused: {status}')
                return False
            await asyncio.sleep(0.05)
        return False

    async def async_read(self):
        """Read the configuration at one process; check its version."""
        sent_at = time.monotonic()
        expected = max(
            (
                version
                for version, at in self.acknowledged.items()
                if at + APPLY_S < sent_at
            ),
            default=0,
        )
        name, response = await self._async_call('GET', None)
        if response is None or response.code != 200:
            return 0
        version = int(json.loads(response.body)['version'], 16)
        if version < expected:
            self._record.fail(f'{name} reads {version}, expected {expected}')
        return version

    async def _async_call(self, method, body):
        machine = self._random.choice(self._fleet.controls)
        host, port = machine.find_address('control')
        url = f'http://{host}:{port}/-/config'
        response = None
        for _ in range(3):
            response = await async_fetch(self._client, url, method, body)
            if response is None or response.code != 307:
                break
            url = response.headers['Location']
        return url, response


class Consumer:
    """Asks a node which configuration it runs.

    Attributes:
        machine: the node.
        seen: time at which each version was seen first in this lifetime.
        calm_from: time from which changes must be in force in time.
    """

    __slots__ = (
        'machine',
        'seen',
        'calm_from',
        '_operator',
        '_client',
        '_record',
    )

    def __init__(self, machine, operator, client, record):
        self.machine = machine
        self._operator = operator
        self._client = client
        self._record = record
        self.seen = {}
        self.calm_from = 0.0

    async def async_probe(self):
        while True:
            await self._async_ask()
            await asyncio.sleep(_PROBE_S)

    async def _async_ask(self):
        newest = self._operator.version
        if not newest:
            return
        sent_at = time.monotonic()
        lifetime = self.machine.started_at
        acknowledged_at = self._operator.acknowledged[newest]
        own, moved = await asyncio.gather(
            self._async_call(f'/since-{newest}/x'),
            self._async_call('/moved/x'),
        )
        if lifetime != self.machine.started_at:
            return
        due_at = max(acknowledged_at + APPLY_S, self.calm_from)
        if moved is not None and moved.code == 200 and sent_at > due_at:
            self._check_service(moved.body.decode(), newest, sent_at)
        status = 0 if own is None else own.code
        if status == 200:
            if newest not in self.seen:
                self.seen[newest] = time.monotonic()
                self._record.write(f'{self.machine.name} runs {newest}')
            return
        if status != 404:
            return
        if sent_at > due_at:
            self._record.fail(
                f'{self.machine.name} refuses {newest} with 404'
                f' {sent_at - acknowledged_at:.2f} s after its acknowledgement'
            )
        elif newest in self.seen and (
            sent_at > self.seen[newest] + REGRESS_SLACK_S
        ):
            self._record.fail(f'{self.machine.name} went back from {newest}')

    def _check_service(self, service, newest, sent_at):
        """Check that a version from the newest one on allows a service."""
        allowed = {
            moved
            for version, moved in self._operator.moved.items()
            if version >= newest
        }
        if service not in allowed:
            age_s = sent_at - self._operator.acknowledged[newest]
            self._record.fail(
                f'{self.machine.name} lets {service} run what {newest} moved'
                f' {age_s:.2f} s after its acknowledgement'
            )

    async def _async_call(self, path):
        host, port = self.machine.find_address('outbound')
        return await async_fetch(
            self._client,
            f'http://{host}:{port}{path}',
            headers={
                'Host': HOST,
                'Attempt-Id': f'{random.getrandbits(64):016x}',
                'Deadline-Ms': '1000',
            },
        )
