"""Replicated log of the control processes.

`replica.Replica` is the aggregate, `shared_state.SharedState` its state, and
each other module implements one part of the protocol. Rules that the design
page leaves open:

- A group is bootstrapped once, by the first voter in name order, after all
  voters in the settings have answered that they have no configuration. The
  first start therefore needs all of them; later a majority is enough.
- A voter that returns with another disk becomes a learner after 2 s without
  an answer from the old disk. The old voter is then removed, and the learner
  is promoted to voter. Between these two steps the group has one voter less.
- When a store fails, the state in memory is rolled back to before the step,
  and nothing is written for 1 s. The uncommitted tail of the log is then
  rewritten, so that disk and memory agree before anything is appended. A
  leader that cannot write keeps its lease and refuses commands until it can
  transfer the leadership to a follower that has written to its disk after the
  failure and that has a majority without this leader.
- The state on disk includes the commit index, so that a process that restarts
  alone does not serve an older version than before (I1).
- A process does not vote within the shortest election timeout after its start:
  it may have answered a leader whose lease depends on that. The wait ends
  early when all voters have reported that they restarted and have received
  nothing from a leader afterwards.

The group cannot recover by itself when the disks of a majority are lost.
"""
