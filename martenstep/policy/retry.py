"""Retries: how many are afforded, and where a request that may have been executed can go again."""

from __future__ import annotations

from typing import NamedTuple

from martenstep.policy.messages import DeduplicationScope, Endpoint, EndpointFilter, Idempotency, RequestClass

BUDGET_PER_REQUEST = 0.1  # retries: bounds the extra load when much fails at once, ...
BUDGET_PER_REQUEST_WHEN_QUICK = 0.4  # ... but while responses are quick there is capacity for more
MAX_BUDGET = 40.0  # retries that all instances together may save up for the loss of an endpoint, besides one each


class RetryBudget:
    """The retries that this instance may still make."""

    def __init__(self, instances: int) -> None:
        """Begin with all that may be saved up."""
        self._available = self._maximum = 1 + MAX_BUDGET / instances

    def deposit(self, responds_quickly: bool) -> None:
        """Take in a first attempt."""
        share = BUDGET_PER_REQUEST_WHEN_QUICK if responds_quickly else BUDGET_PER_REQUEST
        self._available = min(self._available + share, self._maximum)

    def has_retry(self) -> bool:
        """Whether a retry may be made."""
        return self._available >= 1

    def withdraw(self) -> None:
        """Take in a retry."""
        self._available -= 1


class PossibleExecution(NamedTuple):
    """The first attempt of a request that may have been executed."""

    endpoint: Endpoint
    started_at: float


def may_execute_again(request_class: RequestClass, execution: PossibleExecution, now: float) -> bool:
    """Whether the class allows another attempt after one that may have been executed."""
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    window_end = execution.started_at + request_class.deduplication_window_ms
    return request_class.idempotency is not Idempotency.AT_MOST_ONCE and now < window_end


def retry_filter(request_class: RequestClass, execution: PossibleExecution) -> EndpointFilter:
    """The endpoints that recognise a repetition, where the class allows one; None for all."""
    first = execution.endpoint
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    if request_class.deduplication_scope is DeduplicationScope.ZONE:
        return lambda endpoint: endpoint.zone == first.zone
    if request_class.deduplication_scope is DeduplicationScope.CELL:
        return lambda endpoint: endpoint.cell == first.cell
    return None


def client_may_retry(request_class: RequestClass, execution: PossibleExecution | None) -> bool:
    """Whether a retry by the client is certain to do no harm, so that the request may be rejected."""
    return (
        execution is None
        or request_class.idempotency is Idempotency.IDEMPOTENT
        or (
            request_class.idempotency is Idempotency.KEYED
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
    )
