"""Leader elections with pre-votes."""

from shallotwharf.components.replica import (
    const,
    kernel,
    protocol,
    restarts,
)
from shallotwharf.core import effects
from shallotwharf.core import messages as core_messages


class Elections:
    """Votes granted and received by one replica.

    Attributes:
        restarts: voters that restarted; votes need not wait once all did.
    """

    __slots__ = ('restarts', '_kernel', '_votes', '_preliminary')

    def __init__(self, shared: kernel.Kernel) -> None:
        self.restarts = restarts.Restarts(shared)
        self._kernel = shared
        self._votes: set[str] = set()
        self._preliminary = True

    @property
    def electable(self) -> bool:
        """Return whether this process may campaign."""
        return (
            self._kernel.members.is_voter(self._kernel.identity)
            and not self._kernel.storage_failed
        )

    def reset_timer(self, now: int) -> None:
        """Restart the timer with a random election timeout."""
        self._set_timer(now, const.ELECTION_MIN_MS, const.ELECTION_MAX_MS)

    def hasten(self, now: int) -> None:
        """Shorten the timer: a group that was just founded has no leader."""
        self._set_timer(now, const.RETRY_MIN_MS, const.RETRY_MAX_MS)

    def note_restarted(self, sender: str, index: int, now: int) -> None:
        """Record that a voter restarted; campaign soon if all have."""
        if self.restarts.note(sender, index) and self.electable:
            names = [voter.name for voter in self._kernel.members.voters]
            rank = sorted(names).index(self._kernel.name)
            wait_ms = const.FRESH_MIN_MS + rank * const.FRESH_STEP_MS
            self._set_timer(now, wait_ms, wait_ms)

    def start_pre_vote(self, now: int) -> bool:
        """Request pre-votes; return whether the election is already won."""
        self.reset_timer(now)
        self._kernel.follow('')
        if not self.electable:
            return False
        self._kernel.role = const.ROLE_CANDIDATE
        self._set_timer(now, const.RETRY_MIN_MS, const.RETRY_MAX_MS)
        self._begin(preliminary=True)
        self._ask(
            protocol.PreVote(
                self._kernel.term + 1,
                self._kernel.log.last_index,
                self._kernel.log.last_term,
            ),
        )
        return self._count(now)

    def start_election(self, now: int, handed_over: bool = False) -> bool:
        """Enter a new term; return whether the election is already won."""
        self.reset_timer(now)
        self._kernel.follow('')
        if not self.electable:
            return False
        self._kernel.role = const.ROLE_CANDIDATE
        self._set_timer(now, const.RETRY_MIN_MS, const.RETRY_MAX_MS)
        self._begin(preliminary=False)
        self._kernel.change_term(self._kernel.term + 1, self._kernel.identity)
        self._ask(
            protocol.RequestVote(
                self._kernel.term,
                self._kernel.identity,
                self._kernel.log.last_index,
                self._kernel.log.last_term,
                handed_over,
            ),
        )
        return self._count(now)

    def answer_pre_vote(
        self,
        message: protocol.PreVote,
        sender: str,
        now: int,
    ) -> None:
        """Reply whether this process would vote for the sender."""
        granted = (
            self._may_vote()
            and message.term > self._kernel.term
            and not self._hears_leader(now)
            and self._is_current(message.last_term, message.last_index)
        )
        self._reply(sender, message.term, preliminary=True, granted=granted)

    def answer_request(
        self,
        message: protocol.RequestVote,
        sender: str,
        now: int,
    ) -> None:
        """Grant or refuse the vote of a term.

        The term is not adopted either while messages of a leader arrive,
        because the lease of that leader depends on it.
        """
        granted = False
        bound = self._hears_leader(now) and not message.handed_over
        if self._may_vote() and not bound:
            granted = self._vote(message)
        if granted:
            self.reset_timer(now)
        self._reply(sender, message.term, preliminary=False, granted=granted)

    def count_reply(self, message: protocol.VoteReply, now: int) -> bool:
        """Count a vote; return whether the election is won."""
        if message.term > self._kernel.term:
            self._kernel.change_term(message.term)
            self._kernel.follow('')
            return False
        asked = self._kernel.term + int(self._preliminary)
        if (
            self._kernel.role != const.ROLE_CANDIDATE
            or message.preliminary != self._preliminary
            or message.asked != asked
            or not message.granted
        ):
            return False
        self._votes.add(message.identity)
        return self._count(now)

    def _set_timer(self, now: int, least_ms: int, most_ms: int) -> None:
        timeout_ms = self._kernel.random.randint(least_ms, most_ms)
        self._kernel.outbox.add(
            effects.SetTimer(const.TIMER_ELECTION, now + timeout_ms),
        )

    def _begin(self, preliminary: bool) -> None:
        self._preliminary = preliminary
        self._votes = {self._kernel.identity}

    def _ask(self, question: core_messages.Message) -> None:
        for voter in self._kernel.members.voters:
            if voter.name != self._kernel.name:
                self._kernel.outbox.send(voter.name, question)

    def _count(self, now: int) -> bool:
        if not self._kernel.members.has_majority(self._votes):
            return False
        if self._preliminary:
            return self.start_election(now)
        return True

    def _may_vote(self) -> bool:
        return self._kernel.founded and not self._kernel.storage_failed

    def _hears_leader(self, now: int) -> bool:
        if self._kernel.role == const.ROLE_LEADER:
            return True
        if self.restarts.is_complete():
            return False
        return now - self._kernel.heard_at < const.ELECTION_MIN_MS

    def _is_current(self, last_term: int, last_index: int) -> bool:
        log = self._kernel.log
        if last_term == log.last_term:
            return last_index >= log.last_index
        return last_term > log.last_term

    def _vote(self, message: protocol.RequestVote) -> bool:
        if message.term > self._kernel.term:
            self._kernel.change_term(message.term)
            self._kernel.follow('')
        free = self._kernel.vote in {'', message.identity}
        if (
            message.term < self._kernel.term
            or not free
            or not self._is_current(message.last_term, message.last_index)
        ):
            return False
        self._kernel.change_term(message.term, message.identity)
        return True

    def _reply(
        self,
        sender: str,
        asked: int,
        preliminary: bool,
        granted: bool,
    ) -> None:
        self._kernel.outbox.send(
            sender,
            protocol.VoteReply(
                self._kernel.term,
                asked,
                self._kernel.identity,
                preliminary,
                granted,
            ),
        )
