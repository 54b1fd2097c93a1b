"""Commands of the replicated log, and the answers to them.

Each command carries the wall time `at`, in milliseconds since the epoch, of
the process that proposed it, so that all replicas derive the same state.
"""

import typing

from shallotwharf.components.tables import (
    limits,
    pool,
    route,
    tenant,
    version,
)
from shallotwharf.core import messages, patches


@messages.register('ledger.apply_edit')
class ApplyEdit(messages.Message):
    """Replace the tables.

    Attributes:
        request_id: UUIDv7; the same when an edit is sent again.
        operator: who made the edit.
        base: number of the version that the edit is based on.
        tables: the new tables.
        at: wall time in milliseconds since the epoch.
    """

    # WPS226 counts repeated texts; many messages have a slot `at`.
    __slots__ = (
        'request_id',
        'operator',  # noqa: WPS226
        'base',
        'tables',
        'at',  # noqa: WPS226
    )

    def __init__(
        self,
        request_id: str,
        operator: str,
        base: int,
        tables: version.Tables,
        at: int,
    ) -> None:
        self.request_id = request_id
        self.operator = operator
        self.base = base
        self.tables = tables
        self.at = at


@messages.register('ledger.revert')
class Revert(messages.Message):
    """Make a new version with the tables of version `number`."""

    __slots__ = ('request_id', 'operator', 'base', 'number', 'at')

    def __init__(
        self,
        request_id: str,
        operator: str,
        base: int,
        number: int,
        at: int,
    ) -> None:
        self.request_id = request_id
        self.operator = operator
        self.base = base
        self.number = number
        self.at = at


@messages.register('ledger.step_move')
class StepMove(messages.Message):
    """Set the share and state of a move; refused if done or taken back."""

    __slots__ = ('move_id', 'share', 'state', 'reason', 'at')

    def __init__(
        self,
        move_id: str,
        share: int,
        state: str,
        reason: str,
        at: int,
    ) -> None:
        self.move_id = move_id
        self.share = share
        self.state = state
        self.reason = reason
        self.at = at


@messages.register('ledger.take_back')
class TakeBack(messages.Message):
    """Take back a move; `reason` names the evidence and its reporter."""

    __slots__ = ('move_id', 'reason', 'at')

    def __init__(self, move_id: str, reason: str, at: int) -> None:
        self.move_id = move_id
        self.reason = reason
        self.at = at


@messages.register('ledger.assign_holders')
class AssignHolders(messages.Message):
    """Replace the holder groups of once-only calls."""

    __slots__ = ('groups', 'at')

    def __init__(
        self,
        groups: tuple[version.HolderGroup, ...],
        at: int,
    ) -> None:
        self.groups = groups
        self.at = at


@messages.register('ledger.apply_revision')
class ApplyRevision(messages.Message):
    """Replace the tables by the operators' next revision of them.

    A repeated order has the same digest and gets the first answer again.

    Attributes:
        operator: who sent the order.
        base: revision that the order is based on; 0 before the first one.
        tables: the new tables with their revision.
        document: the tables as the operators sent them, returned when they
            read the tables.
        digest: digest of the whole order.
        at: wall time in milliseconds since the epoch.
    """

    __slots__ = ('operator', 'base', 'tables', 'document', 'digest', 'at')

    def __init__(
        self,
        operator: str,
        base: int,
        tables: version.Tables,
        document: bytes,
        digest: bytes,
        at: int,
    ) -> None:
        self.operator = operator
        self.base = base
        self.tables = tables
        self.document = document
        self.digest = digest
        self.at = at


