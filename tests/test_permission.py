"""Whether an attempt may be begun, and a connection closed, at this very moment."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from martenstep.policy.messages import Idempotency
from martenstep.proxy.permission import AttemptFacts, Denial, may_begin, may_close

ALLOWED = AttemptFacts(
    now=100.0,
    deadline=200.0,
    settled=False,
    ended=False,
    current=True,
    server_listed=True,
    effect=Idempotency.IDEMPOTENT,
    risk_at=None,
    window_ms=50.0,
)


@pytest.mark.parametrize(
    ("changed", "denial"),
    [
        ({}, None),
        ({"settled": True}, Denial.ANSWERED),
        ({"ended": True}, Denial.ENDED),
        ({"current": False}, Denial.ANOTHER_OUT),
        ({"now": 200.0}, Denial.NO_TIME),
        ({"server_listed": False}, Denial.NOT_LISTED),
        ({"risk_at": 10.0}, None),
        ({"effect": Idempotency.AT_MOST_ONCE}, None),
        ({"effect": Idempotency.AT_MOST_ONCE, "risk_at": 99.0}, Denial.EFFECT),
        ({"effect": Idempotency.KEYED, "risk_at": 51.0}, None),
        ({"effect": Idempotency.KEYED, "risk_at": 50.0}, Denial.WINDOW_OVER),
    ],
)
def test_an_attempt_is_begun_only_where_each_rule_allows_it(changed: dict[str, Any], denial: Denial | None) -> None:
    assert may_begin(replace(ALLOWED, **changed)) is denial


@pytest.mark.parametrize(
    ("request_open", "read", "waiting", "denial"),
    [
        (False, False, False, None),
        (True, False, False, Denial.REQUEST_OPEN),
        (False, True, False, Denial.BYTES_WAITING),
        (False, False, True, Denial.BYTES_WAITING),
    ],
)
def test_a_connection_is_closed_only_where_nothing_is_owed(
    request_open: bool, read: bool, waiting: bool, denial: Denial | None
) -> None:
    assert may_close(request_open, read, waiting) is denial
