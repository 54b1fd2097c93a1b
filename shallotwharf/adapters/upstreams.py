"""HTTP interface with which an upstream registers with its node.

`PUT /upstream` with a JSON document announces the upstream and may be
repeated, `PUT /upstream/drain` stops new requests to it, `DELETE /upstream`
removes it.
"""

import json
import typing

import voluptuous
from tornado import web

from shallotwharf.core import call_interfaces, errors, schema

_STEP: typing.Final = 'upstream.announce'
_MAX_SLOTS: typing.Final = 10_000
_MAX_PORT: typing.Final = 65_535
_MAX_WARMUP_MS: typing.Final = 600_000
_DEFAULT_WARMUP_MS: typing.Final = 10_000
_STATUS_NO_CONTENT: typing.Final = 204
_STATUS_BAD_REQUEST: typing.Final = 400

_NAME: typing.Final = voluptuous.All(
    str,
    voluptuous.Match(r'\A[A-Za-z0-9][A-Za-z0-9_.-]*\Z'),
)
_UPSTREAM: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('service'): _NAME,
        voluptuous.Required('version'): _NAME,
        voluptuous.Optional('host', default=''): str,
        voluptuous.Required('port'): voluptuous.All(
            int,
            voluptuous.Range(1, _MAX_PORT),
        ),
        voluptuous.Required('slots'): voluptuous.All(
            int,
            voluptuous.Range(1, _MAX_SLOTS),
        ),
        voluptuous.Optional(
            'warmup_ms',
            default=_DEFAULT_WARMUP_MS,
        ): voluptuous.All(int, voluptuous.Range(0, _MAX_WARMUP_MS)),
        voluptuous.Optional('instance', default=''): str,
    },
)

Rules: typing.TypeAlias = list[tuple[str, type[web.RequestHandler], typing.Any]]


def build_rules(registry: call_interfaces.UpstreamRegistry) -> Rules:
    """Return tornado's routing rules for the admin server."""
    arguments = {'registry': registry}
    return [
        ('/upstream', UpstreamHandler, arguments),
        ('/upstream/drain', DrainHandler, arguments),
    ]


class UpstreamHandler(web.RequestHandler):
    """Handles announcement and removal of the upstream."""

    def initialize(self, registry: call_interfaces.UpstreamRegistry) -> None:
        """Set the registry."""
        self._registry = registry

    def put(self) -> None:
        """Announce the upstream."""
        try:
            description = parse_upstream(
                self.request.body,
                self.request.remote_ip or '',
            )
        except (errors.ProtocolError, ExceptionGroup) as error:
            self.set_status(_STATUS_BAD_REQUEST)
            self.finish(json.dumps({'errors': schema.format_errors(error)}))
            return
        self._registry.announce(description)
        self.set_status(_STATUS_NO_CONTENT)

    def delete(self) -> None:
        """Remove the upstream."""
        self._registry.remove()
        self.set_status(_STATUS_NO_CONTENT)


class DrainHandler(web.RequestHandler):
    """Handles the draining of the upstream."""

    def initialize(self, registry: call_interfaces.UpstreamRegistry) -> None:
        """Set the registry."""
        self._registry = registry

    def put(self) -> None:
        """Stop admitting requests for the upstream."""
        self._registry.drain()
        self.set_status(_STATUS_NO_CONTENT)


def parse_upstream(
    text: bytes,
    peer: str,
) -> call_interfaces.UpstreamDescription:
    """Parse the announcement of an upstream.

    An empty host is replaced by the address of the peer.

    Raises:
        ProtocolError: if the text is not JSON.
        ExceptionGroup: of `ProtocolError`, one for each validation error.
    """
    document = schema.check_document(
        _UPSTREAM,
        schema.parse_json(text, errors.ProtocolError, _STEP, peer),
        errors.ProtocolError,
        _STEP,
    )
    document['host'] = document['host'] or peer
    return call_interfaces.UpstreamDescription(**document)
