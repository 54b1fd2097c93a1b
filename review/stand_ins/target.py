"""A target: an application server that checks in at the node beside it."""

import asyncio
import contextlib
import json
import time
import typing

from review.stand_ins import fleet as fleets
from review.stand_ins import http


class Run(typing.NamedTuple):
    """A request that a target has run."""

    attempt: str
    at: float
    caller: str
    instance: str


class Target:
    """A sound target; keeps what it has run.

    Attributes:
        runs: the requests that it has run.
        born: Unix millisecond of its start by the clock of its machine.
        leaving: whether its answers say that it leaves.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        node: fleets.Machine,
        instance: str,
        work_s: float = 0.01,
        slots: int = 9,
    ) -> None:
        self._fleet = fleet
        self._record = fleet.record
        self._node = node
        self.instance = instance
        self.work_s = work_s
        self.slots = slots
        self.runs: list[Run] = []
        self.born = round(time.time() * 1000)
        self.leaving = False
        self.state = 'ready'
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen and begin to check in."""
        host, _, port = self._node.settings['appAddr'].partition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._record.write(f'target {self.instance} starts, born {self.born}')
        self._beats = asyncio.create_task(self._beat())

    def restart(self, instance: str) -> None:
        """Become a new lifetime, which knows nothing of the one before."""
        self.instance = instance
        self.born = round(time.time() * 1000)
        self._sequence = 0

    async def crash(self) -> None:
        """End without a word."""
        self._record.write(f'target {self.instance} crashes')
        await self.stop()

    async def stop(self) -> None:
        """Stop to check in, close all connections and listen no more."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        await asyncio.sleep(0)

    def stop_beats(self) -> None:
        """Send no more check-ins."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    def build_beat(self) -> bytes:
        """Return the body of the next check-in."""
        self._sequence += 1
        return json.dumps(
            {
                'service': self._node.settings['service'],
                'address': self._node.settings['appAddr'],
                'zone': self._node.settings['zone'],
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'coldRemainingS': 0,
                'sequence': self._sequence,
                'born': self.born,
            }
        ).encode()

    async def send(self, method: str, body: bytes) -> int:
        """Send a check-in or a deregistration; return the status."""
        answer = await http.fetch(
            self._node.address('control'),
            method,
            f'/-/instances/{self.instance}',
            {'Content-Type': 'application/json'},
            body,
        )
        status = answer.status if answer else 0
        self._record.write(
            f'{method} of {self.instance} {body.decode()}: {status}'
        )
        return status

    async def check_in(self) -> int:
        """Check in once; return the status."""
        return await self.send('PUT', self.build_beat())

    async def drain(self) -> float:
        """Report that it leaves until acknowledged; return when it was."""
        self.state = 'draining'
        while not 200 <= await self.check_in() < 300:
            await asyncio.sleep(0.2)
        return self._record.now()

    async def deregister(self) -> float:
        """Deregister until acknowledged; return when it was."""
        self.stop_beats()
        body = json.dumps({'born': self.born}).encode()
        while not 200 <= await self.send('DELETE', body) < 300:
            await asyncio.sleep(0.2)
        return self._record.now()

    async def _beat(self) -> None:
        while True:
            await self.check_in()
            await asyncio.sleep(fleets.HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.LimitOverrunError):
            while True:
                head = await http.read_head(reader)
                body = await http.read_body(reader, head.headers)
                await self.answer(head, body, writer)
        self._connections.discard(writer)
        writer.transport.abort()

    async def answer(
        self, head: http.Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request and write its answer."""
        headers = head.headers
        path = head.line.split()[1]
        if path == '/health':
            self.write(writer, 200, {'Instance-Id': self.instance}, b'')
            return
        attempt = headers.get('attempt-id', '')
        wanted = headers.get('target-instance', self.instance)
        if wanted != self.instance:
            self.write(writer, 421, {'Instance-Id': self.instance}, b'')
            return
        self.runs.append(
            Run(
                attempt,
                self._record.now(),
                headers.get('caller-service', ''),
                self.instance,
            )
        )
        self._record.write(f'target {self.instance} runs {attempt} {path}')
        await asyncio.sleep(self.work_s)
        fields = {
            'Attempt-Id': attempt,
            'Response-Signature': f'sig.{self.instance}.{attempt}',
        }
        if self.leaving:
            fields['Server-Leaving'] = '1'
        self.write(writer, 200, fields, b'ok')

    def write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Write an answer."""
        fields = {**headers, 'Content-Length': str(len(body))}
        lines = [f'HTTP/1.1 {status} Status']
        lines.extend(f'{name}: {text}' for name, text in fields.items())
        writer.write('\r\n'.join([*lines, '', '']).encode('latin1') + body)
