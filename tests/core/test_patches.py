"""Guards against a document that is restored with other bytes."""

import hypothesis
import pytest
from hypothesis import strategies

from shallotwharf.core import errors, patches

PARTS = strategies.lists(
    strategies.sampled_from([b'{"a":1}', b'{"b":2}', b',', b'}', b'x', b'{'])
)


@hypothesis.given(base=PARTS, target=PARTS)
def test_patch_of_any_two_texts_restores_the_target(base, target):
    pieces = patches.make_patch(b''.join(base), b''.join(target))
    restored = patches.apply_patch(b''.join(base), pieces)
    assert restored == b''.join(target)


def test_patch_of_one_changed_object_is_small():
    """Guards against a whole document in each edit."""
    rows = [b'{"name": "route-%d", "timeout": 1}' % n for n in range(300)]
    base = b'[' + b', '.join(rows) + b']'
    rows[100] = b'{"name": "route-100", "timeout": 2}'
    del rows[200]
    target = b'[' + b', '.join(rows) + b']'
    pieces = patches.make_patch(base, target)
    assert patches.apply_patch(base, pieces) == target
    assert len(pieces) <= 4
    assert sum(len(piece.added) for piece in pieces) < 100


@pytest.mark.parametrize('piece', [(-1, 1), (0, -1), (0, 4), (3, 1)])
def test_range_outside_of_the_base_is_refused(piece):
    with pytest.raises(errors.ProtocolError):
        patches.apply_patch(b'abc', [patches.Piece(*piece, b'')])
