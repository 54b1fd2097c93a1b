"""Outages of a whole fleet of real processes just after a change.

All machines of a deployment run as processes on loopback addresses. Operators
change the configuration; right after it machines are killed, lose power, some
with their disks, or are cut off, and come back. The checks are those of the
platform: what was acknowledged is in force everywhere within
`stand_ins.APPLY_S`, never older in one lifetime of a node, and is read back.

Run with `python -m measurements.restarts --seed 1 --folder FOLDER`.
"""

import argparse
import asyncio
import os
import pathlib
import random
import tempfile
import time

from tornado import simple_httpclient

from measurements import machines, stand_ins, wires

# Bound of the platform, in seconds.
STABILITY_S = 3.0
BOUNDS = {
    'budgetRatio': '0.2',
    'budgetExtraTries': '64',
    'budgetWindowS': '10',
    'graceS': '6',
}
ZONES = {
    'bergamo-a': 'lombardia',
    'verona-a': 'veneto',
    'novara-a': 'piemonte',
    'bergamo-b': 'lombardia',
    'verona-b': 'veneto',
    'novara-b': 'piemonte',
}
LOST_DISKS = 2
CUTS = ('cut-core', 'cut-halves', 'cut-voters', 'cut-zones', 'cut-regions')
POWER = ('power', 'wipe', 'core-power')
KINDS = ('kill', 'core-kill', *POWER, *CUTS)


