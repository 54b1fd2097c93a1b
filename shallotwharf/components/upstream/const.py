"""Refusal reasons, counters and limits of the gate."""

import typing

REASON_SLOTS_FULL: typing.Final = 'slots_full'
REASON_QUEUE_FULL: typing.Final = 'queue_full'
# The upstream takes no more requests a second.
REASON_LIMITED: typing.Final = 'rate_limited'
REASON_DEADLINE: typing.Final = 'deadline_too_short'
# The upstream is too slow at present, or too much waits there; another one may
# be in time.
REASON_SLOW: typing.Final = 'slow_now'
REASON_DRAINING: typing.Final = 'draining'
# The node shuts down before the deadline of the attempt.
REASON_STOPPING: typing.Final = 'stopping'
REASON_WARMING: typing.Final = 'warming'
# The operators evacuated the data centre; others may take the attempt.
REASON_EVACUATED: typing.Final = 'evacuated'
REASON_UNHEALTHY: typing.Final = 'unhealthy'
REASON_POISON: typing.Final = 'poison_request'
# The sending node used an outdated announcement.
REASON_NO_UPSTREAM: typing.Final = 'no_upstream'
REASON_WRONG_UPSTREAM: typing.Final = 'wrong_upstream'
# The node has just started and does not know yet what the others know.
REASON_LEARNING: typing.Final = 'learning'
# Two attempts with the same id would share a slot.
REASON_DUPLICATE: typing.Final = 'duplicate_attempt'

# As many requests were sent in the last second as a cold upstream takes.
REASON_COLD: typing.Final = 'upstream_cold'

EVENT_COLD: typing.Final = 'upstream_cold'
EVENT_WARM: typing.Final = 'upstream_warm'
EVENT_CHANGED: typing.Final = 'upstream_changed'
EVENT_NOTICE: typing.Final = 'upstream_notice'

EVENT_SHORT: typing.Final = 'room_short'
EVENT_RESTORED: typing.Final = 'room_restored'

COUNTER_REFUSED: typing.Final = 'upstream.refused.'
COUNTER_ADMITTED: typing.Final = 'upstream.admitted'
COUNTER_QUEUED: typing.Final = 'upstream.queued'
COUNTER_STALE: typing.Final = 'upstream.reports_stale'
COUNTER_PENDING: typing.Final = 'upstream.reports_pending'
COUNTER_LOAD_INVALID: typing.Final = 'upstream.load_invalid'
COUNTER_PROBES: typing.Final = 'upstream.probes'
COUNTER_CRASHES: typing.Final = 'upstream.crashes'

TIMER_QUEUE: typing.Final = 'queue'
TIMER_ANNOUNCE: typing.Final = 'announce'
TIMER_CRASH: typing.Final = 'crash'
TIMER_ROOM: typing.Final = 'room'
TIMER_LEARN: typing.Final = 'learn'

# A longer wait makes the response late, whereas a refused call can still run
# elsewhere.
DEFAULT_QUEUE_WAIT_MS: typing.Final = 50
DEFAULT_QUEUE_LIMIT: typing.Final = 16
# Shortest time between two announcements of spare slots.
DEFAULT_ANNOUNCE_INTERVAL_MS: typing.Final = 200

# Tokens of a rate limit that accumulate while there are fewer requests, so that
# the limit is used although requests arrive unevenly.
RATE_BURST_MS: typing.Final = 500
# A lower rate limit is raised to this one: a request every 4 s shows whether
# the limit has ended.
MIN_RATE_PER_SECOND: typing.Final = 0.25
# Requests that run at once until the first response shows whether the upstream
# names a limit: a restarted node does not know the limit that was named before.
UNPROVEN_SLOTS: typing.Final = 2

# An upstream that has closed a connection and answered nothing for this long
# has crashed. One that serves requests answers sooner.
CRASH_CONFIRM_MS: typing.Final = 500
# A response that was on its way when the upstream crashed is read within this
# time.
CRASH_RESPONSE_LAG_MS: typing.Final = 100
# Longest wait of a node after its start for what the others know.
LEARN_MS: typing.Final = 1000

# Noise on a machine changes every 600 ms, so that half of what was stated is
# worth nothing after this time.
SPEED_HALF_LIFE_MS: typing.Final = 400
# A speed stated earlier than this does not refuse an attempt.
SPEED_LIFETIME_MS: typing.Final = 600
# Weight of one response in the base speed of the upstream, which stays; it
# covers about a hundred responses.
BASE_SPEED_WEIGHT: typing.Final = 0.02
# Weight of one response in the present speed of an upstream that states none:
# the mean covers about five responses.
RECENT_SPEED_WEIGHT: typing.Final = 0.2
# Weight of one statement in the mean of the stated speed.
USUAL_SPEED_WEIGHT: typing.Final = 0.02
# Whole milliseconds do not show the speed of shorter work.
MIN_LEARNED_WORK_MS: typing.Final = 4
# A response that took longer than this multiple of the work was delayed by
# something else.
MAX_LEARNED_SPEED: typing.Final = 10
# Announced speeds are multiples of this percentage.
SPEED_STEP: typing.Final = 10
# Attempts of a call that are refused as too slow; later ones run anywhere.
SLOW_TRIES: typing.Final = 2
# Two hops and the choice of another target.
ELSEWHERE_MS: typing.Final = 4

