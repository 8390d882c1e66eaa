"""Workers and their supervisor: restarts, giving up, settings for all or none, and what a process manager is told."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
from collections.abc import AsyncIterator, Coroutine
from pathlib import Path
from typing import Any

import pytest

from martenstep.config import door_pb2 as pb
from martenstep.config.loading import load_door, parse_door
from martenstep.config.text_format import SettingsError
from martenstep.hooks import release_files
from martenstep.supervise import protocol as frames
from martenstep.supervise import resources
from martenstep.supervise.pid_file import PidFile, PidFileLockedError
from martenstep.supervise.process_manager import Notifier
from martenstep.supervise.reloader import Reloader, ReloadTarget
from martenstep.supervise.restart_policy import (
    CRASH_LOOP_DELAY_MS,
    CRASH_LOOP_EXITS,
    MAX_DELAY_MS,
    MAX_STARTUP_FAILURES,
    STABLE_AFTER_MS,
    GiveUp,
    RestartAt,
    RestartPolicy,
)
from martenstep.supervise.supervisor import Supervisor
from martenstep.supervise.worker_settings import build_worker_settings
from tests.engine_rig import gateway_settings
from tests.hook_rig import words

ASKED = """
name: "door-0" instance: 1 instances: 3 zone: "a" max_units: 4 stop_ms: 2000
forward_auth {}
admin {}
class { name: "read" aim_ms: 1000 deadline_ms: 4000 }
plan { name: "plain" rate: 0.001 burst: 5 }
plan { name: "open" }
customer { key: "anna" plan: "plain" }
customer { key: "free" plan: "open" }
route { name: "read" path_prefix: "/read/" class: "read" customer_header: "x-customer" }
"""
BOUND_S = 60.0  # a fault ends a test; no verdict rests on it


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test's coroutine."""

    async def bounded() -> None:
        async with asyncio.timeout(BOUND_S):
            await test

    asyncio.run(bounded())


# Restarts -----------------------------------------------------------------------------------------------


def test_waits_grow_from_death_to_death_and_begin_anew_after_a_steady_life() -> None:
    made = RestartPolicy(2, random.Random(1))
    made.on_ready(0.0, 1)
    waits = []
    for number in range(CRASH_LOOP_EXITS - 1):
        made.on_ready(1000.0 * number, 0)
        decided = made.on_exit(1000.0 * number, 0, "signal SIGKILL")
        assert isinstance(decided, RestartAt) and not decided.crash_loop
        waits.append(decided.at_ms - 1000.0 * number)
    assert waits[0] <= 150 and waits[-1] > 1000 and max(waits) <= 1.5 * MAX_DELAY_MS
    flapping = made.on_exit(9000.0, 0, "signal SIGKILL")
    assert flapping == RestartAt(9000.0 + CRASH_LOOP_DELAY_MS, True)
    made.on_ready(50_000.0, 0)
    decided = made.on_exit(50_000.0 + STABLE_AFTER_MS, 0, "signal SIGKILL")
    assert (
        isinstance(decided, RestartAt) and not decided.crash_loop and decided.at_ms - 50_000.0 - STABLE_AFTER_MS <= 150
    )


def test_the_whole_is_given_up_only_where_none_serves_and_none_ever_did() -> None:
    made = RestartPolicy(2, random.Random(1))
    for _ in range(MAX_STARTUP_FAILURES + 2):
        assert isinstance(made.on_exit(0.0, 0, "exit code 1"), RestartAt)  # the other may still come
    for _ in range(MAX_STARTUP_FAILURES - 1):
        assert isinstance(made.on_exit(0.0, 1, "exit code 1"), RestartAt)
    assert isinstance(made.on_exit(0.0, 1, "exit code 1"), GiveUp)
    serving = RestartPolicy(2, random.Random(1))
    serving.on_ready(0.0, 1)
    for _ in range(50):
        assert isinstance(serving.on_exit(0.0, 0, "exit code 1"), RestartAt)


