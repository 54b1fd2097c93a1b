"""Rules for changes of the holder groups."""

from shallotwharf.components.ledger import const
from shallotwharf.components.tables import version


def find_fault(
    current: tuple[version.HolderGroup, ...],
    groups: tuple[version.HolderGroup, ...],
) -> str:
    """Return why groups may not replace the current ones; empty if none.

    One member of a group may change at a time: a new member has none of the
    records, and the other two are the majority that has them.
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
    return _find_large_change(current, groups)


def _find_large_change(
    current: tuple[version.HolderGroup, ...],
    groups: tuple[version.HolderGroup, ...],
) -> str:
    before = {group.name: group for group in current}
    for group in groups:
        replaced = before.get(group.name)
        if replaced is None:
            continue
        kept = {member.name for member in replaced.members}
        added = [member for member in group.members if member.name not in kept]
        if len(added) > 1:
            return f'group {group.name} changes more than one member'
    return ''
