"""Limits and time-outs of moves."""

import typing

from shallotwharf.core import clock

# Shares are in hundredths of a percent, as in `tables.const.FULL_SHARE`.
FIRST_SHARE_CONFIRMATION: typing.Final = 100
FIRST_SHARE: typing.Final = 500
# Highest share that a move reaches while a data centre is unresponsive.
PARTIAL_EVIDENCE_SHARE: typing.Final = 2500

# Factors by which the share grows from step to step, tried in this order; the
# last one is used when the due time is too near for the others.
GROWTHS: typing.Final = (2, 3, 5)
# A version reaches the nodes within 3 s, the test needs at least four slices
# (2 s), a summary reaches control within 2 s, and the proposal has 1 s.
MIN_STEP_MS: typing.Final = 8 * clock.SECOND_MS
MAX_STEP_MS: typing.Final = 10 * clock.MINUTE_MS
# Shortest step of a move with a period of seconds: a version reaches the nodes
# in about 50 ms, and the test needs two slices.
PERIOD_STEP_MS: typing.Final = 1200
# Calls of the new version that a step should collect if there is time: enough
# to detect a failure rate of a few percent.
WANTED_CALLS: typing.Final = 300
# The time until the due time divided by this is reserved for one interruption
# of the move.
SLACK_DIVISOR: typing.Final = 5
MIN_SLACK_MS: typing.Final = clock.MINUTE_MS // 4
MAX_SLACK_MS: typing.Final = 5 * clock.MINUTE_MS

# For this long after the first call of a new version, and while its share is
# small, its errors and slow responses are judged only by the warm-up rates of
# `reference.KINDS`. Crashes are judged as at any other time.
WARM_UP_SHARE: typing.Final = FIRST_SHARE
WARM_UP_MS: typing.Final = clock.MINUTE_MS // 3
# Time in the state `watching`, at the full share, before a move is done.
WATCH_MS: typing.Final = 10 * clock.MINUTE_MS

# Calls are tested in batches, one for each slice of time.
SLICE_MS: typing.Final = 500
# One slice contributes at most this part (1/n) of the evidence for a
# take-back, so that one short burst, such as a lost VM or one request that
# crashes an upstream, does not take a version back.
SLICES_NEEDED: typing.Final = 4
# A node reports to its collector after this many slices, and at once after a
# slice with a failure of the new version.
SLICES_PER_REPORT: typing.Final = 2
# A data centre reports to control after this many slices.
SLICES_PER_SUMMARY: typing.Final = 4
# Routes of a pool that are counted separately; calls of others count only in
# the overall row.
MAX_ROUTES: typing.Final = 32

# After these times without a report to control, a data centre is unresponsive
# and lost.
UNRESPONSIVE_MS: typing.Final = 10 * clock.SECOND_MS
LOST_MS: typing.Final = 10 * clock.MINUTE_MS
# A proposal that did not lead to a version is repeated after this time.
PROPOSAL_RETRY_MS: typing.Final = 5 * clock.SECOND_MS
# A hold is recorded, which takes a version of its own, only after this time.
HOLD_RECORD_MS: typing.Final = clock.MINUTE_MS // 2
# Expected calls of the new version from which a shortfall is detected. At
# least 1 in `MAX_SHORTFALL_FACTOR` of them must have arrived.
MIN_EXPECTED_CALLS: typing.Final = 20
MAX_SHORTFALL_FACTOR: typing.Final = 4

# Nodes that join within this time still receive a fence: a data centre may be
# unable to reach control for hours.
FENCE_LIFETIME_MS: typing.Final = 24 * clock.HOUR_MS

# Part of the moves to good versions that may be taken back. The levels (single
# nodes, data centres, control) get a third of it each.
FALSE_POSITIVE_RATE: typing.Final = 0.001
LEVELS: typing.Final = 3
# The design is for 11 data centres and 860 nodes.
MAX_DATACENTRES: typing.Final = 16
MAX_NODES: typing.Final = 1024

RELAYS_PER_DATACENTRE: typing.Final = 3
# Runs of a sender whose reports are told apart, for each move.
MAX_RUNS: typing.Final = 16
