"""Builds the headers of attempts and responses: which received headers are forwarded, and which are added."""

from __future__ import annotations

from collections.abc import Collection

from martenstep.config import door_pb2 as pb
from martenstep.proxy.dependencies import UpstreamRequest
from martenstep.proxy.engine_messages import Headers
from martenstep.proxy.headers import (
    NOT_FORWARDED,
    connection_header_names,
    end_to_end_headers,
    get_header,
    local_reply,
    override_headers,
)


class GatewayMessageBuilder:
    """Builds the messages of one gateway from its settings."""

    sends_rate_limits = True

    def __init__(self, gateway_settings: pb.Door, auth_only: Collection[bytes], auth_copies: Collection[bytes]) -> None:
        """`auth_only`: headers that only an authentication service may set.

        `auth_copies`: headers of the authentication service's response that are sent to endpoints.
        """
        upstream, listener = gateway_settings.upstream, gateway_settings.listener
        self._via = f"1.1 {gateway_settings.name}".encode()
        self._id_header = listener.request_id_header.lower().encode()
        self._attempt_header = upstream.attempt_header.lower().encode()
        self._key_header = upstream.key_header.lower().encode()
        self._deadline_header = listener.deadline_header.lower().encode()
        self._not_forwarded = NOT_FORWARDED | {self._id_header, self._attempt_header, self._deadline_header}
        # Headers that the gateway decides by, and endpoints as well: no client can have them removed by its Connection.
        customer_headers = (route.customer_header.lower().encode() for route in gateway_settings.route)
        self._always_forwarded = frozenset((self._key_header, *customer_headers))
        # Headers that only the gateway itself sets.
        self.gateway_header_names = (self._id_header, self._attempt_header, self._key_header, self._deadline_header)
        self.auth_only, self._auth_copies = frozenset(auth_only), frozenset(auth_copies)

    def identity_headers(self, correlation_id: str) -> Headers:
        """The headers that every message of the gateway carries: the request id, and Via with the gateway's name."""
        return [(self._id_header, correlation_id.encode("latin-1", "replace")), (b"via", self._via)]

    def forwarded_headers(self, headers: Headers) -> Headers:
        """The client's headers that are forwarded.

        Hop-by-hop headers and those that the gateway or an authentication service sets are left out.
        """
        excluded = connection_header_names(headers, self._not_forwarded)
        if excluded is not self._not_forwarded:
            excluded -= self._always_forwarded - self._not_forwarded
        if not self.auth_only:
            return [pair for pair in headers if pair[0] not in excluded]
        # Some servers treat x_auth_customer as x-auth-customer, so underscores are compared as hyphens.
        auth_only = self.auth_only
        return [pair for pair in headers if pair[0] not in excluded and pair[0].replace(b"_", b"-") not in auth_only]

    def copied_auth_headers(self, headers: Headers) -> Headers:
        """The headers of an authentication service's response that are sent to endpoints."""
        return [pair for pair in headers if pair[0] in self._auth_copies]

    def deadline_header(self, remaining_ms: float) -> tuple[bytes, bytes]:
        """The header that states how long the gateway still waits for the response, in whole milliseconds."""
        return self._deadline_header, f"{remaining_ms:.0f}".encode()

    def response_headers(self, headers: Headers) -> Headers:
        """The headers of an endpoint's response that are sent to the client; only the gateway sets the request id."""
        return [pair for pair in end_to_end_headers(headers) if pair[0] != self._id_header]

    def local_reply(self, reason: str, correlation_id: str, retry_after_ms: float | None) -> tuple[Headers, bytes]:
        """Headers and body of a response that the gateway itself makes."""
        return local_reply(reason, correlation_id, retry_after_ms)

    def request_headers(self, request: UpstreamRequest) -> Headers:
        """The headers of an attempt: from the client, an authentication service, a hook, and the gateway itself."""
        forwarded = self.forwarded_headers(request.client_headers) + request.auth_headers
        headers = override_headers(forwarded, request.hook_headers)
        headers += [
            *self.identity_headers(request.correlation_id),
            (self._attempt_header, b"%d" % request.attempt),
            self.deadline_header(request.remaining_ms),
        ]
        if request.traceparent:
            headers = [pair for pair in headers if pair[0] != b"traceparent"]
            headers.append((b"traceparent", request.traceparent))
        if request.client_address:
            headers.append((b"x-forwarded-for", request.client_address.encode()))
        if request.uses_idempotency_key and get_header(headers, self._key_header) is None:
            headers.append((self._key_header, request.unique_id.encode()))
        return headers
