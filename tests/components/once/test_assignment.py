"""Guards against holder groups that change too early or are badly placed."""

from shallotwharf.components.membership import messages as member_messages
from shallotwharf.components.once import assignment, holder_messages, placement
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import version
from shallotwharf.core import clock, effects
from shallotwharf.core import messages as core_messages

TEN_MINUTES_MS = 10 * clock.MINUTE_MS


def build_members(regions=3, datacentres=3, nodes=4):
    return tuple(
        member_messages.Member(
            f'r{region}d{number}n{node}',
            f'r{region}d{number}',
            f'r{region}',
            '10.0.0.1',
            1,
            2,
        )
        for region in range(regions)
        for number in range(datacentres)
        for node in range(nodes)
    )


class Control:
    """A leading control process whose log commits each proposal."""

    def __init__(self, members=build_members()):
        self.aggregate = assignment.HolderAssignment(0)
        self.now = 0
        self.groups = ()
        self.members = members
        self.unresponsive = set()
        self.live = []
        self.deliver(replica_messages.LeaderChanged('k', True))

    def deliver(self, message, sender='k'):
        return self.aggregate.handle(message, sender, self.now)

    def step(self, settled=True):
        """Deliver the reports of all responsive holders, then tick."""
        self.now += 5000
        live = [m for m in self.members if m.name not in self.unresponsive]
        if live != self.live:
            self.live = live
            self.deliver(member_messages.LiveNodes(tuple(live)))
        for member in live:
            slots = tuple(
                holder_messages.SlotReport(
                    group.name, group.epoch, settled, settled
                )
                for group in self.groups
                if member.name in read_names(group)
            )
            report = holder_messages.HolderReport(slots, not self.groups)
            self.deliver(report, member.name)
        for effect in self.deliver(core_messages.TimerFired('tick')):
            if isinstance(effect, effects.Publish):
                proposed = effect.message.command.groups
                assert version.is_next_assignment(self.groups, proposed)
                self.groups = proposed
                accepted = version.Version(
                    1, version.Tables(), holders=self.groups
                )
                self.deliver(tables_messages.VersionAccepted(accepted))

    def run_until_change(self, limit_ms, settled=True):
        """Return the ms until the groups change; 0 if they do not."""
        began, before = self.now, self.groups
        while self.now - began < limit_ms:
            self.step(settled)
            if self.groups != before:
                return self.now - began
        return 0


def read_names(group):
    return {member.name for member in group.members}


def test_first_groups_lie_in_one_region_and_three_data_centres():
    control = Control()
    control.run_until_change(20_000)
    assert len(control.groups) == 30
    for group in control.groups:
        assert len({name[:2] for name in read_names(group)}) == 1
        assert len({name[:4] for name in read_names(group)}) == 3
    names = [name for group in control.groups for name in read_names(group)]
    assert max(names.count(name) for name in names) <= 3


def test_small_region_puts_two_members_into_one_data_centre():
    groups = placement.place_first_groups(build_members(3, 2, 2))
    for group in groups:
        assert len(read_names(group)) == 3
        assert len({name[:4] for name in read_names(group)}) == 2


def test_too_few_nodes_get_no_groups():
    assert placement.place_first_groups(build_members(1, 1, 2)) == ()


def test_unresponsive_member_is_replaced_after_ten_minutes():
    control = Control()
    control.run_until_change(20_000)
    lost = control.groups[0].members[0].name
    control.unresponsive.add(lost)
    waited = control.run_until_change(2 * TEN_MINUTES_MS)
    assert TEN_MINUTES_MS <= waited <= TEN_MINUTES_MS + 10_000
    assert not any(lost in read_names(group) for group in control.groups)
    for group in control.groups:
        assert len({name[:4] for name in read_names(group)}) == 3
    control.unresponsive.add(control.groups[0].members[0].name)
    assert control.run_until_change(TEN_MINUTES_MS - 10_000) == 0


def test_group_that_is_not_settled_or_lost_two_members_keeps_them():
    control = Control()
    control.run_until_change(20_000)
    first, second, _ = control.groups[0].members
    before = control.groups[0]
    control.unresponsive.add(first.name)
    assert control.run_until_change(2 * TEN_MINUTES_MS, settled=False) == 0
    control.unresponsive.add(second.name)
    control.run_until_change(3 * TEN_MINUTES_MS)
    assert control.groups[0] == before


def test_groups_move_to_nodes_that_start_later():
    members = build_members(1, 3, 3)
    control = Control(members)
    control.unresponsive = {member.name for member in members[3:]}
    control.run_until_change(20_000)
    control.unresponsive = set()
    for _ in range(400):
        control.step()
    for group in control.groups:
        assert len({name[:4] for name in read_names(group)}) == 3


def test_process_that_lost_leadership_proposes_nothing():
    control = Control()
    control.deliver(replica_messages.LeaderChanged('', False))
    control.step()
    assert control.groups == ()


def test_assignment_that_skips_a_step_is_refused():
    current = placement.place_first_groups(build_members(1, 3, 2), 2)
    first, second = current
    spare = version.Holder('spare', '', 1)
    one = first.replace(members=(*first.members[:2], spare), epoch=1)
    other = spare.replace(name='other')
    two = one.replace(members=(first.members[0], spare, other))
    assert version.is_next_assignment(current, (one, second))
    for groups in (
        (),
        (first,),
        (first.replace(epoch=1), second),
        (one.replace(epoch=0), second),
        (one.replace(epoch=2), second),
        (two, second),
    ):
        assert not version.is_next_assignment(current, groups)
    assert not version.is_next_assignment((), (one, second))
