"""A machine of the core is replaced; then two others lose their disks."""

import asyncio
import json
import pathlib
import signal
import sys
import time

from review.stand_ins import case, target
from review.stand_ins import fleet as fleets

ROUTES = (('browse', 'idempotent', 'booking'),)
# The new machine runs for this long before the old one gets SIGTERM.
BOTH_S = 4.0


async def replace(fleet: fleets.Fleet, leader: fleets.Machine) -> None:
    """Replace a machine of the core as planned work.

    The settings of the new one name three machines that run and serve control.
    """
    others = [machine for machine in fleet.controls if machine is not leader]
    old = others[-1]
    named = others[:3]
    seeds = [machine.settings['listenAddrs']['control'] for machine in named]
    added = fleet.add_control(old.settings['zone'], seeds)
    names = ', '.join(machine.name for machine in named)
    fleet.record.write(f'{added.name} replaces {old.name}; its seeds: {names}')
    fleet.start(added)
    await asyncio.sleep(BOTH_S)
    fleet.signal(old, signal.SIGTERM)
    await asyncio.sleep(fleets.BOUNDS['graceS'])
    if not fleet.has_ended(old):
        await fleet.kill(old)
    fleet.controls.remove(old)
    # The removed machine counts no longer from here on.
    await asyncio.sleep(fleets.BOUNDS['catchupS'])


async def read_back(operator: fleets.Operator, limit_s: float) -> str:
    """Return the version that control has; empty if it does not come."""
    ends_at = time.monotonic() + limit_s
    while time.monotonic() < ends_at:
        answer = await operator.order('GET', '/-/config', limit_s=2)
        if answer is not None and answer.status == 200:
            return str(json.loads(answer.body)['version'])
        await asyncio.sleep(0.2)
    return ''


async def run_steps(fleet: fleets.Fleet, has_trouble: bool) -> bool:
    """Return whether the acknowledged configuration is read back."""
    record = fleet.record
    operator = fleets.Operator(fleet)
    first = fleets.build_config(7, 0, ROUTES, ('booking',))
    if await operator.configure(first) != 200:
        raise fleets.Impossible('the first configuration was not accepted')
    await fleets.wait_until_ready(fleet)
    fleet.end_bootstrap()
    leader = await operator.find_leader()
    record.write(f'{leader.name} leads')
    if has_trouble:
        await replace(fleet, leader)
    leader = await operator.find_leader()
    record.write(f'{leader.name} leads')
    second = fleets.build_config(9, 7, ROUTES, ('booking',), timeout_s=2)
    if await operator.configure(second) != 200:
        raise fleets.Impossible('the second configuration was not accepted')
    # Two disks are lost, as many as `faultTolerance` allows.
    lost = [
        machine
        for machine in fleet.controls
        if machine is not leader and machine.name != 'core-added'
    ][:2]
    for machine in lost:
        await fleet.lose_disk(machine)
    await asyncio.sleep(1)
    for machine in lost:
        fleet.start(machine)
    await asyncio.sleep(fleets.BOUNDS['recoveryS'])
    version = await read_back(operator, 10)
    record.write(f'version that is read back: {version or "none"}')
    return version == second['version']


async def run(record: fleets.Record, has_trouble: bool) -> bool:
    """Run the case with six control processes and two nodes."""
    fleet = fleets.Fleet(record, ('booking', 'booking'), 6, 2)
    targets = [
        target.Target(fleet, node, f'i-{number}')
        for number, node in enumerate(fleet.nodes)
    ]
    try:
        fleet.start_all()
        for checking_in in targets:
            await checking_in.start()
        return await run_steps(fleet, has_trouble)
    finally:
        for checking_in in targets:
            await checking_in.stop()
        fleet.close()


if __name__ == '__main__':
    case.run(str(pathlib.Path(__file__).parent), run, sys.argv[1:] != ['0'])
