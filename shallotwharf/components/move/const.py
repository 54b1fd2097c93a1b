"""Limits of moves; reasons stand beside the figures."""

import typing

from shallotwharf.core import clock

# Shares are in hundredths of a percent, as in `tables.const.FULL_SHARE`.
FIRST_SHARE_CONFIRMATION: typing.Final = 100
FIRST_SHARE: typing.Final = 500
# Highest share that is reached while a data centre is silent.
BLIND_SHARE: typing.Final = 2500

# Growth of the share from step to step, tried in this order; the last one
# is taken when the due time is too near for the others.
GROWTHS: typing.Final = (2, 3, 5)
# A version reaches the nodes within 3 s, the test needs four slices at least,
# a summary takes 2 s to control, and a second is left for the proposal.
MIN_STEP_MS: typing.Final = 8 * clock.SECOND_MS
MAX_STEP_MS: typing.Final = 10 * clock.MINUTE_MS
# Shortest step of a move within seconds: a version reaches the nodes in some
# 50 ms, and two slices judge it.
PERIOD_STEP_MS: typing.Final = 1200
# Calls of the new version that a step should collect when there is time:
# enough to find a failure rate of a few percent.
WANTED_CALLS: typing.Final = 300
# Part of the time up to the due time that is kept for one stop.
SLACK_PART: typing.Final = 5
MIN_SLACK_MS: typing.Final = clock.MINUTE_MS // 4
MAX_SLACK_MS: typing.Final = 5 * clock.MINUTE_MS

# Time from the first call of a new version, while its share is small, in
# which its errors and slow answers are judged by the warm-up rates of
# `reference.KINDS` only; crashes are never allowed.
WARM_UP_SHARE: typing.Final = FIRST_SHARE
WARM_UP_MS: typing.Final = clock.MINUTE_MS // 3
# How long a full share is watched before the move is done.
WATCH_MS: typing.Final = 10 * clock.MINUTE_MS

# Evidence of one slice is tested at once.
SLICE_MS: typing.Final = 500
# Evidence of one slice counts at most the inverse of this, so that one short
# burst, such as a lost VM or one request that crashes an upstream, does not
# take a version back.
SLICES_NEEDED: typing.Final = 4
# A node reports after this many slices, or after each slice that has a
# failure of the new version.
SLICES_PER_REPORT: typing.Final = 2
# A data centre reports to control after this many slices.
SLICES_PER_SUMMARY: typing.Final = 4
# Routes of a pool that are told apart; calls of others count overall only.
MAX_ROUTES: typing.Final = 32

# A data centre is silent when control heard nothing for this long, and is
# given up as lost when the silence lasts.
SILENT_MS: typing.Final = 10 * clock.SECOND_MS
LOST_MS: typing.Final = 10 * clock.MINUTE_MS
# A proposal that did not lead to a version is made again after this time.
PROPOSAL_RETRY_MS: typing.Final = 5 * clock.SECOND_MS
# A hold shorter than this is not worth a version of its own.
HOLD_RECORD_MS: typing.Final = clock.MINUTE_MS // 2
# Expected calls of the new version from which their lack is noticed, and
# the part of them that must have arrived.
STARVED_CALLS: typing.Final = 20
STARVED_PART: typing.Final = 4

# Nodes that join later learn of a fence this long; control may be out of
# reach of a data centre for hours.
FENCE_LIFETIME_MS: typing.Final = 24 * clock.HOUR_MS

# Take-backs of good versions allowed: 1 in 1,000 moves. A third each goes
# to the tests of single nodes, of data centres and of control.
FALSE_POSITIVE_RATE: typing.Final = 0.001
LEVELS: typing.Final = 3
# The design is for 11 data centres and 860 nodes.
MAX_DATACENTRES: typing.Final = 16
MAX_NODES: typing.Final = 1024

RELAYS_PER_DATACENTRE: typing.Final = 3
