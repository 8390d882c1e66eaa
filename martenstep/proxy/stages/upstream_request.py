"""The stage that words a request for a server: which of the client's headers go on, and what the door adds."""

from __future__ import annotations

from collections.abc import Collection

from martenstep.config import door_pb2 as pb
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
    """The wording of one door."""

    sends_rate_limits = True

    def __init__(self, door: pb.Door, auth_only: Collection[bytes], auth_copies: Collection[bytes]) -> None:
        """`auth_only`: headers that only an authentication service may say; `auth_copies`: of its answer, those that
        servers are told."""
        upstream, listener = door.upstream, door.listener
        self._via = f"1.1 {door.name}".encode()
        self._name = door.name
        self._id = listener.request_id_header.lower().encode()
        self._attempt = upstream.attempt_header.lower().encode()
        self._key = upstream.key_header.lower().encode()
        self._deadline = listener.deadline_header.lower().encode()
        self._drop = NOT_FORWARDED | {self._id, self._attempt, self._deadline}
        self.own_names = (self._id, self._attempt, self._key, self._deadline)  # headers that are the door's to word
        self._auth_only, self._auth_copies = frozenset(auth_only), frozenset(auth_copies)

    def identity_headers(self, label: str) -> Headers:
        """What every message of the door carries: the request's id, and who passed it on."""
        return [(self._id, label.encode("latin-1", "replace")), (b"via", self._via)]

    def end_to_end_headers(self, headers: Headers) -> Headers:
        """Of the client's headers those that go on: end to end, and none that the door or a service says itself."""
        drop = connection_header_names(headers, self._drop)
        if not self._auth_only:
            return [pair for pair in headers if pair[0] not in drop]
        # Some servers read x_auth_customer as x-auth-customer.
        return [pair for pair in headers if pair[0] not in drop and pair[0].replace(b"_", b"-") not in self._auth_only]

    def copied_auth_headers(self, headers: Headers) -> Headers:
        """Of a service's answer what servers are told."""
        return [pair for pair in headers if pair[0] in self._auth_copies]

    def deadline_header(self, left_ms: float) -> tuple[bytes, bytes]:
        """In whole milliseconds."""
        return self._deadline, f"{left_ms:.0f}".encode()

    def response_headers(self, headers: Headers) -> Headers:
        """Of a server's answer what its client is told: the request's id is the door's to tell."""
        return [pair for pair in end_to_end_headers(headers) if pair[0] != self._id]

    def local_reply(self, reason: str, label: str, wait_ms: float | None) -> tuple[Headers, bytes]:
        """Headers and body of an answer of the door's own."""
        return local_reply(reason, label, wait_ms)

    def request_headers(
        self,
        client: Headers,
        more: Headers,
        given: Headers,
        label: str,
        rid: str,
        attempt: int,
        left_ms: float,
        peer: str,
        traceparent: bytes,
        keyed: bool,
    ) -> Headers:
        """An attempt's headers: the client's, a service's (`more`), a hook's (`given`), and the door's own."""
        made = override_headers(self.end_to_end_headers(client) + more, given)
        made += [*self.identity_headers(label), (self._attempt, b"%d" % attempt), self.deadline_header(left_ms)]
        if traceparent:
            made = [pair for pair in made if pair[0] != b"traceparent"]
            made.append((b"traceparent", traceparent))
        if peer:
            made.append((b"x-forwarded-for", peer.encode()))
        if keyed and get_header(made, self._key) is None:
            made.append((self._key, f"{self._name}-{rid}".encode()))
        return made
