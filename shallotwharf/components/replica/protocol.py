"""Messages between replicas."""

from shallotwharf.components.replica import stored
from shallotwharf.core import locations, messages


@messages.register('replica.pre_vote')
class PreVote(messages.Message):
    """Ask whether an election in `term` could be won; changes nothing."""

    # Slots repeat the names of fields that many messages have.
    __slots__ = ('term', 'last_index', 'last_term')  # noqa: WPS226

    def __init__(self, term: int, last_index: int, last_term: int) -> None:
        self.term = term
        self.last_index = last_index
        self.last_term = last_term


@messages.register('replica.request_vote')
class RequestVote(messages.Message):
    """Ask for the vote of `term`.

    Attributes:
        term: term of the election.
        identity: disk of the candidate.
        last_index: index of the candidate's last entry.
        last_term: term of that entry.
        handed_over: the leader gave up its lease for this candidate.
    """

    __slots__ = ('term', 'identity', 'last_index', 'last_term', 'handed_over')

    def __init__(
        self,
        term: int,
        identity: str,
        last_index: int,
        last_term: int,
        handed_over: bool,
    ) -> None:
        self.term = term
        self.identity = identity
        self.last_index = last_index
        self.last_term = last_term
        self.handed_over = handed_over


@messages.register('replica.restarted')
class Restarted(messages.Message):
    """The sender has heard no leader and did not lead since it started.

    Attributes:
        members_index: index of the latest configuration in its log.
    """

    __slots__ = ('members_index',)

    def __init__(self, members_index: int) -> None:
        self.members_index = members_index


@messages.register('replica.vote_reply')
class VoteReply(messages.Message):
    """Answer to `PreVote` and `RequestVote`.

    Attributes:
        term: current term of the voter.
        asked: term that was asked for.
        identity: disk of the voter.
        preliminary: whether it answers `PreVote`.
        granted: whether the voter agrees.
    """

    __slots__ = ('term', 'asked', 'identity', 'preliminary', 'granted')

    def __init__(
        self,
        term: int,
        asked: int,
        identity: str,
        preliminary: bool,
        granted: bool,
    ) -> None:
        self.term = term
        self.asked = asked
        self.identity = identity
        self.preliminary = preliminary
        self.granted = granted


@messages.register('replica.append_entries')
class AppendEntries(messages.Message):
    """Entries that follow `previous_index`, or none as a heartbeat.

    Attributes:
        term: term of the leader.
        target: disk it is meant for.
        previous_index: index of the entry before the first one.
        previous_term: term of that entry.
        entries: consecutive entries.
        commit: commit index of the leader.
        probe: whether the follower must write to its disk before it answers,
            since the leader cannot and looks for one to take over.
        sent_at: the leader's clock; the reply returns it.
    """

    __slots__ = (
        'term',
        'target',
        'previous_index',
        'previous_term',
        'entries',
        'commit',
        'probe',
        'sent_at',
    )

    def __init__(
        self,
        term: int,
        target: str,
        previous_index: int,
        previous_term: int,
        entries: tuple[stored.Entry, ...],
        commit: int,
        probe: bool,
        sent_at: int,
    ) -> None:
        self.term = term
        self.target = target
        self.previous_index = previous_index
        self.previous_term = previous_term
        self.entries = entries
        self.commit = commit
        self.probe = probe
        self.sent_at = sent_at


@messages.register('replica.append_reply')
class AppendReply(messages.Message):
    """Answer to `AppendEntries`.

    Attributes:
        term: current term of the follower.
        identity: disk of the follower.
        accepted: whether the entries are on its disk.
        index: if accepted, the last index known to match; otherwise the
            index the leader should go on from.
        writable: False while the follower cannot write to its disk.
        sent_at: copied from the message.
    """

    __slots__ = (
        'term',
        'identity',
        'accepted',
        'index',
        'writable',
        'sent_at',
    )

    def __init__(
        self,
        term: int,
        identity: str,
        accepted: bool,
        index: int,
        writable: bool,
        sent_at: int,
    ) -> None:
        self.term = term
        self.identity = identity
        self.accepted = accepted
        self.index = index
        self.writable = writable
        self.sent_at = sent_at


@messages.register('replica.install_snapshot')
class InstallSnapshot(messages.Message):
    """One part of a snapshot, for a follower behind the leader's log."""

    __slots__ = (
        'term',
        'target',
        'header',
        'part',
        'total',
        'content',
        'sent_at',
    )

    def __init__(
        self,
        term: int,
        target: str,
        header: stored.Snapshot,
        part: int,
        total: int,
        content: messages.Message,
        sent_at: int,
    ) -> None:
        self.term = term
        self.target = target
        self.header = header
        self.part = part
        self.total = total
        self.content = content
        self.sent_at = sent_at


@messages.register('replica.install_reply')
class InstallReply(messages.Message):
    """Answer to `InstallSnapshot`.

    Attributes:
        term: current term of the follower.
        identity: disk of the follower.
        index: index of the snapshot.
        part: the part it needs next; the total once all are on its disk.
        sent_at: copied from the message.
    """

    __slots__ = ('term', 'identity', 'index', 'part', 'sent_at')

    def __init__(
        self,
        term: int,
        identity: str,
        index: int,
        part: int,
        sent_at: int,
    ) -> None:
        self.term = term
        self.identity = identity
        self.index = index
        self.part = part
        self.sent_at = sent_at


@messages.register('replica.hand_over')
class HandOver(messages.Message):
    """The leader of `term` gave up its lease; the target campaigns now."""

    __slots__ = ('term', 'target')

    def __init__(self, term: int, target: str) -> None:
        self.term = term
        self.target = target


@messages.register('replica.greet')
class Greet(messages.Message):
    """A process without a configuration shows its disk and asks for one.

    Attributes:
        identity: its disk.
        location: where it runs.
    """

    __slots__ = ('identity', 'location')

    def __init__(
        self,
        identity: str,
        location: locations.Location = locations.UNKNOWN,
    ) -> None:
        self.identity = identity
        self.location = location


@messages.register('replica.greeting')
class Greeting(messages.Message):
    """Answer to `Greet`.

    Attributes:
        identity: disk of the sender.
        asked: disk of the receiver, as it asked.
        founded: whether the sender has a configuration.
        founding: first entry of the log; None if the sender has none or
            dropped it.
        leader: name of the leader; empty if unknown.
        location: where the sender runs.
    """

    __slots__ = (
        'identity',
        'asked',
        'founded',
        'founding',
        'leader',
        'location',
    )

    def __init__(
        self,
        identity: str,
        asked: str,
        founded: bool,
        founding: stored.Entry | None,
        leader: str,
        location: locations.Location = locations.UNKNOWN,
    ) -> None:
        self.identity = identity
        self.asked = asked
        self.founded = founded
        self.founding = founding
        self.leader = leader
        self.location = location