@messages.register('ledger.change_revision')
class ChangeRevision(messages.Message):
    """The same as `ApplyRevision`, as a change of the revision before.

    Attributes:
        operator: who sent the order.
        base: revision that the order is based on.
        base_number: number of the version that has that revision.
        revision: number of the new revision.
        routes: routes that are new or changed.
        pools: pools that are new or changed.
        removed_routes: names of removed routes.
        removed_pools: names of removed pools.
        document: patch of the document of the base.
        digest: digest of the whole order.
        at: wall time in milliseconds since the epoch.
        tenants: tenants that are new or changed.
        removed_tenants: names of removed tenants.
        limits: limits of callers in the new revision.
    """

    __slots__ = (
        'operator',
        'base',
        'base_number',
        'revision',
        'routes',
        'pools',
        'removed_routes',
        'removed_pools',
        'document',
        'digest',
        'at',
        'tenants',
        'removed_tenants',
        'limits',
    )

    # Each field of a record is an argument.
    def __init__(  # noqa: WPS211
        self,
        operator: str,
        base: int,
        base_number: int,
        revision: int,
        routes: tuple[route.Route, ...],
        pools: tuple[pool.Pool, ...],
        removed_routes: tuple[str, ...],
        removed_pools: tuple[str, ...],
        document: tuple[patches.Piece, ...],
        digest: bytes,
        at: int,
        tenants: tuple[tenant.Tenant, ...] = (),
        removed_tenants: tuple[str, ...] = (),
        limits: limits.ClientLimits = limits.DEFAULT,
    ) -> None:
        self.operator = operator
        self.base = base
        self.base_number = base_number
        self.revision = revision
        self.routes = routes
        self.pools = pools
        self.removed_routes = removed_routes
        self.removed_pools = removed_pools
        self.document = document
        self.digest = digest
        self.at = at
        self.tenants = tenants
        self.removed_tenants = removed_tenants
        self.limits = limits


@messages.register('ledger.order_move')
class OrderMove(messages.Message):
    """Move all pools of a service to a version within a period.

    Pools that already move to that version, or whose move to it was ordered
    within the last `const.ORDER_REPEAT_WINDOW_MS`, keep their move.
    """

    __slots__ = ('service', 'to_version', 'period_ms', 'at')

    def __init__(
        self,
        service: str,
        to_version: str,
        period_ms: int,
        at: int,
    ) -> None:
        self.service = service
        self.to_version = to_version
        self.period_ms = period_ms
        self.at = at


@messages.register('ledger.evacuate_datacentre')
class EvacuateDatacentre(messages.Message):
    """Send no more requests to the upstreams of a data centre.

    The last data centre is refused. What the last one is must not depend on
    the process that applies the command, so it carries all known names.

    Attributes:
        datacentre: its name.
        known: all data centres, sorted; empty if the proposer has no list,
            then any name is accepted.
        operator: who sent the order.
        at: wall time in milliseconds since the epoch.
    """

    __slots__ = ('datacentre', 'known', 'operator', 'at')

    def __init__(
        self,
        datacentre: str,
        known: tuple[str, ...],
        operator: str,
        at: int,
    ) -> None:
        self.datacentre = datacentre
        self.known = known
        self.operator = operator
        self.at = at


@messages.register('ledger.restore_datacentre')
class RestoreDatacentre(messages.Message):
    """Send requests to the upstreams of a data centre again."""

    __slots__ = ('datacentre', 'operator', 'at')

    def __init__(self, datacentre: str, operator: str, at: int) -> None:
        self.datacentre = datacentre
        self.operator = operator
        self.at = at


# Commands that the ledger applies; it ignores all others in the log.
Command: typing.TypeAlias = (
    ApplyEdit
    | Revert
    | StepMove
    | TakeBack
    | AssignHolders
    | ApplyRevision
    | ChangeRevision
    | OrderMove
    | EvacuateDatacentre
    | RestoreDatacentre
)


@messages.register('ledger.edit_accepted')
class EditAccepted(messages.Message):
    """The edit became version `number`."""

    __slots__ = ('number', 'digest')

    def __init__(self, number: int, digest: bytes) -> None:
        self.number = number
        self.digest = digest


@messages.register('ledger.edit_conflict')
class EditConflict(messages.Message):
    """Another edit of the same base was accepted before.

    Attributes:
        current: number of the current version; of the current revision if
            the command is `ApplyRevision`.
        winner: request id of the first edit after version `base`; empty if
            the history does not contain it or it has no request id.
        operator: who made that edit; empty if the history does not contain
            it.
    """

    __slots__ = ('current', 'winner', 'operator')

    def __init__(self, current: int, winner: str, operator: str) -> None:
        self.current = current
        self.winner = winner
        self.operator = operator


@messages.register('ledger.edit_refused')
class EditRefused(messages.Message):
    """The edit was not applied.

    Attributes:
        reason: name of the reason, such as `request_expired`.
        detail: one line for the operator.
    """

    __slots__ = ('reason', 'detail')

    def __init__(self, reason: str, detail: str) -> None:
        self.reason = reason
        self.detail = detail
