"""What follows the end of an attempt: a state table."""

import types
import typing

from shallotwharf.components.call import const
from shallotwharf.core import calls, records


class Rule(records.Record):
    """What an end of an attempt allows.

    Attributes:
        retry: whether the request may be sent again.
        not_run: whether the attempt surely did not run.
        status: status for the caller unless the answer is passed on.
        observed: what the observer is told; empty for nothing.
    """

    __slots__ = ('retry', 'not_run', 'status', 'observed')

    def __init__(
        self,
        retry: bool,
        not_run: bool,
        status: int,
        observed: str,
    ) -> None:
        self.retry = retry
        self.not_run = not_run
        self.status = status
        self.observed = observed


_FINAL: typing.Final = False
_RETRY: typing.Final = True
_RAN: typing.Final = False
_NOT_RUN: typing.Final = True

_ANSWERED = Rule(_FINAL, _RAN, 0, calls.OBSERVED_OK)
_REFUSED = Rule(_RETRY, _NOT_RUN, const.STATUS_UNAVAILABLE, '')
_UNREACHED = Rule(_RETRY, _NOT_RUN, const.STATUS_UNAVAILABLE, '')
# A deadline may be shorter than the time from which the pool counts an answer
# as slow, so that a version which never answers must show as failing.
_LATE = Rule(_FINAL, _RAN, const.STATUS_TIMEOUT, calls.OBSERVED_ERROR)
_CANCELLED = Rule(_FINAL, _RAN, const.STATUS_TIMEOUT, '')

# By outcome, and whether a second run does no harm.
_RULES: typing.Final = types.MappingProxyType(
    {
        (calls.OUTCOME_ANSWERED, True): _ANSWERED,
        (calls.OUTCOME_ANSWERED, False): _ANSWERED,
        (calls.OUTCOME_REFUSED, True): _REFUSED,
        (calls.OUTCOME_REFUSED, False): _REFUSED,
        (calls.OUTCOME_UNREACHED, True): _UNREACHED,
        (calls.OUTCOME_UNREACHED, False): _UNREACHED,
        (calls.OUTCOME_CLOSED, True): Rule(
            _RETRY,
            _RAN,
            const.STATUS_BAD_GATEWAY,
            calls.OBSERVED_CRASH,
        ),
        (calls.OUTCOME_CLOSED, False): Rule(
            _FINAL,
            _RAN,
            const.STATUS_BAD_GATEWAY,
            calls.OBSERVED_CRASH,
        ),
        (calls.OUTCOME_CROSSED, True): Rule(
            _RETRY,
            _RAN,
            const.STATUS_BAD_GATEWAY,
            '',
        ),
        (calls.OUTCOME_CROSSED, False): Rule(
            _FINAL,
            _RAN,
            const.STATUS_BAD_GATEWAY,
            '',
        ),
        (calls.OUTCOME_LATE, True): _LATE,
        (calls.OUTCOME_LATE, False): _LATE,
        (calls.OUTCOME_CANCELLED, True): _CANCELLED,
        (calls.OUTCOME_CANCELLED, False): _CANCELLED,
    }
)


def find_rule(outcome: str, repeatable: bool) -> Rule:
    """Return the rule of an outcome.

    Raises:
        KeyError: if the outcome is unknown.
    """
    return _RULES[outcome, repeatable]


def is_fault(ended: calls.Result) -> bool:
    """Tell whether the end of an attempt speaks against the target.

    A refusal by the gate only tells that there was no room.
    """
    if ended.outcome == calls.OUTCOME_ANSWERED:
        return ended.status >= const.STATUS_SERVER_ERROR
    return ended.reached


def classify(
    rule: Rule,
    attempt: calls.Result,
    duration_ms: int,
    slow_ms: int,
) -> str:
    """Return what the observer is told of an attempt; empty for nothing.

    A refusal as unhealthy counts, since otherwise a version that cannot
    even start would leave no trace.
    """
    if attempt.reason == const.REASON_UNHEALTHY:
        return calls.OBSERVED_ERROR
    if rule.observed != calls.OBSERVED_OK:
        return rule.observed
    if attempt.status >= const.STATUS_SERVER_ERROR:
        return calls.OBSERVED_ERROR
    if duration_ms > slow_ms:
        return calls.OBSERVED_SLOW
    return rule.observed
