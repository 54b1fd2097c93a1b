"""Rendezvous (highest random weight) hashing."""

import hashlib
from collections import abc


def rank_members(key: str, members: abc.Iterable[str]) -> list[str]:
    """Return the members by their weight for a key, highest first.

    The order depends only on the key and the names of the members, so that
    processes with the same members agree, and the loss of a member moves only
    the keys for which it was first.
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