def test_workers_are_instances_of_their_own() -> None:
    door = gateway_settings(
        "workers { count: 4 } admin { port: 9000 } "
        'customer { key: "part" plan: "open" first_door: 1 doors: 1 }'
        'hooks { directory: "h" history: "h.jsonl" }'
    )
    door.instance = 1
    made = [build_worker_settings(door, number) for number in range(4)]
    assert [one.instance for one in made] == [4, 5, 6, 7] and {one.instances for one in made} == {8}
    assert [one.admin.port for one in made] == [9000, 9001, 9002, 9003]
    part = made[0].customer[-1]
    assert (part.first_door, part.doors) == (4, 4) and made[0].customer[0].doors == 0
    assert made[2].name == "door-0.2" and made[2].hooks.history == "h.jsonl.2" and not made[2].HasField("workers")
    assert made[0].upstream.connections == 16 and door.workers.count == 4


# The machine and the process manager --------------------------------------------------------------------


def test_a_process_manager_is_told_by_datagrams(tmp_path: Path) -> None:
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as heard:
        heard.bind(str(tmp_path / "n"))
        heard.settimeout(5)
        made = Notifier(
            {"NOTIFY_SOCKET": str(tmp_path / "n"), "WATCHDOG_USEC": "4000000", "WATCHDOG_PID": str(os.getpid())}
        )
        assert made.watchdog_s == 2.0 and made.notify(READY=1, STATUS="well\nREADY=0")
        assert heard.recv(1000) == b"READY=1\nSTATUS=well\n"
    assert not made.notify(READY=1)  # nobody listens any more
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as heard:
        name = f"martenstep-{os.getpid()}"
        heard.bind("\0" + name)
        heard.settimeout(5)
        assert Notifier({"NOTIFY_SOCKET": "@" + name}).notify(STOPPING=1) and heard.recv(100) == b"STOPPING=1\n"
    assert not Notifier({}).notify(READY=1) and not Notifier({"NOTIFY_SOCKET": "vsock:1:2"}).notify(READY=1)
    assert Notifier({"NOTIFY_SOCKET": "/x", "WATCHDOG_USEC": "many"}).watchdog_s == 0
    assert Notifier({"NOTIFY_SOCKET": "/x", "WATCHDOG_USEC": "1000", "WATCHDOG_PID": "1"}).watchdog_s == 0


def test_a_pid_file_bars_a_second_and_a_dead_ones_bars_nobody(tmp_path: Path) -> None:
    path = tmp_path / "door.pid"
    path.write_text("99999\n")  # left by one that was killed
    first, second = PidFile(path), PidFile(path)
    first.acquire()
    assert path.read_text() == f"{os.getpid()}\n"
    with pytest.raises(PidFileLockedError, match=f"held by process {os.getpid()}"):
        second.acquire()
    first.release()
    assert not path.exists()
    second.acquire()
    second.release()


def test_connections_are_fitted_to_the_open_files() -> None:
    need = resources.estimate_need(gateway_settings("listener { max_connections: 1000 } upstream { connections: 10 }"))
    assert need.files == 1000 + 10 * resources.ASSUMED_ENDPOINTS + 4 + resources.OWN_FILES
    assert resources.limit_connections(need, 1000, need.files) == 1000
    assert resources.limit_connections(need, 1000, need.files - 300) == 700
    with pytest.raises(resources.ResourceError, match="raise the bound"):
        resources.limit_connections(need, 1000, need.files - 990)


def test_what_the_machine_cannot_hold_is_told_before_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    told: dict[str, dict[str, Any]] = {}
    door = gateway_settings("listener { max_connections: 1000 }")
    monkeypatch.setattr(resources, "raise_file_limit", lambda need: need - 164)
    monkeypatch.setattr(resources, "available_memory_bytes", lambda: 1)
    resources.apply_limits(door, lambda event, fields: told.update({event: fields}))
    assert door.listener.max_connections == 900 and told["connection limit lowered"]["instead_of"] == 1000
    assert told["memory may not suffice"]["free_mb"] == 0


# Frames -------------------------------------------------------------------------------------------------


