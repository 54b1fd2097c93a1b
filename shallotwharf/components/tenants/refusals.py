"""Log of the calls that are refused for their tenant."""

from shallotwharf.components.tenants import const
from shallotwharf.core import effects


class RefusalLog:
    """Builds at most one line a second, with the calls since the last one."""

    __slots__ = ('_count', '_logged_at')

    def __init__(self) -> None:
        self._count = 0
        self._logged_at: int | None = None

    def record(
        self, reason: str, tenant: str, route: str, now: int
    ) -> list[effects.Effect]:
        """Return the effects of a refusal.

        Args:
            reason: why the call was refused.
            tenant: name of the tenant; empty if there is none.
            route: name of the route.
            now: clock milliseconds.
        """
        self._count += 1
        logged_at = self._logged_at
        if logged_at is not None and now - logged_at < const.LOG_MS:
            return []
        fields = {
            'reason': reason,
            'tenant': tenant,
            'route': route,
            'calls': self._count,
        }
        self._count = 0
        self._logged_at = now
        return [effects.Report(const.EVENT_REFUSED, fields)]
