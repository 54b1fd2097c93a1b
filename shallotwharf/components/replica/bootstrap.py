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
    kernel,
    protocol,
    stored,
)
from shallotwharf.core import effects, places

_FOUNDING_TERM: typing.Final = 1


class Electorate(abc.ABC):
    """Decides which process bootstraps the group and with which voters."""

    __slots__ = ()

    # Whether processes with new names join without an operator's request.
    is_open: typing.ClassVar[bool]

    @abc.abstractmethod
    def count_least(self) -> int:
        """Return the number of voters below which none is removed.

        Operators may still remove voters.
        """

    @abc.abstractmethod
    def list_first(self) -> tuple[str, ...]:
        """Return the processes that are probed first."""

    @abc.abstractmethod
    def is_founder(self, name: str) -> bool:
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


class ListedVoters(Electorate):
    """Policy for a fixed list of voters; the first by name bootstraps."""

    __slots__ = ('_voters',)

    is_open = False

    def __init__(self, voters: tuple[str, ...]) -> None:
        self._voters = tuple(sorted(voters))

    def count_least(self) -> int:
        """Return the number of all voters: only operators remove any."""
        return len(self._voters)

    def list_first(self) -> tuple[str, ...]:
        """Return all voters."""
        return self._voters

    def is_founder(self, name: str) -> bool:
        """Return whether a process is the first one by name."""
        return self._voters[:1] == (name,)

    def list_missing(
        self,
        present: collections_abc.Set[str],
        now: int,
    ) -> list[str]:
        """Return the voters that have not been discovered."""
        return sorted(set(self._voters) - present)


class SeededVoters(Electorate):
    """Policy for a list of seeds; the first seed by name bootstraps.

    It may do so only at the first start of the whole system, so that an
    emptied disk never starts a second group. The initial voters are the
    processes discovered until then; later ones join the group.
    """

    __slots__ = (
        '_seeds',
        '_may_found',
        '_wanted',
        '_present',
        '_changed_at',
        '_began_at',
    )

    is_open = True

    def __init__(
        self,
        seeds: tuple[str, ...],
        may_found: bool,
        wanted: int,
    ) -> None:
        """Create the policy.

        Args:
            seeds: names of the seeds, the same on all of them at the first
                start.
            may_found: whether this is the first start of the system.
            wanted: number of voters that tolerates the expected losses.
        """
        self._seeds = seeds
        self._may_found = may_found
        self._wanted = wanted
        self._present: collections_abc.Set[str] = frozenset()
        self._changed_at = 0
        self._began_at: int | None = None

    def count_least(self) -> int:
        """Return the number of voters that tolerates the expected losses."""
        return self._wanted

    def list_first(self) -> tuple[str, ...]:
        """Return the seeds."""
        return self._seeds

    def is_founder(self, name: str) -> bool:
        """Return whether it is the first seed, at the first start."""
        return self._may_found and sorted(self._seeds)[:1] == [name]

    def list_missing(
        self,
        present: collections_abc.Set[str],
        now: int,
    ) -> list[str]:
        """Return how many are missing, or `others` if more may appear."""
        if self._began_at is None:
            self._began_at = now
        if present != self._present:
            self._present = frozenset(present)
            self._changed_at = now
        if now - self._changed_at < const.FOUNDING_SETTLE_MS:
            return ['others']
        lacking = self._wanted - len(present)
        patient = now - self._began_at < const.FOUNDING_PATIENCE_MS
        if lacking <= 0 or not patient:
            return []
        return [f'{lacking} of {self._wanted}']


class _Seen:
    """Latest message of a process that has no configuration."""

    __slots__ = ('identity', 'place', 'at')

    def __init__(self, identity: str, place: places.Place, at: int) -> None:
        self.identity = identity
        self.place = place
        self.at = at


