"""Digests of the keys that callers send."""

import hashlib
import typing

DIGEST_BYTES: typing.Final = 16
NO_KEY: typing.Final = b''


def compute_key_digest(key: str) -> bytes:
    """Return the digest of a key, 16 bytes; `NO_KEY` for an empty one.

    Processes compare and store digests, so that no key can show in a log line,
    a message or an error text.
    """
    if not key:
        return NO_KEY
    return hashlib.sha256(key.encode('utf-8', 'replace')).digest()[
        :DIGEST_BYTES
    ]
