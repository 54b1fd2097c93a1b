"""Compare admission at the gate with upstream selection by callers alone.

    python -m measurements.admission --seed 1

A discrete-event simulation with the real `Gate` and `CallRouter`: 12 callers,
6 upstreams of 18 slots, four priorities. `gate` is the system as it is. In
`caller` there is no gate: callers choose by the same stale announcements, and
each upstream has an unbounded queue in order of arrival. Both get the same
arrivals. A late call has no response by its deadline; a refused call gets a
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
from shallotwharf.core import (
    call_interfaces,
    call_replies,
    calls,
    clock,
    effects,
    messages,
)

SLOTS = 18
UPSTREAMS = 6
CALLERS = 12
MEAN_RUN_MS = 20
DEADLINE_MS = 100
ARRIVAL_SECONDS = 20
ANNOUNCE_PERIOD_MS = 200
PRIORITY_WEIGHTS = dict(
    zip(const.PRIORITIES, (0.15, 0.15, 0.2, 0.5), strict=True)
)


class Simulation:
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

    def schedule(self, due, action, *arguments):
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
        'simulation',
        'running',
        'queue',
    )

    def __init__(self, simulation):
        self.simulation = simulation
        self.running = 0
        self.queue = collections.deque()

    def submit(self, run_ms, done):
        self.queue.append((run_ms, done))
        self.start_queued()

    def start_queued(self):
        while self.queue and self.running < SLOTS:
            self.running += 1
            run_ms, done = self.queue.popleft()
            self.simulation.schedule(
                self.simulation.now + run_ms, self.finish_request, done
            )

    def finish_request(self, done):
        self.running -= 1
        done()
        self.start_queued()


class GatedServer:
    """An upstream whose requests are admitted by a gate."""

    __slots__ = (
        'simulation',
        'server',
        'publish_announcement',
        'waiting',
        'member',
        'gate',
    )

    def __init__(self, simulation, number, publish_announcement):
        self.simulation = simulation
        self.server = Server(simulation)
        self.publish_announcement = publish_announcement
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
        self.handle_message(upstream.UpstreamStarted(description))

    def handle_message(self, message):
        self.execute(self.gate.handle(message, '', self.simulation.now))

    def execute(self, produced):
        for effect in produced:
            if isinstance(effect, effects.SetTimer):
                fired = messages.TimerFired(effect.name)
                self.simulation.schedule(effect.at, self.handle_message, fired)
            elif isinstance(effect, effects.Answer):
                self.waiting.pop(effect.request)(effect.reply)
            elif isinstance(effect, effects.Publish):
                if isinstance(effect.message, membership.Announce):
                    self.publish_announcement(effect.message.announcement)

    def submit(self, step, request, run_ms, done):
        def handle_admission(admission):
            if isinstance(admission, call_replies.Refused):
                done(calls.Result(calls.OUTCOME_REFUSED, admission.reason))
            else:
                self.server.submit(run_ms, finish)

        def finish():
            ended = calls.Result(calls.OUTCOME_ANSWERED, '', 200)
            if self.simulation.now > step.deadline_at:
                ended = calls.Result(calls.OUTCOME_LATE)
            self.gate.leave(step.attempt, ended, self.simulation.now)
            self.execute(self.gate.drain_effects())
            done(ended)

        admission = self.gate.enter(step, request, self.simulation.now)
        if isinstance(admission, call_replies.Queued):
            self.waiting[step.attempt] = handle_admission
        self.execute(self.gate.drain_effects())
        if not isinstance(admission, call_replies.Queued):
            handle_admission(admission)


class UngatedServer:
    """An upstream without a gate that announces its spare slots."""

    __slots__ = (
        'simulation',
        'server',
        'publish_announcement',
        'member',
        'generation',
    )

    def __init__(self, simulation, number, publish_announcement):
        self.simulation = simulation
        self.server = Server(simulation)
        self.publish_announcement = publish_announcement
        self.member = build_member(f'u{number}')
        self.generation = 0
        self.announce()

    def announce(self):
        self.generation += 1
        spare = max(SLOTS - self.server.running - len(self.server.queue), 0)
        self.publish_announcement(
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
        if self.simulation.now < ARRIVAL_SECONDS * clock.SECOND_MS:
            self.simulation.schedule(
                self.simulation.now + ANNOUNCE_PERIOD_MS, self.announce
            )

    def submit(self, step, request, run_ms, done):
        def finish():
            late = self.simulation.now > step.deadline_at
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
    simulation = Simulation(seed)
    announcements = {}
    servers = {}
    callers = [build_router(number, seed) for number in range(CALLERS)]
    counts = collections.Counter()

    def publish_announcement(row):
        announcements[row.node.name] = row

    def gossip():
        rows = membership.AnnouncementsChanged(tuple(announcements.values()))
        for made in callers:
            made.handle(rows, '', simulation.now)
        if simulation.now < ARRIVAL_SECONDS * clock.SECOND_MS:
            simulation.schedule(simulation.now + ANNOUNCE_PERIOD_MS, gossip)

    for number in range(UPSTREAMS):
        made = kind(simulation, number, publish_announcement)
        servers[made.member.name] = made
    gossip()

    def start_call(name):
        request = calls.Request('GET', f'/{name}')
        plan = simulation.random.choice(callers).plan(request)
        run_ms = max(1, round(simulation.random.expovariate(1 / MEAN_RUN_MS)))
        started_at = simulation.now
        state = {'step': plan.start(simulation.now), 'open': True}

        def expire():
            if state['open']:
                state['open'] = False
                counts[name, 'late'] += 1

        def send_attempt():
            step = state['step']
            priority = int(step.forwarded.split(' ')[0])
            entered = calls.Enter(
                step.attempt,
                priority,
                's',
                'v',
                started_at + DEADLINE_MS,
                started_at + DEADLINE_MS,
                step.retried,
            )
            target = plan._target.announcement.node.name
            servers[target].submit(entered, request, run_ms, handle_result)

        def handle_result(ended):
            following = plan.resume(ended, simulation.now)
            state['step'] = following
            if isinstance(following, calls.Forward):
                send_attempt()
            elif state['open']:
                state['open'] = False
                refused = isinstance(following, calls.Respond)
                late = ended.outcome == calls.OUTCOME_LATE
                outcome = 'refused' if refused and not late else 'ok'
                counts[name, 'late' if late else outcome] += 1

        simulation.schedule(started_at + DEADLINE_MS + 1, expire)
        send_attempt()

    rate = load * UPSTREAMS * SLOTS / MEAN_RUN_MS
    due = 0.0
    while due < ARRIVAL_SECONDS * clock.SECOND_MS:
        due += simulation.random.expovariate(rate)
        name = simulation.random.choices(
            list(PRIORITY_WEIGHTS), list(PRIORITY_WEIGHTS.values())
        )[0]
        simulation.schedule(int(due), start_call, name)
    simulation.run()
    return counts


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    print(
        f'{ARRIVAL_SECONDS} s, {UPSTREAMS} upstreams x {SLOTS} slots, run time'
        f' {MEAN_RUN_MS} ms (exponential), deadline {DEADLINE_MS} ms'
    )
    print('load side    class          calls    ok %  late %  refused %')
    for load in (0.8, 2, 4):
        for variant, kind in (('caller', UngatedServer), ('gate', GatedServer)):
            counts = simulate(kind, load, options.seed)
            for name in const.PRIORITIES:
                parts = [
                    counts[name, outcome]
                    for outcome in ('ok', 'late', 'refused')
                ]
                total = sum(parts)
                shown = [f'{100 * part / total:7.1f}' for part in parts]
                print(
                    f'{load:4} {variant:7} {name:13} {total:6}',
                    *shown,
                )


if __name__ == '__main__':
    main()
