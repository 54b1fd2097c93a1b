"""Reasons, counters and limits of the path of a call."""

import sys
import types
import typing

from shallotwharf.core import calls

REASON_NO_VERSION: typing.Final = 'no_version'
REASON_UNKNOWN_ROUTE: typing.Final = 'unknown_route'
REASON_NO_UPSTREAM: typing.Final = 'no_upstream'
REASON_DEADLINE: typing.Final = 'deadline_too_short'
REASON_KEY: typing.Final = 'idempotency_key_missing'
REASON_FORWARDED: typing.Final = 'forwarded_header_invalid'

# A refusal for these reasons would be the same elsewhere.
FINAL_REASONS: typing.Final = frozenset(('poison_request', REASON_DEADLINE))
# Refusals for lack of room, each after a wait in a queue.
FULL_REASONS: typing.Final = frozenset(('slots_full', 'queue_full'))
# A call for which there is no room is given up after this part of its aim,
# so that its caller can come back in time.
HELD_PART: typing.Final = 4
# A refusal for this reason says that the version does not serve.
REASON_UNHEALTHY: typing.Final = 'unhealthy'

COUNTER_REFUSED: typing.Final = 'call.refused.'
COUNTER_RETRIED: typing.Final = 'call.retried.'
COUNTER_RETRY_DENIED: typing.Final = 'call.retry_denied.'
COUNTER_SPILLED: typing.Final = 'call.spilled'

DENIED_DEEPER: typing.Final = 'deeper_hop'
DENIED_LIMIT: typing.Final = 'route_limit'
DENIED_BUDGET: typing.Final = 'budget'
DENIED_DEADLINE: typing.Final = 'deadline'
DENIED_HELD: typing.Final = 'held'
DENIED_RAN_TWICE: typing.Final = 'ran_twice'

# Each hop must fail before the hop above it does, in whole milliseconds.
HOP_MARGIN_MS: typing.Final = 1
# Covers connecting and transit of a once-only call to another node, so that
# it does not start after its grant expires.
START_MARGIN_MS: typing.Final = 500
# Further than any clock reading: no limit on the start of a call.
NO_LIMIT_AT: typing.Final = sys.maxsize

# One-way latencies of section 1.1 of the design, in milliseconds.
REGION_LATENCY_MS: typing.Final = 1
REMOTE_LATENCY_MS: typing.Final = 12
# Answers of this mean size stay within a region: at the price of traffic
# between regions a larger one costs more than a refusal.
LARGE_ANSWER_BYTES: typing.Final = 32_768

# Retries: a tenth of the calls and two a second for each pool of a node.
BUDGET_PER_CALL: typing.Final = 0.1
BUDGET_PER_SECOND: typing.Final = 2.0
BUDGET_CAP: typing.Final = 20.0

# A target that was not reached is left out for as long as members take to
# suspect its node; one that refused for lack of slots for about a run time.
AVOID_UNREACHED_MS: typing.Final = 1000
# It doubles while the target stays out of reach.
MAX_AVOID_UNREACHED_MS: typing.Final = 8000
AVOID_REFUSED_MS: typing.Final = 20
# These reasons last longer: until the announcement arrives, or until the gate
# tries the upstream again.
AVOID_MS: typing.Final = types.MappingProxyType(
    {
        'draining': AVOID_UNREACHED_MS,
        REASON_NO_UPSTREAM: AVOID_UNREACHED_MS,
        'wrong_upstream': AVOID_UNREACHED_MS,
        REASON_UNHEALTHY: 200,
    },
)

STATUS_BAD_REQUEST: typing.Final = 400
STATUS_NOT_FOUND: typing.Final = 404
STATUS_SERVER_ERROR: typing.Final = 500
STATUS_BAD_GATEWAY: typing.Final = 502
STATUS_UNAVAILABLE: typing.Final = 503
STATUS_TIMEOUT: typing.Final = 504
# A node counts as able to serve before it knows an upstream of each pool only
# after this time: members of the data centre answer within about a second.
ABLE_PATIENCE_MS: typing.Final = 3000
# The node beside the upstream, or the upstream, does not answer: it is avoided
# for a while, since a frozen one stays in the directory for seconds.
SILENT_OUTCOMES: typing.Final = frozenset(
    (calls.OUTCOME_UNREACHED, calls.OUTCOME_LATE),
)
# Longest time until a refused caller is told to come back; a third of the
# route's aim where it has one, so that a second try can still be in time.
RETRY_AFTER_MS: typing.Final = 1000
RETRY_AFTER_PART: typing.Final = 3
# An announced number of spare slots is older than one that came with an
# answer within this time.
SPARE_LIFETIME_MS: typing.Final = 1000
# A target without spare slots counts as full for this time only: with ten
# slots and runs of about 100 ms a slot gets free within some ten milliseconds.
FULL_LIFETIME_MS: typing.Final = 100
