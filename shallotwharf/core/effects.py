"""Effects: actions that an aggregate returns for its process to run."""

from collections import abc

from shallotwharf.core import messages, records


class Effect(records.Record):
    """Base class of effects."""

    __slots__ = ()


class Send(Effect):
    """Send a message to a peer; delivery is not guaranteed."""

    __slots__ = ('peer', 'message')

    def __init__(self, peer: str, message: messages.Message) -> None:
        self.peer = peer
        self.message = message


class Publish(Effect):
    """Deliver a message to the aggregates of the same process."""

    __slots__ = ('message',)

    def __init__(self, message: messages.Message) -> None:
        self.message = message


class Store(Effect):
    """Write and sync an operation before the effects that follow."""

    __slots__ = ('operation',)

    def __init__(self, operation: records.Record) -> None:
        self.operation = operation


class SetTimer(Effect):
    """Set or move a timer of the aggregate to `at`, in clock milliseconds."""

    __slots__ = ('name', 'at')

    def __init__(self, name: str, at: int) -> None:
        self.name = name
        self.at = at


class CancelTimer(Effect):
    """Stop a timer of the aggregate; no effect if it is not set."""

    __slots__ = ('name',)

    def __init__(self, name: str) -> None:
        self.name = name


class Answer(Effect):
    """Deliver the reply to a request for which an adapter waits."""

    __slots__ = ('request', 'reply')

    def __init__(self, request: str, reply: messages.Message) -> None:
        self.request = request
        self.reply = reply


class Count(Effect):
    """Add to a named counter."""

    __slots__ = ('name', 'amount')

    def __init__(self, name: str, amount: int = 1) -> None:
        self.name = name
        self.amount = amount


class Report(Effect):
    """Write one line of key=value pairs to the log.

    Attributes:
        event: name of the event.
        fields: inputs of the decision, and its outcome.
        is_call: whether it is about a single call; the rate of such lines is
            limited.
    """

    __slots__ = ('event', 'fields', 'is_call')

    def __init__(
        self,
        event: str,
        fields: abc.Mapping[str, object],
        is_call: bool = False,
    ) -> None:
        self.event = event
        self.fields = fields
        self.is_call = is_call
