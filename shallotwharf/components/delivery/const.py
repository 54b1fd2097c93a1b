"""Times and limits of the delivery of versions."""

import typing

# How many versions a Feed, a Relay and a node keep as bases of differences.
FEED_HISTORY: typing.Final = 200
RELAY_HISTORY: typing.Final = 32
NODE_HISTORY: typing.Final = 2
RELAYS_PER_DATACENTRE: typing.Final = 3

# Characters of the entries in one part of a version. A character takes at
# most 4 bytes, so a part stays below the message limit of 4 MiB.
PART_CHARACTERS: typing.Final = 500_000
# A version of more parts is refused, because a node has 128 MB of memory in
# total.
MAX_PARTS: typing.Final = 32
MAX_NAMED_NODES: typing.Final = 100
MAX_REASON_LENGTH: typing.Final = 200

FEED_TICK_MS: typing.Final = 500
RELAY_TICK_MS: typing.Final = 250
PEER_RELAY_HEARTBEAT_MS: typing.Final = 500
# Interval at which a node repeats its state. With 78 nodes for each of three
# relays, this traffic stays below half of a node's budget of 10 KB/s.
NODE_HEARTBEAT_MS: typing.Final = 2000
NODE_RETRY_MS: typing.Final = 300

RESEND_MS: typing.Final = 1000
SUBSCRIPTION_RENEW_MS: typing.Final = 1000
# A peer that has sent nothing for this long is replaced. The time covers more
# than one heartbeat, so that a single lost message does not replace a peer.
RESPONSE_TIMEOUT_MS: typing.Final = 1500
VOTER_TIMEOUT_MS: typing.Final = 2000
SUBSCRIPTION_EXPIRY_MS: typing.Final = 10_000

# A node without relays renews its subscription at this interval, so that it
# detects the loss of its control process within `RESPONSE_TIMEOUT_MS`.
DIRECT_RENEW_MS: typing.Final = 500
# Renewal interval until the node has a version.
DIRECT_SEARCH_MS: typing.Final = 200
# Interval at which a node asks the control processes that it only watches.
WATCH_RENEW_MS: typing.Final = 1000
# A source that has not delivered a version this long after another control
# process stated it is left. Control processes hand out a version within two
# round trips between regions of each other, below 100 ms.
LAG_TIMEOUT_MS: typing.Final = 300
MAX_LAG_TIMEOUT_MS: typing.Final = 4800
# A control process that a node has left is avoided for this time.
SOURCE_PENALTY_MS: typing.Final = 5000

# A lag is logged after this time. In calm a version reaches each process within
# about 100 ms.
LAG_REPORT_MS: typing.Final = 500
EVENT_CONTROL_LAGS: typing.Final = 'control_lags'
EVENT_RELEASE_WAITS: typing.Final = 'release_waits'
EVENT_NODE_LAGS: typing.Final = 'node_lags'

ADMISSIONS_PER_S: typing.Final = 20
ADMISSION_BURST: typing.Final = 10

BACKOFF_MIN_MS: typing.Final = 200
BACKOFF_MAX_MS: typing.Final = 10_000
MAX_BACKOFF_DOUBLINGS: typing.Final = 6

REPORT_HEARTBEAT_MS: typing.Final = 2000
REPORT_SPACING_MS: typing.Final = 200
# A relay that misses two heartbeats no longer counts as a relay.
RELAY_TIMEOUT_MS: typing.Final = 2 * REPORT_HEARTBEAT_MS
# The state of a data centre is unknown if its latest report is older.
REPORT_EXPIRY_MS: typing.Final = 10_000

# The members of one data centre have the same view of the membership after
# this time. Relays that cannot take a floor over from earlier relays wait for
# it before they query control for one; otherwise relays of an older view could
# still let nodes apply versions.
VIEW_SETTLE_MS: typing.Final = 1500
# A relay whose timer is late by more than this was suspended, and other relays
# may have replaced it in the meantime.
MAX_TICK_DELAY_MS: typing.Final = 1000

# Nodes query control for a floor only if the relays have not answered for this
# time, so that a restart of a data centre does not overload control.
CONTROL_FLOOR_DELAY_MS: typing.Final = 1000
FLOOR_RETRY_MAX_MS: typing.Final = 2000
# Without relays few nodes query control, and each refuses calls until it has
# its floor, so the retry interval is short.
DIRECT_FLOOR_RETRY_MS: typing.Final = 100
# After this time without answers from a majority of control or from relays
# that have a floor, the control process of the local data centre decides.
FLOOR_GRACE_MS: typing.Final = 10_000
# It decides only if no other control process answers within this time after
# its answer. Just after a partition ends its answer may arrive first and be
# older than those of the others. The time is longer than the 2 s after which a
# query is repeated at the latest to processes that have not answered.
FLOOR_LOCAL_WAIT_MS: typing.Final = 3000

INCARNATION_BITS: typing.Final = 32
SEQUENCE_BITS: typing.Final = 32
EPOCH_BYTES: typing.Final = 8
