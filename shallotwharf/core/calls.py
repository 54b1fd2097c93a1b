"""Values that the HTTP adapters and the components exchange for a call.

The adapters carry out steps and report results; the components decide.
"""

import hashlib
import typing

from shallotwharf.core import records, upstream_notices

# How an attempt ended.
OUTCOME_ANSWERED: typing.Final = 'answered'
OUTCOME_REFUSED: typing.Final = 'refused'
OUTCOME_UNREACHED: typing.Final = 'unreached'
OUTCOME_CLOSED: typing.Final = 'closed'
# The response must not be relayed, for example because it has the id of another
# attempt.
OUTCOME_CROSSED: typing.Final = 'crossed'
OUTCOME_LATE: typing.Final = 'late'
OUTCOME_CANCELLED: typing.Final = 'cancelled'

# The upstream refused a request without running it, because all its slots are
# taken or because it is not the instance that the request is meant for.
REASON_UPSTREAM_FULL: typing.Final = 'upstream_full'
REASON_UPSTREAM_OTHER: typing.Final = 'upstream_other_instance'
UPSTREAM_REASONS: typing.Final = frozenset(
    (REASON_UPSTREAM_FULL, REASON_UPSTREAM_OTHER),
)

# Outcomes of an attempt that may have run, as observers receive them.
OBSERVED_OK: typing.Final = 'ok'
OBSERVED_ERROR: typing.Final = 'error'
OBSERVED_SLOW: typing.Final = 'slow'
OBSERVED_CRASH: typing.Final = 'crash'


class Request(records.Record):
    """An incoming request with its body in memory.

    Attributes:
        method: HTTP method.
        target: path and query as the caller sent them.
        body: the complete body.
        deadline_ms: milliseconds that remained on arrival; None if not
            stated.
        retried: whether an earlier hop already retries.
        attempt: id assigned by the previous node; empty from a caller.
        forwarded: what the previous node chose; empty from a caller.
        key: value of the `Idempotency-Key` header; empty if none.
        host: host that the request is for, without a port, in lower case.
        label: the caller's own name of the request, for logs; empty if none.
        key_digest: digest of the caller's key, see `core.credentials`; empty
            without a key.
    """

    __slots__ = (
        'method',
        'target',
        'body',
        'deadline_ms',
        'retried',
        'attempt',
        'forwarded',
        'key',
        'host',
        'label',
        'key_digest',
    )

    def __init__(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        deadline_ms: int | None = None,
        retried: bool = False,
        attempt: str = '',
        forwarded: str = '',
        key: str = '',
        host: str = '',
        label: str = '',
        key_digest: bytes = b'',
    ) -> None:
        self.method = method
        self.target = target
        self.body = body
        self.deadline_ms = deadline_ms
        self.retried = retried
        self.attempt = attempt
        self.forwarded = forwarded
        self.key = key
        self.host = host
        self.label = label
        self.key_digest = key_digest

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    def compute_digest(self) -> bytes:
        """Return the SHA-256 digest of method, target and body, 32 bytes."""
        return self._hash(f'{self.method}\n{self.target}\n')

    def compute_identity(self) -> bytes:
        """Return the SHA-256 digest of what makes a request the same again.

        These are host, method, target and body; 32 bytes.
        """
        return self._hash(f'{self.host}\n{self.method}\n{self.target}\n')

    def _hash(self, start: str) -> bytes:
        digest = hashlib.sha256(start.encode('utf-8', 'replace'))
        digest.update(self.body)
        return digest.digest()


class Result(records.Record):
    """How an attempt ended.

    Attributes:
        outcome: one of the `OUTCOME_` names.
        reason: name of the reason; empty for `OUTCOME_ANSWERED`.
        status: HTTP status of a complete response, otherwise 0.
        spare: slots that the gate had free at the end; -1 if not reported.
        size: length of the body of a complete response in bytes.
        notice: what the upstream beside this node stated in its response;
            None without a response, or if it cannot state anything.
        leaving: incarnation of the upstream beside another node if it stated
            that it leaves; empty if not.
        condition: speed of the upstream; None if not reported.
    """

    __slots__ = (
        'outcome',
        'reason',
        'status',
        'spare',
        'size',
        'notice',
        'leaving',
        'condition',
    )

    def __init__(
        self,
        outcome: str,
        reason: str = '',
        status: int = 0,
        spare: int = -1,
        size: int = 0,
        notice: upstream_notices.UpstreamNotice | None = None,
        leaving: str = '',
        condition: upstream_notices.Condition | None = None,
    ) -> None:
        self.outcome = outcome
        self.reason = reason
        self.status = status
        self.spare = spare
        self.size = size
        self.notice = notice
        self.leaving = leaving
        self.condition = condition

    @property
    def reached(self) -> bool:
        """Return whether the attempt arrived at an upstream, run or not."""
        if self.outcome == OUTCOME_REFUSED:
            return self.reason in UPSTREAM_REASONS
        return self.outcome != OUTCOME_UNREACHED


