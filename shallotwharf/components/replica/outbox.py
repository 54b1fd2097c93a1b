"""Effects of one step of a replica, in order."""

from shallotwharf.components.replica import stored
from shallotwharf.core import effects, messages, records, storage


class Outbox:
    """Collects the effects of one step in the order in which they must run.

    Answers that do not depend on the stores come first, then the stores, then
    the effects that may only become visible once the stores are on disk. The
    state is the last store, because its commit index refers to entries that
    must be on disk before it.
    """

    __slots__ = ('_early', '_state', '_stores', '_late')

    def __init__(self) -> None:
        self._early: list[effects.Effect] = []
        self._state: stored.State | None = None
        self._stores: list[effects.Effect] = []
        self._late: list[effects.Effect] = []

    def answer_early(self, request: str, reply: messages.Message) -> None:
        """Answer a request before the stores of this step."""
        if request:
            self._early.append(effects.Answer(request, reply))

    def answer(self, request: str, reply: messages.Message) -> None:
        """Answer a request after the stores."""
        if request:
            self._late.append(effects.Answer(request, reply))

    def save_state(self, state: stored.State) -> None:
        """Store the state; the last call of a step wins."""
        self._state = state

    def store(self, operation: records.Record) -> None:
        """Add an operation on the stored log or snapshot."""
        self._stores.append(effects.Store(operation))

    def add(self, effect: effects.Effect) -> None:
        """Add an effect that runs after the stores."""
        self._late.append(effect)

    def add_all(self, added: list[effects.Effect]) -> None:
        """Add effects that run after the stores."""
        self._late.extend(added)

    def send(self, peer: str, message: messages.Message) -> None:
        """Send a message after the stores."""
        self._late.append(effects.Send(peer, message))

    def discard(self) -> None:
        """Drop the effects of a step that an error ended early."""
        self.drain()

    def drain(self) -> list[effects.Effect]:
        """Return the effects of the step and clear them."""
        step = self._early
        step.extend(self._stores)
        if self._state is not None:
            step.append(effects.Store(storage.SaveState(self._state)))
        step.extend(self._late)
        self._early = []
        self._state = None
        self._stores = []
        self._late = []
        return step
