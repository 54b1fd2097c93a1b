"""Header formats of callers and upstreams.

Between nodes the headers of `adapters.headers` are used, independent of the
format.
"""

import abc
import typing

from tornado import httputil

from shallotwharf.adapters import headers, responses
from shallotwharf.core import call_interfaces, calls, records


class UpstreamAttempt(records.Record):
    """Attempt that is sent to an upstream.

    Attributes:
        attempt: unique id of the attempt.
        deadline_ms: time left until the deadline in milliseconds.
        retried: whether it is not the first attempt.
        instance: identifier of the start of the upstream that it is meant for.
        tenant: name of the caller's tenant; empty if it has none.
    """

    __slots__ = ('attempt', 'deadline_ms', 'retried', 'instance', 'tenant')

    def __init__(
        self,
        attempt: str,
        deadline_ms: int,
        retried: bool,
        instance: str,
        tenant: str = '',
    ) -> None:
        self.attempt = attempt
        self.deadline_ms = deadline_ms
        self.retried = retried
        self.instance = instance
        self.tenant = tenant


class HeaderFormat(abc.ABC):
    """Encoding and decoding of the headers of callers and upstreams."""

    __slots__ = ()

    # Whether the close of the connection may delimit a response body.
    allows_eof_body: typing.ClassVar[bool]
    # Whether upstreams may state notices in their responses.
    has_notices: typing.ClassVar[bool]

    @abc.abstractmethod
    def read_request(
        self,
        start_line: httputil.RequestStartLine,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> calls.Request:
        """Parse a request of a caller or of another node."""

    @abc.abstractmethod
    def mark_origin(self, request_headers: httputil.HTTPHeaders) -> None:
        """Set the headers that the first node adds to a caller's request.

        Removes the caller's key, which must not leave the node, and a name of
        a tenant that the caller stated.
        """

    @abc.abstractmethod
    def write_attempt(
        self,
        request_headers: httputil.HTTPHeaders,
        attempt: UpstreamAttempt,
    ) -> None:
        """Set the headers of a request to an upstream."""

    @abc.abstractmethod
    def find_request_id(self, request_headers: httputil.HTTPHeaders) -> str:
        """Return the id that upstreams echo, the same in each retry.

        Empty if there is none.
        """

    @abc.abstractmethod
    def match_response(
        self,
        request_headers: httputil.HTTPHeaders,
        response_headers: httputil.HTTPHeaders,
    ) -> responses.Match:
        """Return whether a response belongs to a request."""

    @abc.abstractmethod
    def mark_probe(
        self, request_headers: httputil.HTTPHeaders, number: int
    ) -> None:
        """Set the headers of a request to the health path of an upstream."""

    @abc.abstractmethod
    def read_health(
        self,
        response_headers: httputil.HTTPHeaders,
        instance: str,
    ) -> call_interfaces.HealthAnswer:
        """Return what an instance states in its health response.

        Nothing if the response is not from the instance.
        """

    @abc.abstractmethod
    def read_result(
        self,
        status: int,
        response_headers: httputil.HTTPHeaders,
    ) -> calls.Result:
        """Return the result of an attempt from the upstream's response."""

    @abc.abstractmethod
    def build_refusal(
        self,
        step: calls.Respond,
        request_headers: httputil.HTTPHeaders,
    ) -> responses.Response:
        """Build the response of this node to a refused call."""


class StandardHeaderFormat(HeaderFormat):
    """Header format of the product's standard interface."""

    __slots__ = ()

    allows_eof_body = False
    has_notices = False

    def read_request(
        self,
        start_line: httputil.RequestStartLine,
        request_headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> calls.Request:
        """Parse a request of a caller or of another node."""
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

    def find_request_id(self, request_headers: httputil.HTTPHeaders) -> str:
        """Return no id, because upstreams need not echo one."""
        return ''

    def match_response(
        self,
        request_headers: httputil.HTTPHeaders,
        response_headers: httputil.HTTPHeaders,
    ) -> responses.Match:
        """Accept every response, because upstreams need not echo an id.

        Connections are reused all the same: upstreams of this interface are
        expected to send one response to each request.
        """
        return responses.Match.PROVED

    def mark_probe(
        self, request_headers: httputil.HTTPHeaders, number: int
    ) -> None:
        """Set no headers."""

    def read_health(
        self,
        response_headers: httputil.HTTPHeaders,
        instance: str,
    ) -> call_interfaces.HealthAnswer:
        """Return nothing: health responses have no headers of their own."""
        return call_interfaces.UNKNOWN_HEALTH

    def read_result(
        self,
        status: int,
        response_headers: httputil.HTTPHeaders,
    ) -> calls.Result:
        """Return the outcome `answered` with the status."""
        return calls.Result(calls.OUTCOME_ANSWERED, '', status)

    def build_refusal(
        self,
        step: calls.Respond,
        request_headers: httputil.HTTPHeaders,
    ) -> responses.Response:
        """Build the response of this node to a refused call."""
        return responses.build_refusal(step, forwarded=False)
