"""The supervisor and its workers: restarts, giving up, reloads by all or none, limits, process manager messages."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
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

SETTINGS = """
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
TEST_TIMEOUT_S = 60.0  # ends a test that hangs; no check depends on its value


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test's coroutine with a time limit."""

    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test

    asyncio.run(bounded())


# Restarts -----------------------------------------------------------------------------------------------


def test_restart_delays_grow_with_each_exit_and_reset_after_stable_service() -> None:
    policy = RestartPolicy(2, random.Random(1))
    policy.on_ready(0.0, 1)
    delays_ms = []
    for number in range(CRASH_LOOP_EXITS - 1):
        policy.on_ready(1000.0 * number, 0)
        decision = policy.on_exit(1000.0 * number, 0, "signal SIGKILL")
        assert isinstance(decision, RestartAt) and not decision.crash_loop
        delays_ms.append(decision.at_ms - 1000.0 * number)
    assert delays_ms[0] <= 150 and delays_ms[-1] > 1000 and max(delays_ms) <= 1.5 * MAX_DELAY_MS
    crash_loop = policy.on_exit(9000.0, 0, "signal SIGKILL")
    assert crash_loop == RestartAt(9000.0 + CRASH_LOOP_DELAY_MS, True)
    policy.on_ready(50_000.0, 0)
    decision = policy.on_exit(50_000.0 + STABLE_AFTER_MS, 0, "signal SIGKILL")
    assert isinstance(decision, RestartAt) and not decision.crash_loop
    assert decision.at_ms - 50_000.0 - STABLE_AFTER_MS <= 150


def test_the_supervisor_gives_up_only_if_no_worker_serves_and_all_fail_at_startup() -> None:
    policy = RestartPolicy(2, random.Random(1))
    for _ in range(MAX_STARTUP_FAILURES + 2):
        assert isinstance(policy.on_exit(0.0, 0, "exit code 1"), RestartAt)  # the other may still become ready
    for _ in range(MAX_STARTUP_FAILURES - 1):
        assert isinstance(policy.on_exit(0.0, 1, "exit code 1"), RestartAt)
    assert isinstance(policy.on_exit(0.0, 1, "exit code 1"), GiveUp)
    serving = RestartPolicy(2, random.Random(1))
    serving.on_ready(0.0, 1)
    for _ in range(50):
        assert isinstance(serving.on_exit(0.0, 0, "exit code 1"), RestartAt)


def test_each_worker_gets_its_own_instance_number_ports_files_and_share_of_limits() -> None:
    gateway = gateway_settings(
        "workers { count: 4 } admin { port: 9000 } "
        'customer { key: "part" plan: "open" first_door: 1 doors: 1 }'
        'hooks { directory: "h" history: "h.jsonl" }'
    )
    gateway.instance = 1
    workers = [build_worker_settings(gateway, number) for number in range(4)]
    assert [worker.instance for worker in workers] == [4, 5, 6, 7] and {worker.instances for worker in workers} == {8}
    assert [worker.admin.port for worker in workers] == [9000, 9001, 9002, 9003]
    customer = workers[0].customer[-1]
    assert (customer.first_door, customer.doors) == (4, 4) and workers[0].customer[0].doors == 0
    assert workers[2].name == "door-0.2" and workers[2].hooks.history == "h.jsonl.2"
    assert not workers[2].HasField("workers")
    assert workers[0].listener.buffer_bytes == (64 << 20) // 4
    assert workers[0].upstream.connections == 16 and gateway.workers.count == 4


# Limits, the pid file and the process manager -----------------------------------------------------------


