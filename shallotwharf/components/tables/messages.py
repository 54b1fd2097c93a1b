"""Events about versions within one process."""

from shallotwharf.components.tables import version
from shallotwharf.core import messages


@messages.register('tables.version_accepted')
class VersionAccepted(messages.Message):
    """A control process committed a version."""

    __slots__ = ('accepted',)

    def __init__(self, accepted: version.Version) -> None:
        self.accepted = accepted


@messages.register('tables.version_applied')
class VersionApplied(messages.Message):
    """A node switched to a version; all calls from now on use it."""

    __slots__ = ('applied',)

    def __init__(self, applied: version.Version) -> None:
        self.applied = applied
