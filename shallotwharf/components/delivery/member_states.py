"""Last known states of the nodes of a data centre, kept by a relay."""

from collections import abc

from shallotwharf.components.delivery import const, exchange, messages


class _Node:
    __slots__ = ('state',)

    def __init__(self) -> None:
        self.state: exchange.NodeState | None = None


class MemberStates:
    """The last state of each live member.

    The age of a state is counted from the timestamp that it returns. The
    state was sent after that timestamp was issued, so the age is an upper
    bound however long the message was delayed.

    Attributes:
        changed: whether a new report would differ from the last one in more
            than its age.
    """

    __slots__ = ('changed', '_nodes', '_started_at')

    def __init__(self) -> None:
        self.changed = False
        self._nodes: dict[str, _Node] = {}
        self._started_at = 0

    def start(self, now: int) -> None:
        """Set the start time; earlier timestamps are of another process."""
        self._started_at = now

    def set_members(self, names: abc.Iterable[str]) -> None:
        """Set the live members."""
        members = set(names)
        for gone in self._nodes.keys() - members:
            self._nodes.pop(gone)
            self.changed = True
        for joined in members - self._nodes.keys():
            self._nodes[joined] = _Node()
            self.changed = True

    def list_members(self) -> list[str]:
        """Return the names of the live members."""
        return list(self._nodes)

    def receive(
        self,
        sender: str,
        state: exchange.NodeState,
        now: int,
    ) -> None:
        """Store the state of a member unless a newer one is known."""
        node = self._nodes.get(sender)
        if node is None or state.echo > now:
            return
        if state.echo < self._started_at:
            state = state.replace(echo=0)
        known = node.state
        if known is not None and not _is_newer(state, known):
            return
        node.state = state
        if known is None or _differ(state, known):
            self.changed = True

    def make_report(
        self,
        datacentre: str,
        held: int,
        echo: int,
        now: int,
    ) -> messages.DatacentreReport:
        """Return a summary for control."""
        statuses = [
            _make_status(name, node.state)
            for name, node in sorted(self._nodes.items())
        ]
        actives = [status.active for status in statuses]
        lagging = [status for status in statuses if status.active != held]
        return messages.DatacentreReport(
            datacentre,
            held,
            tuple(
                messages.ActiveCount(number, actives.count(number))
                for number in sorted(set(actives))
            ),
            tuple(lagging[: const.MAX_NAMED_NODES]),
            self._compute_age(now),
            echo,
        )

    def _compute_age(self, now: int) -> int:
        # A member without a known state counts as having no version, which
        # is the least favourable case and needs no age.
        echoes = [
            node.state.echo
            for node in self._nodes.values()
            if node.state is not None and node.state.echo
        ]
        return now - min(echoes, default=now)


def _is_newer(
    state: exchange.NodeState,
    known: exchange.NodeState,
) -> bool:
    if state.incarnation == known.incarnation:
        return state.sequence > known.sequence
    # From another process, which has just started if it returns no timestamp.
    return not state.echo or state.echo > known.echo


def _differ(state: exchange.NodeState, known: exchange.NodeState) -> bool:
    if bool(state.echo) != bool(known.echo):
        return True
    return (state.active, state.reason) != (known.active, known.reason)


def _make_status(
    name: str,
    state: exchange.NodeState | None,
) -> messages.NodeStatus:
    if state is None:
        return messages.NodeStatus(name, 0, '')
    active = state.active if state.echo else 0
    return messages.NodeStatus(name, active, state.reason)
