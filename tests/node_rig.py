"""A platform configuration, endpoint entries and request heads for tests.  The figures are chosen for the tests."""

from __future__ import annotations

import json
from typing import Any

from martenstep.node.config import Config, read_config

SETTINGS: dict[str, Any] = {
    "me": 1,
    "instances": 3,
    "zone": "north",
    "tick_ms": 2.0,
    "classes": [
        {"name": "read", "slo_ms": 800.0, "deadline_ms": 3000.0, "idempotency": "idempotent"},
        {
            "name": "book",
            "slo_ms": 900.0,
            "deadline_ms": 2500.0,
            "idempotency": "deduplicated",
            "group": "all",
            "window_ms": 4000.0,
        },
    ],
    "contracts": [
        {"name": "small", "units_per_s": 1.0, "most_at_once": 4.0, "beyond_costs": 0.5},
        {"name": "free"},
    ],
    "family_info": {"has_counter": True, "counter_timeout_ms": 40.0, "max_units": 3},
    "policy_limits": {
        "try_limit": 3,
        "cancelling": True,
        "conn_idle_ms": 20_000.0,
        "dial_timeout_ms": 200.0,
        "max_open": 500,
        "retry_after": True,
        "max_retry_after_ms": 700.0,
    },
    "rules": {"answer_slack_ms": 10.0},
}
CACHED_LIST: dict[str, Any] = {"rev": 3, "all": True, "targets": []}


def raw_config(**overrides: Any) -> dict[str, Any]:
    """Return a configuration as decoded JSON; `overrides` replaces or adds top-level keys."""
    return {
        "name": "n1",
        "listen": "127.0.0.1:8081",
        "discovery": "127.0.0.1:8500",
        "seed": "1f",
        "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 400},
        "counter": "127.0.0.1:6400",
        "known": CACHED_LIST,
        "settings": SETTINGS,
        **overrides,
    }


def make_config(**overrides: Any) -> Config:
    """Return the same configuration as read by the gateway."""
    return read_config(json.dumps(raw_config(**overrides)))


def endpoint_entry(uid: str, port: int = 1, **overrides: Any) -> dict[str, Any]:
    """Return one endpoint in discovery's JSON form; `overrides` replaces or adds keys."""
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "north",
        "model": "m",
        "pod_group": 0,
        "state": "ready",
        "capacity_hint": 1.0,
        "boot_ms": 0,
        **overrides,
    }


def request(
    number: int,
    class_name: str = "read",
    customer: str = "00000000000000a1",
    method: str = "GET",
    body: str = "",
    **replaced: str | None,
) -> str:
    """Return a request in the platform's protocol; `replaced` replaces or adds headers, or removes them (None)."""
    headers: dict[str, str | None] = {
        "Host": "svc",
        "X-Trace-Id": f"{number:016x}",
        "X-Qos": class_name,
        "X-Plan": "free",
        "X-Expires-In-Ms": "2000",
        "X-Quota": "units=1,spread=3,first=0",
    }
    if method == "POST":
        headers |= {"Idempotency-Key": f"k{number}", "Content-Length": str(len(body))}
    headers |= {name.replace("_", "-"): value for name, value in replaced.items()}
    lines = [f"{name}: {value}\r\n" for name, value in headers.items() if value is not None]
    return f"{method} /{class_name}/{customer} HTTP/1.1\r\n{''.join(lines)}\r\n{body}"
