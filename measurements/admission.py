"""Compare admission at the gate with upstream selection by callers alone.

    python -m measurements.admission --seed 1

A discrete-event simulation with the real `Gate` and `CallRouter`: 12 callers,
6 upstreams of 18 slots, four priorities. `gate` is the system as it is. In
`caller` there is no gate: callers choose by the same stale announcements, and
each upstream has an unbounded queue in order of arrival. Both get the same
arrivals. A late call has no answer by its deadline; a refused call gets a
refusal before its deadline.
"""

import argparse
import collections
import heapq
import itertools
import random

from shallotwharf.components.call import router
from shallotwharf.components.membership import messages as membership
from shallotwharf.components.tables import const, pool, route, version
from shallotwharf.components.tables import messages as tables
from shallotwharf.components.upstream import gate, settings
from shallotwharf.components.upstream import messages as upstream
from shallotwharf.core import call_interfaces, calls, clock, effects, messages

SLOTS = 18
UPSTREAMS = 6
CALLERS = 12
RUN_MS = 20
DEADLINE_MS = 100
SECONDS = 20
GOSSIP_MS = 200
MIX = dict(zip(const.PRIORITIES, (0.15, 0.15, 0.2, 0.5), strict=True))


class World:
    """Event queue ordered by time, then by the order of insertion."""

    __slots__ = (
        'now',
        'random',
        'events',
        'sequence',
    )

    def __init__(self, seed):
        self.now = 0
        self.random = random.Random(seed)
        self.events = []
        self.sequence = itertools.count()

    def at(self, due, action, *arguments):
        heapq.heappush(
            self.events, (due, next(self.sequence), action, arguments)
        )

    def run(self):
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)


class Server:
    """An upstream that runs `SLOTS` requests at once and queues the rest."""

    __slots__ = (
        'world',
        'running',
        'queue',
    )

    def __init__(self, world):
        self.world = world
        self.running = 0
        self.queue = collections.deque()

    def submit(self, run_ms, done):
        self.queue.append((run_ms, done))
        self.pump()

    def pump(self):
        while self.queue and self.running < SLOTS:
            self.running += 1
            run_ms, done = self.queue.popleft()
            self.world.at(self.world.now + run_ms, self.end, done)

    def end(self, done):
        self.running -= 1
        done()
        self.pump()


class GatedServer:
    """An upstream whose requests are admitted by a gate."""

    __slots__ = (
        'world',
        'server',
        'share',
        'waiting',
        'member',
        'gate',
    )

    def __init__(self, world, number, share):
        self.world = world
        self.server = Server(world)
        self.share = share
        self.waiting = {}
        self.member = build_member(f'u{number}')
        self.gate = gate.Gate(
            self.member,
            settings.GateSettings(),
            call_interfaces.EmptyPoisonList(),
            0,
        )
        description = call_interfaces.UpstreamDescription(
            's', 'v', '', 1, SLOTS, 0, ''
        )
        self.tell(upstream.UpstreamStarted(description))

    def tell(self, message):
        self.run(self.gate.handle(message, '', self.world.now))

    def run(self, step):
        for effect in step:
            if isinstance(effect, effects.SetTimer):
                fired = messages.TimerFired(effect.name)
                self.world.at(effect.at, self.tell, fired)
            elif isinstance(effect, effects.Answer):
                self.waiting.pop(effect.request)(effect.reply)
            elif isinstance(effect, effects.Publish):
                if isinstance(effect.message, membership.Announce):
                    self.share(effect.message.announcement)

    def submit(self, step, request, run_ms, done):
        def settle(admission):
            if isinstance(admission, calls.Refused):
                done(calls.Result(calls.OUTCOME_REFUSED, admission.reason))
            else:
                self.server.submit(run_ms, finish)

        def finish():
            ended = calls.Result(calls.OUTCOME_ANSWERED, '', 200)
            if self.world.now > step.deadline_at:
                ended = calls.Result(calls.OUTCOME_LATE)
            self.gate.leave(step.attempt, ended, self.world.now)
            self.run(self.gate.drain_effects())
            done(ended)

        admission = self.gate.enter(step, request, self.world.now)
        if isinstance(admission, calls.Queued):
            self.waiting[step.attempt] = settle
        self.run(self.gate.drain_effects())
        if not isinstance(admission, calls.Queued):
            settle(admission)


