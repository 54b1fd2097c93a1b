"""Messages of quotas between nodes and control processes."""

from shallotwharf.core import messages, records


class Usage(records.Record):
    """Calls of a tenant at a node since it joined its control process.

    Attributes:
        tenant: name of the tenant.
        admitted: calls within the quota.
        requested: all calls.
        state: state of the tenant as the node knows it.
    """

    __slots__ = ('tenant', 'admitted', 'requested', 'state')

    def __init__(
        self, tenant: str, admitted: int, requested: int, state: int
    ) -> None:
        self.tenant = tenant
        self.admitted = admitted
        self.requested = requested
        self.state = state


@messages.register('quota.report')
class Report(messages.Message):
    """Usage at a node, for its control process.

    Totals make a lost or late message harmless.

    Attributes:
        rows: tenants whose usage changed.
        run: random number of this membership; the totals began with it.
        is_new: whether the receiver has not answered it yet.
        wants_answer: whether to answer also if no share changed.
    """

    __slots__ = ('rows', 'run', 'is_new', 'wants_answer')

    def __init__(
        self,
        rows: tuple[Usage, ...],
        run: int,
        is_new: bool,
        wants_answer: bool,
    ) -> None:
        self.rows = rows
        self.run = run
        self.is_new = is_new
        self.wants_answer = wants_answer


class Share(records.Record):
    """What a node may admit of a tenant.

    Attributes:
        tenant: name of the tenant.
        state: one of the `const.STATE_` numbers.
        rate: calls a second of this node, of a limited tenant.
        fraction: part of the calls that all nodes may admit, of a limited
            tenant.
        wait_ms: time until there will be credit, if there is none now.
    """

    __slots__ = ('tenant', 'state', 'rate', 'fraction', 'wait_ms')

    def __init__(
        self,
        tenant: str,
        state: int,
        rate: float = 0,
        fraction: float = 0,
        wait_ms: int = 0,
    ) -> None:
        self.tenant = tenant
        self.state = state
        self.rate = float(rate)
        self.fraction = float(fraction)
        self.wait_ms = wait_ms


@messages.register('quota.grant')
class Grant(messages.Message):
    """Shares of a node.

    Attributes:
        shares: shares that changed.
        is_whole: whether tenants that are not named are free.
        run: the last one of the receiver that the sender knows; 0 if none.
    """

    __slots__ = ('shares', 'is_whole', 'run')

    def __init__(
        self, shares: tuple[Share, ...], is_whole: bool = False, run: int = 0
    ) -> None:
        self.shares = shares
        self.is_whole = is_whole
        self.run = run


class Sum(records.Record):
    """Usage of a tenant at all nodes of a control process.

    Attributes:
        tenant: name of the tenant.
        admitted: calls admitted since the process started.
        per_second: calls admitted a second.
        demand: calls requested a second.
        used: calls in the window over all nodes, as far as the sender knows.
    """

    __slots__ = ('tenant', 'admitted', 'per_second', 'demand', 'used')

    def __init__(
        self,
        tenant: str,
        admitted: int,
        per_second: float,
        demand: float,
        used: int,
    ) -> None:
        self.tenant = tenant
        self.admitted = admitted
        self.per_second = float(per_second)
        self.demand = float(demand)
        self.used = used


@messages.register('quota.sums')
class Sums(messages.Message):
    """Usage at the nodes of a control process, for its peers.

    Totals make a lost message harmless.

    Attributes:
        incarnation: random number of the sender's process.
        rows: tenants whose usage changed.
        is_settled: whether the sender knows the usage of a whole window.
        is_answer: whether it only answers one of the receiver.
    """

    __slots__ = ('incarnation', 'rows', 'is_settled', 'is_answer')

    def __init__(
        self,
        incarnation: int,
        rows: tuple[Sum, ...],
        is_settled: bool,
        is_answer: bool,
    ) -> None:
        self.incarnation = incarnation
        self.rows = rows
        self.is_settled = is_settled
        self.is_answer = is_answer
