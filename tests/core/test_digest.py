"""Guards against digests that differ between processes or over time."""

import hashlib
import json

from shallotwharf.components.tables import pool, route, version
from shallotwharf.core import digest, records


def build_version(timeout_ms=5000):
    rows = tuple(
        route.Route(name, '/ü"', ('GET',), 'p', timeout_ms=timeout_ms)
        for name in ('a', 'b')
    )
    pools = (pool.Pool('p', 's', {'v2': 10, 'v1': 90}),)
    move = version.Move('m', 'p', 'v1', 'v2', 10**12)
    return version.Version(3, version.Tables(rows, pools, 7), (move,))


def flatten(part):
    if isinstance(part, records.Record):
        return [flatten(field) for field in part.read_fields()]
    if isinstance(part, tuple):
        return [flatten(field) for field in part]
    return dict(part) if hasattr(part, 'items') else part


def test_digest_is_that_of_the_canonical_json():
    text = json.dumps(
        [flatten(build_version())], separators=(',', ':'), sort_keys=True
    )
    expected = hashlib.sha256(text.encode()).digest()
    assert build_version().compute_digest() == expected


def test_cached_json_is_not_part_of_the_value():
    row, other = build_version().tables.routes[0], build_version()
    digest.compute_digest(row)
    assert row == other.tables.routes[0]
    assert '_canonical' not in repr(row)
    changed = row.replace(timeout_ms=1)
    assert digest.compute_digest(changed) != digest.compute_digest(row)


def test_versions_that_differ_have_different_digests():
    first, second = build_version(), build_version(timeout_ms=1)
    assert first.compute_digest() == build_version().compute_digest()
    assert first.compute_digest() != second.compute_digest()
    assert first.replace(number=4).compute_digest() != first.compute_digest()
