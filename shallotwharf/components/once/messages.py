"""Messages between the HTTP path and the coordinator of once-only calls."""

import typing

from shallotwharf.core import messages

OUTCOME_RUN: typing.Final = 'run'
OUTCOME_NOT_RUN: typing.Final = 'not_run'
OUTCOME_UNKNOWN: typing.Final = 'unknown'


@messages.register('once.begin_call')
class BeginCall(messages.Message):
    """Request to run a once-only call.

    The reply is `CallGranted`, `CallReplayed` or `CallRefused`.

    Attributes:
        request: id of the waiting request.
        key: value of the `Idempotency-Key` header.
        digest: digest of method, path and body.
        wall_now: wall time, in ms since the Unix epoch.
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
    """Permission to run the call now, through this process only.

    The call must not reach an upstream after `expires_at`, which is a
    monotonic time in ms.
    """

    __slots__ = ('expires_at',)

    def __init__(self, expires_at: int) -> None:
        self.expires_at = expires_at


@messages.register('once.call_replayed')
class CallReplayed(messages.Message):
    """The stored response of a call that ran before."""

    __slots__ = ('status', 'content_type', 'body')

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body


@messages.register('once.call_refused')
class CallRefused(messages.Message):
    """Refusal to run the call.

    Attributes:
        reason: name of the reason, such as `holders_unreachable`.
        outcome: `OUTCOME_NOT_RUN` if the call certainly never ran,
            `OUTCOME_RUN` if it ran but its response was too large to be
            stored, else `OUTCOME_UNKNOWN`.
    """

    __slots__ = ('reason', 'outcome')

    def __init__(self, reason: str, outcome: str) -> None:
        self.reason = reason
        self.outcome = outcome


@messages.register('once.call_finished')
class CallFinished(messages.Message):
    """The end of a granted call.

    `outcome` is one of the `OUTCOME_` constants. Status, content type and body
    are those of the response if the call ran.
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
