"""Guards against use of the platform's names outside its adapter."""

import pathlib
import re

import shallotwharf

ROOT = pathlib.Path(shallotwharf.__file__).parent
# Headers, JSON keys and values that only the platform uses.
WIRE = re.compile(
    r"""['"](Attempt-Id|Deadline-Ms|Target-Instance|Response-Signature|"""
    r"""Not-Executed|Caller-Service|Server-Load|Instance-Id|coldRemainingS|"""
    r"""heartbeatAddr|baseVersion|weightedServices|pathPrefix|routeType|"""
    r"""maxAttempts|timeoutS|aimS|toVersion|periodS|listeners|clusters|"""
    r"""rolled_back|non_idempotent)['"]"""
)


def test_only_the_platform_package_contains_its_wire_names():
    found = {
        f'{path.relative_to(ROOT)}: {match.group()}'
        for path in ROOT.rglob('*.py')
        for match in WIRE.finditer(path.read_text())
        if path.relative_to(ROOT).parts[0] != 'platform'
    }
    assert not found
