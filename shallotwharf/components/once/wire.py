"""Messages between coordinators and holders."""

from shallotwharf.core import messages, records


class Result(records.Record):
    """How a call ended.

    Attributes:
        outcome: one of the `OUTCOME_` names.
        status: HTTP status of the answer.
        content_type: type of its body.
        body: its body; empty if `kept` is false.
        kept: whether the body is the whole one.
    """

    __slots__ = ('outcome', 'status', 'content_type', 'body', 'kept')

    def __init__(
        self,
        outcome: str,
        status: int,
        content_type: str,
        body: bytes,
        kept: bool,
    ) -> None:
        self.outcome = outcome
        self.status = status
        self.content_type = content_type
        self.body = body
        self.kept = kept


@messages.register('once.claim')
class Claim(messages.Message):
    """Asks a holder to keep a call for the attempt `token`.

    `epoch` is that of the group as the coordinator knows it.
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
    """One of the `VERDICT_` names; `result` if the call has finished."""

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
    """A claimed call ended with `result`; holders keep it."""

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
    """The attempt `token` did not run and never will."""

    __slots__ = ('key', 'token', 'group')

    def __init__(self, key: str, token: bytes, group: str) -> None:
        self.key = key
        self.token = token
        self.group = group


@messages.register('once.recorded')
class Recorded(messages.Message):
    """A holder applied `Finish` or `Release` of the attempt `token`."""

    __slots__ = ('token',)

    def __init__(self, token: bytes) -> None:
        self.token = token
