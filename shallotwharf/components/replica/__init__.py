"""Replicated log of the control processes.

`replica.Replica` is the aggregate; `kernel.Kernel` is its state, and each
other module holds one part of the rules. What the design page leaves open:

- A group is founded once, by the first voter by name, after all voters of the
  settings answered that they have no configuration. The first start
  therefore needs all of them; later a majority is enough.
- A voter that returns with another disk becomes a learner after 2 s without
  an answer from the old one, then the old one is removed, then the learner
  becomes voter. Between the last two steps the group has one voter less.
- When a store fails, memory goes back to before the step, and nothing is
  written for 1 s; then the uncommitted tail of the log is rewritten, so that
  disk and memory agree before anything is appended. A leader that cannot
  write keeps its lease and refuses commands, until it can hand over to a
  follower that wrote to its disk since, and that has a majority without it.
- The state on disk holds the commit index, so that a process that restarts
  alone shows no older version than before (I1).
- A process does not vote within the shortest election timeout after its start:
  it may have answered a leader whose lease counts on that. It need not wait
  once all voters told that they restarted and heard no leader since.

The group cannot go on by itself when the disks of a majority are lost.
"""
