"""The platform's configuration: what is made of it, and that a fault in it is named."""

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
from tests.node_rig import SETTINGS, config, raw, request, target


def test_settings_and_limits_are_taken_from_the_file() -> None:
    made = config()
    assert (made.name, made.seed, made.discovery, made.counter) == (
        "n1",
        0x1F,
        ("127.0.0.1", 8500),
        ("127.0.0.1", 6400),
    )
    assert (made.listener.host, made.listener.port) == ("127.0.0.1", 8081)
    assert made.settings.instances == 3 and made.settings.max_units == 3
    assert made.upstream.connect_ms == 200.0 and made.max_in_flight == 500
    assert made.upstream.idle_ms < 20_000.0, "a backend closes what idles so long"


def test_what_is_held_at_once_fits_into_the_descriptors() -> None:
    for sockets in (256, 400, 1024):
        made = config(limits={"sockets": sockets})
        clients, backends = made.listener.max_connections, made.upstream.all_connections
        assert clients + backends <= sockets - 24, "the counter, discovery and the process itself need some"
        assert clients > sockets / 3, "so many are held for requests, and strays come beside them"
        assert 0 < made.upstream.connections <= backends


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
def test_a_fault_is_named_by_its_field(change: dict[str, Any], field: str) -> None:
    with pytest.raises(ConfigError, match=field):
        read_config(json.dumps(raw(**change)))


def test_what_is_no_json_is_told() -> None:
    with pytest.raises(ConfigError, match="not JSON"):
        read_config("{")


@pytest.mark.parametrize("text", [None, "{", "{}"])
def test_the_program_ends_with_2_and_one_line(tmp_path: Path, text: str | None) -> None:
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


def test_a_front_door_loads_only_what_it_needs() -> None:
    heavy = [
        "google.protobuf",
        "cryptography",
        "opentelemetry",
        "redis",
        "click",
        "martenstep.hooks.runner",
        "martenstep.lab",
        "martenstep.standins",
    ]
    code = f"import sys, martenstep.node.daemon; print([name for name in {heavy!r} if name in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True)
    assert done.stdout.strip() == "[]"


@pytest.mark.parametrize(
    ("deadlines", "grace"),
    [((200.0,), 900.0), ((500.0, 1870.0), 2570.0), ((3000.0,), 3700.0), ((200.0, 8000.0), 3700.0)],
)
def test_a_stop_keeps_to_the_time_that_the_platform_leaves(deadlines: tuple[float, ...], grace: float) -> None:
    """SIGKILL comes the longest deadline, 3 s at most, and 0.7 s after SIGTERM; by the fixed 3.3 s a door of a customer
    with short deadlines was killed with requests in its hands."""
    classes = [
        {**SETTINGS["classes"][0], "name": f"c{number}", "deadline_ms": deadline}
        for number, deadline in enumerate(deadlines)
    ]
    leaving = make_drain_plan(config(settings={**SETTINGS, "classes": classes}).settings)
    assert leaving.accept_ms >= 400.0, "new connections come for so long"
    assert leaving.accept_ms <= leaving.serve_ms <= leaving.answer_ms <= grace - CLIENT_CLOSE_MS - 100.0


def _spots(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    yield path
    for key, part in value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ():
        yield from _spots(part, (*path, key))


@pytest.mark.parametrize(
    "wrong", [None, True, -1, 0, 1e999, float("nan"), "", "x", [], [[]], {}, {"a": 1}, 10**400], ids=repr
)
def test_whatever_stands_at_any_place_is_taken_or_named_and_the_door_can_be_made(wrong: Any) -> None:
    """No other exception comes out of a configuration, nor out of what is made of one that was taken."""
    whole = raw(known={"rev": 3, "all": True, "targets": [target("s-a")]})
    for spot in _spots(whole):
        changed = copy.deepcopy(whole)
        at: Any = changed
        for key in spot[:-1]:
            at = at[key]
        if spot:
            at[spot[-1]] = wrong
        else:
            changed = wrong
        try:
            made = read_config(json.dumps(changed))
        except ConfigError as error:
            assert str(error), "names what is wrong"
            continue
        requests = NodeRequestReader(made.settings, lambda: 0.0)
        engine = Engine(make_dependencies(made, requests), made.seed)
        engine.handle(
            0.0,
            EndpointListEvent(
                EndpointListScope.CACHED, (Endpoint(1, "north", "m", 0, EndpointState.UP),), {1: ("127.0.0.1", 1)}
            ),
        )
        for number, plan in enumerate(made.settings.plans):
            head = request(number, X_Plan=plan.name).split("\r\n")[1:-2]
            headers = [(name.lower().encode(), value.encode()) for name, value in (one.split(": ") for one in head)]
            engine.handle(1.0, RequestReceived(number, b"GET", b"/read/00000000000000a1", headers, ""))
        engine.handle(20_000.0, Tick())
        engine.stop(30_000.0)
        assert engine.unanswered == 0
