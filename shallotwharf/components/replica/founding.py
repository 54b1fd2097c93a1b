"""How a process without a configuration gets one.

The first voter by name founds the group. It waits until every voter of the
settings answered that it has no configuration, so that a group exists once
at most: a voter whose disk was emptied finds one that has it, or waits. The
founding configuration names the disk of each voter and is the first entry of
the log.
"""

import typing

from shallotwharf.components.replica import (
    configuration,
    const,
    kernel,
    protocol,
    stored,
)
from shallotwharf.core import effects

_FOUNDING_TERM: typing.Final = 1


class _Seen:
    """The latest greeting of a voter that has no configuration."""

    __slots__ = ('identity', 'at')

    def __init__(self, identity: str, at: int) -> None:
        self.identity = identity
        self.at = at


class Founding:
    """Greets the voters of the settings until there is a configuration."""

    __slots__ = (
        '_kernel',
        '_voters',
        '_seen',
        '_known',
        '_greeters',
        '_missing',
    )

    def __init__(
        self,
        shared: kernel.Kernel,
        voters: tuple[str, ...],
    ) -> None:
        self._kernel = shared
        self._voters = tuple(sorted(voters))
        self._seen: dict[str, _Seen] = {}
        self._known: set[str] = set(voters)
        # The latest disk that each process showed.
        self._greeters: dict[str, str] = {}
        self._missing: set[str] = set()

    def greet(self, now: int) -> None:
        """Ask all known processes; found the group if that is due."""
        if self._kernel.members.is_member(self._kernel.identity):
            return
        self.introduce()
        self.arm_timer(now)
        self._found(now)

    def introduce(self) -> None:
        """Show the own disk to all known processes."""
        names = {member.name for member in self._kernel.members.list_members()}
        for name in sorted((names | self._known) - {self._kernel.name}):
            self._kernel.outbox.send(
                name,
                protocol.Greet(self._kernel.identity),
            )

    def arm_timer(self, now: int) -> None:
        """Greet again in a while."""
        self._kernel.outbox.add(
            effects.SetTimer(const.TIMER_GREET, now + const.GREET_MS),
        )

    def answer(self, message: protocol.Greet, sender: str) -> None:
        """Tell a greeter what this process has."""
        self._greeters[sender] = message.identity
        self._kernel.outbox.send(
            sender,
            protocol.Greeting(
                self._kernel.identity,
                message.identity,
                self._kernel.founded,
                self._kernel.log.find_entry(1),
                self._kernel.leader,
            ),
        )

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
            self._seen[sender] = _Seen(message.identity, now)
        elif message.founding is not None and self._may_adopt():
            self._adopt(message.founding)
        self._found(now)

    def _found(self, now: int) -> None:
        founder = self._voters[:1] == (self._kernel.name,)
        if not founder or not self._may_adopt():
            return
        disks = {self._kernel.name: self._kernel.identity}
        for voter, seen in self._seen.items():
            if now - seen.at <= const.GREETING_LIFETIME_MS:
                disks[voter] = seen.identity
        if self._report_missing(set(self._voters) - disks.keys()):
            return
        members = configuration.Configuration(
            tuple(
                configuration.Member(name, disks[name]) for name in self._voters
            ),
        )
        self._adopt(stored.Entry(1, _FOUNDING_TERM, members))

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

    def _report_missing(self, missing: set[str]) -> bool:
        """Report whom the founder waits for when that changes."""
        if missing != self._missing:
            self._missing = missing
            names = ','.join(sorted(missing))
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
