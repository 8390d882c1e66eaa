"""What `run` loads: nothing that starts programs, no part of the product that the platform has no room for."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib

from martenstep.config.generate import ROOT

ALLOWED = {
    "martenstep",
    "martenstep.auth",
    "martenstep.auth.core",
    "martenstep.backoff",
    "martenstep.decide",
    "martenstep.interface",
    "martenstep.members",
    "martenstep.members.lists",
    "martenstep.members.start_times",
    "martenstep.wirehost",
    "martenstep.door",
    "martenstep.door.driver",
    "martenstep.door.engine",
    "martenstep.door.events",
    "martenstep.door.http",
    "martenstep.door.listener",
    "martenstep.door.loop_lag",
    "martenstep.door.parts",
    "martenstep.door.permission",
    "martenstep.door.step_watch",
    "martenstep.door.targets",
    "martenstep.door.verdicts",
    "martenstep.door.wires",
    "martenstep.door.wire",
    "martenstep.door.wire.answering",
    "martenstep.door.wire.asking",
    "martenstep.door.wire.bodies",
    "martenstep.door.wire.heads",
    "martenstep.door.wire.readers",
    "martenstep.door.wire.writing",
    "martenstep.node",
    "martenstep.node.config",
    "martenstep.node.counter",
    "martenstep.node.daemon",
    "martenstep.node.discovery",
    "martenstep.node.pending_signals",
    "martenstep.node.protocol",
    "martenstep.quota",
    "martenstep.tasks",
}
LIBRARIES = {"h11", "httptools", "msgspec", "typing_extensions"}  # the last by msgspec, where a developer has it
LOOK = (
    "import json, sys, martenstep.node.daemon\n"
    "own = [name for name in sys.modules if name.partition('.')[0] == 'martenstep']\n"
    "outside = {name.partition('.')[0] for name, module in sys.modules.items() "
    "if 'site-packages' in (getattr(module, '__file__', None) or '')}\n"
    "print(json.dumps([own, sorted(outside), 'multiprocessing' in sys.modules]))"
)


def test_run_loads_no_more_than_it_needs() -> None:
    done = subprocess.run([sys.executable, "-c", LOOK], capture_output=True, text=True, cwd=ROOT, check=True)
    own, outside, forks = json.loads(done.stdout)
    assert set(own) - ALLOWED == set()
    assert {name for name in outside if not name.startswith(("_", "sitecustom"))} - LIBRARIES == set()
    assert not forks


def test_run_ends_by_exec_in_the_one_program_that_is_its_own() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert deploy["run"] == "exec .venv/bin/python -m martenstep.node"
    assert set(deploy["node"]) == {"martenstep/node", "martenstep/door"}
