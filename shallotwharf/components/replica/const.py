"""Times and limits of the replicated log."""

import typing

HEARTBEAT_MS: typing.Final = 120
# Below the shortest election timeout, so that a leader without a majority
# stops before another one can be elected. The gap allows for clocks that run
# up to 10% apart.
LEASE_MS: typing.Final = 600
ELECTION_MIN_MS: typing.Final = 700
ELECTION_MAX_MS: typing.Final = 1300
# A voter that is silent for this long counts as lost.
LOST_MS: typing.Final = 2000
# A candidate that did not win asks again sooner: the others may have heard
# the leader a heartbeat later and refuse at first.
RETRY_MIN_MS: typing.Final = 100
RETRY_MAX_MS: typing.Final = 400

# A restarted process tells the others so at this interval until it hears a
# leader.
RESTARTED_MS: typing.Final = 100
# After all voters restarted they campaign one after the other, by name, so
# that votes are not split: a vote takes two ways across regions and a sync.
FRESH_MIN_MS: typing.Final = 10
FRESH_STEP_MS: typing.Final = 70

# How often a process without a configuration asks the others for theirs.
GREET_MS: typing.Final = 300
# An answer older than this no longer counts when a group is founded.
GREETING_LIFETIME_MS: typing.Final = 2000
# A group without a list of voters is founded by those that greeted once no
# new one came for this time: processes that start together do so within
# 300 ms.
FOUNDING_SETTLE_MS: typing.Final = 300
# With fewer processes than wanted a group is founded after this time.
FOUNDING_PATIENCE_MS: typing.Final = 5000
# More voters make a majority slower without bearing more lost disks.
MAX_VOTERS: typing.Final = 7
# Voters and learners; each learner costs the leader a copy of the log.
MAX_MEMBERS: typing.Final = 16

# How often a failed disk is tried again.
PROBE_MS: typing.Final = 1000

# A snapshot is taken after so many entries; half as many before it are kept
# for followers that lag a little. Each entry may hold whole tables: with 310
# routes a process that starts decodes and applies one in some 4 ms.
SNAPSHOT_ENTRIES: typing.Final = 16
KEPT_FRACTION: typing.Final = 2

BATCH_ENTRIES: typing.Final = 64
BATCH_BYTES: typing.Final = 524_288
# Batches and entries sent to a follower ahead of its answers.
MAX_BATCHES_IN_FLIGHT: typing.Final = 4
MAX_ENTRIES_IN_FLIGHT: typing.Final = 256
# One command must fit into a message of 4 MiB with room to spare.
MAX_COMMAND_BYTES: typing.Final = 2_097_152
# Commands appended and not yet committed.
MAX_UNCOMMITTED: typing.Final = 512
PART_RESEND_MS: typing.Final = 1000

TIMER_ELECTION: typing.Final = 'election'
TIMER_HEARTBEAT: typing.Final = 'heartbeat'
TIMER_LEASE: typing.Final = 'lease'
TIMER_GREET: typing.Final = 'greet'
TIMER_PROBE: typing.Final = 'probe'
TIMER_RESTARTED: typing.Final = 'restarted'

ROLE_FOLLOWER: typing.Final = 'follower'
ROLE_CANDIDATE: typing.Final = 'candidate'
ROLE_LEADER: typing.Final = 'leader'
