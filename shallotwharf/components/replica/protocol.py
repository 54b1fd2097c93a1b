"""Messages between replicas."""

from shallotwharf.components.replica import configuration, stored
from shallotwharf.core import locations, messages


@messages.register('replica.pre_vote')
class PreVote(messages.Message):
    """Request for a pre-vote: whether the receiver would vote in `term`.

    It changes no state.

    Attributes:
        term: term of the election that would follow.
        last_index: index of the candidate's last entry.
        last_term: term of that entry.
    """

    # Many messages have fields of the same names.
    __slots__ = ('term', 'last_index', 'last_term')  # noqa: WPS226

    def __init__(self, term: int, last_index: int, last_term: int) -> None:
        self.term = term
        self.last_index = last_index
        self.last_term = last_term


@messages.register('replica.request_vote')
class RequestVote(messages.Message):
    """Request for a vote.

    Attributes:
        term: term of the election.
        identity: disk of the candidate.
        last_index: index of the candidate's last entry.
        last_term: term of that entry.
        is_transfer: whether the leader gave up its lease for this candidate.
    """

    __slots__ = ('term', 'identity', 'last_index', 'last_term', 'is_transfer')

    def __init__(
        self,
        term: int,
        identity: str,
        last_index: int,
        last_term: int,
        is_transfer: bool,
    ) -> None:
        self.term = term
        self.identity = identity
        self.last_index = last_index
        self.last_term = last_term
        self.is_transfer = is_transfer


@messages.register('replica.restarted')
class Restarted(messages.Message):
    """Notice that the sender has restarted.

    Since its start it has neither led nor received a message from a leader.

    Attributes:
        configuration_index: index of the latest configuration in its log.
    """

    __slots__ = ('configuration_index',)

    def __init__(self, configuration_index: int) -> None:
        self.configuration_index = configuration_index


@messages.register('replica.vote_reply')
class VoteReply(messages.Message):
    """Answer to `PreVote` and `RequestVote`.

    Attributes:
        term: current term of the voter.
        requested_term: term of the request.
        identity: disk of the voter.
        preliminary: whether it answers `PreVote`.
        granted: whether the vote or pre-vote is granted.
    """

    __slots__ = ('term', 'requested_term', 'identity', 'preliminary', 'granted')

    def __init__(
        self,
        term: int,
        requested_term: int,
        identity: str,
        preliminary: bool,
        granted: bool,
    ) -> None:
        self.term = term
        self.requested_term = requested_term
        self.identity = identity
        self.preliminary = preliminary
        self.granted = granted


@messages.register('replica.append_entries')
class AppendEntries(messages.Message):
    """Entries that follow `previous_index`; a heartbeat if there are none.

    Attributes:
        term: term of the leader.
        target: disk of the receiver; a process with another disk ignores it.
        previous_index: index of the entry before the first one.
        previous_term: term of that entry.
        entries: consecutive entries.
        commit: commit index of the leader.
        require_write: whether the follower must write to its disk before it
            answers: the leader cannot write, and looks for a follower that
            can lead.
        sent_at: send time on the leader's clock, returned in the reply.
    """

    __slots__ = (
        'term',
        'target',
        'previous_index',
        'previous_term',
        'entries',
        'commit',
        'require_write',
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
        require_write: bool,
        sent_at: int,
    ) -> None:
        self.term = term
        self.target = target
        self.previous_index = previous_index
        self.previous_term = previous_term
        self.entries = entries
        self.commit = commit
        self.require_write = require_write
        self.sent_at = sent_at


@messages.register('replica.append_reply')
class AppendReply(messages.Message):
    """Answer to `AppendEntries`.

    Attributes:
        term: current term of the follower.
        identity: disk of the follower.
        accepted: whether the entries are on its disk.
        index: if accepted, the last index known to match; otherwise the
            index that the leader should continue from.
        writable: False while the follower cannot write to its disk.
        sent_at: copied from the request.
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
    """One part of a snapshot, for a follower that lags behind the log.

    Attributes:
        term: term of the leader.
        target: disk of the receiver; a process with another disk ignores it.
        header: describes the snapshot.
        part: position of this part.
        total: number of parts.
        content: content of this part.
        sent_at: send time on the leader's clock, returned in the reply.
    """

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
        part: position of the part it needs next; the number of parts once
            all are on its disk.
        sent_at: copied from the request.
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
class TransferLeadership(messages.Message):
    """The leader of `term` gave up its lease; the target campaigns at once.

    Attributes:
        term: term of the leader.
        target: disk of the receiver; a process with another disk ignores it.
    """

    __slots__ = ('term', 'target')

    def __init__(self, term: int, target: str) -> None:
        self.term = term
        self.target = target


@messages.register('replica.greet')
class DiscoveryProbe(messages.Message):
    """Discovery probe of a process that looks for its group.

    Attributes:
        identity: disk of the sender.
        location: where the sender runs.
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
class DiscoveryReply(messages.Message):
    """Answer to `DiscoveryProbe`.

    Attributes:
        identity: disk of the sender.
        probe_identity: disk of the receiver, from its probe.
        has_configuration: whether the sender has a configuration.
        initial_entry: first entry of the log with the initial configuration;
            None if the sender has none or dropped it.
        leader: name of the leader; empty if unknown.
        location: where the sender runs.
        members: members of the sender's configuration, so that the receiver
            can reach the leader; without one, those that it was told of.
    """

    __slots__ = (
        'identity',
        'probe_identity',
        'has_configuration',
        'initial_entry',
        'leader',
        'location',
        'members',
    )

    def __init__(
        self,
        identity: str,
        probe_identity: str,
        has_configuration: bool,
        initial_entry: stored.Entry | None,
        leader: str,
        location: locations.Location = locations.UNKNOWN,
        members: tuple[configuration.Member, ...] = (),
    ) -> None:
        self.identity = identity
        self.probe_identity = probe_identity
        self.has_configuration = has_configuration
        self.initial_entry = initial_entry
        self.leader = leader
        self.location = location
        self.members = members
