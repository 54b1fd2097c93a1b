"""Choice of the upstream for an attempt."""

import random
from collections import abc

from shallotwharf.components.call import index, targets
from shallotwharf.components.tables import version

ANY_VERSION = version.ANY_VERSION


def choose_version(
    pool: index.PoolEntry,
    directory: targets.Directory,
    source: random.Random,
) -> str | None:
    """Return a version by share, or another if no upstream serves that one.

    A version without a share is never returned.
    """
    picked = pool.pick_version(source)
    if picked is None or find_groups(pool, directory, picked):
        return picked
    for name, _ in pool.shares:
        if find_groups(pool, directory, name):
            return name
    if not pool.row.weights and find_groups(pool, directory, ANY_VERSION):
        return ANY_VERSION
    return None


def find_groups(
    pool: index.PoolEntry,
    directory: targets.Directory,
    picked: str,
) -> list[targets.Group]:
    """Return the groups of a version that was picked, nearest first."""
    service = pool.row.service
    if picked == ANY_VERSION:
        return directory.find_any(service, pool.excluded)
    return directory.find_groups(service, picked)


def choose_target(
    groups: list[targets.Group],
    tried: abc.Container[str],
    source: random.Random,
    now: int,
) -> targets.Target | None:
    """Return the nearest target with room, else the best of the nearest.

    Among data centres of equal latency the one with more spare slots wins.
    """
    nearest: targets.Target | None = None
    best: targets.Target | None = None
    for group in groups:
        if best is not None and group.latency_ms > best.latency_ms:
            return best
        picked = group.pick(source, tried, now)
        if nearest is None:
            nearest = picked
        if targets.has_room(picked, tried, now):
            best = _find_better(best, picked)
    return best or _find_untried(groups, nearest, tried, source, now)


def _find_better(
    best: targets.Target | None,
    picked: targets.Target,
) -> targets.Target:
    if best is None or picked.estimate_spare() > best.estimate_spare():
        return picked
    return best


def _find_untried(
    groups: list[targets.Group],
    nearest: targets.Target | None,
    tried: abc.Container[str],
    source: random.Random,
    now: int,
) -> targets.Target | None:
    """Return a target where nothing has room, one not yet tried if any."""
    if nearest is None or nearest.announcement.node.name not in tried:
        return nearest
    for group in groups:
        picked = group.pick(source, tried, now)
        if picked.announcement.node.name not in tried:
            return picked
    return nearest
