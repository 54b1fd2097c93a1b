"""Wiring of the quotas of tenants and of strict revocation at a node."""

from shallotwharf.components.quota import limiter
from shallotwharf.components.quota import settings as quota_settings
from shallotwharf.components.tenants import revocation
from shallotwharf.core import access_interfaces, aggregate
from shallotwharf.roles import callpath, process


class Tenancy:
    """Quotas and trust in keys, with the aggregates behind them.

    Attributes:
        quotas: limits on the calls of tenants.
        key_trust: whether keys may be relied on.
        aggregates: to be started.
    """

    __slots__ = ('quotas', 'key_trust', 'aggregates')

    def __init__(
        self,
        runtime: process.Runtime,
        settings: quota_settings.QuotaSettings,
        revocation_ms: int,
    ) -> None:
        """Create the aggregates.

        Args:
            runtime: adapters and dispatcher of the process.
            settings: settings of quotas.
            revocation_ms: time without control after which keys are refused;
                0 for never.
        """
        node_limiter = limiter.Limiter(settings, runtime.random)
        self.quotas = callpath.WiredQuotas(
            node_limiter,
            callpath.EffectRunner(runtime.dispatcher, node_limiter),
        )
        self.aggregates: tuple[aggregate.Aggregate, ...] = (node_limiter,)
        self.key_trust: access_interfaces.KeyTrust
        self.key_trust = access_interfaces.UnlimitedKeyTrust()
        if revocation_ms:
            contact = revocation.ControlContact(revocation_ms)
            self.key_trust = contact
            self.aggregates = (node_limiter, contact)
