"""Headers in which callers and upstreams speak with a node.

Nodes speak with each other in the headers of `adapters.headers`, whatever the
vocabulary.
"""

import abc
import typing

from tornado import httputil

from shallotwharf.adapters import answers, headers
from shallotwharf.core import calls, records


class UpstreamAttempt(records.Record):
    """What an upstream is told of an attempt.

    Attributes:
        attempt: unique id of the attempt.
        deadline_ms: milliseconds that are left.
        retried: whether it is not the first attempt.
        instance: start of the upstream that it is meant for.
    """

    __slots__ = ('attempt', 'deadline_ms', 'retried', 'instance')

    def __init__(
        self,
        attempt: str,
        deadline_ms: int,
        retried: bool,
        instance: str,
    ) -> None:
        self.attempt = attempt
        self.deadline_ms = deadline_ms
        self.retried = retried
        self.instance = instance


class Vocabulary(abc.ABC):
    """Reads and writes the headers of callers and upstreams."""

    __slots__ = ()

    # Whether the body of an upstream's answer may end with its connection.
    may_end_open: typing.ClassVar[bool]

    @abc.abstractmethod
    def read_request(
        self,
        start_line: httputil.RequestStartLine,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> calls.Request:
        """Return a request of a caller or of another node."""

    @abc.abstractmethod
    def mark_origin(self, request_headers: httputil.HTTPHeaders) -> None:
        """Set what the node beside a caller adds to its request."""

    @abc.abstractmethod
    def write_attempt(
        self,
        request_headers: httputil.HTTPHeaders,
        attempt: UpstreamAttempt,
    ) -> None:
        """Set the headers of a request to an upstream."""

    @abc.abstractmethod
    def owns_answer(
        self,
        request_headers: httputil.HTTPHeaders,
        answer_headers: httputil.HTTPHeaders,
    ) -> bool:
        """Tell whether an answer belongs to a request."""

    @abc.abstractmethod
    def read_result(
        self,
        status: int,
        answer_headers: httputil.HTTPHeaders,
    ) -> calls.Result:
        """Return how an attempt ended that an upstream answered."""

    @abc.abstractmethod
    def build_refusal(
        self,
        step: calls.Respond,
        request_headers: httputil.HTTPHeaders,
    ) -> answers.Answer:
        """Return the answer of this node to a caller."""


class StandardVocabulary(Vocabulary):
    """The headers of the product's own interface."""

    __slots__ = ()

    may_end_open = False

    def read_request(
        self,
        start_line: httputil.RequestStartLine,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> calls.Request:
        """Return a request of a caller or of another node."""
        return headers.read_request(start_line, request_headers, body)

    def mark_origin(self, request_headers: httputil.HTTPHeaders) -> None:
        """Add nothing."""

    def write_attempt(
        self,
        request_headers: httputil.HTTPHeaders,
        attempt: UpstreamAttempt,
    ) -> None:
        """Set the headers of an attempt."""
        headers.write_attempt(
            request_headers,
            attempt.attempt,
            attempt.deadline_ms,
            attempt.retried,
        )

    def owns_answer(
        self,
        request_headers: httputil.HTTPHeaders,
        answer_headers: httputil.HTTPHeaders,
    ) -> bool:
        """Take every answer: upstreams need not echo anything."""
        return True

    def read_result(
        self,
        status: int,
        answer_headers: httputil.HTTPHeaders,
    ) -> calls.Result:
        """Return that the upstream answered."""
        return calls.Result(calls.OUTCOME_ANSWERED, '', status)

    def build_refusal(
        self,
        step: calls.Respond,
        request_headers: httputil.HTTPHeaders,
    ) -> answers.Answer:
        """Return the answer of this node to a caller."""
        return answers.build_refusal(step, forwarded=False)
