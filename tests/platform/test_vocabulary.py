"""Guards against responses and guarantees that no upstream gave."""

import pytest
from tornado import httputil

from shallotwharf.adapters import vocabulary
from shallotwharf.core import calls
from shallotwharf.platform import vocabulary as platform_vocabulary

SPOKEN = platform_vocabulary.PlatformVocabulary('own')
PROVED = {'Attempt-Id': 'a', 'Response-Signature': 's'}


def read(status, **told):
    named = {name.replace('_', '-'): text for name, text in told.items()}
    return SPOKEN.read_result(status, httputil.HTTPHeaders(named))


@pytest.mark.parametrize(
    ('status', 'told', 'outcome'),
    [
        (200, PROVED, calls.OUTCOME_ANSWERED),
        (200, {'Attempt-Id': 'a'}, calls.OUTCOME_CROSSED),
        (200, {'Response-Signature': 's'}, calls.OUTCOME_CROSSED),
        (200, PROVED | {'Content-Encoding': 'gzip'}, calls.OUTCOME_CROSSED),
        (500, PROVED, calls.OUTCOME_ANSWERED),
        (504, {}, calls.OUTCOME_ANSWERED),
        (503, {'Not-Executed': '1'}, calls.OUTCOME_REFUSED),
        (429, {'Not-Executed': '1'}, calls.OUTCOME_REFUSED),
        (421, {}, calls.OUTCOME_REFUSED),
        # Without Not-Executed these requests may have run.
        (503, PROVED, calls.OUTCOME_CROSSED),
        (429, {}, calls.OUTCOME_CROSSED),
        (408, {}, calls.OUTCOME_CROSSED),
    ],
)
def test_answer_counts_only_with_its_proof(status, told, outcome):
    ended = SPOKEN.read_result(status, httputil.HTTPHeaders(told))
    assert ended.outcome == outcome


def test_late_answer_of_another_request_is_not_owned():
    asked = httputil.HTTPHeaders({'Attempt-Id': 'a'})
    other = httputil.HTTPHeaders({'Attempt-Id': 'b'})
    assert SPOKEN.owns_answer(asked, asked)
    assert not SPOKEN.owns_answer(asked, other)


def test_upstream_gets_the_time_left_and_its_instance():
    sent = httputil.HTTPHeaders(
        {
            'Attempt-Id': 'a',
            'Deadline-Ms': '900',
            'Caller-Service': 'forged',
            'Shallotwharf-Attempt': 'x',
            'Shallotwharf-Deadline-Ms': '5',
        }
    )
    SPOKEN.mark_origin(sent)
    SPOKEN.write_attempt(
        sent, vocabulary.UpstreamAttempt('x', 300, False, 'i-1')
    )
    assert dict(sent) == {
        'Attempt-Id': 'a',
        'Deadline-Ms': '300',
        'Caller-Service': 'own',
        'Target-Instance': 'i-1',
    }


@pytest.mark.parametrize(
    ('not_run', 'status', 'retry_after'),
    [(True, 503, '0.100'), (False, 502, None)],
)
def test_refusal_promises_only_what_is_true(not_run, status, retry_after):
    step = calls.Respond(503, 'slots_full', not_run, 100)
    answer = SPOKEN.build_refusal(step, httputil.HTTPHeaders())
    assert answer.status == status
    assert answer.headers.get('Retry-After') == retry_after


def test_request_carries_host_and_deadline():
    line = httputil.RequestStartLine('GET', '/x', 'HTTP/1.1')
    told = httputil.HTTPHeaders(
        {'Host': 'Ficu95.example:80', 'Deadline-Ms': '800'}
    )
    request = SPOKEN.read_request(line, told, b'')
    assert (request.host, request.deadline_ms) == ('ficu95.example', 800)
