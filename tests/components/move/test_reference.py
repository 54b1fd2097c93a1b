"""Guards against a fault of both versions that counts against the new one.

It happens if the old version's last calls, which show the fault, are
discarded too early. If they count too long, they excuse a bad new version.
"""

from shallotwharf.components.move import evidence, reference

_ERRORS = 0


def add_slices(rates, slices, calls, errors):
    for _ in range(slices):
        rates.add(evidence.Counts(calls, errors, 0, 0))


def test_rate_of_the_last_calls_applies_while_the_old_version_gets_none():
    rates = reference.Reference()
    add_slices(rates, 40, 100, 0)
    add_slices(rates, 3, 20, 10)
    add_slices(rates, 1, 2, 2)
    add_slices(rates, 5, 0, 0)
    assert rates.compute_max_rate(_ERRORS) > 0.5
    # Later at the full share the fault no longer raises the allowed rate.
    add_slices(rates, 60, 0, 0)
    assert rates.compute_max_rate(_ERRORS) < 0.15


def test_fault_that_ended_before_the_last_calls_is_forgotten():
    rates = reference.Reference()
    add_slices(rates, 4, 100, 50)
    add_slices(rates, 60, 100, 0)
    add_slices(rates, 12, 0, 0)
    assert rates.compute_max_rate(_ERRORS) < 0.15


def test_single_late_failure_does_not_excuse_the_new_version():
    rates = reference.Reference()
    add_slices(rates, 40, 100, 0)
    add_slices(rates, 1, 1, 1)
    add_slices(rates, 4, 0, 0)
    assert rates.compute_max_rate(_ERRORS) < 0.02
