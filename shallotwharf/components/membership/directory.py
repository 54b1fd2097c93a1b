"""Directory of the data centres at a control process.

Data centres find each other through it. Two data centres that exchange
changes no longer need it: each knows the members, and so the relays, of the
other one.
"""

import typing

from shallotwharf.components.membership import (
    const,
    messages,
    relay_messages,
    reporter,
    wire,
)
from shallotwharf.core import aggregate, effects, rendezvous
from shallotwharf.core import messages as core_messages

Effects: typing.TypeAlias = list[effects.Effect]

_TICK: typing.Final = 'tick'


class _Datacentre:
    """Reported members of a data centre, and nodes that look for members."""

    __slots__ = ('members', 'reported_at', 'joiners')

    def __init__(self) -> None:
        self.members: tuple[messages.Member, ...] = ()
        self.reported_at: int | None = None
        self.joiners: dict[str, messages.Member] = {}

    def is_reported(self, now: int) -> bool:
        """Return whether the last report has not expired."""
        return (
            self.reported_at is not None
            and now - self.reported_at <= const.REPORT_LIFETIME_MS
        )

    def find_relays(self) -> list[messages.Member]:
        """Return the relays, or nodes that seek members if none are known."""
        members = {member.name: member for member in self.members}
        if not members:
            members = self.joiners
        ranked = rendezvous.rank_members(const.RELAY_KEY, members)
        return [members[name] for name in ranked[: const.RELAY_COUNT]]


class Directory(aggregate.Aggregate):
    """Live nodes as relays report them, for nodes and relays that ask."""

    name = 'directory'
    handlers = {
        core_messages.TimerFired: 'expire',
        relay_messages.DatacentreReport: 'accept_report',
        wire.Sync: 'answer_join',
    }

    __slots__ = ('_datacentres', '_published')

    def __init__(self) -> None:
        self._datacentres: dict[str, _Datacentre] = {}
        self._published: tuple[messages.Member, ...] = ()

    def start(self, now: int) -> Effects:
        """Start the timer that checks for expired reports."""
        return [effects.SetTimer(_TICK, now + const.REPORT_PERIOD_MS)]

    def accept_report(
        self,
        message: relay_messages.DatacentreReport,
        sender: str,
        now: int,
    ) -> Effects:
        """Store live members; send relays of data centres the sender lacks."""
        reported = self._get_or_add(message.datacentre)
        reported.reported_at = now
        if message.members:
            reported.members = message.members
            reported.joiners.clear()
        wanted = message.digest != reporter.compute_digest(reported.members)
        contacts = [
            relay
            for name, other in sorted(self._datacentres.items())
            if name != message.datacentre and name not in message.reachable
            for relay in other.find_relays()
        ]
        step = self._publish(now)
        if contacts or wanted:
            answer = relay_messages.DirectoryAnswer(tuple(contacts), wanted)
            step.append(effects.Send(sender, answer))
        return step

    def answer_join(
        self,
        message: wire.Sync,
        sender: str,
        _now: int,
    ) -> Effects:
        """Send members of a node's data centre to it, and store the node."""
        member = message.state.member
        datacentre = self._get_or_add(member.datacentre)
        contacts = [
            *datacentre.find_relays(),
            *list(datacentre.joiners.values())[-const.MAX_DISCOVERED_MEMBERS :],
        ]
        datacentre.joiners.pop(member.name, None)
        datacentre.joiners[member.name] = member
        while len(datacentre.joiners) > const.MAX_JOINERS:
            datacentre.joiners.pop(next(iter(datacentre.joiners)))
        answer = relay_messages.DirectoryAnswer(
            tuple(other for other in contacts if other.name != member.name),
            wanted=False,
        )
        return [effects.Send(sender, answer)] if answer.members else []

    def expire(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> Effects:
        """Publish the live nodes of data centres whose report is valid."""
        tick_at = now + const.REPORT_PERIOD_MS
        return [*self._publish(now), effects.SetTimer(_TICK, tick_at)]

    def _get_or_add(self, name: str) -> _Datacentre:
        found = self._datacentres.get(name)
        if found is None:
            found = _Datacentre()
            self._datacentres[name] = found
        return found

    def _publish(self, now: int) -> Effects:
        live = tuple(
            member
            for _, datacentre in sorted(self._datacentres.items())
            if datacentre.is_reported(now)
            for member in datacentre.members
        )
        if live == self._published:
            return []
        self._published = live
        return [effects.Publish(messages.LiveNodes(live))]
