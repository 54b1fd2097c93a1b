"""Validated settings of the processes."""

from shallotwharf.core import locations, records


class ControlPeer(records.Record):
    """Name, location and ports of a control process."""

    __slots__ = (
        'name',
        'datacentre',
        'region',
        'host',
        'link_port',
        'admin_port',
    )

    def __init__(
        self,
        name: str,
        datacentre: str,
        region: str,
        host: str,
        link_port: int,
        admin_port: int,
    ) -> None:
        self.name = name
        self.datacentre = datacentre
        self.region = region
        self.host = host
        self.link_port = link_port
        self.admin_port = admin_port

    @property
    def location(self) -> locations.Location:
        """Return where the process runs."""
        return locations.Location(
            self.datacentre,
            self.region,
            self.host,
            self.link_port,
            self.admin_port,
        )


class Seed(records.Record):
    """A node through which a starting node finds the members."""

    __slots__ = ('name', 'host', 'link_port')

    def __init__(self, name: str, host: str, link_port: int) -> None:
        self.name = name
        self.host = host
        self.link_port = link_port


class ControlSettings(records.Record):
    """Settings of a control process.

    Attributes:
        local_peer: this process; one of `control`.
        control: all control processes.
        datacentres: data centres whose nodes must have a version before it
            counts as in force everywhere.
        data_folder: folder for the state of this process.
        log_level: lowest level that is logged.
    """

    __slots__ = (
        'local_peer',
        'control',
        'datacentres',
        'data_folder',
        'log_level',
    )

    def __init__(
        self,
        local_peer: ControlPeer,
        control: tuple[ControlPeer, ...],
        datacentres: tuple[str, ...],
        data_folder: str,
        log_level: str,
    ) -> None:
        self.local_peer = local_peer
        self.control = control
        self.datacentres = datacentres
        self.data_folder = data_folder
        self.log_level = log_level


class NodeSettings(records.Record):
    """Settings of a node.

    Attributes:
        name, datacentre, region: name and location of the node.
        host: IP address for all its ports.
        link_port: port for links from other processes.
        call_port: port for callers and other nodes.
        admin_port: port for operators and the upstream.
        control: all control processes.
        seeds: nodes through which the node finds the members.
        log_level: lowest level that is logged.
        request_memory_bytes: limit of the memory of requests, and of responses
            to be written; 0 for the default.
        max_connections: limit of the open connections of callers and other
            nodes; 0 for the default.
    """

    __slots__ = (
        'name',
        'datacentre',
        'region',
        'host',
        'link_port',
        'call_port',
        'admin_port',
        'control',
        'seeds',
        'log_level',
        'request_memory_bytes',
        'max_connections',
    )

    def __init__(
        self,
        name: str,
        datacentre: str,
        region: str,
        host: str,
        link_port: int,
        call_port: int,
        admin_port: int,
        control: tuple[ControlPeer, ...],
        seeds: tuple[Seed, ...],
        log_level: str,
        request_memory_bytes: int = 0,
        max_connections: int = 0,
    ) -> None:
        self.name = name
        self.datacentre = datacentre
        self.region = region
        self.host = host
        self.link_port = link_port
        self.call_port = call_port
        self.admin_port = admin_port
        self.control = control
        self.seeds = seeds
        self.log_level = log_level
        self.request_memory_bytes = request_memory_bytes
        self.max_connections = max_connections

    @property
    def location(self) -> locations.Location:
        """Return where the process runs."""
        return locations.Location(
            self.datacentre,
            self.region,
            self.host,
            self.link_port,
            self.admin_port,
        )


class UpstreamSettings(records.Record):
    """Settings of a sample upstream in the `dev` mode."""

    __slots__ = ('node', 'port', 'service', 'version', 'slots')

    def __init__(
        self,
        node: str,
        port: int,
        service: str,
        version: str,
        slots: int,
    ) -> None:
        self.node = node
        self.port = port
        self.service = service
        self.version = version
        self.slots = slots


class DevSettings(records.Record):
    """Settings of the `dev` mode: several processes on one loop.

    Attributes:
        control: settings of the control process.
        nodes: settings of the nodes.
        upstreams: settings of the sample upstreams.
        routes, pools: paths of the table files.
    """

    __slots__ = ('control', 'nodes', 'upstreams', 'routes', 'pools')

    def __init__(
        self,
        control: ControlSettings,
        nodes: tuple[NodeSettings, ...],
        upstreams: tuple[UpstreamSettings, ...],
        routes: str,
        pools: str,
    ) -> None:
        self.control = control
        self.nodes = nodes
        self.upstreams = upstreams
        self.routes = routes
        self.pools = pools
