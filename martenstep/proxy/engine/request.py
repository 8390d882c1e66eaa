"""Requests in flight, their attempts, and the table that holds them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from martenstep.proxy import engine_messages as ev
from martenstep.proxy.dependencies import RoutedRequest, UnauthenticatedRequest

if TYPE_CHECKING:  # a gateway without hooks and traces does not load them
    from martenstep.auth import core as auth
    from martenstep.hooks.release_manager import ActiveReleases
    from martenstep.hooks.runner import Runner
    from martenstep.proxy.traces import Trace


RequestLine = tuple[bytes, bytes]  # method and target, by which a request is routed
RequestIds = tuple[str, str]  # the policy id, and the correlation id for logs and endpoints


class Attempt:
    """One attempt of a request, from the policy's StartAttempt to its AttemptEnded."""

    __slots__ = ("endpoint", "headers", "number", "open", "request", "started_at", "status", "streaming", "written")

    def __init__(self, request: InFlightRequest, number: int, endpoint: int, started_at: float) -> None:
        """`number` is the index of the attempt within its request."""
        self.request = request
        self.number, self.endpoint, self.started_at = number, endpoint, started_at
        self.open, self.written, self.streaming = True, False, False
        self.status = 0
        self.headers: ev.Headers = []


# The target of a request as a hook rewrote it, and the headers that the hook set.
UpstreamTarget = tuple[bytes, ev.Headers]


class InFlightRequest:
    """One client request, from its head to the end of its last attempt.

    Times are milliseconds on the driver's clock.
    """

    __slots__ = (
        "active_hooks",
        "arrived_at",
        "attempt",
        "auth_response",
        "correlation_id",
        "credential_digest",
        "deadline",
        "endpoints",
        "finished",
        "hook_record",
        "hook_record_route",
        "hook_runner",
        "may_have_run_since",
        "policy_id",
        "received",
        "replayable",
        "request_id",
        "route",
        "submitted",
        "timed_out",
        "trace",
        "unauthenticated",
        "upstream_target",
    )

    def __init__(
        self,
        received: ev.RequestReceived,
        route: RoutedRequest,
        ids: RequestIds,
        arrived_at: float,
        deadline: float,
    ) -> None:
        """Starts without an attempt, and not yet submitted to the policy."""
        self.request_id = received.request_id
        self.policy_id, self.correlation_id = ids
        self.received, self.route = received, route
        self.arrived_at, self.deadline = arrived_at, deadline
        self.attempt: Attempt | None = None  # the last one
        self.endpoints: list[int] = []  # of all attempts
        self.finished = False  # the final response was sent, or the client has disconnected
        self.submitted = False  # to the policy
        self.timed_out = False
        self.replayable = True  # the whole body is buffered for a further attempt
        self.may_have_run_since: float | None = None  # start of the first attempt that may have been executed
        self.unauthenticated: UnauthenticatedRequest | None = None  # set if a service must identify the customer
        self.auth_response: auth.Answer | None = None
        self.credential_digest = b""
        self.trace: Trace | None = None
        self.active_hooks: ActiveReleases | None = None  # the hooks that were active when it arrived
        self.hook_runner: Runner | None = None  # those of active_hooks that apply to its customer
        self.hook_record: tuple[Any, ...] | None = None  # what hooks receive, cached
        self.hook_record_route: RoutedRequest | None = None  # the route that hook_record was built from
        self.upstream_target: UpstreamTarget | None = None  # for all attempts, once the hook has run


class RequestTable:
    """All requests in flight, by both of their ids."""

    def __init__(self) -> None:
        """Starts empty."""
        self._by_request_id: dict[int, InFlightRequest] = {}
        self._by_policy_id: dict[str, InFlightRequest] = {}

    def __len__(self) -> int:
        return len(self._by_request_id)

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._by_request_id

    def __iter__(self) -> Iterator[InFlightRequest]:
        return iter(list(self._by_request_id.values()))

    def add(self, request: InFlightRequest) -> None:
        """Add a request."""
        self._by_request_id[request.request_id] = self._by_policy_id[request.policy_id] = request

    def remove(self, request: InFlightRequest) -> None:
        """Remove a request, if it is still there."""
        self._by_request_id.pop(request.request_id, None)
        self._by_policy_id.pop(request.policy_id, None)

    def find(self, request_id: int) -> InFlightRequest | None:
        """The request with an id; None if it is no longer in flight."""
        return self._by_request_id.get(request_id)

    def get(self, request_id: int) -> InFlightRequest:
        """The request with an id; raises KeyError if it is no longer in flight."""
        return self._by_request_id[request_id]

    def get_by_policy_id(self, policy_id: str) -> InFlightRequest:
        """The request with a policy id; raises KeyError if it is no longer in flight."""
        return self._by_policy_id[policy_id]

    def find_open_attempt(self, request_id: int, number: int) -> Attempt | None:
        """The attempt with a number, if it is its request's last one and still open; else None."""
        request = self._by_request_id.get(request_id)
        if request is None:
            return None
        attempt = request.attempt
        if attempt is None or attempt.number != number or not attempt.open:
            return None
        return attempt
