"""Rendezvous (highest random weight) hashing."""

import hashlib
from collections import abc


def rank_members(key: str, members: abc.Iterable[str]) -> list[str]:
    """Return the members by their weight for a key, highest first.

    The order depends on the key and each member's name alone, so that
    processes with the same members agree, and one lost member moves only
    the keys it was first for.
    """
    return sorted(
        members,
        key=lambda member: (_weigh(key, member), member),
        reverse=True,
    )


def _weigh(key: str, member: str) -> bytes:
    return hashlib.blake2b(
        f'{key}\0{member}'.encode(),
        digest_size=8,
    ).digest()
