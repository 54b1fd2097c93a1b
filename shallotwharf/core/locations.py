"""Where processes run and how they are reached."""

import typing

from shallotwharf.core import records


class Location(records.Record):
    """Where a process runs.

    Attributes:
        datacentre: its data centre; empty if unknown.
        region: region of the data centre.
        host: IP address it listens on.
        link_port: port for connections between processes.
        admin_port: port for operators.
    """

    __slots__ = ('datacentre', 'region', 'host', 'link_port', 'admin_port')

    def __init__(
        self,
        datacentre: str,
        region: str,
        host: str,
        link_port: int,
        admin_port: int,
    ) -> None:
        self.datacentre = datacentre
        self.region = region
        self.host = host
        self.link_port = link_port
        self.admin_port = admin_port


UNKNOWN: typing.Final = Location('', '', '', 0, 0)