def test_frames_come_back_whole_and_broken_ones_are_told() -> None:
    async def test() -> None:
        whole = frames.encode(frames.PrepareSettings(3, b"door")) + frames.encode(frames.ReloadFiles())
        reader = asyncio.StreamReader()
        reader.feed_data(whole)
        reader.feed_eof()
        assert await frames.read_frame(reader) == frames.PrepareSettings(3, b"door")
        assert await frames.read_frame(reader) == frames.ReloadFiles() and await frames.read_frame(reader) is None
        for data in (whole[:3], whole[:9], b"\xff\xff\xff\xff", b"\0\0\0\2{}", b"\0\0\0\1\xc1"):
            reader = asyncio.StreamReader()
            reader.feed_data(data)
            reader.feed_eof()
            with pytest.raises(frames.ProtocolError):
                await frames.read_frame(reader)

    run(test())


# Processes ----------------------------------------------------------------------------------------------


class Fleet:
    """A supervisor with real workers."""

    def __init__(self, supervisor: Supervisor) -> None:
        self.supervisor = supervisor

    async def ask(self, customer: str = "free") -> int:
        """One sub-request on a connection of its own; gives the status, 0 where the connection broke."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.supervisor.port)
            writer.write(
                b"GET /auth HTTP/1.1\r\nhost: d\r\nx-forwarded-method: GET\r\nx-forwarded-uri: /read/1\r\n"
                b"connection: close\r\nx-customer: " + customer.encode() + b"\r\n\r\n"
            )
            told = await reader.read()
            writer.close()
        except ConnectionError:
            return 0
        assert told.count(b"HTTP/1.1") <= 1  # never two answers
        return int(told.split()[1]) if told else 0

    async def until(self, test: Any) -> None:
        """Wait for something that must come to be."""
        while not test():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def fleet(text: str = "", notes: list[tuple[str, dict[str, Any]]] | None = None) -> AsyncIterator[Fleet]:
    """Workers that answer an edge proxy's questions."""
    told = notes if notes is not None else []
    door = parse_door(ASKED + text, "door.txtpb")
    supervisor = Supervisor(door, lambda event, fields: told.append((event, fields)), seed=1)
    supervisor.bind()
    supervisor.start()
    try:
        await supervisor.all_ready.wait()
        yield Fleet(supervisor)
    finally:
        await supervisor.stop()
    assert not supervisor.workers


@pytest.mark.parametrize("share", ["PASSED", "REUSE_PORT"])
def test_a_killed_worker_costs_its_own_requests_only_and_comes_back(share: str, tmp_path: Path) -> None:
    """Killed under load, while a hook loops in each refusal to the end of its steps."""
    drafts = tmp_path / "drafts"
    drafts.mkdir()
    (drafts / "loop.hook").write_text(words("text(for x in range(100000), n = 0 { n + 1 })"))
    release_files.publish(drafts, tmp_path / "hooks", 1)
    notes: list[tuple[str, dict[str, Any]]] = []
    text = f'workers {{ count: 2 share: {share} }} hooks {{ directory: "{tmp_path / "hooks"}" }}'

    async def test() -> None:
        async with fleet(text, notes) as made:
            first = made.supervisor.workers
            asked = [asyncio.create_task(made.ask("anna")) for _ in range(100)]
            await asyncio.wait(asked, return_when=asyncio.FIRST_COMPLETED)
            os.kill(first[0]["pid"], signal.SIGKILL)
            answers = await asyncio.gather(*asked)
            assert set(answers) <= {0, 200, 429} and 429 in answers
            await made.until(
                lambda: (
                    made.supervisor.ready_count == 2
                    and first[0]["pid"] not in [one["pid"] for one in made.supervisor.workers]
                )
            )
            assert [await made.ask() for _ in range(20)] == [200] * 20
        assert ("worker exited", {"worker": 0, "how": "signal SIGKILL"}) in notes

    run(test())


def test_workers_that_all_die_at_the_start_are_given_up() -> None:
    notes: list[str] = []

    async def test() -> None:
        door = parse_door(ASKED + "workers { count: 2 }", "door.txtpb")
        made = Supervisor(
            door,
            lambda event, fields: notes.append(event),
            rng=random.Random(1),
            worker_command=(sys.executable, "-S", "-c", "raise SystemExit(7)"),
        )
        made.bind()
        made.start()
        await made.wait()
        assert "died 3 times without having served, the last one by exit code 7" in made.gave_up
        await made.stop()

    run(test())
    assert notes.count("worker exited") >= 6 and notes[-1] == "supervisor gives up"


