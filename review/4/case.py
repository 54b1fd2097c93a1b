"""A target that starts again while the time of day has jumped back, drains."""

import asyncio
import pathlib
import sys

from review.stand_ins import case, target
from review.stand_ins import fleet as fleets

ROUTES = (('browse', 'idempotent', 'booking'),)
# How far the clock of one machine jumps back, and for how long.
STEP_MS = 2000
STEP_S = 5.0
# Time from the end of the target's first process to the start of its second.
DOWN_S = 1.0


async def send_requests(fleet: fleets.Fleet, limit_s: float) -> None:
    """Send requests of consumers at all machines for some seconds."""
    ends_at = fleet.record.now() + limit_s
    turn = 0
    while fleet.record.now() < ends_at:
        node = fleet.nodes[turn % len(fleet.nodes)]
        await fleets.request(fleet, node, f'/browse/{turn}')
        turn += 1
        await asyncio.sleep(0.02)


async def run_steps(
    fleet: fleets.Fleet, targets: list[target.Target], has_trouble: bool
) -> bool:
    """Return whether the target got no request after `drainS`."""
    record = fleet.record
    operator = fleets.Operator(fleet)
    config = fleets.build_config(7, 0, ROUTES, ('booking',))
    if await operator.configure(config) != 200:
        raise fleets.Impossible('the first configuration was not accepted')
    await fleets.wait_until_ready(fleet)
    first = target.Target(fleet, fleet.nodes[0], 'i-0')
    targets.append(first)
    await first.start()
    await asyncio.sleep(0.3)
    if has_trouble:
        record.write(f'the time of day of sidecar 0 jumps by -{STEP_MS} ms')
    await first.crash()
    await asyncio.sleep(DOWN_S)
    again = target.Target(fleet, fleet.nodes[0], 'i-0')
    targets.append(again)
    if has_trouble:
        again.born -= STEP_MS
    await again.start()
    # The clock has jumped forward again, and the machines are in touch, when
    # the target begins to drain. What it states as its start stays the same.
    await send_requests(fleet, STEP_S - DOWN_S)
    if has_trouble:
        record.write(f'the time of day of sidecar 0 jumps by {STEP_MS} ms')
    await send_requests(fleet, fleets.BOUNDS['stabilityS'] + 1)
    if not again.runs:
        raise fleets.Impossible('the target gets no requests')
    acked_at = await again.drain()
    record.write('the target was told that its draining is acknowledged')
    await send_requests(fleet, fleets.BOUNDS['drainS'] + 4)
    late = [
        run for run in again.runs if run.at > acked_at + fleets.BOUNDS['drainS']
    ]
    record.write(
        f'{len(late)} requests reached the target later than drainS '
        'after the acknowledgement'
    )
    return not late


async def run(record: fleets.Record, has_trouble: bool) -> bool:
    """Run the case with three control processes and three nodes."""
    fleet = fleets.Fleet(record, ('booking', 'booking', 'booking'))
    targets = [
        target.Target(fleet, node, f'i-{number}')
        for number, node in enumerate(fleet.nodes)
        if number
    ]
    try:
        fleet.start_all()
        for started in targets:
            await started.start()
        return await run_steps(fleet, targets, has_trouble)
    finally:
        for started in targets:
            await started.stop()
        fleet.close()


if __name__ == '__main__':
    case.run(str(pathlib.Path(__file__).parent), run, sys.argv[1:] != ['0'])