class Founding:
    """Discovers other processes until this one has a configuration.

    Attributes:
        is_founder: whether this process has bootstrapped the group since its
            start.
    """

    __slots__ = (
        'is_founder',
        '_kernel',
        '_electorate',
        '_seen',
        '_known',
        '_greeters',
        '_missing',
    )

    def __init__(
        self,
        shared: kernel.Kernel,
        bootstrap_policy: Electorate,
    ) -> None:
        self.is_founder = False
        self._kernel = shared
        self._electorate = bootstrap_policy
        self._seen: dict[str, _Seen] = {}
        self._known: set[str] = set(bootstrap_policy.list_first())
        # The latest disk that each process sent.
        self._greeters: dict[str, str] = {}
        self._missing: list[str] = []

    @property
    def is_open(self) -> bool:
        """Return whether processes with new names may join."""
        return self._electorate.is_open

    def greet(self, now: int) -> None:
        """Probe all known processes; bootstrap the group if possible.

        Does nothing once this process is a member.
        """
        if self._kernel.members.is_member(self._kernel.identity):
            return
        self.introduce()
        self.arm_timer(now)
        self._found(now)

    def note_peer(self, name: str) -> None:
        """Add the sender of a message to the processes to probe."""
        if self.is_open and not self._kernel.founded:
            self._known.add(name)

    def introduce(self) -> None:
        """Send a discovery probe to all known processes."""
        names = {member.name for member in self._kernel.members.list_members()}
        for name in sorted((names | self._known) - {self._kernel.name}):
            self._kernel.outbox.send(name, self._build_greet())

    def arm_timer(self, now: int) -> None:
        """Set the timer of the next probes."""
        self._kernel.outbox.add(
            effects.SetTimer(const.TIMER_GREET, now + const.GREET_MS),
        )

    def answer(self, message: protocol.Greet, sender: str, now: int) -> None:
        """Reply to a discovery probe."""
        self._greeters[sender] = message.identity
        self._tell(sender, message.identity)
        if self.is_open and not self._kernel.founded:
            # The sender has no configuration either, and its reply would not
            # contain anything else.
            self._seen[sender] = _Seen(message.identity, message.place, now)

    def receive(
        self,
        message: protocol.Greeting,
        sender: str,
        now: int,
    ) -> None:
        """Adopt the initial configuration, or record the sender."""
        if message.asked != self._kernel.identity:
            return
        if message.leader:
            self._known.add(message.leader)
        self._seen.pop(sender, None)
        if not message.founded:
            self._seen[sender] = _Seen(message.identity, message.place, now)
        elif message.founding is not None and self._may_adopt():
            self._adopt(message.founding)
        self._found(now)

    def _build_greet(self) -> protocol.Greet:
        return protocol.Greet(self._kernel.identity, self._kernel.place)

    def _tell(self, peer: str, identity: str) -> None:
        self._kernel.outbox.send(
            peer,
            protocol.Greeting(
                self._kernel.identity,
                identity,
                self._kernel.founded,
                self._kernel.log.find_entry(1),
                self._kernel.leader,
                self._kernel.place,
            ),
        )

    def _found(self, now: int) -> None:
        founder = self._electorate.is_founder(self._kernel.name)
        if not founder or not self._may_adopt():
            return
        own = _Seen(self._kernel.identity, self._kernel.place, now)
        fresh = {self._kernel.name: own} | {
            name: seen
            for name, seen in self._seen.items()
            if now - seen.at <= const.GREETING_LIFETIME_MS
        }
        missing = self._electorate.list_missing(fresh.keys(), now)
        if self._report_missing(missing):
            return
        chosen = sorted(fresh)[: const.MAX_VOTERS]
        members = configuration.Configuration(
            tuple(
                configuration.Member(name, seen.identity, seen.place)
                for name, seen in sorted(fresh.items())
                if name in chosen
            ),
        )
        self._adopt(stored.Entry(1, _FOUNDING_TERM, members))
        self.is_founder = self._kernel.founded
        if self.is_founder and self.is_open:
            for name, seen in fresh.items():
                if name != self._kernel.name:
                    self._tell(name, seen.identity)

    def _may_adopt(self) -> bool:
        return not self._kernel.founded and not self._kernel.storage_failed

    def _adopt(self, founding: stored.Entry) -> None:
        members = founding.command
        if not isinstance(members, configuration.Configuration):
            return
        if self._is_stale(members):
            return
        if members.is_voter(self._kernel.identity):
            self._kernel.change_term(max(founding.term, self._kernel.term))
            self._kernel.append((founding,))

    def _report_missing(self, missing: list[str]) -> bool:
        """Report what the bootstrap waits for when that changes.

        Return whether anything is missing.
        """
        if missing != self._missing:
            self._missing = missing
            names = ','.join(missing)
            self._kernel.outbox.add(
                effects.Report('founding_waits', {'missing': names}),
            )
        return bool(missing)

    def _is_stale(self, members: configuration.Configuration) -> bool:
        """Return whether a voter has since sent another disk.

        That voter was emptied, and its answer may have let an emptied first
        process bootstrap a second group.
        """
        return any(
            self._greeters.get(voter.name, voter.identity) != voter.identity
            for voter in members.voters
        )
