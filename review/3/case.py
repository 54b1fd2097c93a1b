"""A request that crashes each target that begins to run it comes again."""

import asyncio
import pathlib
import sys

from review.stand_ins import case, http, target
from review.stand_ins import fleet as fleets

ROUTES = (('browse', 'idempotent', 'booking'),)
CRASHING = '/browse/crash'
# A crashed target is back after some seconds.
DOWN_S = 3.0
# The caller sends the request again, at another machine each time.
PERIOD_S = 2.0
TIMES = 20
# More than three such retries break the rule.
ALLOWED = 3


class CrashingTarget(target.Target):
    """A target that one request crashes; it starts again after a while.

    Attributes:
        arrivals: when the request reached it, and the id of the attempt.
        crashes: when it crashed.
        lost: other requests that it was running at a crash.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        node: fleets.Machine,
        instance: str,
        crashes_at: str,
    ) -> None:
        super().__init__(fleet, node, instance, work_s=0.05)
        self._crashes_at = crashes_at
        self._restart: asyncio.Task[None] | None = None
        self._starts = 1
        self._running = 0
        self.arrivals: list[tuple[float, str]] = []
        self.crashes: list[float] = []
        self.lost = 0

    async def answer(
        self,
        head: http.Head,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request, or crash."""
        path = head.line.split()[1]
        wanted = head.headers.get('target-instance', '')
        if wanted == self.instance and path == CRASHING:
            attempt = head.headers.get('attempt-id', '')
            self.arrivals.append((self._record.now(), attempt))
            self._record.write(f'{self.instance} begins to run {attempt}')
            if path == self._crashes_at:
                self.crashes.append(self._record.now())
                self.lost += self._running
                self._restart = asyncio.create_task(self._crash())
                return
        self._running += 1
        try:
            await super().answer(head, body, writer)
        finally:
            self._running -= 1

    async def _crash(self) -> None:
        await self.crash()
        await asyncio.sleep(DOWN_S)
        self._starts += 1
        self.restart(f'{self.instance.partition(".")[0]}.{self._starts}')
        await self.start()


async def send_others(fleet: fleets.Fleet) -> None:
    """Send harmless requests of consumers at all machines."""
    turn = 0
    while True:
        node = fleet.nodes[turn % len(fleet.nodes)]
        await fleets.request(fleet, node, f'/browse/{turn}')
        turn += 1
        await asyncio.sleep(0.05)


async def run_steps(fleet: fleets.Fleet, targets: list[CrashingTarget]) -> bool:
    """Return whether the request was kept from the targets in time."""
    record = fleet.record
    operator = fleets.Operator(fleet)
    config = fleets.build_config(7, 0, ROUTES, ('booking',))
    if await operator.configure(config) != 200:
        raise fleets.Impossible('the first configuration was not accepted')
    await fleets.wait_until_ready(fleet)
    await asyncio.sleep(fleets.BOUNDS['stabilityS'])
    others = asyncio.create_task(send_others(fleet))
    for turn in range(TIMES):
        node = fleet.nodes[turn % len(fleet.nodes)]
        sent = fleets.request(fleet, node, CRASHING)
        await asyncio.gather(sent, asyncio.sleep(PERIOD_S))
    others.cancel()
    crashes = sorted(at for crashed in targets for at in crashed.crashes)
    lost = sum(crashed.lost for crashed in targets)
    record.write(f'{len(crashes)} crashes, {lost} other requests lost in them')
    if len(crashes) < ALLOWED:
        return True
    counts_from = crashes[2] + fleets.BOUNDS['stabilityS']
    retries = {
        attempt
        for reached in targets
        for at, attempt in reached.arrivals
        if at > counts_from
    }
    record.write(
        f'{len(retries)} retries reached targets later than stabilityS after '
        f'the third crash'
    )
    return len(retries) <= ALLOWED


async def run(record: fleets.Record, has_trouble: bool) -> bool:
    """Run the case with three control processes and three nodes."""
    fleet = fleets.Fleet(record, ('booking', 'booking', 'booking'))
    targets = [
        CrashingTarget(
            fleet, node, f'i-{number}', CRASHING if has_trouble else ''
        )
        for number, node in enumerate(fleet.nodes)
    ]
    try:
        fleet.start_all()
        for started in targets:
            await started.start()
        return await run_steps(fleet, targets)
    finally:
        for started in targets:
            await started.stop()
        fleet.close()


if __name__ == '__main__':
    case.run(str(pathlib.Path(__file__).parent), run, sys.argv[1:] != ['0'])
