"""Messages between the HTTP path and the coordinator of once-only calls."""

import typing

from shallotwharf.core import messages

OUTCOME_RUN: typing.Final = 'run'
OUTCOME_NOT_RUN: typing.Final = 'not_run'
OUTCOME_UNKNOWN: typing.Final = 'unknown'


@messages.register('once.begin_call')
class BeginCall(messages.Message):
    """A once-only call arrived; the answer is one of the replies below.

    Attributes:
        request: id of the waiting request.
        key: value of the `Idempotency-Key` header.
        digest: digest of method, path and body.
        wall_now: wall time, in milliseconds since the epoch.
    """

    __slots__ = ('request', 'key', 'digest', 'wall_now')

    def __init__(
        self,
        request: str,
        key: str,
        digest: bytes,
        wall_now: int,
    ) -> None:
        self.request = request
        self.key = key
        self.digest = digest
        self.wall_now = wall_now


@messages.register('once.call_granted')
class CallGranted(messages.Message):
    """The call may run now, through this process only.

    It must not reach an upstream after `expires_at`, in clock milliseconds.
    """

    __slots__ = ('expires_at',)

    def __init__(self, expires_at: int) -> None:
        self.expires_at = expires_at


@messages.register('once.call_replayed')
class CallReplayed(messages.Message):
    """The call ran before; this is its answer."""

    __slots__ = ('status', 'content_type', 'body')

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body


@messages.register('once.call_refused')
class CallRefused(messages.Message):
    """The call does not run now.

    Attributes:
        reason: name of the reason, such as `holders_unreachable`.
        outcome: `OUTCOME_NOT_RUN` if it surely did not run before either,
            `OUTCOME_RUN` if it ran and its answer was too large to be kept,
            else `OUTCOME_UNKNOWN`.
    """

    __slots__ = ('reason', 'outcome')

    def __init__(self, reason: str, outcome: str) -> None:
        self.reason = reason
        self.outcome = outcome


@messages.register('once.call_finished')
class CallFinished(messages.Message):
    """A granted call ended; `outcome` is one of the `OUTCOME_` names.

    Status, content type and body are those of the answer if it ran.
    """

    __slots__ = ('key', 'outcome', 'status', 'content_type', 'body')

    def __init__(
        self,
        key: str,
        outcome: str,
        status: int,
        content_type: str,
        body: bytes,
    ) -> None:
        self.key = key
        self.outcome = outcome
        self.status = status
        self.content_type = content_type
        self.body = body
