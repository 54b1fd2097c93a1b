"""Periods and limits of the membership."""

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
KIND_SPREAD: typing.Final = 'spread'
KIND_BEAT: typing.Final = 'beat'

# With 78 members and two probes a second from each, a dead member is probed
# within about one second with a probability of 86%.
PROBE_PERIOD_MS: typing.Final = 500
# Links inside a data centre take up to 1.4 ms one way; the rest is for a
# loaded peer.
DIRECT_TIMEOUT_MS: typing.Final = 150
INDIRECT_PROBES: typing.Final = 3
# A process that is frozen for 2 s can still refute within this time.
SUSPICION_MS: typing.Final = 5000
# Factor on own timeouts while own probes fail or own timers run late.
MAX_HEALTH_FACTOR: typing.Final = 4
# A timer later than this shows that this process was frozen or starved.
LATE_TIMER_MS: typing.Final = 250
# Time to handle what waited meanwhile, before anyone is declared dead.
GRACE_MS: typing.Final = 1000

# Upper bound of piggybacked gossip: four messages a second of this size are
# 3 KB/s, well below the 10 KB/s that a node may use for control.
GOSSIP_BYTES: typing.Final = 750
# No more entries than this fit, since the smallest ones have 20 bytes.
GOSSIP_ENTRIES: typing.Final = 40
# Transmissions of an entry by each node are this factor times log10 of the
# members: 8 for 78. Load is advisory and replaced soon, so it gets fewer.
GOSSIP_FACTOR: typing.Final = 4
LOAD_TRANSMISSIONS: typing.Final = 3
# Urgent entries are pushed at once, at most this often.
PUSH_FANOUT: typing.Final = 3
LEAVE_FANOUT: typing.Final = 8
PUSH_DELAY_MS: typing.Final = 5
PUSH_PERIOD_MS: typing.Final = 300

# At most one announcement that differs in spare slots alone in this time.
LOAD_PERIOD_MS: typing.Final = 3000
# Changes of load alone are published to the process at most this often.
PUBLISH_PERIOD_MS: typing.Final = 1000
# Other changes are collected for this long after a publication.
MERGE_MS: typing.Final = 100

SYNC_PERIOD_MS: typing.Final = 15_000
# Seeds and dead members that may have returned are tried this often.
JOIN_PERIOD_MS: typing.Final = 2000
JOIN_TARGETS: typing.Final = 2
FIRST_JOIN_TARGETS: typing.Final = 5
# Members whose entries travel in one snapshot message: about 30 KB.
SNAPSHOT_MEMBERS: typing.Final = 150
TOMBSTONE_MS: typing.Final = 3_600_000

# Another data centre that was not heard of for this long is cut off.
STALE_MS: typing.Final = 30_000
BEAT_PERIOD_MS: typing.Final = 5000
EXCHANGE_PERIOD_MS: typing.Final = 2000
# A subscriber that did not renew for this long gets no more changes.
SUBSCRIPTION_MS: typing.Final = 3 * EXCHANGE_PERIOD_MS
# Renewals without an answer after which another node is asked.
MAX_UNANSWERED: typing.Final = 2
SUBSCRIBING_RELAYS: typing.Final = 2
# Entries of one message between data centres: about 20 KB.
CHANGES_ENTRIES: typing.Final = 200
# With 780 nodes elsewhere, 22 bytes each and three transmissions by each
# node, their load takes about 2 KB/s, sent and received.
REMOTE_LOAD_PERIOD_MS: typing.Final = 60_000
FOUND_MEMBERS: typing.Final = 6
MAX_SEEKERS: typing.Final = 200
REPORT_PERIOD_MS: typing.Final = 5000
# While no other data centre is heard of, control is asked for them sooner.
REPORT_SEARCH_MS: typing.Final = 500
# Nodes of a data centre whose relays are silent for this long do not count as
# live at control.
REPORT_LIFETIME_MS: typing.Final = 60_000

RELAYS: typing.Final = 3
RELAY_KEY: typing.Final = 'relay'

MAX_SPREADS: typing.Final = 256
MAX_SPREAD_BYTES: typing.Final = 4096
# A key is remembered this long after its message expired, so that a copy that
# was held up on the way is not published again.
SPREAD_MEMORY_MS: typing.Final = 60_000
