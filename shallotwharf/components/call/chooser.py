"""Selection of the upstream for an attempt."""

import itertools
import random
import typing
from collections import abc

from shallotwharf.components.call import (
    attempts,
    const,
    expectation,
    index,
    places,
    targets,
)
from shallotwharf.components.tables import version

ANY_VERSION = version.ANY_VERSION
_NO_DEMAND = expectation.Demand()
# Whether a target that is not among those tried may serve an attempt now.
_Accept: typing.TypeAlias = abc.Callable[
    [targets.Target, abc.Container[str], int], bool
]


def choose_version(
    pool: index.PoolEntry,
    directory: targets.Directory,
    source: random.Random,
    regions: places.Regions = places.ANYWHERE,
) -> str | None:
    """Return a version by share, or another if no upstream serves it.

    A version without a share is never returned. None if no upstream in an
    allowed region serves an allowed version.
    """
    picked = pool.pick_version(source)
    if picked is None or find_groups(pool, directory, picked, regions):
        return picked
    for name, _ in pool.shares:
        if find_groups(pool, directory, name, regions):
            return name
    if not pool.row.weights and find_groups(
        pool, directory, ANY_VERSION, regions
    ):
        return ANY_VERSION
    return None


def find_groups(
    pool: index.PoolEntry,
    directory: targets.Directory,
    picked: str,
    regions: places.Regions = places.ANYWHERE,
) -> list[targets.Group]:
    """Return the groups that serve a picked version, nearest first."""
    service = pool.row.service
    if picked == ANY_VERSION:
        groups = directory.find_any(service, pool.excluded)
    else:
        groups = directory.find_groups(service, picked)
    return places.filter_groups(groups, regions)


def choose_target(
    groups: list[targets.Group],
    tried: abc.Container[str],
    source: random.Random,
    now: int,
    demand: expectation.Demand = _NO_DEMAND,
) -> targets.Target | None:
    """Return a target by its expected time if speeds are known.

    Otherwise return the nearest one with room, or one without room.
    """
    if any(expectation.is_known(group) for group in groups):
        rating = expectation.Expectation(demand, source, now)
        for accepts in (targets.has_room, has_slow_room):
            chosen = _choose_fastest(groups, tried, source, rating, accepts)
            if chosen is not None:
                return chosen
    return _choose_nearest(groups, tried, source, now)


def _choose_fastest(
    groups: list[targets.Group],
    tried: abc.Container[str],
    source: random.Random,
    rating: expectation.Expectation,
    accepts: _Accept,
) -> targets.Target | None:
    """Return the target with room that is expected to answer soon enough.

    The nearest data centre is kept while it meets the latency target, and
    unless another is faster by a factor that grows with the distance. None if
    no target has room.
    """
    now = rating.now
    best: targets.Target | None = None
    best_ms: float = 0
    for _, equidistant in itertools.groupby(groups, key=_read_latency):
        found = _find_fast(list(equidistant), tried, source, rating, accepts)
        if found is None:
            continue
        found_ms = rating.estimate_ms(found)
        if best is None or found_ms < best_ms * _find_gain(best, found):
            best = found
            best_ms = found_ms
        if rating.is_in_time(best_ms) and not best.failure_rate.is_high(now):
            return best
    return best


def _find_fast(
    groups: list[targets.Group],
    tried: abc.Container[str],
    source: random.Random,
    rating: expectation.Expectation,
    accepts: _Accept,
) -> targets.Target | None:
    """Return the better of two random targets of groups at one distance.

    All targets are compared if neither has room and is in time. None if none
    has room.
    """
    listed = [
        target
        for group in groups
        for target in group.targets
        if accepts(target, tried, rating.now) and not rating.is_silent(target)
    ]
    if not listed:
        return None
    better = rating.find_best(source.sample(listed, min(len(listed), 2)))
    if rating.is_in_time(rating.estimate_ms(better)):
        return better
    return rating.find_best(listed)


def _find_gain(near: targets.Target, far: targets.Target) -> float:
    """Return the fraction of the time at which the farther target wins."""
    if near.latency_ms == far.latency_ms:
        return 1
    if far.latency_ms > const.REGION_LATENCY_MS:
        return const.REMOTE_GAIN
    return const.REGION_GAIN


def _choose_nearest(
    groups: list[targets.Group],
    tried: abc.Container[str],
    source: random.Random,
    now: int,
) -> targets.Target | None:
    """Return the nearest target with room, else one without room.

    Targets that fail often are chosen only if no other target has room.
    Among data centres of equal latency the target with more spare slots wins.
    None if there is no target.
    """
    faulty: list[targets.Target] = []
    for _, equidistant in itertools.groupby(groups, key=_read_latency):
        picked = [group.pick(source, tried, now) for group in equidistant]
        with_room = [
            target for target in picked if targets.has_room(target, tried, now)
        ]
        healthy = [
            target
            for target in with_room
            if not target.failure_rate.is_high(now)
        ]
        if len(healthy) == 1:
            return healthy[0]
        if healthy:
            return targets.find_best(healthy, tried, now)
        faulty.extend(with_room)
    if faulty:
        return faulty[0]
    return _find_untried(groups, tried, source, now)


def has_slow_room(
    target: targets.Target, tried: abc.Container[str], now: int
) -> bool:
    """Return whether a target probably has a free slot, however slow it is.

    Its gate refuses only the first attempts of a call as too slow.
    """
    is_only_slow = target.speed.slow_until == target.avoid_until
    is_avoided = now < target.avoid_until and not is_only_slow
    return (
        not is_avoided
        and target.estimate_spare(now) > 0
        and target.announcement.node.name not in tried
    )


def find_room(
    groups: list[targets.Group],
    tried: abc.Container[str],
    now: int,
) -> attempts.Room:
    """Return where a call that was refused for lack of room may find some.

    If no target seems to have room, those that were not tried may have some in
    the region or, without upstreams there, at the distance of the nearest
    ones. Of other regions only `const.UNKNOWN_REMOTE_TRIES` targets are worth a
    try then: the service is overloaded, and the sooner its caller is told so,
    the sooner it can return.
    """
    listed = [target for group in groups for target in group.targets]
    if any(has_slow_room(target, tried, now) for target in listed):
        return attempts.Room.KNOWN
    nearest_ms = min((target.latency_ms for target in listed), default=0)
    near_ms = max(nearest_ms, const.REGION_LATENCY_MS)
    tries_left = const.UNKNOWN_REMOTE_TRIES
    is_untried_distant = False
    for target in listed:
        is_tried = target.announcement.node.name in tried
        if target.latency_ms > near_ms:
            tries_left -= int(is_tried)
            is_untried_distant = is_untried_distant or not is_tried
        elif not is_tried:
            return attempts.Room.POSSIBLE
    if is_untried_distant and tries_left > 0:
        return attempts.Room.POSSIBLE
    return attempts.Room.NONE


def _find_untried(
    groups: list[targets.Group],
    tried: abc.Container[str],
    source: random.Random,
    now: int,
) -> targets.Target | None:
    """Return a target although none has room, preferring an untried one."""
    picked = [group.pick(source, tried, now) for group in groups]
    untried = (
        target
        for target in picked
        if target.announcement.node.name not in tried
    )
    return next(untried, picked[0] if picked else None)


def _read_latency(group: targets.Group) -> int:
    return group.latency_ms
