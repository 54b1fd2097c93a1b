"""Interface of the rules by which attempts wait for a slot."""

import abc

from shallotwharf.core import calls


class Entry:
    """A queued attempt.

    Attributes:
        step: step of the call plan that entered the gate.
        request: request of the attempt.
        expires_at: time when it is refused, in clock milliseconds.
        is_deadline: whether that time is a limit of the call, not of the queue.
    """

    __slots__ = ('step', 'request', 'expires_at', 'is_deadline')

    def __init__(
        self,
        step: calls.Enter,
        request: calls.Request,
        expires_at: int,
        is_deadline: bool,
    ) -> None:
        self.step = step
        self.request = request
        self.expires_at = expires_at
        self.is_deadline = is_deadline


class Removed:
    """An attempt that is refused while or before it waits."""

    __slots__ = ('entry', 'reason')

    def __init__(self, entry: Entry, reason: str) -> None:
        self.entry = entry
        self.reason = reason


class Policy(abc.ABC):
    """Decides which attempts wait, in what order, and what is given up."""

    __slots__ = ()

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting attempts."""

    @abc.abstractmethod
    def __contains__(self, attempt: str) -> bool:
        """Return whether an attempt waits."""

    @abc.abstractmethod
    def find_lateness(self, step: calls.Enter, now: int) -> str:
        """Return the reason to refuse what cannot end in time, else ''."""

    @abc.abstractmethod
    def record_arrival(self, step: calls.Enter) -> None:
        """Count an attempt that asks for admission."""

    @abc.abstractmethod
    def record_admission(self, step: calls.Enter, now: int) -> None:
        """Count an attempt that was admitted."""

    @abc.abstractmethod
    def push(
        self, step: calls.Enter, request: calls.Request, now: int
    ) -> list[Removed]:
        """Let an attempt wait.

        Returns those that are refused for it, which may include itself.
        """

    @abc.abstractmethod
    def pop(self, now: int) -> Entry:
        """Remove and return the attempt to admit next.

        Raises:
            IndexError: if none waits.
        """

    @abc.abstractmethod
    def remove(self, attempt: str) -> bool:
        """Remove the entry of an attempt; return whether it existed."""

    @abc.abstractmethod
    def pop_expired(self, now: int) -> list[Removed]:
        """Remove and return what can no longer be served."""

    @abc.abstractmethod
    def drain_all(self) -> list[Entry]:
        """Remove and return all entries in order."""

    @abc.abstractmethod
    def find_next_expiry(self) -> int:
        """Return the earliest expiry of an entry.

        Raises:
            ValueError: if none waits.
        """
