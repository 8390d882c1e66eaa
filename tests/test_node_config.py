"""The platform's configuration: the limits computed from it, and errors that name the field at fault."""

from __future__ import annotations

import copy
import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.node.config import ConfigError, make_drain_plan, read_config
from martenstep.node.protocol import NodeRequestReader, make_dependencies
from martenstep.policy.messages import Endpoint, EndpointListScope, EndpointState
from martenstep.proxy.engine import Engine
from martenstep.proxy.engine_messages import RequestReceived, Tick
from martenstep.proxy.graceful_shutdown import CLIENT_CLOSE_MS
from tests.node_rig import SETTINGS, endpoint_entry, make_config, raw_config, request


def test_settings_and_limits_are_read_from_the_file() -> None:
    config = make_config()
    assert (config.name, config.seed, config.discovery, config.counter) == (
        "n1",
        0x1F,
        ("127.0.0.1", 8500),
        ("127.0.0.1", 6400),
    )
    assert (config.listener.host, config.listener.port) == ("127.0.0.1", 8081)
    assert config.settings.instances == 3 and config.settings.max_units == 3
    assert config.upstream.connect_ms == 200.0 and config.max_in_flight == 500
    assert config.upstream.idle_ms < 20_000.0, "a backend closes a connection that is idle for 20 s"


def test_all_connections_together_fit_into_the_descriptors() -> None:
    for sockets in (256, 400, 1024):
        config = make_config(limits={"sockets": sockets})
        clients, backends = config.listener.max_connections, config.upstream.all_connections
        assert clients + backends <= sockets - 24, "the counter, discovery and the process itself need descriptors"
        assert clients > sockets / 3, "a third carry requests, and clients without requests connect beside them"
        assert 0 < config.upstream.connections <= backends


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"listen": "127.0.0.1:99999"}, "listen"),
        ({"discovery": 5}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"counter": None}, "counter"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": {"sockets": 5}}, "limits.sockets"),
        ({"limits": []}, "limits"),
        ({"settings": None}, "settings"),
        ({"settings": {**SETTINGS, "classes": [{"name": "read"}]}}, "slo_ms"),
        (
            {"settings": {**SETTINGS, "policy_limits": {**SETTINGS["policy_limits"], "dial_timeout_ms": "x"}}},
            "dial_timeout_ms",
        ),
    ],
)
def test_an_error_names_the_field_at_fault(change: dict[str, Any], field: str) -> None:
    with pytest.raises(ConfigError, match=field):
        read_config(json.dumps(raw_config(**change)))


def test_text_that_is_not_json_is_rejected() -> None:
    with pytest.raises(ConfigError, match="not JSON"):
        read_config("{")


@pytest.mark.parametrize("text", [None, "{", "{}"])
def test_an_unusable_file_ends_the_program_with_status_2_and_one_line(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text, encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-m", "martenstep.node"],
        env={**os.environ, "NODE_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1 and "config.json" in done.stderr


def test_a_gateway_does_not_load_unneeded_packages() -> None:
    unneeded = [
        "google.protobuf",
        "cryptography",
        "opentelemetry",
        "redis",
        "click",
        "martenstep.hooks.runner",
        "martenstep.lab",
        "martenstep.standins",
    ]
    code = f"import sys, martenstep.node.daemon; print([name for name in {unneeded!r} if name in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True)
    assert done.stdout.strip() == "[]"


@pytest.mark.parametrize(
    ("deadlines", "grace"),
    [((200.0,), 900.0), ((500.0, 1870.0), 2570.0), ((3000.0,), 3700.0), ((200.0, 8000.0), 3700.0)],
)
def test_the_drain_plan_ends_before_sigkill(deadlines: tuple[float, ...], grace: float) -> None:
    """SIGKILL follows SIGTERM after the longest deadline, 3 s at most, plus 0.7 s.  A fixed plan of 3.3 s was too long
    for a customer with short deadlines: its gateway was killed with requests in flight."""
    classes = [
        {**SETTINGS["classes"][0], "name": f"c{number}", "deadline_ms": deadline}
        for number, deadline in enumerate(deadlines)
    ]
    plan = make_drain_plan(make_config(settings={**SETTINGS, "classes": classes}).settings)
    assert plan.accept_ms >= 400.0, "clients open new connections for this long"
    assert plan.accept_ms <= plan.serve_ms <= plan.answer_ms <= grace - CLIENT_CLOSE_MS - 100.0


def _paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    yield path
    for key, part in value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ():
        yield from _paths(part, (*path, key))


@pytest.mark.parametrize(
    "wrong", [None, True, -1, 0, 1e999, float("nan"), "", "x", [], [[]], {}, {"a": 1}, 10**400], ids=repr
)
def test_any_value_at_any_path_is_accepted_by_the_gateway_or_rejected_with_a_config_error(wrong: Any) -> None:
    """Neither reading a configuration nor an engine config from an accepted one raises any other exception."""
    whole = raw_config(known={"rev": 3, "all": True, "targets": [endpoint_entry("s-a")]})
    for path in _paths(whole):
        changed = copy.deepcopy(whole)
        at: Any = changed
        for key in path[:-1]:
            at = at[key]
        if path:
            at[path[-1]] = wrong
        else:
            changed = wrong
        try:
            config = read_config(json.dumps(changed))
        except ConfigError as error:
            assert str(error), "the text names the fault"
            continue
        reader = NodeRequestReader(config.settings, lambda: 0.0)
        engine = Engine(make_dependencies(config, reader), config.seed)
        engine.handle(
            0.0,
            EndpointListEvent(
                EndpointListScope.CACHED, (Endpoint(1, "north", "m", 0, EndpointState.UP),), {1: ("127.0.0.1", 1)}
            ),
        )
        for number, plan in enumerate(config.settings.plans):
            head = request(number, X_Plan=plan.name).split("\r\n")[1:-2]
            headers = [(name.lower().encode(), value.encode()) for name, value in (one.split(": ") for one in head)]
            engine.handle(1.0, RequestReceived(number, b"GET", b"/read/00000000000000a1", headers, ""))
        engine.handle(20_000.0, Tick())
        engine.stop(30_000.0)
        assert engine.unanswered == 0
