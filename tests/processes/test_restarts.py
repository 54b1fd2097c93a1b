"""Guards against versions that are not in force after control was lost."""

import pytest

from measurements import restarts


@pytest.mark.parametrize(
    ('seed', 'kind'), [(81, 'core-power'), (7, 'wipe'), (9, 'cut-halves')]
)
def test_confirmed_change_is_in_force_after_control_is_back(
    tmp_path, seed, kind
):
    """Guards against nodes that wait for links which died in the outage."""
    options = restarts.build_parser().parse_args(
        [
            f'--seed={seed}',
            f'--kind={kind}',
            f'--folder={tmp_path}',
            '--turns=1',
            '--dark-s=2',
            '--watch-s=9',
            '--forget',
        ]
    )
    assert not restarts.run(options)
