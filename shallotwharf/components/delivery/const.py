"""Times and limits of the delivery of versions."""

import typing

# Versions a Feed keeps as bases of differences, and a Relay in turn.
FEED_HISTORY: typing.Final = 200
RELAY_HISTORY: typing.Final = 32
NODE_HISTORY: typing.Final = 2
RELAYS: typing.Final = 3

# Characters of the entries in one part of a version. A character takes at
# most 4 bytes, so that a part stays below the 4 MiB of a message.
PART_CHARACTERS: typing.Final = 500_000
# A node has 128 MB in all; a version of more parts than this is refused.
MAX_PARTS: typing.Final = 32
MAX_NAMED_NODES: typing.Final = 100
MAX_REASON_LENGTH: typing.Final = 200

FEED_TICK_MS: typing.Final = 500
RELAY_TICK_MS: typing.Final = 250
FELLOW_BEAT_MS: typing.Final = 500
# A node repeats its state at this interval; three relays with 78 nodes
# each then stay below half of the 10 KB/s of a node.
NODE_BEAT_MS: typing.Final = 2000
NODE_RETRY_MS: typing.Final = 300

RESEND_MS: typing.Final = 1000
RENEW_MS: typing.Final = 1000
# A peer that is silent for this long is replaced; it misses its heartbeat
# more than once.
SILENCE_MS: typing.Final = 1500
PEER_SILENCE_MS: typing.Final = 2000
SUBSCRIPTION_EXPIRY_MS: typing.Final = 10_000

# A node without relays renews its subscription at this interval, so that the
# loss of its control process shows within `SILENCE_MS`.
DIRECT_RENEW_MS: typing.Final = 500
# Until it has a version.
DIRECT_SEARCH_MS: typing.Final = 200
# A control process that was left is tried again after this time.
SOURCE_PENALTY_MS: typing.Final = 5000

ADMISSIONS_PER_SECOND: typing.Final = 20
ADMISSION_BURST: typing.Final = 10

BACKOFF_FIRST_MS: typing.Final = 200
BACKOFF_LAST_MS: typing.Final = 10_000
DOUBLINGS: typing.Final = 6

REPORT_BEAT_MS: typing.Final = 2000
REPORT_SPACING_MS: typing.Final = 200
# A relay that misses two heartbeats is no relay any more.
RELAY_SILENCE_MS: typing.Final = 2 * REPORT_BEAT_MS
# Older reports do not count as knowledge of a data centre.
REPORT_EXPIRY_MS: typing.Final = 10_000

# Views of the members within one data centre agree after this time. Relays
# without a predecessor wait for it before they ask control for a floor, so
# that no relays of an older view still let nodes apply versions.
VIEW_SETTLE_MS: typing.Final = 1500
# A relay whose timer is late by more than this was frozen, and other relays
# may have taken its place meanwhile.
FREEZE_MS: typing.Final = 1000

# Nodes ask control for a floor only when the relays have not answered for
# this time, so that a restart of a data centre does not flood control.
CONTROL_FLOOR_DELAY_MS: typing.Final = 1000
FLOOR_RETRY_LAST_MS: typing.Final = 2000
# Without relays only few nodes ask, and calls are refused until they know.
DIRECT_FLOOR_RETRY_MS: typing.Final = 100
# After this time without a majority of control or floored relays, the
# control process of the own data centre decides.
FLOOR_GRACE_MS: typing.Final = 10_000
# It decides only if no other control process answers within this time after
# its own answer. Just after a partition ends its answer may be the first to
# arrive and older than those of the others; a query is repeated to the silent
# after at most 2 s.
FLOOR_LOCAL_WAIT_MS: typing.Final = 3000

INCARNATION_BITS: typing.Final = 32
STAMP_BITS: typing.Final = 32
EPOCH_BYTES: typing.Final = 8
