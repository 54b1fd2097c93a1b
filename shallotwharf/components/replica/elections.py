"""Leader elections with pre-votes."""

from shallotwharf.components.replica import (
    const,
    protocol,
    restarts,
    shared_state,
)
from shallotwharf.core import effects
from shallotwharf.core import messages as core_messages


class Elections:
    """Votes granted and received by one replica.

    Attributes:
        restarts: voters that have restarted; once all have, votes are no
            longer delayed.
    """

    __slots__ = (
        'restarts',
        '_state',
        '_votes',
        '_preliminary',
        '_answered',
        '_lost_elections',
        '_report_at',
    )

    def __init__(self, shared: shared_state.SharedState) -> None:
        self.restarts = restarts.Restarts(shared)
        self._state = shared
        self._votes: set[str] = set()
        self._preliminary = True
        # Identities of the voters that have answered in this round.
        self._answered: set[str] = set()
        # Elections of this process since a leader was heard.
        self._lost_elections = 0
        self._report_at = 0

    @property
    def electable(self) -> bool:
        """Return whether this process may campaign."""
        return (
            self._state.members.is_voter(self._state.identity)
            and not self._state.storage_failed
        )

    def reset_timer(self, now: int) -> None:
        """Restart the timer with a random election timeout."""
        self._lost_elections = 0
        self._restart_timer(now)

    def shorten_timer(self, now: int) -> None:
        """Shorten the timer: a newly bootstrapped group has no leader yet."""
        self._set_timer(now, const.RETRY_MIN_MS, const.RETRY_MAX_MS)

    def record_restart(self, sender: str, index: int, now: int) -> None:
        """Record that a voter restarted; campaign soon if all have."""
        if self.restarts.record(sender, index) and self.electable:
            names = [voter.name for voter in self._state.members.voters]
            rank = sorted(names).index(self._state.name)
            wait_ms = (
                const.RESTART_CAMPAIGN_MIN_MS
                + rank * const.RESTART_CAMPAIGN_STEP_MS
            )
            self._set_timer(now, wait_ms, wait_ms)

    def start_pre_vote(self, now: int) -> bool:
        """Request pre-votes; return whether the election is already won."""
        if self._state.role == const.ROLE_CANDIDATE:
            self._lost_elections += int(not self._preliminary)
            self._report_lost_round(now)
        self._restart_timer(now)
        self._state.become_follower('')
        if not self.electable:
            return False
        self._state.role = const.ROLE_CANDIDATE
        self._set_timer(now, const.RETRY_MIN_MS, const.RETRY_MAX_MS)
        self._start_round(preliminary=True)
        self._send_to_voters(
            protocol.PreVote(
                self._state.term + 1,
                self._state.log.last_index,
                self._state.log.last_term,
            ),
        )
        return self._finish_if_won(now)

    def start_election(self, now: int, is_transfer: bool = False) -> bool:
        """Enter a new term; return whether the election is already won."""
        self._restart_timer(now)
        self._state.become_follower('')
        if not self.electable:
            return False
        self._state.role = const.ROLE_CANDIDATE
        self._set_retry_timer(now)
        self._start_round(preliminary=False)
        self._state.change_term(self._state.term + 1, self._state.identity)
        self._send_to_voters(
            protocol.RequestVote(
                self._state.term,
                self._state.identity,
                self._state.log.last_index,
                self._state.log.last_term,
                is_transfer,
            ),
        )
        return self._finish_if_won(now)

    def answer_pre_vote(
        self,
        message: protocol.PreVote,
        sender: str,
        now: int,
    ) -> None:
        """Reply whether this process would vote for the sender."""
        granted = (
            self._may_vote()
            and message.term > self._state.term
            and not self._has_active_leader(now)
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

        While messages of a leader arrive, the vote is refused and the term
        is not adopted, because the lease of that leader depends on both. A
        request after a transfer of the leadership is exempt.
        """
        granted = False
        leader_active = self._has_active_leader(now) and not message.is_transfer
        if self._may_vote() and not leader_active:
            granted = self._grant_vote(message)
        if granted:
            self._restart_timer(now)
        self._reply(sender, message.term, preliminary=False, granted=granted)

    def count_reply(self, message: protocol.VoteReply, now: int) -> bool:
        """Count a vote; return whether the election is won."""
        self._answered.add(message.identity)
        if message.term > self._state.term:
            self._state.change_term(message.term)
            self._state.become_follower('')
            return False
        requested_term = self._state.term + int(self._preliminary)
        if (
            self._state.role != const.ROLE_CANDIDATE
            or message.preliminary != self._preliminary
            or message.requested_term != requested_term
            or not message.granted
        ):
            return False
        self._votes.add(message.identity)
        return self._finish_if_won(now)

    def _restart_timer(self, now: int) -> None:
        self._set_timer(now, const.ELECTION_MIN_MS, const.ELECTION_MAX_MS)

    def _set_retry_timer(self, now: int) -> None:
        """Wait longer for votes after each lost election.

        Votes may take longer than the first wait, on slow disks or processors;
        further candidacies would then end each election before its votes are
        counted.
        """
        doublings = min(self._lost_elections, const.MAX_RETRY_DOUBLINGS)
        self._set_timer(
            now,
            const.RETRY_MIN_MS << doublings,
            const.RETRY_MAX_MS << doublings,
        )

    def _set_timer(self, now: int, least_ms: int, most_ms: int) -> None:
        timeout_ms = self._state.random.randint(least_ms, most_ms)
        self._state.outbox.add(
            effects.SetTimer(const.TIMER_ELECTION, now + timeout_ms),
        )

    def _start_round(self, preliminary: bool) -> None:
        self._preliminary = preliminary
        self._votes = {self._state.identity}
        self._answered = {self._state.identity}

    def _report_lost_round(self, now: int) -> None:
        if now < self._report_at:
            return
        self._report_at = now + const.ELECTION_REPORT_INTERVAL_MS
        voters = self._state.members.voters
        silent = [
            voter.name
            for voter in voters
            if voter.identity not in self._answered
        ]
        self._state.outbox.add(
            effects.Report(
                'election_waits',
                {
                    'preliminary': self._preliminary,
                    'granted': len(self._votes),
                    'voters': len(voters),
                    'silent': ','.join(silent),
                    'term': self._state.term,
                },
            ),
        )

    def _send_to_voters(self, question: core_messages.Message) -> None:
        for voter in self._state.members.voters:
            if voter.name != self._state.name:
                self._state.outbox.send(voter.name, question)

    def _finish_if_won(self, now: int) -> bool:
        if not self._state.members.has_majority(self._votes):
            return False
        if self._preliminary:
            return self.start_election(now)
        return True

    def _may_vote(self) -> bool:
        return self._state.has_configuration and not self._state.storage_failed

    def _has_active_leader(self, now: int) -> bool:
        if self._state.role == const.ROLE_LEADER:
            return True
        if self.restarts.is_complete():
            return False
        return now - self._state.leader_last_received_at < const.ELECTION_MIN_MS

    def _is_current(self, last_term: int, last_index: int) -> bool:
        log = self._state.log
        if last_term == log.last_term:
            return last_index >= log.last_index
        return last_term > log.last_term

    def _grant_vote(self, message: protocol.RequestVote) -> bool:
        if message.term > self._state.term:
            self._state.change_term(message.term)
            self._state.become_follower('')
        free = self._state.vote in {'', message.identity}
        if (
            message.term < self._state.term
            or not free
            or not self._is_current(message.last_term, message.last_index)
        ):
            return False
        self._state.change_term(message.term, message.identity)
        return True

    def _reply(
        self,
        sender: str,
        requested_term: int,
        preliminary: bool,
        granted: bool,
    ) -> None:
        self._state.outbox.send(
            sender,
            protocol.VoteReply(
                self._state.term,
                requested_term,
                self._state.identity,
                preliminary,
                granted,
            ),
        )