def test_the_process_manager_receives_each_notification_as_one_datagram(tmp_path: Path) -> None:
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager_socket:
        manager_socket.bind(str(tmp_path / "n"))
        manager_socket.settimeout(5)
        notifier = Notifier(
            {"NOTIFY_SOCKET": str(tmp_path / "n"), "WATCHDOG_USEC": "4000000", "WATCHDOG_PID": str(os.getpid())}
        )
        assert notifier.watchdog_s == 2.0 and notifier.notify(READY=1, STATUS="well\nREADY=0")
        assert manager_socket.recv(1000) == b"READY=1\nSTATUS=well\n"
    assert not notifier.notify(READY=1)  # the socket is closed
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager_socket:
        name = f"martenstep-{os.getpid()}"
        manager_socket.bind("\0" + name)
        manager_socket.settimeout(5)
        assert Notifier({"NOTIFY_SOCKET": "@" + name}).notify(STOPPING=1)
        assert manager_socket.recv(100) == b"STOPPING=1\n"
    assert not Notifier({}).notify(READY=1) and not Notifier({"NOTIFY_SOCKET": "vsock:1:2"}).notify(READY=1)
    assert Notifier({"NOTIFY_SOCKET": "/x", "WATCHDOG_USEC": "many"}).watchdog_s == 0
    assert Notifier({"NOTIFY_SOCKET": "/x", "WATCHDOG_USEC": "1000", "WATCHDOG_PID": "1"}).watchdog_s == 0


def test_a_pid_file_blocks_a_second_process_but_not_after_its_holder_died(tmp_path: Path) -> None:
    path = tmp_path / "door.pid"
    path.write_text("99999\n")  # left by a process that was killed
    first, second = PidFile(path), PidFile(path)
    first.acquire()
    assert path.read_text() == f"{os.getpid()}\n"
    with pytest.raises(PidFileLockedError, match=f"held by process {os.getpid()}"):
        second.acquire()
    first.release()
    assert not path.exists()
    second.acquire()
    second.release()


def test_max_connections_is_lowered_to_the_limit_of_open_files() -> None:
    need = resources.estimate_need(gateway_settings("listener { max_connections: 1000 } upstream { connections: 10 }"))
    assert need.files == 1000 + 10 * resources.ASSUMED_ENDPOINTS + 4 + resources.OWN_FILES
    assert resources.limit_connections(need, 1000, need.files) == 1000
    assert resources.limit_connections(need, 1000, need.files - 300) == 700
    with pytest.raises(resources.ResourceError, match="raise the bound"):
        resources.limit_connections(need, 1000, need.files - 990)


def test_too_few_files_and_too_little_memory_are_logged_before_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    events: dict[str, dict[str, Any]] = {}
    gateway = gateway_settings("listener { max_connections: 1000 }")
    monkeypatch.setattr(resources, "raise_file_limit", lambda need: need - 164)
    monkeypatch.setattr(resources, "available_memory_bytes", lambda: 1)
    resources.apply_limits(gateway, lambda event, fields: events.update({event: fields}))
    assert gateway.listener.max_connections == 900 and events["connection limit lowered"]["instead_of"] == 1000
    assert events["memory may not suffice"]["free_mb"] == 0


# Frames -------------------------------------------------------------------------------------------------


def test_frames_are_read_as_written_and_broken_ones_raise_an_error() -> None:
    async def test() -> None:
        data = frames.encode(frames.PrepareSettings(3, b"door")) + frames.encode(frames.ReloadFiles())
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        assert await frames.read_frame(reader) == frames.PrepareSettings(3, b"door")
        assert await frames.read_frame(reader) == frames.ReloadFiles() and await frames.read_frame(reader) is None
        for broken in (data[:3], data[:9], b"\xff\xff\xff\xff", b"\0\0\0\2{}", b"\0\0\0\1\xc1"):
            reader = asyncio.StreamReader()
            reader.feed_data(broken)
            reader.feed_eof()
            with pytest.raises(frames.ProtocolError):
                await frames.read_frame(reader)

    run(test())


# Processes ----------------------------------------------------------------------------------------------


class SupervisedGateway:
    """A supervisor with real worker processes."""

    def __init__(self, supervisor: Supervisor) -> None:
        self.supervisor = supervisor

    async def authorize(self, customer: str = "free") -> int:
        """Send one forward-auth request on a new connection; returns its status, or 0 if the connection failed."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.supervisor.port)
            writer.write(
                b"GET /auth HTTP/1.1\r\nhost: d\r\nx-forwarded-method: GET\r\nx-forwarded-uri: /read/1\r\n"
                b"connection: close\r\nx-customer: " + customer.encode() + b"\r\n\r\n"
            )
            response = await reader.read()
            writer.close()
        except ConnectionError:
            return 0
        assert response.count(b"HTTP/1.1") <= 1  # never two responses
        return int(response.split()[1]) if response else 0

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; the time limit of the test bounds the wait."""
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def supervised_gateway(
    text: str = "", events: list[tuple[str, dict[str, Any]]] | None = None
) -> AsyncIterator[SupervisedGateway]:
    """Run workers that answer the forward-auth requests of an edge proxy."""
    log = events if events is not None else []
    gateway_settings = parse_door(SETTINGS + text, "door.txtpb")
    supervisor = Supervisor(gateway_settings, lambda event, fields: log.append((event, fields)), seed=1)
    supervisor.bind()
    supervisor.start()
    try:
        await supervisor.all_ready.wait()
        yield SupervisedGateway(supervisor)
    finally:
        await supervisor.stop()
    assert not supervisor.workers


