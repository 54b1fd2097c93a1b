"""Link addresses of peers, taken from membership and versions."""

from shallotwharf.adapters import links
from shallotwharf.components.membership import messages as membership
from shallotwharf.components.tables import messages as tables
from shallotwharf.core import aggregate, effects


class AddressBook(aggregate.Aggregate):
    """Sets the addresses of members and record holders in the links."""

    __slots__ = ('_links',)

    name = 'addresses'
    handlers = {
        membership.MembersChanged: 'set_member_addresses',
        membership.PeersFound: 'set_member_addresses',
        tables.VersionApplied: 'set_holder_addresses',
    }

    def __init__(self, process_links: links.WebsocketLinks) -> None:
        self._links = process_links

    def start(self, now: int) -> list[effects.Effect]:
        """Return no effects: addresses arrive in events."""
        return []

    def set_member_addresses(
        self,
        message: membership.MembersChanged | membership.PeersFound,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Set the addresses of nodes, in whichever data centre they are."""
        for member in message.members:
            self._links.set_address(
                member.name,
                member.host,
                member.link_port,
            )
        return []

    def set_holder_addresses(
        self,
        message: tables.VersionApplied,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Set the addresses of the record holders in all data centres."""
        for group in message.applied.holders:
            for holder in group.members:
                self._links.set_address(
                    holder.name,
                    holder.host,
                    holder.port,
                )
        return []
