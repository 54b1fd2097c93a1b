"""Accepted orders, and the document of the latest revision."""

import collections

from shallotwharf.components.ledger import const, messages
from shallotwharf.core import messages as core_messages
from shallotwharf.core import records


class OrderRecord(records.Record):
    """An accepted order.

    Attributes:
        digest: digest of the whole order.
        reply: the answer.
    """

    __slots__ = ('digest', 'reply')

    def __init__(self, digest: bytes, reply: core_messages.Message) -> None:
        self.digest = digest
        self.reply = reply


class AcceptedOrders:
    """Answers by the digest of an order, so that repetitions are recognised.

    Only accepted orders are stored; a refused one that is sent again is
    checked again.

    Attributes:
        document: the latest revision as the operators sent it.
    """

    __slots__ = ('document', '_replies')

    def __init__(
        self,
        accepted: tuple[OrderRecord, ...] = (),
        document: bytes = b'',
    ) -> None:
        self.document = document
        self._replies: collections.OrderedDict[
            bytes,
            core_messages.Message,
        ] = collections.OrderedDict(
            (record.digest, record.reply) for record in accepted
        )

    def find(self, digest: bytes) -> core_messages.Message | None:
        """Return the answer to an accepted order; None if unknown."""
        return self._replies.get(digest)

    def add(
        self,
        command: messages.ApplyRevision,
        reply: core_messages.Message,
    ) -> None:
        """Store an accepted order and drop the oldest one above the limit."""
        self.document = command.document
        self._replies[command.digest] = reply
        if len(self._replies) > const.ORDER_LIMIT:
            self._replies.popitem(last=False)

    def list_records(self) -> tuple[OrderRecord, ...]:
        """Return all accepted orders, oldest first."""
        return tuple(
            OrderRecord(digest, reply)
            for digest, reply in self._replies.items()
        )
