"""Keys, defaults and limits of the settings; exit statuses."""

import typing

CONF_NAME: typing.Final = 'name'
CONF_DATACENTRE: typing.Final = 'datacentre'
CONF_DATACENTRES: typing.Final = 'datacentres'
CONF_REGION: typing.Final = 'region'
CONF_HOST: typing.Final = 'host'
CONF_LINK_PORT: typing.Final = 'link_port'
CONF_CALL_PORT: typing.Final = 'call_port'
CONF_ADMIN_PORT: typing.Final = 'admin_port'
CONF_DATA_FOLDER: typing.Final = 'data_folder'
CONF_LOG_LEVEL: typing.Final = 'log_level'
CONF_CONTROL: typing.Final = 'control'
CONF_SEEDS: typing.Final = 'seeds'
CONF_REQUEST_MEMORY_BYTES: typing.Final = 'request_memory_bytes'
CONF_MAX_CONNECTIONS: typing.Final = 'max_connections'
CONF_NODES: typing.Final = 'nodes'
CONF_UPSTREAMS: typing.Final = 'upstreams'
CONF_ROUTES: typing.Final = 'routes'
CONF_POOLS: typing.Final = 'pools'
CONF_NODE: typing.Final = 'node'
CONF_PORT: typing.Final = 'port'
CONF_SERVICE: typing.Final = 'service'
CONF_VERSION: typing.Final = 'version'
CONF_SLOTS: typing.Final = 'slots'

DEFAULT_LOG_LEVEL: typing.Final = 'INFO'
LOG_LEVELS: typing.Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')

MAX_CONTROL_VMS: typing.Final = 7
MAX_PORT: typing.Final = 65_535
MAX_SLOTS: typing.Final = 10_000
# Below it, a request of the usual size might not find room.
MIN_REQUEST_MEMORY_BYTES: typing.Final = 1_048_576
MIN_CONNECTIONS: typing.Final = 16

# Exit statuses of the command line.
EXIT_FAILED: typing.Final = 1
EXIT_INVALID: typing.Final = 2
EXIT_CONFLICT: typing.Final = 3
EXIT_REFUSED: typing.Final = 4
EXIT_TIMEOUT: typing.Final = 5