@pytest.mark.parametrize("share", ["PASSED", "REUSE_PORT"])
def test_a_killed_worker_fails_only_its_own_requests_and_is_restarted(share: str, tmp_path: Path) -> None:
    """The worker is killed under load, while a hook uses up its steps in a loop on each refusal."""
    drafts = tmp_path / "drafts"
    drafts.mkdir()
    (drafts / "loop.hook").write_text(words("text(for x in range(100000), n = 0 { n + 1 })"))
    release_files.publish(drafts, tmp_path / "hooks", 1)
    events: list[tuple[str, dict[str, Any]]] = []
    text = f'workers {{ count: 2 share: {share} }} hooks {{ directory: "{tmp_path / "hooks"}" }}'

    async def test() -> None:
        async with supervised_gateway(text, events) as gateway:
            killed_pid = gateway.supervisor.workers[0]["pid"]
            requests = [asyncio.create_task(gateway.authorize("anna")) for _ in range(100)]
            await asyncio.wait(requests, return_when=asyncio.FIRST_COMPLETED)
            os.kill(killed_pid, signal.SIGKILL)
            statuses = await asyncio.gather(*requests)
            assert set(statuses) <= {0, 200, 429} and 429 in statuses
            await gateway.wait_until(
                lambda: (
                    gateway.supervisor.ready_count == 2
                    and killed_pid not in [worker["pid"] for worker in gateway.supervisor.workers]
                )
            )
            assert [await gateway.authorize() for _ in range(20)] == [200] * 20
        assert ("worker exited", {"worker": 0, "how": "signal SIGKILL"}) in events

    run(test())


def test_a_connection_that_is_accepted_while_the_workers_stop_is_answered() -> None:
    """Guards against a listening socket that stays open in the supervisor after all workers have stopped accepting."""

    async def test() -> None:
        async with supervised_gateway("workers { count: 2 }") as gateway:
            _, slow = await asyncio.open_connection("127.0.0.1", gateway.supervisor.port)
            slow.write(b"GET /auth HTTP/1.1\r\nhost: d\r\n")  # an incomplete request: its worker waits for stop_ms
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(gateway.supervisor.stop())
            await asyncio.sleep(0)
            statuses, refused = [], False
            while not stopping.done() and not refused:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.supervisor.port)
                except ConnectionRefusedError:
                    refused = True
                    break
                writer.write(b"GET /none HTTP/1.1\r\nhost: d\r\nconnection: close\r\n\r\n")
                statuses.append((await reader.read()).split()[1:2])
                writer.close()
            assert refused and not stopping.done(), "nobody accepts any more, so nothing is left to be reset"
            assert all(statuses)
            slow.close()
            await stopping

    run(test())


def test_the_supervisor_gives_up_when_all_workers_exit_at_their_start() -> None:
    events: list[str] = []

    async def test() -> None:
        supervisor = Supervisor(
            parse_door(SETTINGS + "workers { count: 2 }", "door.txtpb"),
            lambda event, fields: events.append(event),
            rng=random.Random(1),
            worker_command=(sys.executable, "-S", "-c", "raise SystemExit(7)"),
        )
        supervisor.bind()
        supervisor.start()
        await supervisor.wait()
        assert "died 3 times without having served, the last one by exit code 7" in supervisor.gave_up
        await supervisor.stop()

    run(test())
    assert events.count("worker exited") >= 6 and events[-1] == "supervisor gives up"


