"""An invalid configuration, then a valid one that has to be acknowledged."""

import asyncio
import copy
import json
import pathlib
import sys
import time

from review.stand_ins import case, http, target
from review.stand_ins import fleet as fleets

ROUTES = (
    ('browse', 'idempotent', 'booking'),
    ('confirm', 'non_idempotent', 'booking'),
)
ADDED = ('menu', 'idempotent', 'booking')
CLEAR = {200, 400, 409, 412, 413, 422}


def build_invalid() -> dict[str, object]:
    """Return a configuration with a host that is cut inside a character."""
    config = fleets.build_config(8, 7, ROUTES, ('booking',))
    extra = copy.deepcopy(config['listeners'][0])
    extra['host'] = 'caf\ud83d'
    config['listeners'].append(extra)
    return config


async def order_until_clear(
    operator: fleets.Operator, config: dict[str, object], limit_s: float
) -> http.Answer | None:
    """Send a configuration as the operator does, until the answer is clear."""
    note = f'version {config["version"]}'
    return await operator.order('PUT', '/-/config', config, limit_s, note)


async def run_steps(fleet: fleets.Fleet, has_trouble: bool) -> bool:
    """Return whether the valid configuration was acknowledged in time."""
    record = fleet.record
    operator = fleets.Operator(fleet)
    first = fleets.build_config(7, 0, ROUTES, ('booking',))
    if await operator.configure(first) != 200:
        raise fleets.Impossible('the first configuration was not accepted')
    await fleets.wait_until_ready(fleet)
    _, answer = await fleets.request(fleet, fleet.nodes[0], '/browse/1')
    if answer is None or answer.status != 200:
        raise fleets.Impossible('the deployment does not serve')
    if has_trouble:
        refused = await order_until_clear(operator, build_invalid(), 3)
        status = refused.status if refused else 'no clear answer'
        record.write(f'answer to the invalid configuration: {status}')
        if refused is not None and refused.status == 200:
            return False
    # The core is left alone from here on: no signal, no cut, no slow disk.
    await asyncio.sleep(fleets.BOUNDS['stabilityS'])
    valid = fleets.build_config(9, 7, (*ROUTES, ADDED), ('booking',))
    began_at = time.monotonic()
    accepted = await order_until_clear(operator, valid, 30)
    took_s = time.monotonic() - began_at
    status = accepted.status if accepted else 'no clear answer'
    record.write(f'answer to the valid configuration: {status}, {took_s:.1f} s')
    read = await operator.order('GET', '/-/config', limit_s=3)
    version = json.loads(read.body)['version'] if read else 'none'
    record.write(f'version that is read back: {version}')
    for machine in fleet.controls:
        if fleet.has_ended(machine):
            record.write(f'{machine.name} has ended')
    # `ackS`, and 3 ms for each route.
    limit_s = fleets.BOUNDS['ackS'] + 0.003 * (len(ROUTES) + 1)
    return status == 200 and took_s <= limit_s


async def run(record: fleets.Record, has_trouble: bool) -> bool:
    """Run the case with three control processes and three nodes."""
    fleet = fleets.Fleet(record, ('booking', 'booking', 'booking'))
    targets = [
        target.Target(fleet, node, f'i-{number}')
        for number, node in enumerate(fleet.nodes)
    ]
    try:
        fleet.start_all()
        for started in targets:
            await started.start()
        return await run_steps(fleet, has_trouble)
    finally:
        for started in targets:
            await started.stop()
        fleet.close()


if __name__ == '__main__':
    case.run(str(pathlib.Path(__file__).parent), run, sys.argv[1:] != ['0'])
