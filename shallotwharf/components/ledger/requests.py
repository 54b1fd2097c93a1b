"""First answers to the request ids of edits."""

import heapq

from shallotwharf.components.ledger import answers, const, messages
from shallotwharf.core import digest as core_digest
from shallotwharf.core import identifiers, records
from shallotwharf.core import messages as core_messages


class RequestRecord(records.Record):
    """The first answer to a request id.

    Attributes:
        request_id: UUIDv7.
        digest: digest of the request without its time.
        reply: the first answer.
    """

    __slots__ = ('request_id', 'digest', 'reply')

    def __init__(
        self,
        request_id: str,
        digest: bytes,
        reply: core_messages.Message,
    ) -> None:
        self.request_id = request_id
        self.digest = digest
        self.reply = reply


class AnsweredRequests:
    """Answers by request id, stored for the lifetime of the ids.

    A request whose record was dropped never runs again, because ids with a
    time up to `dropped_until` are refused.

    Attributes:
        dropped_until: latest time of a dropped id, in milliseconds since the
            epoch; 0 if none was dropped.
    """

    __slots__ = ('dropped_until', '_records', '_queue')

    def __init__(self, dropped_until: int = 0) -> None:
        self.dropped_until = dropped_until
        self._records: dict[str, RequestRecord] = {}
        # Heap of times and ids, the earliest time first.
        self._queue: list[tuple[int, str]] = []

    def expire(self, at: int) -> None:
        """Drop the records that have expired at the wall time `at`.

        Above `const.REQUEST_LIMIT`, drops the oldest ones as well.
        """
        oldest = at - const.REQUEST_LIFETIME_MS
        while self._queue and (
            self._queue[0][0] < oldest or len(self._queue) > const.REQUEST_LIMIT
        ):
            time, request_id = heapq.heappop(self._queue)
            self._records.pop(request_id)
            self.dropped_until = max(self.dropped_until, time)

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of an id; None if unknown."""
        return self._records.get(request_id)

    def list_records(self) -> list[RequestRecord]:
        """Return all records, in the order of their addition."""
        return list(self._records.values())

    def check(
        self,
        command: messages.ApplyEdit | messages.Revert,
    ) -> core_messages.Message | None:
        """Return the answer to a request that must not run; None if it may."""
        try:
            time = identifiers.read_time(command.request_id)
        except ValueError as error:
            return answers.refuse(const.REASON_BAD_REQUEST_ID, str(error))
        record = self._records.get(command.request_id)
        if record is not None:
            if record.digest == compute_digest(command):
                return record.reply
            return answers.refuse(
                const.REASON_REQUEST_ID_REUSED,
                'another request was sent with this id',
            )
        return self._check_time(time, command.at)

    def add(self, record: RequestRecord) -> None:
        """Store the first answer to an id.

        Raises:
            ValueError: if the id is not a UUIDv7.
        """
        time = identifiers.read_time(record.request_id)
        self._records[record.request_id] = record
        heapq.heappush(self._queue, (time, record.request_id))

    def _check_time(
        self,
        time: int,
        at: int,
    ) -> core_messages.Message | None:
        oldest = at - const.REQUEST_LIFETIME_MS
        if time < oldest or time <= self.dropped_until:
            return answers.refuse(
                const.REASON_REQUEST_EXPIRED,
                'the request id is older than its lifetime of 24 h',
            )
        if time > at + const.CLOCK_TOLERANCE_MS:
            return answers.refuse(
                const.REASON_REQUEST_FROM_FUTURE,
                f'the request id is {time - at} ms ahead of the clock',
            )
        return None


def compute_digest(command: messages.ApplyEdit | messages.Revert) -> bytes:
    """Return the digest of a request without the time it was sent."""
    return core_digest.compute_digest(command.tag, command.replace(at=0))