def test_all_workers_or_none_apply_reloaded_settings_under_load(tmp_path: Path) -> None:
    events: list[tuple[str, dict[str, Any]]] = []
    file = tmp_path / "door.txtpb"
    base = SETTINGS + "workers { count: 2 }"

    async def test() -> None:
        async with supervised_gateway("workers { count: 2 }", events) as gateway:
            reloader = Reloader(
                lambda: load_door(file),
                lambda event, fields: events.append((event, fields)),
                Notifier({}),
                ReloadTarget(
                    lambda: gateway.supervisor.settings,
                    gateway.supervisor.apply_settings,
                    gateway.supervisor.reload_files,
                ),
            )
            stop = False

            async def send_requests() -> set[int]:
                statuses: set[int] = set()
                while not stop:
                    statuses.add(await gateway.authorize())
                return statuses

            clients = [asyncio.create_task(send_requests()) for _ in range(4)]
            for rejected in (
                "nonsense {",
                base + 'customer { key: "free" plan: "gone" }',
                base.replace('zone: "a"', 'zone: "b"') + 'customer { key: "new" plan: "open" }',
            ):
                file.write_text(rejected)
                await reloader.reload()
                assert events[-1][0] == "settings rejected"
                assert {await gateway.authorize("new") for _ in range(8)} == {403}
            assert events[-1][1] == {"need_a_restart": ["zone: 'a' -> 'b'"]}
            file.write_text(base + 'customer { key: "new" plan: "open" }')
            await reloader.reload()
            assert events[-1] == ("settings applied", {"changes": ["customer: 2 entries -> 3 entries ('new')"]})
            while {await gateway.authorize("new") for _ in range(8)} != {200}:  # workers commit a moment later
                pass
            pid = gateway.supervisor.workers[1]["pid"]
            os.kill(pid, signal.SIGKILL)
            await gateway.wait_until(lambda: gateway.supervisor.ready_count == 1)
            await gateway.wait_until(lambda: gateway.supervisor.ready_count == 2)
            # The restarted worker has the present settings.
            assert {await gateway.authorize("new") for _ in range(16)} == {200}
            stop = True
            assert set().union(*await asyncio.gather(*clients)) <= {200, 0}

    run(test())


def test_a_worker_exits_when_its_supervisor_closes_its_input() -> None:
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
        worker_settings = build_worker_settings(parse_door(SETTINGS + "workers { count: 1 }", "door.txtpb"), 0)
        process.stdin.write(frames.encode(frames.StartWorker(worker_settings.SerializeToString())))
        assert b'"ready"' in await process.stdout.readline()
        process.stdin.close()
        assert await process.wait() == 0

    run(test())


def test_admin_ports_of_workers_past_the_last_port_are_rejected() -> None:
    with pytest.raises(SettingsError, match="past the last one"):
        parse_door(SETTINGS.replace("admin {}", "admin { port: 65535 }") + "workers { count: 2 }", "door.txtpb")


def test_the_default_worker_count_is_one() -> None:
    assert pb.Door().workers.count == 1


def test_a_sighup_during_the_start_of_a_service_is_not_lost(tmp_path: Path) -> None:
    """SIGHUP would end the process, or be lost between reading the settings and installing the signal handler."""
    script = (
        "import os, signal, sys; sys.argv = ['martenstep', 'serve', sys.argv[1]]\n"
        "from martenstep.supervise import early_signals; early_signals.install(sys.argv[1:])\n"
        "from martenstep.cli import main\n"
        "load = main.load_door\n"
        "def load_then_change_the_file(path):\n"
        "    settings = load(path)\n"
        "    main.load_door = load\n"
        "    path.write_text(path.read_text() + 'default_plan: \"open\"')\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n"
        "    return settings\n"
        "main.load_door = load_then_change_the_file\n"
        "main.main()\n"
    )
    file = tmp_path / "door.txtpb"
    file.write_text(SETTINGS)

    async def test() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", script, str(file), stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
        )
        assert process.stderr is not None
        lines: list[str] = []
        while "default_plan" not in (lines[-1] if lines else ""):
            line = (await process.stderr.readline()).decode()
            assert line, lines
            lines.append(line)
        assert "settings applied" in lines[-1]
        process.terminate()
        assert await process.wait() == 0

    run(test())
