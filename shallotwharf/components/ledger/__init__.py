"""Versions, moves and request ids as the log defines them.

`ledger.Ledger` is the aggregate. What the design page leaves open:

- An edit conflicts if the tables changed since its base. Versions that only
  stepped a move or assigned holders do not conflict with it.
- Each answer to a valid request id is kept, conflicts and refusals too.
- A request id is refused as expired if it is older than 24 h by the clock of
  the command, or not later than the latest id whose answer was dropped, so
  that no clock makes an edit run twice.
- A new due time keeps a running move; after it was taken back, it declares
  another one. Removing the declaration removes the move.
- In each holder group one member may change at a time.
"""
