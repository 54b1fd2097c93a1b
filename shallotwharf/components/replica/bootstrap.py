"""Bootstrap of the group: how a process gets its first configuration.

Only one process may bootstrap the group, so that there is at most one group:
a process whose disk was emptied finds a process that has the configuration,
or waits. The initial configuration contains the disk of each voter and is the
first entry of the log.
"""

import abc
import typing
from collections import abc as collections_abc

from shallotwharf.components.replica import (
    configuration,
    const,
    contacts,
    joining,
    messages,
    protocol,
    shared_state,
    stored,
)
from shallotwharf.core import effects, locations

_INITIAL_TERM: typing.Final = 1


class BootstrapPolicy(abc.ABC):
    """Decides which process bootstraps the group and with which voters."""

    __slots__ = ()

    # Whether processes with new names join without an operator's request.
    allows_self_join: typing.ClassVar[bool]

    @abc.abstractmethod
    def find_min_voters(self) -> int:
        """Return the number of voters below which none is removed.

        Operators may still remove voters.
        """

    @abc.abstractmethod
    def list_initial_peers(self) -> tuple[str, ...]:
        """Return the processes that are probed first."""

    @abc.abstractmethod
    def may_bootstrap(self, name: str) -> bool:
        """Return whether a process is the one that bootstraps the group."""

    @abc.abstractmethod
    def list_missing(
        self,
        present: collections_abc.Set[str],
        now: int,
    ) -> list[str]:
        """Return what the bootstrap still waits for; empty if nothing.

        Args:
            present: processes without a configuration, this one included.
            now: current time in milliseconds.
        """


class ListedVoters(BootstrapPolicy):
    """Policy for a fixed list of voters; the first by name bootstraps."""

    __slots__ = ('_voters',)

    allows_self_join = False

    def __init__(self, voters: tuple[str, ...]) -> None:
        self._voters = tuple(sorted(voters))

    def find_min_voters(self) -> int:
        """Return the number of all voters: only operators remove any."""
        return len(self._voters)

    def list_initial_peers(self) -> tuple[str, ...]:
        """Return all voters."""
        return self._voters

    def may_bootstrap(self, name: str) -> bool:
        """Return whether a process is the first one by name."""
        return self._voters[:1] == (name,)

    def list_missing(
        self,
        present: collections_abc.Set[str],
        now: int,
    ) -> list[str]:
        """Return the voters that have not been discovered."""
        return sorted(set(self._voters) - present)


class SeededVoters(BootstrapPolicy):
    """Policy for a list of seeds; the first seed by name bootstraps.

    It may do so only at the first start of the whole system, so that an
    emptied disk never starts a second group. The initial voters are the
    processes discovered until then; later ones join the group.
    """

    __slots__ = (
        '_seeds',
        '_may_found',
        '_target_voters',
        '_present',
        '_changed_at',
        '_started_at',
    )

    allows_self_join = True

    def __init__(
        self,
        seeds: tuple[str, ...],
        may_found: bool,
        target_voters: int,
    ) -> None:
        """Create the policy.

        Args:
            seeds: names of the seeds, the same on all of them at the first
                start.
            may_found: whether this is the first start of the system.
            target_voters: number of voters with which the group tolerates the
                expected losses.
        """
        self._seeds = seeds
        self._may_found = may_found
        self._target_voters = target_voters
        self._present: collections_abc.Set[str] = frozenset()
        self._changed_at = 0
        self._started_at: int | None = None

    def find_min_voters(self) -> int:
        """Return the target number of voters."""
        return self._target_voters

    def list_initial_peers(self) -> tuple[str, ...]:
        """Return the seeds."""
        return self._seeds

    def may_bootstrap(self, name: str) -> bool:
        """Return whether a process is the first seed, at the first start."""
        return self._may_found and sorted(self._seeds)[:1] == [name]

    def list_missing(
        self,
        present: collections_abc.Set[str],
        now: int,
    ) -> list[str]:
        """Return how many voters are missing, `others` if more may appear."""
        if self._started_at is None:
            self._started_at = now
        if present != self._present:
            self._present = frozenset(present)
            self._changed_at = now
        if now - self._changed_at < const.BOOTSTRAP_SETTLE_MS:
            return ['others']
        lacking = self._target_voters - len(present)
        may_wait = now - self._started_at < const.BOOTSTRAP_TIMEOUT_MS
        if lacking <= 0 or not may_wait:
            return []
        return [f'{lacking} of {self._target_voters}']


