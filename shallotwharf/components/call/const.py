"""Reasons, counters and limits of the call path."""

import sys
import types
import typing

from shallotwharf.core import calls

REASON_NO_VERSION: typing.Final = 'no_version'
REASON_UNKNOWN_ROUTE: typing.Final = 'unknown_route'
REASON_UNKNOWN_KEY: typing.Final = 'unknown_key'
REASON_REVOCATION: typing.Final = 'revocation_unknown'
REASON_QUOTA: typing.Final = 'quota_exceeded'
REASON_NO_UPSTREAM: typing.Final = 'no_upstream'
# No upstream in a region that the route and the tenant allow.
REASON_REGION: typing.Final = 'no_upstream_in_region'
REASON_DEADLINE: typing.Final = 'deadline_too_short'
# The call would miss its latency target, and no target seems to have room.
REASON_LATE: typing.Final = 'late_without_room'
# Gates have just refused calls that needed no more than this one.
REASON_NO_ROOM: typing.Final = 'no_room'
# The node shuts down before the deadline of the call.
REASON_STOPPING: typing.Final = 'stopping'
REASON_KEY: typing.Final = 'idempotency_key_missing'
REASON_FORWARDED: typing.Final = 'forwarded_header_invalid'

# Any other target would refuse for these reasons too, so they are not retried.
FINAL_REASONS: typing.Final = frozenset(('poison_request', REASON_DEADLINE))
# The upstream has room but is too slow at present for the latency target.
REASON_SLOW: typing.Final = 'slow_now'
# Refusals of a call as too slow that need no token of the retry budget: the
# gate's check refuses two attempts, and the next one runs.
SLOW_TRIES: typing.Final = 2
# Refusals for lack of room; each may follow a wait in the queue of a gate.
FULL_REASONS: typing.Final = frozenset(
    ('slots_full', 'queue_full', 'rate_limited', 'upstream_cold')
)
# Refusals for lack of room after which a call is rejected with scheduling:
# while no target seems to have room, and while one does, which may be out of
# date.
FULL_TRIES: typing.Final = 3
KNOWN_FULL_TRIES: typing.Final = 4
# For this time after all gates that a call asked had no room, similar calls
# are rejected at once: a slot of a small service gets free about as often.
SHORTAGE_LIFETIME_MS: typing.Final = 30
# A run time that no response has confirmed for this long is halved, and again
# after the same time, so that one long run cannot reject all calls of a route.
STALE_MS: typing.Final = 2000
# A call that finds no room is given up after this fraction (1/n) of its
# route's latency target, so that the caller can still retry in time.
FULL_WAIT_DIVISOR: typing.Final = 4
# A refusal for this reason counts as an error of the version.
REASON_UNHEALTHY: typing.Final = 'unhealthy'

COUNTER_REFUSED: typing.Final = 'call.refused.'
COUNTER_RETRIED: typing.Final = 'call.retried.'
COUNTER_RETRY_DENIED: typing.Final = 'call.retry_denied.'
COUNTER_SPILLED: typing.Final = 'call.spilled'
COUNTER_EVACUATED: typing.Final = 'call.datacentre_evacuated'
COUNTER_RESTORED: typing.Final = 'call.datacentre_restored'

EVENT_EVACUATED: typing.Final = 'datacentre_evacuated'
EVENT_RESTORED: typing.Final = 'datacentre_restored'

DENIED_DEEPER: typing.Final = 'deeper_hop'
DENIED_LIMIT: typing.Final = 'route_limit'
DENIED_BUDGET: typing.Final = 'budget'
DENIED_DEADLINE: typing.Final = 'deadline'
DENIED_HELD: typing.Final = 'held'
DENIED_FULL: typing.Final = 'full'
DENIED_RAN_TWICE: typing.Final = 'ran_twice'

# Deadline margin per hop: a hop must time out before its caller does, and
# deadlines are whole milliseconds.
HOP_MARGIN_MS: typing.Final = 1
# Covers connecting and sending a once-only call to another node, so that it
# does not start after its grant expires.
START_MARGIN_MS: typing.Final = 500
# Later than any clock reading: no limit on the start of a call.
NO_LIMIT_AT: typing.Final = sys.maxsize