def test_settings_are_taken_up_by_all_workers_or_none_under_load(tmp_path: Path) -> None:
    notes: list[tuple[str, dict[str, Any]]] = []
    file = tmp_path / "door.txtpb"
    base = ASKED + "workers { count: 2 }"

    async def test() -> None:
        async with fleet("workers { count: 2 }", notes) as made:
            reloader = Reloader(
                lambda: load_door(file),
                lambda event, fields: notes.append((event, fields)),
                Notifier({}),
                ReloadTarget(
                    lambda: made.supervisor.settings,
                    made.supervisor.apply_settings,
                    made.supervisor.reload_files,
                ),
            )
            stop = False

            async def load() -> set[int]:
                seen: set[int] = set()
                while not stop:
                    seen.add(await made.ask())
                return seen

            loads = [asyncio.create_task(load()) for _ in range(4)]
            for bad in (
                "nonsense {",
                base + 'customer { key: "free" plan: "gone" }',
                base.replace('zone: "a"', 'zone: "b"') + 'customer { key: "new" plan: "open" }',
            ):
                file.write_text(bad)
                await reloader.reload()
                assert notes[-1][0] == "settings rejected"
                assert {await made.ask("new") for _ in range(8)} == {403}
            assert notes[-1][1] == {"need_a_restart": ["zone: 'a' -> 'b'"]}
            file.write_text(base + 'customer { key: "new" plan: "open" }')
            await reloader.reload()
            assert notes[-1] == ("settings applied", {"changes": ["customer: 2 entries -> 3 entries ('new')"]})
            while {await made.ask("new") for _ in range(8)} != {200}:  # the last worker's turn is a moment away
                pass
            pid = made.supervisor.workers[1]["pid"]
            os.kill(pid, signal.SIGKILL)
            await made.until(lambda: made.supervisor.ready_count == 1)
            await made.until(lambda: made.supervisor.ready_count == 2)
            assert {await made.ask("new") for _ in range(16)} == {200}  # it came back with what holds now
            stop = True
            assert set().union(*await asyncio.gather(*loads)) <= {200, 0}

    run(test())


def test_a_worker_leaves_with_its_supervisor() -> None:
    async def test() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "martenstep",
            "worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        assert process.stdin is not None and process.stdout is not None
        door = build_worker_settings(parse_door(ASKED + "workers { count: 1 }", "door.txtpb"), 0)
        process.stdin.write(frames.encode(frames.StartWorker(door.SerializeToString())))
        assert b'"ready"' in await process.stdout.readline()
        process.stdin.close()
        assert await process.wait() == 0

    run(test())


def test_a_bad_share_of_ports_is_told() -> None:
    with pytest.raises(SettingsError, match="past the last one"):
        parse_door(ASKED.replace("admin {}", "admin { port: 65535 }") + "workers { count: 2 }", "door.txtpb")


def test_the_usual_worker_count_is_one() -> None:
    assert pb.Door().workers.count == 1


def test_a_reload_asked_for_before_the_service_is_up_is_not_lost(tmp_path: Path) -> None:
    """It would end the process, or pass unheard between the reading of the settings and the handler."""
    script = (
        "import os, signal, sys; sys.argv = ['martenstep', 'serve', sys.argv[1]]\n"
        "from martenstep.supervise import early_signals; early_signals.install(sys.argv[1:])\n"
        "from martenstep.cli import main\n"
        "load = main.load_door\n"
        "def loaded(path):\n"
        "    made = load(path)\n"
        "    main.load_door = load\n"
        "    path.write_text(path.read_text() + 'default_plan: \"open\"')\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n"
        "    return made\n"
        "main.load_door = loaded\n"
        "main.main()\n"
    )
    file = tmp_path / "door.txtpb"
    file.write_text(ASKED)

    async def test() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", script, str(file), stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
        )
        assert process.stderr is not None
        seen: list[str] = []
        while "default_plan" not in (seen[-1] if seen else ""):
            line = (await process.stderr.readline()).decode()
            assert line, seen
            seen.append(line)
        assert "settings applied" in seen[-1]
        process.terminate()
        assert await process.wait() == 0

    run(test())
