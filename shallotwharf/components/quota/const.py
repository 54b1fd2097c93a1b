"""States, intervals, counters and events of quotas."""

import typing

# States of a tenant. Nodes admit calls of free and hot tenants up to the limit
# of the tenant, and report those of hot ones, whose window fills, sooner.
STATE_FREE: typing.Final = 0
STATE_HOT: typing.Final = 1
STATE_LIMITED: typing.Final = 2

# What decides on the calls of a tenant that is not limited: its limit, the
# usual calls of the node, or a fixed share.
SOURCE_LIMIT: typing.Final = 0
SOURCE_USUAL: typing.Final = 1
SOURCE_FIXED: typing.Final = 2

# Names for operators, by number.
STATE_NAMES: typing.Final = ('free', 'hot', 'limited')
SOURCE_NAMES: typing.Final = ('limit', 'usual', 'fixed')

# A node reports, and control processes exchange sums, at most this often.
REPORT_MS: typing.Final = 250
# The same by state. 8 times the usual demand passes until control has answered;
# calls beyond the share of a limited tenant do not.
INTERVALS_MS: typing.Final = (REPORT_MS, 50, 100)
# Time from a call to the share that follows from it, for hot tenants: two
# intervals of reports, three ways between regions, and the lag of the demand.
REACTION_MS: typing.Final = 200
# Part of the allowed excess that the nodes of a control process may admit
# before its peers answer.
UNSHARED_PART: typing.Final = 0.1
# Time of its usual calls that they may admit besides: more than the way to
# another region and back.
UNSHARED_MS: typing.Final = 60
# A node without a word from control keeps its last shares for this time.
KEEP_MS: typing.Final = 3000
# A silent peer counts with its last usage for this time, from `PEER_LATE_MS`.
PEER_SILENT_MS: typing.Final = 5000
PEER_LATE_MS: typing.Final = 500
# Time after which a peer that was sent sums counts as out of contact; sums and
# answers take two ways between regions and two intervals.
PEER_ANSWER_MS: typing.Final = 100
# Nodes of such a peer may meanwhile see the same jump of demand. They admit
# calls in advance for about this time.
PEER_AHEAD_MS: typing.Final = 700
# A control process that starts grants nothing for at most this time.
START_MS: typing.Final = 1000
# Without a word from control for this time, a node admits no more than it did
# before. Processes state their status every 500 to 750 ms.
STALE_MS: typing.Final = 850
# A peer that was not heard for this time does not count for a majority.
PEER_STALE_MS: typing.Final = 1000
# Without an answer for this time, a node that asked for one admits no more than
# it did before. An answer takes four ways between regions and two intervals.
ANSWER_LATE_MS: typing.Final = 100
# Calls of this time are reported to another control process: the previous one
# may not have got them. Usage is then counted twice, never left out.
RESEND_MS: typing.Final = 2000
# A control process that took over the sums of its peers counts no calls from
# before its start in this time.
LEARN_MS: typing.Final = 3000
# The usual calls of a node are smoothed over this time.
USUAL_MS: typing.Final = 3000
# Calls that a node may admit beyond its usual ones before control answers, in
# standard deviations of its part of a burst. All of them come on top when a
# region is cut off in the same moment in which demand jumps.
SPREAD: typing.Final = 1
LEAST_ADVANCE: typing.Final = 3
# Seconds of its usual calls that it may admit besides.
ADVANCE_SECONDS: typing.Final = 0.35
# A node with at least this part of the tenant's rate, over `HABIT_MS`, may
# admit a burst in advance: `HABIT_FACTOR` times its part of one. The parts of
# all nodes add up to about 1, since their calls are within the limit. With a
# factor of 8, five nodes cut off at 50 calls a second admitted 354 of 350.
HABIT_MS: typing.Final = 30_000
HABIT_PART: typing.Final = 0.02
HABIT_FACTOR: typing.Final = 6
# Seconds of the whole rate that a node may admit before control answers: all
# calls of a tenant may move to another node at once.
MOVE_SECONDS: typing.Final = 0.05
# Time after which a call that needs an answer of control may be sent again.
URGENT_MS: typing.Final = 50
# An answer is requested at most this often.
ANSWER_MS: typing.Final = 20
# Demand is smoothed over this time.
DEMAND_MS: typing.Final = 500
# A node without demand for this time has no part in a division.
IDLE_MS: typing.Final = 5000
# Resolution of the window of usage.
SLOT_MS: typing.Final = 50
# A debt is paid back within this time.
REPAY_MS: typing.Final = 1000
# Calls that leave the window within this time make room now. More would be
# granted ahead of the end of a burst.
LEAVING_MS: typing.Final = 100
# A state is left for a less strict one after this time without need for it.
RESTORE_MS: typing.Final = 1000
# Part of the limit of a window from which a tenant is hot.
HOT_PART: typing.Final = 0.7
# Part of the slack that calls may use before a tenant is limited. The rest is
# left for calls that are admitted until the nodes know. Without any, one in
# twenty windows of a tenant of 5 calls a second at 90% of its rate, with random
# arrivals, would exceed the limit.
SLACK_PART: typing.Final = 0.4
# A share below this many calls a second is applied as a fraction of the calls:
# credit that 88 nodes save up, one call each, exceeds a small quota.
MIN_RATE: typing.Final = 2.0
# Smallest relative change of a share that is sent.
CHANGE_PART: typing.Final = 0.1

DEFAULT_WINDOW_MS: typing.Final = 5000
DEFAULT_OVERAGE: typing.Final = 0.1
DEFAULT_SLACK: typing.Final = 20.0
# Nodes of the fleet as long as no announcements show more.
DEFAULT_NODES: typing.Final = 100

EVENT_LIMITED: typing.Final = 'quota_limited'
EVENT_RESTORED: typing.Final = 'quota_restored'
COUNTER_LIMITED: typing.Final = 'quota.limited'
COUNTER_RESTORED: typing.Final = 'quota.restored'
COUNTER_REFUSED: typing.Final = 'quota.refused.'
REFUSED_LIMITED: typing.Final = 'limited'
REFUSED_NODE: typing.Final = 'node_limit'
REFUSED_FIXED: typing.Final = 'fixed_share'
