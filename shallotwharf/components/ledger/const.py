"""Limits of the ledger, kinds of versions and reasons of refusals."""

import typing

from shallotwharf.core import clock

# Number of latest versions that can be listed and reverted to.
HISTORY_LIMIT: typing.Final = 200
# A repeated request id gets the first answer again for this long.
REQUEST_LIFETIME_MS: typing.Final = 24 * clock.HOUR_MS
# Request ids may be this far ahead, since they carry the time of the
# operator's machine.
CLOCK_TOLERANCE_MS: typing.Final = 5 * clock.MINUTE_MS
# Ten times the edits of a day. Above this, the oldest ids expire early.
REQUEST_LIMIT: typing.Final = 14_000
# Accepted orders whose repetitions are recognised; covers more than three
# days.
ORDER_LIMIT: typing.Final = 5000
# An order for a move that has ended counts as a repetition for this long.
ORDER_REPEAT_WINDOW_MS: typing.Final = 10 * clock.SECOND_MS
# A part of a snapshot must fit into a message, which is at most 4 MiB.
SNAPSHOT_PART_BYTES: typing.Final = 524_288
MAX_DETAIL_LENGTH: typing.Final = 1000
HOLDER_GROUP_SIZE: typing.Final = 3

# Kinds of versions in the history.
KIND_EDIT: typing.Final = 'edit'
KIND_REVERT: typing.Final = 'revert'
KIND_STEP: typing.Final = 'step_move'
KIND_TAKE_BACK: typing.Final = 'take_back'
KIND_HOLDERS: typing.Final = 'assign_holders'
KIND_ORDER: typing.Final = 'order_move'
KIND_EVACUATE: typing.Final = 'evacuate'
KIND_RESTORE: typing.Final = 'restore'

# Reasons of `EditRefused`.
REASON_BAD_REQUEST_ID: typing.Final = 'bad_request_id'
REASON_REQUEST_EXPIRED: typing.Final = 'request_expired'
REASON_REQUEST_FROM_FUTURE: typing.Final = 'request_from_future'
REASON_REQUEST_ID_REUSED: typing.Final = 'request_id_reused'
REASON_UNKNOWN_BASE: typing.Final = 'unknown_base'
REASON_UNKNOWN_VERSION: typing.Final = 'unknown_version'
REASON_INVALID_TABLES: typing.Final = 'invalid_tables'
REASON_MOVE_NOT_ACTIVE: typing.Final = 'move_not_active'
REASON_INVALID_STEP: typing.Final = 'invalid_step'
REASON_REVISION_NOT_ABOVE: typing.Final = 'revision_not_above'
REASON_UNKNOWN_SERVICE: typing.Final = 'unknown_service'
REASON_INVALID_HOLDERS: typing.Final = 'invalid_holders'
REASON_SEVERAL_VERSIONS: typing.Final = 'several_versions'
REASON_UNKNOWN_DATACENTRE: typing.Final = 'unknown_datacentre'
REASON_LAST_DATACENTRE: typing.Final = 'last_datacentre'

EVENT_EVACUATED: typing.Final = 'datacentre_evacuated'
EVENT_RESTORED: typing.Final = 'datacentre_restored'
