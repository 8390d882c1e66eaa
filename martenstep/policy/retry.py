"""Retries: the budget that bounds them, and which endpoints may get a request that may have been executed."""

from __future__ import annotations

from typing import NamedTuple

from martenstep.policy.messages import DeduplicationScope, Endpoint, EndpointFilter, Idempotency, RequestClass

# The first attempt of a request adds this many retries to the budget, which bounds the extra load when many attempts
# fail at once.
RETRIES_PER_REQUEST = 0.1
# While responses are quick, the first attempt of a request adds this many retries to the budget, because the endpoints
# then have capacity for more retries.
RETRIES_PER_REQUEST_WHEN_QUICK = 0.4
# All instances together may save up this many retries for the loss of an endpoint; each instance may save up one more.
MAX_FLEET_RETRIES = 40.0


class RetryBudget:
    """The number of retries that this instance may still make."""

    def __init__(self, instances: int) -> None:
        """Begin with a full budget."""
        self._available = self._maximum = 1 + MAX_FLEET_RETRIES / instances

    def deposit(self, responds_quickly: bool) -> None:
        """Add what the first attempt of a request earns."""
        earned = RETRIES_PER_REQUEST_WHEN_QUICK if responds_quickly else RETRIES_PER_REQUEST
        self._available = min(self._available + earned, self._maximum)

    def has_retry(self) -> bool:
        """Return whether a retry may be made."""
        return self._available >= 1

    def withdraw(self) -> None:
        """Subtract a retry that is made."""
        self._available -= 1


class PossibleExecution(NamedTuple):
    """The first attempt of a request that may have been executed."""

    endpoint: Endpoint
    started_at: float


def may_execute_again(request_class: RequestClass, execution: PossibleExecution, now: float) -> bool:
    """Return whether the class allows another attempt after one that may have been executed."""
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    window_end = execution.started_at + request_class.deduplication_window_ms
    return request_class.idempotency is not Idempotency.AT_MOST_ONCE and now < window_end


def retry_filter(request_class: RequestClass, execution: PossibleExecution) -> EndpointFilter:
    """Return the filter of the endpoints that may get a repetition, for a class that allows one; None for all.

    A request that is not idempotent may only be repeated at endpoints that recognise its idempotency key.
    """
    first = execution.endpoint
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    if request_class.deduplication_scope is DeduplicationScope.ZONE:
        return lambda endpoint: endpoint.zone == first.zone
    if request_class.deduplication_scope is DeduplicationScope.CELL:
        return lambda endpoint: endpoint.cell == first.cell
    return None


def client_may_retry(request_class: RequestClass, execution: PossibleExecution | None) -> bool:
    """Return whether a retry by the client is certain to do no harm, so that the request may be rejected."""
    return (
        execution is None
        or request_class.idempotency is Idempotency.IDEMPOTENT
        or (
            request_class.idempotency is Idempotency.KEYED
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
    )
