"""Messages between data centres, and between relays and control."""

from shallotwharf.components.membership import messages as events
from shallotwharf.components.membership import wire
from shallotwharf.core import messages


@messages.register('membership.subscribe')
class Subscribe(messages.Message):
    """Subscription, or its renewal, at a node of another data centre.

    Attributes:
        log_id: identifies the log that `after` refers to; 0 if none.
        after: position of the last change that the sender has.
    """

    __slots__ = ('log_id', 'after')

    def __init__(self, log_id: int, after: int) -> None:
        self.log_id = log_id
        self.after = after


@messages.register('membership.changes')
class Changes(messages.Message):
    """Changes of a data centre, sent after `Subscribe` and when they occur.

    Attributes:
        datacentre: data centre of the sender.
        log_id: identifies the log of the sender's process.
        after: position before the first of these changes.
        position: position of the last of these changes.
        more: whether there are later changes to request.
        batch: the changed entries.
    """

    __slots__ = ('datacentre', 'log_id', 'after', 'position', 'more', 'batch')

    def __init__(
        self,
        datacentre: str,
        log_id: int,
        after: int,
        position: int,
        more: bool,
        batch: wire.Batch,
    ) -> None:
        self.datacentre = datacentre
        self.log_id = log_id
        self.after = after
        self.position = position
        self.more = more
        self.batch = batch


@messages.register('membership.datacentre_report')
class DatacentreReport(messages.Message):
    """Report of the first relay of a data centre to control.

    Attributes:
        datacentre: the data centre of the relay.
        digest: digest of the live members of the data centre.
        members: these live members; empty unless control requested them.
        reachable: the data centre itself and the others that are not stale.
    """

    __slots__ = ('datacentre', 'digest', 'members', 'reachable')

    def __init__(
        self,
        datacentre: str,
        digest: int,
        members: tuple[events.Member, ...],
        reachable: tuple[str, ...],
    ) -> None:
        self.datacentre = datacentre
        self.digest = digest
        self.members = members
        self.reachable = reachable


@messages.register('membership.directory_answer')
class DirectoryAnswer(messages.Message):
    """Answer of control to a report, or to a node that looks for members.

    Attributes:
        members: members to contact: relays of data centres that are missing
            in the report, or members of the node's data centre.
        wanted: whether control requests the members of the data centre.
    """

    __slots__ = ('members', 'wanted')

    def __init__(
        self,
        members: tuple[events.Member, ...],
        wanted: bool,
    ) -> None:
        self.members = members
        self.wanted = wanted
