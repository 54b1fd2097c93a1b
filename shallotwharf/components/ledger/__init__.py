"""Versions, moves and request ids, derived from the committed commands.

`ledger.Ledger` is the aggregate. Rules that the design page does not state:

- An edit conflicts if the tables changed after its base version. Versions
  that only stepped a move or assigned holders do not conflict with it.
- The answer to each valid request id is stored, also if it is a conflict or
  a refusal.
- A request id is refused as expired if it is older than 24 h at the time that
  the command carries, or not later than the latest id whose answer was
  dropped. A wrong clock therefore cannot make an edit run twice.
- A new due time does not restart a running move. If the move was taken back,
  a new due time declares another move. Removing the declaration removes the
  move.
- In each holder group one member may change at a time.
"""
