"""Replies of a gate and of the guard of once-only calls."""

from shallotwharf.core import messages, records


class Admission(messages.Message):
    """Base class of a gate's replies, which stay within the process."""

    __slots__ = ()


class Admitted(Admission):
    """The attempt holds a slot of an upstream.

    Attributes:
        host, port: where the upstream listens.
        instance: identifier of its current start.
    """

    __slots__ = ('host', 'port', 'instance')

    def __init__(self, host: str, port: int, instance: str = '') -> None:
        self.host = host
        self.port = port
        self.instance = instance


class Refused(Admission):
    """The attempt did not run and will not."""

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Queued(Admission):
    """The attempt waits; an `effects.Answer` admits or refuses it later."""

    __slots__ = ()


class GuardReply(records.Record):
    """Base class of the replies of the guard of once-only calls."""

    __slots__ = ()


class Granted(GuardReply):
    """The call may reach an upstream until `expires_at` (clock ms)."""

    __slots__ = ('expires_at',)

    def __init__(self, expires_at: int) -> None:
        self.expires_at = expires_at


class Replayed(GuardReply):
    """The call ran before; this is its stored response."""

    __slots__ = ('status', 'content_type', 'body')

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body


class Denied(GuardReply):
    """The call may not run now; `not_run` if it never ran before."""

    __slots__ = ('reason', 'not_run')

    def __init__(self, reason: str, not_run: bool) -> None:
        self.reason = reason
        self.not_run = not_run
