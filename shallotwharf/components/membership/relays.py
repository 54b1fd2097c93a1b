"""Messages between data centres, and between relays and control."""

from shallotwharf.components.membership import messages as events
from shallotwharf.components.membership import wire
from shallotwharf.core import messages


@messages.register('membership.subscribe')
class Subscribe(messages.Message):
    """Asks a node of another data centre for its changes; renewed.

    Attributes:
        log: identifies the log that `after` counts in; 0 if none.
        after: position of the last change that the sender has.
    """

    __slots__ = ('log', 'after')

    def __init__(self, log: int, after: int) -> None:
        self.log = log
        self.after = after


@messages.register('membership.changes')
class Changes(messages.Message):
    """Changes of a data centre; answers `Subscribe` or follows it.

    Attributes:
        datacentre: data centre of the sender.
        log: identifies the log of the sender's process.
        after: position before the first of these changes.
        position: position of the last of these changes.
        more: whether there are further ones.
        batch: the changed entries.
    """

    __slots__ = ('datacentre', 'log', 'after', 'position', 'more', 'batch')

    def __init__(
        self,
        datacentre: str,
        log: int,
        after: int,
        position: int,
        more: bool,
        batch: wire.Batch,
    ) -> None:
        self.datacentre = datacentre
        self.log = log
        self.after = after
        self.position = position
        self.more = more
        self.batch = batch


@messages.register('membership.datacentre_report')
class DatacentreReport(messages.Message):
    """The first relay tells control about its data centre.

    Attributes:
        datacentre: its data centre.
        digest: digest of its live members.
        members: its live members; empty unless control wants them.
        heard: other data centres that it hears of.
    """

    __slots__ = ('datacentre', 'digest', 'members', 'heard')

    def __init__(
        self,
        datacentre: str,
        digest: int,
        members: tuple[events.Member, ...],
        heard: tuple[str, ...],
    ) -> None:
        self.datacentre = datacentre
        self.digest = digest
        self.members = members
        self.heard = heard


@messages.register('membership.directory_answer')
class DirectoryAnswer(messages.Message):
    """Control answers a report or a node that looks for members.

    Attributes:
        members: members to contact: relays of data centres that the relay
            does not hear of, or members of the node's data centre.
        wanted: whether control asks for the members of the report.
    """

    __slots__ = ('members', 'wanted')

    def __init__(
        self,
        members: tuple[events.Member, ...],
        wanted: bool,
    ) -> None:
        self.members = members
        self.wanted = wanted
