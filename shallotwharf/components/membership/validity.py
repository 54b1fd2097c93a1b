"""Selection of the received entries that can be used.

One odd entry must neither stop the process that merges it nor keep the others
of its batch away, so it is dropped alone.
"""

import types
import typing
from collections import abc

from shallotwharf.components.membership import const, messages, wire
from shallotwharf.core import endpoints, records, upstream_notices


def select_valid(batch: wire.Batch) -> tuple[wire.Batch, int]:
    """Return a batch without its odd entries, and their number."""
    kept: dict[str, tuple[records.Record, ...]] = {}
    refused = 0
    for kind, is_valid in _CHECKS.items():
        entries: tuple[records.Record, ...] = getattr(batch, kind)
        valid = tuple(entry for entry in entries if is_valid(entry))
        if len(valid) < len(entries):
            refused += len(entries) - len(valid)
            kept[kind] = valid
    return (batch.replace(**kept) if kept else batch), refused


def _is_valid_state(state: wire.MemberState) -> bool:
    return _is_valid_member(state.member) and _are_in_range(
        state.run, state.incarnation, state.status
    )


def _is_valid_announcement(announcement: messages.Announcement) -> bool:
    return (
        _is_valid_member(announcement.node)
        and _are_in_range(
            announcement.slots, announcement.spare, announcement.generation
        )
        and _is_valid_condition(announcement.condition)
    )


def _is_valid_member(member: messages.Member) -> bool:
    return (
        bool(member.name)
        and endpoints.is_valid(member.host, member.link_port)
        and endpoints.is_valid(member.host, member.call_port)
    )


def _is_valid_load(load: wire.Load) -> bool:
    return _are_in_range(load.number, load.spare) and _is_valid_condition(
        load.condition
    )


def _is_valid_condition(condition: upstream_notices.Condition) -> bool:
    return _are_in_range(condition.speed, condition.usual_speed)


def _is_valid_broadcast(broadcast: wire.BroadcastItem) -> bool:
    return _are_in_range(broadcast.remaining_ms)


def _is_valid_heartbeat(heartbeat: wire.Heartbeat) -> bool:
    return _are_in_range(heartbeat.number)


def _are_in_range(*numbers: int) -> bool:
    return all(0 <= number <= const.MAX_NUMBER for number in numbers)


# Check of each kind of entry, by the slot of the batch.
_CHECKS: typing.Final[abc.Mapping[str, typing.Any]] = types.MappingProxyType(
    {
        'states': _is_valid_state,
        'announcements': _is_valid_announcement,
        'loads': _is_valid_load,
        'broadcasts': _is_valid_broadcast,
        'heartbeats': _is_valid_heartbeat,
    },
)