class Plain:
    """An upstream without a gate that announces its spare slots."""

    __slots__ = (
        'world',
        'server',
        'share',
        'member',
        'generation',
    )

    def __init__(self, world, number, share):
        self.world = world
        self.server = Server(world)
        self.share = share
        self.member = build_member(f'u{number}')
        self.generation = 0
        self.announce()

    def announce(self):
        self.generation += 1
        spare = max(SLOTS - self.server.running - len(self.server.queue), 0)
        self.share(
            membership.Announcement(
                self.member,
                's',
                'v',
                membership.UPSTREAM_READY,
                SLOTS,
                spare,
                self.generation,
            )
        )
        if self.world.now < SECONDS * clock.SECOND_MS:
            self.world.at(self.world.now + GOSSIP_MS, self.announce)

    def submit(self, step, request, run_ms, done):
        def finish():
            late = self.world.now > step.deadline_at
            outcome = calls.OUTCOME_LATE if late else calls.OUTCOME_ANSWERED
            done(calls.Result(outcome, '', 200))

        self.server.submit(run_ms, finish)


def build_member(name):
    return membership.Member(name, 'd', 'r', '', 1, 1)


def build_router(number, seed):
    routes = tuple(
        route.Route(
            name, f'/{name}', ('GET',), 'p', name, DEADLINE_MS, retries=1
        )
        for name in const.PRIORITIES
    )
    served = (pool.Pool('p', 's', {'v': 100}),)
    made = router.CallRouter(
        build_member(f'c{number}'),
        f'c{number}',
        random.Random(seed * 1000 + number),
        call_interfaces.NullObserver(),
    )
    applied = version.Version(1, version.Tables(routes, served))
    made.handle(tables.VersionApplied(applied), '', 0)
    return made


def simulate(kind, load, seed):
    """Run one simulation.

    Args:
        kind: class of the upstreams.
        load: arrivals as a multiple of what all slots can run.
        seed: of arrivals, run times and choices.

    Returns:
        Number of calls by priority and result (`ok`, `late`, `refused`).
    """
    world = World(seed)
    known = {}
    servers = {}
    callers = [build_router(number, seed) for number in range(CALLERS)]
    ends = collections.Counter()

    def share(row):
        known[row.node.name] = row

    def gossip():
        rows = membership.AnnouncementsChanged(tuple(known.values()))
        for made in callers:
            made.handle(rows, '', world.now)
        if world.now < SECONDS * clock.SECOND_MS:
            world.at(world.now + GOSSIP_MS, gossip)

    for number in range(UPSTREAMS):
        made = kind(world, number, share)
        servers[made.member.name] = made
    gossip()

    def begin(name):
        request = calls.Request('GET', f'/{name}')
        plan = world.random.choice(callers).plan(request)
        run_ms = max(1, round(world.random.expovariate(1 / RUN_MS)))
        began = world.now
        state = {'step': plan.start(world.now), 'open': True}

        def expire():
            if state['open']:
                state['open'] = False
                ends[name, 'late'] += 1

        def carry():
            step = state['step']
            rank = int(step.forwarded.split(' ')[0])
            entered = calls.Enter(
                step.attempt,
                rank,
                's',
                'v',
                began + DEADLINE_MS,
                began + DEADLINE_MS,
                step.retried,
            )
            target = plan._target.announcement.node.name
            servers[target].submit(entered, request, run_ms, end)

        def end(ended):
            following = plan.resume(ended, world.now)
            state['step'] = following
            if isinstance(following, calls.Forward):
                carry()
            elif state['open']:
                state['open'] = False
                refused = isinstance(following, calls.Respond)
                late = ended.outcome == calls.OUTCOME_LATE
                word = 'refused' if refused and not late else 'ok'
                ends[name, 'late' if late else word] += 1

        world.at(began + DEADLINE_MS + 1, expire)
        carry()

    rate = load * UPSTREAMS * SLOTS / RUN_MS
    due = 0.0
    while due < SECONDS * clock.SECOND_MS:
        due += world.random.expovariate(rate)
        name = world.random.choices(list(MIX), list(MIX.values()))[0]
        world.at(int(due), begin, name)
    world.run()
    return ends


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    print(
        f'{SECONDS} s, {UPSTREAMS} upstreams x {SLOTS} slots, run time'
        f' {RUN_MS} ms (exponential), deadline {DEADLINE_MS} ms'
    )
    print('load side    class          calls    ok %  late %  refused %')
    for load in (0.8, 2, 4):
        for side, kind in (('caller', Plain), ('gate', GatedServer)):
            ends = simulate(kind, load, options.seed)
            for name in const.PRIORITIES:
                parts = [ends[name, word] for word in ('ok', 'late', 'refused')]
                total = sum(parts)
                shown = [f'{100 * part / total:7.1f}' for part in parts]
                print(
                    f'{load:4} {side:7} {name:13} {total:6}',
                    *shown,
                )


if __name__ == '__main__':
    main()
