"""Time-outs, limits and names of once-only calls."""

import typing

# A holder stores a record for this long after the claim.
RECORD_LIFETIME_MS: typing.Final = 600_000
# Age of a key that a coordinator accepts, by the coordinator's wall clock.
MAX_KEY_AGE_MS: typing.Final = 530_000
MAX_KEY_AHEAD_MS: typing.Final = 20_000
# Age of a key that a holder accepts, by the holder's wall clock. Their sum is
# below the lifetime, so that a holder never accepts a key whose record it has
# dropped; the remaining 30 s allow for clock differences between holders.
HOLDER_MAX_KEY_AGE_MS: typing.Final = 540_000
HOLDER_MAX_KEY_AHEAD_MS: typing.Final = 30_000

# Grants that arrive later than this after the claim was first sent do not
# count. A holder that restarts relies on this when it copies records.
CLAIM_TIMEOUT_MS: typing.Final = 1000
CLAIM_RESEND_MS: typing.Final = 200
# A granted call starts within this time or never, so that a key accepted at
# the greatest age still starts before its lifetime ends.
GRANT_LIFETIME_MS: typing.Final = 60_000

# A restarted holder copies records after this time. By then each attempt that
# counted a grant from before the restart has been decided.
RECOVERY_WAIT_MS: typing.Final = 2 * CLAIM_TIMEOUT_MS
# A copy without progress for this long is restarted.
COPY_TIMEOUT_MS: typing.Final = 5000
# Limits of one page of records, which is 0.6 MB at most.
MAX_PAGE_RECORDS: typing.Final = 500
MAX_COPY_BODY_BYTES: typing.Final = 1024
STATE_PERIOD_MS: typing.Final = 1000
SETTLED_STATE_PERIOD_MS: typing.Final = 10_000

# Of larger responses only the fact that the call ran is stored.
MAX_BODY_BYTES: typing.Final = 65_536
# Limits of one holder: about 20 MB of records and 16 MiB of response bodies.
MAX_RECORDS: typing.Final = 40_000
MAX_STORED_BODY_BYTES: typing.Final = 16_777_216
# Tokens of released claims are stored, so that a claim that arrives after its
# release is not granted.
MAX_RELEASED_TOKENS: typing.Final = 10_000

# Results are resent until a majority has acknowledged them, after intervals
# that double from this one: the last of 8 resends follows after 128 s.
RESULT_RESEND_MS: typing.Final = 500
RESULT_ATTEMPTS: typing.Final = 8
# Fewer attempts than for results: a lost release blocks resends of the call
# but cannot make it run twice.
RELEASE_ATTEMPTS: typing.Final = 4
# Resends to the third holder after a majority has acknowledged.
RESULT_EXTRA_ATTEMPTS: typing.Final = 2
# Messages resent per tick, so that unreachable holders do not block the loop.
MAX_RESENDS_PER_TICK: typing.Final = 200
MAX_UNACKNOWLEDGED: typing.Final = 10_000

# Verdicts of a holder on a claim.
VERDICT_GRANTED: typing.Final = 'granted'
VERDICT_CLAIMED: typing.Final = 'claimed'
VERDICT_FINISHED: typing.Final = 'finished'
VERDICT_KEY_REUSED: typing.Final = 'key_reused'
VERDICT_ABSTAINING: typing.Final = 'abstaining'
VERDICT_GROUP_CHANGED: typing.Final = 'group_changed'
VERDICT_KEY_EXPIRED: typing.Final = 'key_expired'
VERDICT_RELEASED: typing.Final = 'released'
VERDICT_FULL: typing.Final = 'full'

# Reasons of refusals.
REASON_KEY_INVALID: typing.Final = 'idempotency_key_invalid'
REASON_KEY_EXPIRED: typing.Final = 'idempotency_key_expired'
REASON_KEY_IN_FUTURE: typing.Final = 'idempotency_key_in_future'
REASON_KEY_REUSED: typing.Final = 'idempotency_key_reused'
REASON_NO_HOLDERS: typing.Final = 'no_holders'
REASON_UNREACHABLE: typing.Final = 'holders_unreachable'
REASON_ABSTAINING: typing.Final = 'holders_abstaining'
REASON_FULL: typing.Final = 'holders_full'
REASON_IN_PROGRESS: typing.Final = 'in_progress'
REASON_OUTCOME_UNKNOWN: typing.Final = 'outcome_unknown'
REASON_ANSWER_NOT_KEPT: typing.Final = 'answer_not_kept'

# Assignment of holder groups.
GROUP_COUNT: typing.Final = 30
GROUP_SIZE: typing.Final = 3
ASSIGN_PERIOD_MS: typing.Final = 5000
# The first check of a new leader comes this soon, so that a new cluster gets
# groups early.
FIRST_TICK_MS: typing.Final = 1000
# A holder that was unresponsive for this long is replaced.
REPLACE_AFTER_MS: typing.Final = 600_000
REPORT_PERIOD_MS: typing.Final = 10_000
FIRST_REPORT_PERIOD_MS: typing.Final = 2000
# Reports older than this do not show that a holder is settled.
MAX_REPORT_AGE_MS: typing.Final = 30_000
# Time without a change of the live nodes before the first assignment. The
# longer one applies while a live node has not reported that it is fresh, that
# is, that it was running before there were groups.
FIRST_ASSIGNMENT_WAIT_MS: typing.Final = 60_000
FIRST_ASSIGNMENT_STABLE_MS: typing.Final = 10_000
