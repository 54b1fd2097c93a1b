"""Settings of processes that find each other through seeds."""

import typing

from shallotwharf.components.call import budget
from shallotwharf.components.quota import settings
from shallotwharf.components.upstream import const
from shallotwharf.core import locations, records

_DEFAULT_QUOTAS: typing.Final = settings.QuotaSettings()


class SeededControl(records.Record):
    """Settings of a control process.

    Attributes:
        name: unique name of the process.
        location: where it runs.
        seeds: control processes known in advance; must be the same on all
            of them when the system starts for the first time.
        may_found: whether the whole system starts for the first time.
        target_voters: number of voters needed to survive the tolerated
            number of lost disks.
        data_folder: folder for the state of this process.
        quotas: settings of quotas.
    """

    __slots__ = (
        'name',
        'location',
        'seeds',
        'may_found',
        'target_voters',
        'data_folder',
        'quotas',
    )

    def __init__(
        self,
        name: str,
        location: locations.Location,
        seeds: tuple[locations.Location, ...],
        may_found: bool,
        target_voters: int,
        data_folder: str,
        quotas: settings.QuotaSettings = _DEFAULT_QUOTAS,
    ) -> None:
        self.name = name
        self.location = location
        self.seeds = seeds
        self.may_found = may_found
        self.target_voters = target_voters
        self.data_folder = data_folder
        self.quotas = quotas


class SeededNode(records.Record):
    """Settings of a node.

    Attributes:
        name: unique name of the process.
        location: where it runs.
        call_port: port for calls from other nodes.
        caller_port: port for callers.
        seeds: control processes known in advance.
        retries: limits of the retries that the nodes cause together.
        leave_ms: time from the start of a shutdown during which callers
            beside the node are still served.
        stop_ms: time from the start of a shutdown after which calls in
            flight are no longer waited for.
        quotas: settings of quotas.
        revocation_ms: time without control after which calls that need a key
            are refused; 0 for never.
        cold_overage: see `upstream.settings.GateSettings`.
        cold_slack: see `upstream.settings.GateSettings`.
    """

    __slots__ = (
        'name',
        'location',
        'call_port',
        'caller_port',
        'seeds',
        'retries',
        'leave_ms',
        'stop_ms',
        'quotas',
        'revocation_ms',
        'cold_overage',
        'cold_slack',
    )

    def __init__(
        self,
        name: str,
        location: locations.Location,
        call_port: int,
        caller_port: int,
        seeds: tuple[locations.Location, ...],
        retries: budget.Limits,
        leave_ms: int,
        stop_ms: int,
        quotas: settings.QuotaSettings = _DEFAULT_QUOTAS,
        revocation_ms: int = 0,
        cold_overage: float = const.DEFAULT_COLD_OVERAGE,
        cold_slack: float = const.DEFAULT_COLD_SLACK,
    ) -> None:
        self.name = name
        self.location = location
        self.call_port = call_port
        self.caller_port = caller_port
        self.seeds = seeds
        self.retries = retries
        self.leave_ms = leave_ms
        self.stop_ms = stop_ms
        self.quotas = quotas
        self.revocation_ms = revocation_ms
        self.cold_overage = cold_overage
        self.cold_slack = cold_slack


def build_process_name(host: str) -> str:
    """Return the name of the process on a host.

    A host runs only one process of the role, so the address of a seed is
    enough to derive its name.
    """
    return host