# One-way latencies of section 1.1 of the design, in milliseconds.
REGION_LATENCY_MS: typing.Final = 1
REMOTE_LATENCY_MS: typing.Final = 12
# Routes whose mean response size is at least this stay within the region: at
# the price of traffic between regions, such a response costs more than a
# refusal.
LARGE_RESPONSE_BYTES: typing.Final = 32_768

# Retry budget of each pool at a node: 10% of its calls and 2 per second.
# A node that was not heard of for this long no longer counts as one of those
# that share the limits of retries. Cuts between regions last for minutes.
SHARER_RETENTION_MS: typing.Final = 600_000
BUDGET_PER_CALL: typing.Final = 0.1
BUDGET_PER_SECOND: typing.Final = 2.0
BUDGET_CAP: typing.Final = 20.0

# An unreached target is avoided for as long as the membership takes to suspect
# its node; one that refused for lack of slots, for about one run time.
AVOID_UNREACHED_MS: typing.Final = 1000
# The period doubles with each further unreached attempt, up to this limit.
MAX_AVOID_UNREACHED_MS: typing.Final = 8000
AVOID_REFUSED_MS: typing.Final = 20
# Expected run time of a call whose route has had no response yet.
UNKNOWN_WORK_MS: typing.Final = 30
# Expected times that differ by less than this fraction count as equal: the
# news behind them are old, and other nodes choose by the same ones.
EXPECTATION_SCATTER: typing.Final = 0.3
# Half of the difference between the present and the usual speed of a target is
# gone after this time: noise on a machine changes about every 600 ms.
SPEED_HALF_LIFE_MS: typing.Final = 400
# Another data centre is chosen for speed alone if the expected time there is at
# most this fraction; between regions bytes are billed.
REGION_GAIN: typing.Final = 0.8
REMOTE_GAIN: typing.Final = 0.5
# A target that answered none of the attempts in flight for this multiple of its
# usual run time, and for at least this time, may have hung.
SILENT_RUNS: typing.Final = 5
MIN_SILENT_MS: typing.Final = 250
# A run that took longer or shorter than the mean by more than this factor was
# delayed by something else than the speed of its upstream.
MAX_RELATIVE: typing.Final = 5
# Weight of one attempt in the usual run time of a target.
TARGET_RUN_WEIGHT: typing.Final = 0.1
# These reasons persist longer: until a new announcement arrives, or until the
# gate sends the upstream a trial request.
AVOID_MS: typing.Final = types.MappingProxyType(
    {
        'draining': AVOID_UNREACHED_MS,
        REASON_NO_UPSTREAM: AVOID_UNREACHED_MS,
        'wrong_upstream': AVOID_UNREACHED_MS,
        # The gate has a newer version than this node.
        'evacuated': AVOID_UNREACHED_MS,
        REASON_UNHEALTHY: 200,
        # Noise on a machine changes about every 600 ms.
        'slow_now': 200,
    },
)

STATUS_BAD_REQUEST: typing.Final = 400
STATUS_UNAUTHORIZED: typing.Final = 401
STATUS_NOT_FOUND: typing.Final = 404
STATUS_TOO_MANY: typing.Final = 429
STATUS_SERVER_ERROR: typing.Final = 500
STATUS_BAD_GATEWAY: typing.Final = 502
STATUS_UNAVAILABLE: typing.Final = 503
STATUS_TIMEOUT: typing.Final = 504
# After this time a node counts as ready although some pools have no known
# upstream. Announcements within the data centre arrive in about a second.
READY_TIMEOUT_MS: typing.Final = 3000
# The upstream or the node beside it did not respond. The target is avoided for
# a while, because a frozen one stays in the directory for seconds.
UNRESPONSIVE_OUTCOMES: typing.Final = frozenset(
    (calls.OUTCOME_UNREACHED, calls.OUTCOME_LATE),
)
# For this time after a response reported the spare slots, announced values are
# ignored, because they are older.
SPARE_LIFETIME_MS: typing.Final = 1000
# A target without spare slots counts as full for this time only: with ten
# slots and runs of about 100 ms, a slot becomes free about every 10 ms.
FULL_LIFETIME_MS: typing.Final = 100
# In another region a request and its refusal cost more than in this one. A
# longer time leaves slots there unused.
REMOTE_FULL_LIFETIME_MS: typing.Final = 200
# Targets of other regions that a call tries although none seems to have room: a
# gate without a free slot may still have room in its queue.
UNKNOWN_REMOTE_TRIES: typing.Final = 2
