"""Settings of the test run: the same examples, and so the same verdict."""

import hypothesis

hypothesis.settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
)
hypothesis.settings.load_profile('repeatable')
