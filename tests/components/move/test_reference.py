"""Guards against a fault of both versions that counts against the new one.

It happens if the old version's last calls, which show the fault, are
discarded too early. If they count too long, they excuse a bad new version.
"""

from shallotwharf.components.move import evidence, reference

_ERRORS = 0


def learn(known, slices, calls, errors):
    for _ in range(slices):
        known.learn(evidence.Counts(calls, errors, 0, 0))


def test_rate_of_the_last_calls_holds_while_the_old_version_gets_none():
    known = reference.Reference()
    learn(known, 40, 100, 0)
    learn(known, 3, 20, 10)
    learn(known, 1, 2, 2)
    learn(known, 5, 0, 0)
    assert known.bound_rate(_ERRORS) > 0.5
    # Later at the full share the fault no longer raises the allowed rate.
    learn(known, 60, 0, 0)
    assert known.bound_rate(_ERRORS) < 0.15


def test_fault_that_ended_before_the_last_calls_is_forgotten():
    known = reference.Reference()
    learn(known, 4, 100, 50)
    learn(known, 60, 100, 0)
    learn(known, 12, 0, 0)
    assert known.bound_rate(_ERRORS) < 0.15


def test_single_late_failure_does_not_excuse_the_new_version():
    known = reference.Reference()
    learn(known, 40, 100, 0)
    learn(known, 1, 1, 1)
    learn(known, 4, 0, 0)
    assert known.bound_rate(_ERRORS) < 0.02
