"""Times and limits of the replicated log."""

import typing

HEARTBEAT_MS: typing.Final = 120
# Below the shortest election timeout, so that a leader without a majority
# stops before another one can be elected. The gap allows for clock rates that
# differ by up to 10%.
LEASE_MS: typing.Final = 600
ELECTION_MIN_MS: typing.Final = 700
ELECTION_MAX_MS: typing.Final = 1300
# A voter that has not answered for this long counts as lost.
UNRESPONSIVE_MS: typing.Final = 2000
# A candidate that did not win retries sooner: the other voters may have
# received a later heartbeat than this one and refuse the first request.
RETRY_MIN_MS: typing.Final = 100
RETRY_MAX_MS: typing.Final = 400
MAX_RETRY_DOUBLINGS: typing.Final = 3

# Interval at which a process that gets no majority of votes repeats this in the
# log.
ELECTION_REPORT_INTERVAL_MS: typing.Final = 1000

# Interval at which a restarted process notifies the other voters of its
# restart, until it receives a message from a leader.
RESTART_NOTICE_INTERVAL_MS: typing.Final = 100
# After all voters have restarted they campaign one after the other, in name
# order, so that votes are not split: a vote takes a round trip between regions
# and a disk sync.
RESTART_CAMPAIGN_MIN_MS: typing.Final = 10
RESTART_CAMPAIGN_STEP_MS: typing.Final = 70

# Interval at which a process without a configuration probes the others.
DISCOVERY_INTERVAL_MS: typing.Final = 300
# An older discovery reply does not count when the group is bootstrapped.
DISCOVERY_REPLY_TTL_MS: typing.Final = 2000
# A group without a list of voters is bootstrapped once no new process has been
# discovered for this time: processes that start together do so within 300 ms.
BOOTSTRAP_SETTLE_MS: typing.Final = 300
# The group is bootstrapped with fewer voters than the target after this time.
BOOTSTRAP_TIMEOUT_MS: typing.Final = 5000
# More voters slow down commits and do not make the group tolerate more lost
# disks.
MAX_VOTERS: typing.Final = 7
# Voters and learners; each learner costs the leader a copy of the log.
MAX_MEMBERS: typing.Final = 16
# Members from replies that a process without a leader probes besides its seeds;
# some of them may have been replaced since.
MAX_CONTACTS: typing.Final = 2 * MAX_MEMBERS
# Interval at which a process that is not a member repeats this in the log.
JOIN_REPORT_INTERVAL_MS: typing.Final = 10_000
# 1 while this process is not a member of the group, else 0.
COUNTER_JOIN_WAITING: typing.Final = 'replica.join_waiting'
# Probes of processes that the leader did not admit yet, by reason.
COUNTER_JOIN_DEFERRED: typing.Final = 'replica.join_deferred.'

# Interval at which writes to a failed disk are retried.
WRITE_RETRY_INTERVAL_MS: typing.Final = 1000

# A snapshot is taken after this many entries; half as many entries before it
# stay in the log for followers that lag slightly. An entry may hold complete
# tables: with 310 routes a starting process takes about 4 ms to decode and
# apply one.
SNAPSHOT_ENTRIES: typing.Final = 16
KEPT_ENTRIES_DIVISOR: typing.Final = 2

BATCH_ENTRIES: typing.Final = 64
BATCH_BYTES: typing.Final = 524_288
# Batches and entries sent to a follower and not yet acknowledged.
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
TIMER_DISCOVERY: typing.Final = 'greet'
TIMER_WRITE_RETRY: typing.Final = 'probe'
TIMER_RESTARTED: typing.Final = 'restarted'

ROLE_FOLLOWER: typing.Final = 'follower'
ROLE_CANDIDATE: typing.Final = 'candidate'
ROLE_LEADER: typing.Final = 'leader'
