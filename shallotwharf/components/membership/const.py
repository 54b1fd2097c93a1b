"""Periods and limits of the membership protocol."""

import typing

# Status of a member; of two states with the same run and incarnation the one
# with the higher status wins.
STATUS_ALIVE: typing.Final = 0
STATUS_SUSPECT: typing.Final = 1
STATUS_DEAD: typing.Final = 2
STATUS_LEFT: typing.Final = 3

# Kinds of gossiped entries.
KIND_STATE: typing.Final = 'state'
KIND_ANNOUNCEMENT: typing.Final = 'announcement'
KIND_LOAD: typing.Final = 'load'
KIND_BROADCAST: typing.Final = 'spread'
KIND_HEARTBEAT: typing.Final = 'beat'

# With 78 members and two probes a second from each, a dead member is probed
# within about one second with a probability of 86%.
PROBE_PERIOD_MS: typing.Final = 500
# Links inside a data centre take up to 1.4 ms one way; the rest allows for a
# loaded peer.
DIRECT_TIMEOUT_MS: typing.Final = 150
INDIRECT_PROBES: typing.Final = 3
# A process that is frozen for 2 s can still refute within this time.
SUSPICION_MS: typing.Final = 5000
# Upper bound of the factor on the timeouts of this node while its probes fail
# or its timers fire late (the local health multiplier of Lifeguard).
MAX_HEALTH_FACTOR: typing.Final = 4
# A timer that fires later than this shows that this process was frozen or got
# too little processor time.
LATE_TIMER_MS: typing.Final = 250
# Time to handle messages queued during such a delay before a member is
# declared dead.
LATE_TIMER_GRACE_MS: typing.Final = 1000

# Upper bound of piggybacked gossip: four messages a second of this size are
# 3 KB/s, well below the limit of 10 KB/s for the control traffic of a node.
MAX_GOSSIP_BYTES: typing.Final = 750
# No more entries than this fit, since the smallest ones have 20 bytes.
MAX_GOSSIP_ENTRIES: typing.Final = 40
# Each node sends an entry this factor times log10 of the number of members:
# 8 times for 78. Load is advisory and soon replaced, so it is sent less often.
GOSSIP_FACTOR: typing.Final = 4
LOAD_TRANSMISSIONS: typing.Final = 3
# Urgent entries are pushed after `PUSH_DELAY_MS`, at most once in
# `PUSH_PERIOD_MS`.
PUSH_FANOUT: typing.Final = 3
LEAVE_FANOUT: typing.Final = 8
PUSH_DELAY_MS: typing.Final = 5
PUSH_PERIOD_MS: typing.Final = 300

# A node sends changes of its spare slots alone at most once in this time.
LOAD_PERIOD_MS: typing.Final = 3000
# Changes of load alone are published in the process at most once in this time.
LOAD_PUBLISH_PERIOD_MS: typing.Final = 1000
# Other changes are batched for this long after a publication.
PUBLISH_BATCH_MS: typing.Final = 100

SYNC_PERIOD_MS: typing.Final = 15_000
# Interval between attempts to reach seeds, and dead members that may have
# returned.
JOIN_PERIOD_MS: typing.Final = 2000
# First interval while no peer is live; it doubles up to `JOIN_PERIOD_MS`. All
# nodes of a data centre may start at once and learn of each other only from
# the second attempt.
SEARCH_PERIOD_MS: typing.Final = 200
JOIN_TARGETS: typing.Final = 2
FIRST_JOIN_TARGETS: typing.Final = 5
# Members in one snapshot message: about 30 KB.
MAX_SNAPSHOT_MEMBERS: typing.Final = 150
TOMBSTONE_MS: typing.Final = 3_600_000

# Another data centre is stale if no heartbeat of it arrived for this long.
STALE_MS: typing.Final = 30_000
HEARTBEAT_PERIOD_MS: typing.Final = 5000
EXCHANGE_PERIOD_MS: typing.Final = 2000
# A subscription that was not renewed for this long ends.
SUBSCRIPTION_LIFETIME_MS: typing.Final = 3 * EXCHANGE_PERIOD_MS
# Unanswered renewals after which another node is asked.
MAX_UNANSWERED: typing.Final = 2
SUBSCRIBING_RELAY_COUNT: typing.Final = 2
# Entries in one message between data centres: about 20 KB.
MAX_CHANGES_ENTRIES: typing.Final = 200
# With 780 nodes in other data centres, 22 bytes each and three transmissions
# by each node, their load takes about 2 KB/s, sent and received.
REMOTE_LOAD_PERIOD_MS: typing.Final = 60_000
MAX_DISCOVERED_MEMBERS: typing.Final = 6
MAX_JOINERS: typing.Final = 200
REPORT_PERIOD_MS: typing.Final = 5000
# Report period while no other data centre is reachable: control answers a
# report with members of the missing data centres.
ISOLATED_REPORT_PERIOD_MS: typing.Final = 500
# Control no longer counts the nodes of a data centre as live if no report of
# its relays arrived for this long.
REPORT_LIFETIME_MS: typing.Final = 60_000

RELAY_COUNT: typing.Final = 3
RELAY_KEY: typing.Final = 'relay'

# Numbers of entries are times in milliseconds and counts from there, far below
# this. Larger ones would break where they are written as text or divided.
MAX_NUMBER: typing.Final = 9_007_199_254_740_991
MAX_BROADCASTS: typing.Final = 320
# Broadcasts of one type of message, so that many crashes leave room for fences.
MAX_BROADCASTS_OF_A_TYPE: typing.Final = 256
MAX_BROADCAST_BYTES: typing.Final = 4096
# A key is stored for this long after its message expired, so that a delayed
# copy is not published again.
BROADCAST_KEY_RETENTION_MS: typing.Final = 60_000
