"""Keys and limits of the tables."""

import types
import typing

CONF_ROUTES: typing.Final = 'routes'
CONF_POOLS: typing.Final = 'pools'
CONF_NAME: typing.Final = 'name'
CONF_PATH_PREFIX: typing.Final = 'path_prefix'
CONF_METHODS: typing.Final = 'methods'
CONF_POOL: typing.Final = 'pool'
CONF_PRIORITY: typing.Final = 'priority'
CONF_TIMEOUT_MS: typing.Final = 'timeout_ms'
CONF_IDEMPOTENT: typing.Final = 'idempotent'
CONF_ONCE_ONLY: typing.Final = 'once_only'
CONF_RETRIES: typing.Final = 'retries'
CONF_HOST: typing.Final = 'host'
CONF_SHARES: typing.Final = 'shares'
CONF_AIM_MS: typing.Final = 'aim_ms'
CONF_REVISION: typing.Final = 'revision'
CONF_SERVICE: typing.Final = 'service'
CONF_WEIGHTS: typing.Final = 'weights'
CONF_SLOW_MS: typing.Final = 'slow_ms'
CONF_MOVE: typing.Final = 'move'
CONF_TO_VERSION: typing.Final = 'to_version'
CONF_DUE: typing.Final = 'due'
CONF_REGIONS: typing.Final = 'regions'
CONF_PUBLIC: typing.Final = 'public'
CONF_HEALTH_PATH: typing.Final = 'health_path'
CONF_COLD_START_MS: typing.Final = 'cold_start_ms'
CONF_COLD_PER_SECOND: typing.Final = 'cold_per_second'
CONF_TENANTS: typing.Final = 'tenants'
CONF_KEYS: typing.Final = 'keys'
CONF_KEY_DIGESTS: typing.Final = 'key_digests'
CONF_RANK: typing.Final = 'rank'
CONF_RATE_PER_SECOND: typing.Final = 'rate_per_second'
CONF_BURST: typing.Final = 'burst'

# Priorities, highest first; the rank of a route is the index in this tuple.
PRIORITIES: typing.Final = (
    'internal',
    'confirmation',
    'download',
    'browsing',
)
PRIORITY_CONFIRMATION: typing.Final = 'confirmation'
METHODS: typing.Final = (
    'DELETE',
    'GET',
    'HEAD',
    'OPTIONS',
    'PATCH',
    'POST',
    'PUT',
)

DEFAULT_METHODS: typing.Final = ('GET', 'HEAD')
DEFAULT_PRIORITY: typing.Final = 'browsing'
DEFAULT_TIMEOUT_MS: typing.Final = 5000
DEFAULT_RETRIES: typing.Final = 1
DEFAULT_SLOW_MS: typing.Final = 1000

MAX_SHARE: typing.Final = 1_000_000
MAX_REVISION: typing.Final = 4_294_967_295
MAX_TIMEOUT_MS: typing.Final = 600_000
MAX_RETRIES: typing.Final = 5
# Bound of rates and bursts in the product's own tables: no fleet takes more
# requests a second.
MAX_AMOUNT: typing.Final = 1_000_000_000
NO_SHARES: typing.Final = types.MappingProxyType[str, int]({})
MAX_NAME_LENGTH: typing.Final = 100
WEIGHT_SUM: typing.Final = 100
# Shares of traffic are in hundredths of a percent.
FULL_SHARE: typing.Final = 10_000
