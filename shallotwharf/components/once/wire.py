"""Messages between coordinators and holders."""

from shallotwharf.core import messages, records


class Result(records.Record):
    """Result of a call.

    Attributes:
        outcome: one of the `OUTCOME_` constants.
        status: HTTP status of the response.
        content_type: content type of the response.
        body: body of the response; empty if `body_complete` is false.
        body_complete: whether `body` is the whole body. A body above a limit
            is dropped.
    """

    __slots__ = ('outcome', 'status', 'content_type', 'body', 'body_complete')

    def __init__(
        self,
        outcome: str,
        status: int,
        content_type: str,
        body: bytes,
        body_complete: bool,
    ) -> None:
        self.outcome = outcome
        self.status = status
        self.content_type = content_type
        self.body = body
        self.body_complete = body_complete


@messages.register('once.claim')
class Claim(messages.Message):
    """Request to a holder to store a claim for the attempt `token`.

    `epoch` is the epoch of the group that the coordinator has applied.
    """

    __slots__ = ('key', 'digest', 'token', 'group', 'epoch')

    def __init__(
        self,
        key: str,
        digest: bytes,
        token: bytes,
        group: str,
        epoch: int,
    ) -> None:
        self.key = key
        self.digest = digest
        self.token = token
        self.group = group
        self.epoch = epoch


@messages.register('once.claim_answered')
class ClaimAnswered(messages.Message):
    """Verdict of a holder on a claim, one of the `VERDICT_` constants.

    `result` is None unless the call has finished.
    """

    __slots__ = ('token', 'verdict', 'result')

    def __init__(
        self,
        token: bytes,
        verdict: str,
        result: Result | None = None,
    ) -> None:
        self.token = token
        self.verdict = verdict
        self.result = result


@messages.register('once.finish')
class Finish(messages.Message):
    """Result of a claimed call, which the holders store."""

    __slots__ = ('key', 'digest', 'token', 'group', 'result')

    def __init__(
        self,
        key: str,
        digest: bytes,
        token: bytes,
        group: str,
        result: Result,
    ) -> None:
        self.key = key
        self.digest = digest
        self.token = token
        self.group = group
        self.result = result


@messages.register('once.release')
class Release(messages.Message):
    """Release of the claim of an attempt that did not run and never will."""

    __slots__ = ('key', 'token', 'group')

    def __init__(self, key: str, token: bytes, group: str) -> None:
        self.key = key
        self.token = token
        self.group = group


@messages.register('once.recorded')
class Recorded(messages.Message):
    """Acknowledgement of the `Finish` or `Release` of the attempt `token`."""

    __slots__ = ('token',)

    def __init__(self, token: bytes) -> None:
        self.token = token
