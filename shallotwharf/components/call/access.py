"""Whether a caller may use a route: its key, and the quota of its tenant."""

from shallotwharf.components.call import const, context
from shallotwharf.components.tables import route, tenant
from shallotwharf.core import records


class Refusal(records.Record):
    """Why a call is refused before it is sent anywhere.

    Attributes:
        status: HTTP status.
        reason: name of the reason.
        retry_after_ms: time after which a retry may succeed; 0 if none.
    """

    __slots__ = ('status', 'reason', 'retry_after_ms')

    def __init__(
        self, status: int, reason: str, retry_after_ms: int = 0
    ) -> None:
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms


_NO_KEY = Refusal(const.STATUS_UNAUTHORIZED, const.REASON_UNKNOWN_KEY)
# A key may have been revoked, so it is unknown whether the call is allowed.
_NO_TRUST = Refusal(const.STATUS_UNAVAILABLE, const.REASON_REVOCATION)


def find_refusal(
    call_context: context.Context,
    called: route.Route,
    owner: tenant.Tenant | None,
    now: int,
) -> Refusal | None:
    """Return why a call is refused; None if it is allowed.

    An allowed call counts in the quota of its tenant. Public routes need no
    key and have no quota.

    Args:
        call_context: state of the node.
        called: route of the call.
        owner: tenant that holds the key of the call; None without a known key.
        now: clock milliseconds.
    """
    if called.is_public:
        return None
    if not call_context.keyring.is_required:
        return None
    if not call_context.key_trust.trusts_keys(now):
        return _NO_TRUST
    if owner is None:
        return _NO_KEY
    wait_ms = call_context.quotas.take(owner.name, now)
    if not wait_ms:
        return None
    return Refusal(const.STATUS_TOO_MANY, const.REASON_QUOTA, wait_ms)
