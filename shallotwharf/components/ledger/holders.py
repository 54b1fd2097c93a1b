"""Rules for changes of the holder groups."""

from shallotwharf.components.ledger import const
from shallotwharf.components.tables import version


def find_fault(
    current: tuple[version.HolderGroup, ...],
    groups: tuple[version.HolderGroup, ...],
) -> str:
    """Return why groups may not replace the current ones; empty if none.

    One member of a group may change at a time: a new member has none of the
    records, and the other two are the majority that has them. The epochs keep
    a command of a deposed leader from being applied late.
    """
    names = [group.name for group in groups]
    if len(set(names)) < len(names):
        return 'two groups have the same name'
    for group in groups:
        members = {member.name for member in group.members}
        if len(members) != const.GROUP_SIZE or len(group.members) != len(
            members,
        ):
            return f'group {group.name} needs {const.GROUP_SIZE} members'
    if not version.is_next_assignment(current, groups):
        return 'the groups do not follow from the current ones'
    return ''
