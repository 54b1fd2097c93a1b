"""Decision table for the end of an attempt."""

import types
import typing

from shallotwharf.components.call import const
from shallotwharf.core import calls, records


class Rule(records.Record):
    """Consequences of the outcome of an attempt.

    Attributes:
        retry: whether the request may be sent again.
        not_run: whether the attempt certainly did not run.
        status: HTTP status of a refusal; 0 to relay the response.
        observed: outcome reported to the observer; empty for none.
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
# A deadline may be shorter than the pool's limit for slow responses, so a late
# attempt counts as an error: otherwise a version that never responds would not
# show as failing.
_LATE = Rule(_FINAL, _RAN, const.STATUS_TIMEOUT, calls.OBSERVED_ERROR)
_CANCELLED = Rule(_FINAL, _RAN, const.STATUS_TIMEOUT, '')

# By outcome, and whether the request may safely run twice.
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
    """Return the rule for an outcome.

    Raises:
        KeyError: if the outcome is unknown.
    """
    return _RULES[outcome, repeatable]


def is_failure(ended: calls.Result) -> bool:
    """Return whether an attempt counts as a failure of the target.

    A refusal by the gate does not: it only means that there was no room.
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
    """Return the outcome to report to the observer; empty for none.

    A refusal as unhealthy counts as an error, because a version that cannot
    even start would otherwise not be observed at all.
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
