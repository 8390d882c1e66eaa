"""The checks made immediately before an attempt is written or a client connection is closed."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from martenstep.policy.messages import Idempotency
from martenstep.proxy.permission import AttemptFacts, Denial, may_begin, may_close

ALLOWED = AttemptFacts(
    now=100.0,
    deadline=200.0,
    request_finished=False,
    gateway_stopped=False,
    is_current=True,
    endpoint_accepts=True,
    idempotency=Idempotency.IDEMPOTENT,
    may_have_run_since=None,
    deduplication_window_ms=50.0,
)


@pytest.mark.parametrize(
    ("changed", "denial"),
    [
        ({}, None),
        ({"request_finished": True}, Denial.ANSWERED),
        ({"gateway_stopped": True}, Denial.ENDED),
        ({"is_current": False}, Denial.ANOTHER_OUT),
        ({"now": 200.0}, Denial.NO_TIME),
        ({"endpoint_accepts": False}, Denial.NOT_LISTED),
        ({"may_have_run_since": 10.0}, None),
        ({"idempotency": Idempotency.AT_MOST_ONCE}, None),
        ({"idempotency": Idempotency.AT_MOST_ONCE, "may_have_run_since": 99.0}, Denial.EFFECT),
        ({"idempotency": Idempotency.KEYED, "may_have_run_since": 51.0}, None),
        ({"idempotency": Idempotency.KEYED, "may_have_run_since": 50.0}, Denial.WINDOW_OVER),
    ],
)
def test_an_attempt_may_be_written_only_if_every_rule_allows_it(changed: dict[str, Any], denial: Denial | None) -> None:
    assert may_begin(replace(ALLOWED, **changed)) is denial


@pytest.mark.parametrize(
    ("request_open", "bytes_read", "bytes_waiting", "denial"),
    [
        (False, False, False, None),
        (True, False, False, Denial.REQUEST_OPEN),
        (False, True, False, Denial.BYTES_WAITING),
        (False, False, True, Denial.BYTES_WAITING),
    ],
)
def test_a_connection_may_be_closed_only_without_an_open_request_or_unread_bytes(
    request_open: bool, bytes_read: bool, bytes_waiting: bool, denial: Denial | None
) -> None:
    assert may_close(request_open, bytes_read, bytes_waiting) is denial
