"""Rules for changes of the holder groups."""

from shallotwharf.components.ledger import const
from shallotwharf.components.tables import version


def find_violation(
    current: tuple[version.HolderGroup, ...],
    groups: tuple[version.HolderGroup, ...],
) -> str:
    """Return why groups may not replace the current ones; empty if they may.

    One member of a group may change at a time, because a new member has no
    records and the other two form the majority that has them. The check of
    the epochs refuses a late command of a deposed leader.
    """
    names = [group.name for group in groups]
    if len(set(names)) < len(names):
        return 'two groups have the same name'
    for group in groups:
        members = {member.name for member in group.members}
        if len(members) != const.HOLDER_GROUP_SIZE or len(group.members) != len(
            members,
        ):
            return f'group {group.name} needs {const.HOLDER_GROUP_SIZE} members'
    if not version.is_next_assignment(current, groups):
        return (
            'the group names, members or epochs do not follow the current ones'
        )
    return ''