class Run:
    """One seeded run."""

    __slots__ = (
        '_options',
        '_record',
        '_random',
        '_client',
        '_fleet',
        '_operator',
        '_upstreams',
        '_consumers',
    )

    def __init__(self, options, record, folder):
        self._options = options
        self._record = record
        self._random = random.Random(options.seed)
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=400
        )
        self._fleet = machines.Fleet(
            folder,
            ZONES,
            stand_ins.SERVICES,
            LOST_DISKS,
            BOUNDS,
            options.delay_ms,
            options.forget,
        )
        self._operator = stand_ins.Operator(
            self._fleet, self._client, record, self._random
        )
        self._upstreams = [
            stand_ins.Upstream(machine, self._client)
            for machine in self._fleet.nodes
        ]
        self._consumers = [
            stand_ins.Consumer(machine, self._operator, self._client, record)
            for machine in self._fleet.nodes
        ]

    async def async_run(self):
        tasks = []
        try:
            for upstream in self._upstreams:
                upstream.start()
            for machine in self._fleet.list_all():
                self._start(machine)
            if not await self._operator.async_change():
                raise RuntimeError('the first change was not accepted')
            tasks = [
                asyncio.create_task(consumer.async_probe())
                for consumer in self._consumers
            ]
            await asyncio.sleep(STABILITY_S)
            for turn in range(self._options.turns):
                await self._async_change_some()
                await self._async_disrupt(turn)
        finally:
            for task in tasks:
                task.cancel()
            for upstream in self._upstreams:
                upstream.stop()
            self._fleet.close()

    async def _async_change_some(self):
        for _ in range(self._random.randint(2, 5)):
            await self._operator.async_change()
            await asyncio.sleep(self._random.uniform(0.02, 0.4))

    async def _async_disrupt(self, turn):
        """Disrupt the fleet right after an acknowledgement."""
        kind = self._options.kind or self._random.choice(KINDS)
        last = asyncio.create_task(self._operator.async_change())
        if self._random.random() < 0.5:
            await last
        else:
            await asyncio.sleep(self._random.uniform(0, 0.1))
        self._record.write(f'turn {turn}: {kind}')
        for consumer in self._consumers:
            consumer.calm_from = float('inf')
        changing = asyncio.create_task(self._async_change_during(last))
        if kind in CUTS:
            await self._async_cut(kind)
        else:
            await self._async_restart(kind)
        self._fleet.network.connect_all()
        self._record.write(f'turn {turn}: the network is back')
        back_at = time.monotonic()
        for consumer in self._consumers:
            consumer.calm_from = back_at + 2 * STABILITY_S
        await last
        await changing
        await self._async_watch(kind, turn, back_at)

    async def _async_cut(self, kind):
        """Cut the control processes off, then connect them again."""
        hosts = [machine.host for machine in self._fleet.controls]
        others = [machine.host for machine in self._fleet.nodes]
        zones = {
            machine.host: machine.fields['zone']
            for machine in self._fleet.list_all()
        }
        regions = {host: ZONES[zone] for host, zone in zones.items()}
        if kind == 'cut-core':
            self._fleet.network.cut(*hosts)
        elif kind == 'cut-voters':
            self._cut_pairs(hosts, hosts, lambda *_: True)
        elif kind == 'cut-halves':
            chosen = self._random.sample(hosts, len(hosts) // 2)
            rest = [host for host in hosts if host not in chosen]
            self._cut_pairs(chosen, rest, lambda *_: True)
        elif kind == 'cut-zones':
            self._cut_pairs(
                hosts + others,
                hosts + others,
                lambda first, second: zones[first] != zones[second],
            )
        else:
            self._cut_pairs(
                hosts + others,
                hosts + others,
                lambda first, second: regions[first] != regions[second],
            )
        cut_s = self._options.cut_s or self._random.uniform(1.5, 5.0)
        ends_at = time.monotonic() + cut_s
        await asyncio.sleep(self._random.uniform(0, cut_s))
        for machine in self._choose_nodes():
            machine.kill()
            machine.wait()
            self._forget(machine)
            self._start(machine)
        await asyncio.sleep(max(ends_at - time.monotonic(), 0))

    def _choose_nodes(self):
        """Return some nodes that restart as well, or none."""
        if self._random.random() < 0.5:
            return []
        return self._random.sample(self._fleet.nodes, 4)

    def _forget(self, machine):
        """Let a node begin another lifetime."""
        for consumer in self._consumers:
            if consumer.machine is machine:
                consumer.seen = {}

    def _cut_pairs(self, firsts, seconds, is_cut):
        self._fleet.network.cut(
            *(
                wires.name_pair(first, second)
                for first in firsts
                for second in seconds
                if first != second and is_cut(first, second)
            )
        )

    async def _async_restart(self, kind):
        """End processes, and start them again one after the other."""
        core = kind.startswith('core')
        ended = self._fleet.list_all()
        if core:
            ended = [*self._fleet.controls, *self._choose_nodes()]
        loses_power = kind in POWER
        if loses_power:
            self._fleet.network.cut(*(machine.host for machine in ended))
        for machine in ended:
            machine.kill()
        for machine in ended:
            machine.wait()
        self._fleet.end_bootstrap()
        if loses_power:
            for machine in ended:
                machine.cut_power()
                machine.restore_disk()
        if kind == 'wipe':
            for machine in self._random.sample(
                self._fleet.controls, LOST_DISKS
            ):
                self._record.write(f'{machine.name} has lost its disk')
                machine.lose_disk()
        for machine in ended:
            self._forget(machine)
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        waits = sorted(
            (self._random.uniform(0, self._options.spread_s), index)
            for index in range(len(ended))
        )
        began_at = time.monotonic()
        for wait_s, index in waits:
            await asyncio.sleep(max(began_at + wait_s - time.monotonic(), 0))
            self._start(ended[index])
        dark_s = self._options.dark_s
        await asyncio.sleep(self._random.uniform(0, dark_s))

    async def _async_watch(self, kind, turn, back_at):
        """Read the configuration, and find when each node runs it."""
        settled_at = {}
        while time.monotonic() < back_at + self._options.watch_s:
            await self._operator.async_read()
            newest = self._operator.version
            for consumer in self._consumers:
                if newest in consumer.seen:
                    began_at = max(back_at, self._operator.acknowledged[newest])
                    settled_at[consumer.machine.name] = (
                        consumer.seen[newest] - began_at
                    )
            await asyncio.sleep(0.1)
        times = sorted(settled_at.values())
        found = [f'{at:.2f}' for at in times]
        self._record.write(f'turn {turn}: up to date after {found}')
        print(kind, len(times), found[0] if found else '', found[-3:])

    async def _async_change_during(self, last):
        """Change the configuration while machines start, or not at all."""
        await last
        if self._random.random() < 0.5:
            return
        await asyncio.sleep(self._random.uniform(0, 8.0))
        await self._operator.async_change()

    def _start(self, machine):
        self._record.write(f'{machine.name} starts')
        machine.started_at = time.monotonic()
        machine.start(self._options.sync_ms)


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--turns', type=int, default=2)
    parser.add_argument('--kind', choices=KINDS)
    parser.add_argument('--spread-s', type=float, default=1.2)
    parser.add_argument('--dark-s', type=float, default=4.0)
    parser.add_argument('--cut-s', type=float, default=0.0)
    parser.add_argument('--delay-ms', type=int, default=6)
    parser.add_argument('--sync-ms', type=int, default=5)
    parser.add_argument('--forget', action='store_true')
    parser.add_argument('--watch-s', type=float, default=14.0)
    parser.add_argument('--folder')
    return parser


def run(options):
    """Run as the command line says; return the rules that were broken."""
    folder = options.folder or tempfile.mkdtemp()
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    record = stand_ins.Record(os.path.join(folder, 'record.txt'))
    asyncio.run(Run(options, record, folder).async_run())
    print(f'seed {options.seed}: {len(record.faults)} faults, in {folder}')
    return record.faults


if __name__ == '__main__':
    for broken in run(build_parser().parse_args()):
        print(broken)
