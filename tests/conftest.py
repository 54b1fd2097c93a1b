"""Hypothesis settings that give the same examples in each run."""

import hypothesis

hypothesis.settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
)
hypothesis.settings.load_profile('repeatable')
