"""Guards against batches that are too large for a message."""

import hypothesis
from hypothesis import strategies

from shallotwharf.adapters import codec
from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.replica import messages
from shallotwharf.components.tables import pool, version
from shallotwharf.core import sizes

TEXT = strategies.text(max_size=50)
POOLS = strategies.builds(
    pool.Pool,
    TEXT,
    TEXT,
    strategies.dictionaries(TEXT, strategies.integers(0, 2**63), max_size=3),
    move=strategies.none()
    | strategies.builds(
        pool.MoveDeclaration,
        TEXT,
        strategies.integers(0, 2**63),
    ),
)
EDITS = strategies.builds(
    ledger_messages.ApplyEdit,
    TEXT,
    TEXT,
    strategies.integers(0, 2**63),
    strategies.lists(POOLS, max_size=5).map(
        lambda rows: version.Tables((), tuple(rows)),
    ),
    strategies.integers(0, 2**63),
)


@hypothesis.given(EDITS)
def test_estimate_is_an_upper_bound(edit):
    proposal = messages.Propose('request', edit)
    assert sizes.estimate_bytes(proposal) >= len(codec.encode(proposal))


@hypothesis.given(strategies.lists(EDITS, max_size=6), strategies.integers())
def test_batches_hold_all_in_order(edits, limit):
    batches = sizes.split_batches(edits, limit)
    assert [edit for batch in batches for edit in batch] == edits
    for batch in batches:
        total = sum(map(sizes.estimate_bytes, batch))
        assert len(batch) == 1 or total <= limit