class _Discovered:
    """Latest message of a process that has no configuration."""

    __slots__ = ('identity', 'location', 'at')

    def __init__(
        self, identity: str, location: locations.Location, at: int
    ) -> None:
        self.identity = identity
        self.location = location
        self.at = at


class Bootstrap:
    """Discovers other processes until this one has a configuration.

    Attributes:
        has_bootstrapped: whether this process has bootstrapped the group
            since its start.
    """

    __slots__ = (
        'has_bootstrapped',
        '_state',
        '_bootstrap_policy',
        '_discovered',
        '_contacts',
        '_join_report',
        '_latest_identities',
        '_missing',
    )

    def __init__(
        self,
        shared: shared_state.SharedState,
        bootstrap_policy: BootstrapPolicy,
    ) -> None:
        self.has_bootstrapped = False
        self._state = shared
        self._bootstrap_policy = bootstrap_policy
        self._discovered: dict[str, _Discovered] = {}
        self._contacts = contacts.Contacts(
            bootstrap_policy.list_initial_peers(),
        )
        self._join_report = joining.JoinReport()
        # The latest disk that each process sent.
        self._latest_identities: dict[str, str] = {}
        self._missing: list[str] = []

    @property
    def allows_self_join(self) -> bool:
        """Return whether processes with new names may join."""
        return self._bootstrap_policy.allows_self_join

    def discover(self, now: int) -> None:
        """Probe all known processes; bootstrap the group if possible.

        Does nothing once this process is a member.
        """
        if self._state.members.is_member(self._state.identity):
            self._state.outbox.add_all(self._join_report.end(now))
            return
        self.send_probes()
        self._state.outbox.add_all(
            self._join_report.wait(self._list_probed(), now),
        )
        self.arm_timer(now)
        self._try_bootstrap(now)

    def add_peer(self, name: str) -> None:
        """Add the sender of a message to the processes to probe."""
        if self.allows_self_join and not self._state.has_configuration:
            self._contacts.add(name)

    def add_seeds(self, names: tuple[str, ...]) -> None:
        """Add the seeds of changed settings to the processes to probe."""
        for name in names:
            self._contacts.add(name)

    def send_probes(self) -> None:
        """Send a discovery probe to all known processes."""
        for name in sorted(self._list_probed()):
            self._state.outbox.send(name, self._build_probe())

    def arm_timer(self, now: int) -> None:
        """Set the timer of the next probes."""
        self._state.outbox.add(
            effects.SetTimer(
                const.TIMER_DISCOVERY, now + const.DISCOVERY_INTERVAL_MS
            ),
        )

    def answer(
        self, message: protocol.DiscoveryProbe, sender: str, now: int
    ) -> None:
        """Reply to a discovery probe."""
        self._latest_identities[sender] = message.identity
        self._send_reply(sender, message.identity)
        if self.allows_self_join and not self._state.has_configuration:
            # Most senders have no configuration either, which is all that
            # their replies would contain. A voter that campaigns also sends
            # probes; its reply removes it again.
            self._discovered[sender] = _Discovered(
                message.identity, message.location, now
            )

    def receive(
        self,
        message: protocol.DiscoveryReply,
        sender: str,
        now: int,
    ) -> None:
        """Adopt the initial configuration, or record the sender."""
        if message.probe_identity != self._state.identity:
            return
        self._learn_members(message, sender, now)
        self._discovered.pop(sender, None)
        if not message.has_configuration:
            self._discovered[sender] = _Discovered(
                message.identity, message.location, now
            )
        elif message.initial_entry is not None and self._may_adopt():
            self._adopt(message.initial_entry)
        self._try_bootstrap(now)

    def _list_probed(self) -> set[str]:
        members = self._state.members.list_members()
        names = {member.name for member in members}
        names.update(self._contacts.list_names())
        return names - {self._state.name}

    def _learn_members(
        self, message: protocol.DiscoveryReply, sender: str, now: int
    ) -> None:
        self._join_report.record_reply(sender, message.leader)
        if message.leader:
            self._contacts.add(message.leader)
        found = self._contacts.learn(message.members)
        if found:
            self._state.outbox.add(
                effects.Publish(messages.MembersFound(found)),
            )
            # Probes them once their addresses are set: only the leader can
            # admit this process.
            self._state.outbox.add(
                effects.SetTimer(const.TIMER_DISCOVERY, now),
            )

    def _build_probe(self) -> protocol.DiscoveryProbe:
        return protocol.DiscoveryProbe(
            self._state.identity, self._state.location
        )

    def _send_reply(self, peer: str, identity: str) -> None:
        known = self._contacts.list_members()
        if self._state.has_configuration:
            known = self._state.members.list_members()
        self._state.outbox.send(
            peer,
            protocol.DiscoveryReply(
                self._state.identity,
                identity,
                self._state.has_configuration,
                self._state.log.find_entry(1),
                self._state.leader,
                self._state.location,
                known,
            ),
        )

    def _try_bootstrap(self, now: int) -> None:
        allowed = self._bootstrap_policy.may_bootstrap(self._state.name)
        if not allowed or not self._may_adopt():
            return
        local = _Discovered(self._state.identity, self._state.location, now)
        recent = {self._state.name: local} | {
            name: seen
            for name, seen in self._discovered.items()
            if now - seen.at <= const.DISCOVERY_REPLY_TTL_MS
        }
        missing = self._bootstrap_policy.list_missing(recent.keys(), now)
        if self._report_missing(missing):
            return
        chosen = sorted(recent)[: const.MAX_VOTERS]
        members = configuration.Configuration(
            tuple(
                configuration.Member(name, seen.identity, seen.location)
                for name, seen in sorted(recent.items())
                if name in chosen
            ),
        )
        self._adopt(stored.Entry(1, _INITIAL_TERM, members))
        self.has_bootstrapped = self._state.has_configuration
        if self.has_bootstrapped and self.allows_self_join:
            for name, seen in recent.items():
                if name != self._state.name:
                    self._send_reply(name, seen.identity)

    def _may_adopt(self) -> bool:
        return (
            not self._state.has_configuration and not self._state.storage_failed
        )

    def _adopt(self, entry: stored.Entry) -> None:
        members = entry.command
        if not isinstance(members, configuration.Configuration):
            return
        if self._is_stale(members):
            return
        if members.is_voter(self._state.identity):
            self._state.change_term(max(entry.term, self._state.term))
            self._state.append((entry,))

    def _report_missing(self, missing: list[str]) -> bool:
        """Report what the bootstrap waits for when that changes.

        Return whether anything is missing.
        """
        if missing != self._missing:
            self._missing = missing
            names = ','.join(missing)
            self._state.outbox.add(
                effects.Report('founding_waits', {'missing': names}),
            )
        return bool(missing)

    def _is_stale(self, members: configuration.Configuration) -> bool:
        """Return whether a voter has since sent another disk.

        That voter was emptied, and its answer may have let an emptied first
        process bootstrap a second group.
        """
        return any(
            self._latest_identities.get(voter.name, voter.identity)
            != voter.identity
            for voter in members.voters
        )
