"""How a process without a configuration gets one.

One process founds the group, so that a group exists once at most: a process
whose disk was emptied finds one that has the configuration, or waits. The
founding configuration names the disk of each voter and is the first entry of
the log.
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
from shallotwharf.core import effects, locations

_FOUNDING_TERM: typing.Final = 1


class Electorate(abc.ABC):
    """Who founds a group, and with whom."""

    __slots__ = ()

    # Whether processes with new names join without an operator.
    is_open: typing.ClassVar[bool]

    @abc.abstractmethod
    def count_least(self) -> int:
        """Return the voters that a group keeps even if some are silent."""

    @abc.abstractmethod
    def list_first(self) -> tuple[str, ...]:
        """Return the processes that are asked first."""

    @abc.abstractmethod
    def is_founder(self, name: str) -> bool:
        """Tell whether a process is the one that founds the group."""

    @abc.abstractmethod
    def list_missing(
        self,
        present: collections_abc.Set[str],
        now: int,
    ) -> list[str]:
        """Return what the founder still waits for; empty if nothing."""


class ListedVoters(Electorate):
    """All voters are known; the first one by name founds with all others."""

    __slots__ = ('_voters',)

    is_open = False

    def __init__(self, voters: tuple[str, ...]) -> None:
        self._voters = tuple(sorted(voters))

    def count_least(self) -> int:
        """Keep all voters until an operator removes one."""
        return len(self._voters)

    def list_first(self) -> tuple[str, ...]:
        """Return all voters."""
        return self._voters

    def is_founder(self, name: str) -> bool:
        """Tell whether a process is the first one by name."""
        return self._voters[:1] == (name,)

    def list_missing(
        self,
        present: collections_abc.Set[str],
        now: int,
    ) -> list[str]:
        """Return the voters that have not greeted."""
        return sorted(set(self._voters) - present)


class SeededVoters(Electorate):
    """Only some processes are known; the first of them founds.

    It may do so only when the whole system starts for the first time, so
    that an emptied disk never begins a second group. The voters are those
    that greeted until then; later ones join the group.
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
        """Create an electorate.

        Args:
            seeds: processes that are known, the same on all of them at the
                first start.
            may_found: whether this is the first start of the system.
            wanted: voters from which on the tolerated losses can be borne.
        """
        self._seeds = seeds
        self._may_found = may_found
        self._wanted = wanted
        self._present: collections_abc.Set[str] = frozenset()
        self._changed_at = 0
        self._began_at: int | None = None

    def count_least(self) -> int:
        """Return the voters with which the tolerated losses can be borne."""
        return self._wanted

    def list_first(self) -> tuple[str, ...]:
        """Return the seeds."""
        return self._seeds

    def is_founder(self, name: str) -> bool:
        """Tell whether a process is the first seed, at the first start."""
        return self._may_found and sorted(self._seeds)[:1] == [name]

    def list_missing(
        self,
        present: collections_abc.Set[str],
        now: int,
    ) -> list[str]:
        """Return how many are missing, or that others may still come."""
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
    """The latest greeting of a process that has no configuration."""

    __slots__ = ('identity', 'location', 'at')

    def __init__(
        self, identity: str, location: locations.Location, at: int
    ) -> None:
        self.identity = identity
        self.location = location
        self.at = at


class Founding:
    """Greets the first processes until there is a configuration.

    Attributes:
        is_founder: whether this process founded the group since it started.
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
        electorate: Electorate,
    ) -> None:
        self.is_founder = False
        self._kernel = shared
        self._electorate = electorate
        self._seen: dict[str, _Seen] = {}
        self._known: set[str] = set(electorate.list_first())
        # The latest disk that each process showed.
        self._greeters: dict[str, str] = {}
        self._missing: list[str] = []

    @property
    def is_open(self) -> bool:
        """Tell whether processes with new names may join."""
        return self._electorate.is_open

    def greet(self, now: int) -> None:
        """Ask all known processes; found the group if that is due."""
        if self._kernel.members.is_member(self._kernel.identity):
            return
        self.introduce()
        self.arm_timer(now)
        self._found(now)

    def note_peer(self, name: str) -> None:
        """Remember a process that sends messages, to ask it as well."""
        if self.is_open and not self._kernel.founded:
            self._known.add(name)

    def introduce(self) -> None:
        """Show the own disk to all known processes."""
        names = {member.name for member in self._kernel.members.list_members()}
        for name in sorted((names | self._known) - {self._kernel.name}):
            self._kernel.outbox.send(name, self._build_greet())

    def arm_timer(self, now: int) -> None:
        """Greet again in a while."""
        self._kernel.outbox.add(
            effects.SetTimer(const.TIMER_GREET, now + const.GREET_MS),
        )

    def answer(self, message: protocol.Greet, sender: str, now: int) -> None:
        """Tell a greeter what this process has."""
        self._greeters[sender] = message.identity
        self._tell(sender, message.identity)
        if self.is_open and not self._kernel.founded:
            # It has no configuration either, which is all that its own
            # answer would say.
            self._seen[sender] = _Seen(message.identity, message.location, now)

    def receive(
        self,
        message: protocol.Greeting,
        sender: str,
        now: int,
    ) -> None:
        """Adopt the founding configuration, or count the greeting."""
        if message.asked != self._kernel.identity:
            return
        if message.leader:
            self._known.add(message.leader)
        self._seen.pop(sender, None)
        if not message.founded:
            self._seen[sender] = _Seen(message.identity, message.location, now)
        elif message.founding is not None and self._may_adopt():
            self._adopt(message.founding)
        self._found(now)

    def _build_greet(self) -> protocol.Greet:
        return protocol.Greet(self._kernel.identity, self._kernel.location)

    def _tell(self, peer: str, identity: str) -> None:
        self._kernel.outbox.send(
            peer,
            protocol.Greeting(
                self._kernel.identity,
                identity,
                self._kernel.founded,
                self._kernel.log.find_entry(1),
                self._kernel.leader,
                self._kernel.location,
            ),
        )

    def _found(self, now: int) -> None:
        founder = self._electorate.is_founder(self._kernel.name)
        if not founder or not self._may_adopt():
            return
        own = _Seen(self._kernel.identity, self._kernel.location, now)
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
                configuration.Member(name, seen.identity, seen.location)
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
        """Report whom the founder waits for when that changes."""
        if missing != self._missing:
            self._missing = missing
            names = ','.join(missing)
            self._kernel.outbox.add(
                effects.Report('founding_waits', {'missing': names}),
            )
        return bool(missing)

    def _is_stale(self, members: configuration.Configuration) -> bool:
        """Tell whether a voter showed another disk since.

        Its answer may have let a founder with an emptied disk begin anew.
        """
        return any(
            self._greeters.get(voter.name, voter.identity) != voter.identity
            for voter in members.voters
        )