class Step(records.Record):
    """Base class of the next action of an adapter for a call."""

    __slots__ = ()


class Enter(Step):
    """Request admission at this node's gate, then send to its upstream.

    Attributes:
        attempt: unique id of the attempt.
        rank: priority in the queue of the gate; 0 is served first.
        service: service that was chosen.
        version: version of the service that was chosen.
        deadline_at: deadline of the response, in clock milliseconds.
        start_by: latest time at which it may reach the upstream, in clock
            milliseconds.
        retried: whether a later hop must not retry.
        tenant: name of the caller's tenant; empty if it has none.
        route: name of the route; empty if unknown.
        aim_at: latest time at which the response has its full value, in clock
            milliseconds; 0 if unknown.
        work_ms: usual run time of such a request; 0 if unknown.
    """

    __slots__ = (
        'attempt',
        'rank',
        'service',
        'version',
        'deadline_at',
        'start_by',
        'retried',
        'tenant',
        'route',
        'aim_at',
        'work_ms',
    )

    def __init__(
        self,
        attempt: str,
        rank: int,
        service: str,
        version: str,
        deadline_at: int,
        start_by: int,
        retried: bool,
        tenant: str = '',
        route: str = '',
        aim_at: int = 0,
        work_ms: int = 0,
    ) -> None:
        self.attempt = attempt
        self.rank = rank
        self.service = service
        self.version = version
        self.deadline_at = deadline_at
        self.start_by = start_by
        self.retried = retried
        self.tenant = tenant
        self.route = route
        self.aim_at = aim_at
        self.work_ms = work_ms


class Forward(Step):
    """Send to the call port of another node.

    Attributes:
        attempt: unique id of the attempt; the response must echo it.
        host: IP address of the node.
        port: its port for calls.
        forwarded: value of the `Shallotwharf-Forwarded` header.
        deadline_at: deadline of the response, in clock milliseconds.
        margin_ms: how much earlier the other node must respond.
        retried: whether a later hop must not retry.
    """

    __slots__ = (
        'attempt',
        'host',
        'port',
        'forwarded',
        'deadline_at',
        'margin_ms',
        'retried',
    )

    def __init__(
        self,
        attempt: str,
        host: str,
        port: int,
        forwarded: str,
        deadline_at: int,
        margin_ms: int,
        retried: bool,
    ) -> None:
        self.attempt = attempt
        self.host = host
        self.port = port
        self.forwarded = forwarded
        self.deadline_at = deadline_at
        self.margin_ms = margin_ms
        self.retried = retried


class Guard(Step):
    """Request a grant for the call from the guard of once-only calls.

    Attributes:
        deadline_at: latest time of its reply, in clock milliseconds.
    """

    __slots__ = ('deadline_at',)

    def __init__(self, deadline_at: int) -> None:
        self.deadline_at = deadline_at


class Relay(Step):
    """Send the caller the complete response of the last attempt."""

    __slots__ = ()


class Respond(Step):
    """Send the caller a response made by this node.

    Attributes:
        status: HTTP status.
        reason: name of the reason.
        not_run: whether the request certainly did not run.
        retry_after_ms: time after which a retry may succeed; 0 if none.
        outcome: how the attempt ended, for the node that chose this one.
    """

    __slots__ = ('status', 'reason', 'not_run', 'retry_after_ms', 'outcome')

    def __init__(
        self,
        status: int,
        reason: str,
        not_run: bool,
        retry_after_ms: int = 0,
        outcome: str = OUTCOME_REFUSED,
    ) -> None:
        self.status = status
        self.reason = reason
        self.not_run = not_run
        self.retry_after_ms = retry_after_ms
        self.outcome = outcome


class Replay(Step):
    """Send the caller the stored response of an earlier run."""

    __slots__ = ('status', 'content_type', 'body')

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body