# Factor of the rate that a cold upstream tolerates, and requests above it, that
# may reach it in any second.
DEFAULT_COLD_OVERAGE: typing.Final = 1.5
DEFAULT_COLD_SLACK: typing.Final = 8.0
# A second, and the time by which requests that were admitted later than others
# may arrive together with them.
COLD_WINDOW_MS: typing.Final = 1050
# Requests a second that are left unused.
COLD_MARGIN: typing.Final = 1
# Requests that may reach a cold upstream at once; the others are spread.
COLD_BURST: typing.Final = 3
# An upstream may turn cold at any moment: older evidence that it is warm does
# not count.
WARM_LIFETIME_MS: typing.Final = 250
# Probes are billed, so that evidence is renewed only shortly before its end,
# and only from this part of the limit on.
PROBE_REFRESH_MS: typing.Final = 200
PROBE_PART: typing.Final = 0.6
PROBE_TIMEOUT_MS: typing.Final = 250
PROBE_PAUSE_MS: typing.Final = 100
# A probe of an upstream known to be cold shows only that it is warm earlier
# than it stated.
PROBE_COLD_PAUSE_MS: typing.Final = 500

# Figures of a response are used for this time. Requests that are not known to
# the gate have ended by then, or other responses show that they have not.
OCCUPANCY_LIFETIME_MS: typing.Final = 1000
# Upstreams drop a request when its connection closes, at the latest at its
# deadline, which is seconds away.
OCCUPANCY_START_MS: typing.Final = 3000

# Consecutive failures after which the upstream counts as unhealthy.
FAILURE_LIMIT: typing.Final = 10
# An unhealthy upstream gets one trial request after this delay, which doubles
# with each failed trial.
TRIAL_DELAY_MS: typing.Final = 200
MAX_TRIAL_DELAY_MS: typing.Final = 5000
# The health endpoint lags behind, so its status is used only if no request
# succeeded or failed within this period.
REQUEST_EVIDENCE_MS: typing.Final = 2000
# Weight of one response in the estimate of the shortest run time.
RUN_TIME_WEIGHT: typing.Final = 0.02
# Weight of one response in the mean run time: the mean covers about the last
# second of a loaded upstream with ten slots.
MEAN_TIME_WEIGHT: typing.Final = 0.02

# Weight of one response in the usual run time of a route: about the last 20.
WORK_WEIGHT: typing.Final = 0.05
# Responses after which the run time of a route counts as known.
KNOWN_COUNT: typing.Final = 3
# Limits on the memory of a gate; a service has tens of routes and tenants.
MAX_ROUTES: typing.Final = 512
MAX_KINDS: typing.Final = 1024
# The margin of a run time is at most this fraction (1/n) of it.
MARGIN_DIVISOR: typing.Final = 2
# A run that has taken longer than usual is expected to need this fraction
# (1/n) of its usual time.
OVERDUE_DIVISOR: typing.Final = 8
# Part of the mean served share that each rank and each tenant gets at least. A
# tenant must get half of it at equal rank, and a kind far more than a quarter;
# the rest covers credit that is lost to expired attempts.
RANK_PART: typing.Final = 0.6
TENANT_PART: typing.Final = 0.7
# While others wait, a tenant holds at most this fraction (1/n) of the queue.
TENANT_QUEUE_DIVISOR: typing.Final = 2
# A waiting attempt may be given up for another one during this fraction (1/n)
# of its latency target; later, the caller could not be served elsewhere.
GIVE_UP_DIVISOR: typing.Final = 4
# One that was refused elsewhere before may have waited there as well.
RETRIED_GIVE_UP_DIVISOR: typing.Final = 8
# Room counts as restored when nothing was refused for lack of it for this long.
ROOM_RESTORED_MS: typing.Final = 1000
# An estimate that no response has confirmed for this long is halved, and again
# after the same time.
STALE_MS: typing.Final = 2000
# Latest starts within this time are equal, and the shorter work goes first.
START_GRAIN_MS: typing.Final = 25
# Time over which the slots taken by each rank are averaged.
USAGE_WINDOW_MS: typing.Final = 1000
# An attempt that cannot be served elsewhere any more goes first when it must
# start within this many mean times between two admissions.
DUE_PERIODS: typing.Final = 3
# At most one of this many admissions goes to a rank because it is owed one, so
# that more urgent attempts wait a little longer, and not in vain.
OWED_PERIOD: typing.Final = 3
# An attempt that waited for long may start this fraction (1/n) of its run time
# after its latest start.
GRACE_DIVISOR: typing.Final = 2
# Waits are longer than estimated, since attempts that are owed an admission and
# those that are due go first: with 1, twice as many are refused after a wait of
# a quarter of their target.
WAIT_FACTOR: typing.Final = 1.2
