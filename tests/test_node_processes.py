"""Front doors of the platform as processes of their own: signals that cross their start, their work and their end.

Waits have bounds only so that a fault ends the test; what is asserted is what came, in which order, never how soon."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import resource
import signal
import socket
import sys
import threading
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest

from martenstep.lab.ports import held_ports
from martenstep.node import daemon
from martenstep.node.config import EMPTY_DRAIN_PLAN, load_config
from martenstep.node.daemon import GatewayNode
from martenstep.node.discovery import (
    DiscoveryClient,
)
from martenstep.node.poll_timing import (
    DiscoveryTiming,
)
from tests.node_rig import SETTINGS, raw, request, target
from tests.socket_rig import Peer, Script, ScriptedServer, run
from tests.test_node_gateway import agent, counting, serves

BOUND_S = 60.0
LONG_MS = 60_000.0  # longer than any test runs
LONG = DiscoveryTiming(LONG_MS, LONG_MS, LONG_MS, LONG_MS, 1.0, 1.0)


class Process:
    """One front door, and the lines of its log."""

    def __init__(self, path: Path, port: int) -> None:
        self.path, self.port = path, port
        self.environment: dict[str, str] = {}  # beside that of the tests
        self.lines: list[dict[str, Any]] = []
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start it, by what `run` starts."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "martenstep.node",
            env={**os.environ, "NODE_CONFIG": str(self.path), **self.environment},
            stdout=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        async for line in self._process.stdout:
            self.lines.append(json.loads(line))

    @property
    def pid(self) -> int:
        """Its number."""
        assert self._process is not None
        return self._process.pid

    def signal(self, number: int) -> None:
        """Send it a signal."""
        os.kill(self.pid, number)

    def events(self) -> list[str]:
        """What its log tells of, in order."""
        return [line["event"] for line in self.lines]

    async def until(self, event: str) -> dict[str, Any]:
        """Wait for a line."""
        while event not in self.events():
            await asyncio.sleep(0.005)
        return next(line for line in self.lines if line["event"] == event)

    async def end(self) -> int:
        """Wait for its end; gives its status."""
        assert self._process is not None and self._reading is not None
        status = await self._process.wait()
        await self._reading
        return status

    async def kill(self) -> None:
        """Whatever is left of it."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self.end()

    async def client(self) -> Peer:
        """A new connection, once it listens."""
        while True:
            try:
                return Peer(*await asyncio.open_connection("127.0.0.1", self.port))
            except ConnectionError:
                await asyncio.sleep(0.005)

    async def ask(self, text: str) -> tuple[int, str, bytes]:
        """One request on a connection of its own."""
        peer = await self.client()
        await peer.write(text)
        answer = await peer.read_response()
        peer.close()
        return answer


def settings(deadline_ms: float = 500.0) -> dict[str, Any]:
    """Settings whose grace is short: a stop takes what the longest deadline and 0.7 s leave it."""
    return {**SETTINGS, "classes": [{**one, "deadline_ms": deadline_ms} for one in SETTINGS["classes"]]}


@contextlib.asynccontextmanager
async def doors(
    tmp_path: Path, count: int, told: Script, *scripts: Script, **more: Any
) -> AsyncIterator[list[Process]]:
    """So many doors, not started yet, that follow one agent; `told` is its script, `scripts` the backends'."""
    backs = [ScriptedServer(script) for script in (told, counting, *scripts)]
    ports = [await back.start() for back in backs]
    made = []
    for number in range(count):
        path, port = tmp_path / f"n{number}.json", held_ports(1)[0]
        path.write_text(
            json.dumps(
                raw(
                    **{
                        "name": f"n{number}",
                        "listen": f"127.0.0.1:{port}",
                        "discovery": f"127.0.0.1:{ports[0]}",
                        "counter": f"127.0.0.1:{ports[1]}",
                        "settings": settings(),
                        "known": {
                            "rev": 1,
                            "all": True,
                            "targets": [target(f"s-{n}", p) for n, p in enumerate(ports[2:])],
                        },
                        **more,
                    }
                )
            ),
            encoding="utf-8",
        )
        made.append(Process(path, port))
    try:
        yield made
    finally:
        for one in made:
            await one.kill()
        for back in backs:
            back.stop()


def play(test: Awaitable[None]) -> None:
    """Run one test."""

    async def whole() -> None:
        await test

    run(whole(), BOUND_S)


async def silent(peer: Peer) -> None:
    """An agent while discovery is down."""
    await peer.read_to_end()


async def write_to(fifo: Path, text: str, before: Callable[[], None] = lambda: None) -> None:
    """Give a reader of the fifo what it waits for; `before` is done while it waits."""
    while True:
        try:
            number = os.open(fifo, os.O_WRONLY | os.O_NONBLOCK)
            break
        except OSError:  # nobody reads yet
            await asyncio.sleep(0.005)
    with os.fdopen(number, "w") as file:
        before()
        file.write(text)


def lists(targets: list[dict[str, Any]], asked: list[str]) -> Callable[[Peer], Awaitable[None]]:
    """An agent that keeps what it is asked and tells one list."""

    async def script(peer: Peer) -> None:
        asked.append(await peer.read_head())
        await peer.send_response(json.dumps({"rev": 1, "all": True, "targets": targets}))
        await peer.read_to_end()

    return script


def test_a_move_is_kept_that_comes_while_the_configuration_is_read(tmp_path: Path) -> None:
    """The process stands in the midst of reading; the signal was ignored then, and the move lost."""

    async def test() -> None:
        asked: list[str] = []
        moved = ScriptedServer(lists([], asked))
        async with doors(tmp_path, 1, silent) as [door]:
            text, changed = door.path.read_text(encoding="utf-8"), tmp_path / "changed.json"
            other = {**json.loads(text), "discovery": f"127.0.0.1:{await moved.start()}"}
            changed.write_text(json.dumps(other), encoding="utf-8")
            door.path.unlink()
            os.mkfifo(door.path)

            def crosses() -> None:
                os.replace(changed, door.path)
                door.signal(signal.SIGHUP)

            await door.start()
            await write_to(door.path, text, crosses)
            await door.until("configuration applied")
            await door.until("ready")
            assert asked and asked[0].startswith("get /catalog/members ")
            door.signal(signal.SIGTERM)
            assert await door.end() == 0
        moved.stop()

    play(test())


def _minds(pid: int, number: int) -> bool:
    """Whether a process catches a signal, by the kernel's word."""
    text = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    caught = int(next(line for line in text.splitlines() if line.startswith("SigCgt:")).split()[1], 16)
    return bool(caught >> (number - 1) & 1)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signals_are_kept_before_anything_is_loaded(tmp_path: Path, number: int) -> None:
    """Stopped at the first moment in which it minds them, before its modules are there."""

    async def test() -> None:
        async with doors(tmp_path, 1, silent) as [door]:
            await door.start()
            while not _minds(door.pid, signal.SIGHUP):
                await asyncio.sleep(0)
            door.signal(number)
            if number == signal.SIGHUP:
                await door.until("configuration applied")
                door.signal(signal.SIGTERM)
            assert await door.end() == 0
            assert number == signal.SIGHUP or "ready" not in door.events()

    play(test())


def test_a_door_that_is_told_to_end_while_it_waits_for_its_first_list_does_not_wait_on(tmp_path: Path) -> None:
    async def test() -> None:
        got = asyncio.Event()

        async def asked(peer: Peer) -> None:
            await peer.read_head()
            got.set()
            await peer.read_to_end()

        async with doors(tmp_path, 1, asked) as [door]:
            await door.start()
            await got.wait()
            assert (await door.ask("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 503
            door.signal(signal.SIGTERM)
            assert await door.end() == 0
            assert not {"ready", "ready without discovery"} & set(door.events()) and door.events()[-1] == "stopped"

    play(test())


def test_nobody_is_served_by_the_old_list_while_the_agents_answer_is_on_its_way(tmp_path: Path) -> None:
    """What the agent has counts as told from a process's first moment, and clients of the one before it come as soon as
    it listens."""

    async def test() -> None:
        asked, gate = asyncio.Event(), asyncio.Event()
        backs: list[str] = []

        async def holds(peer: Peer) -> None:
            await peer.read_head()
            asked.set()
            await gate.wait()
            await peer.send_response(json.dumps({"rev": 2, "all": True, "targets": [target("s-1", ports[1])]}))
            await peer.read_to_end()

        def backend(name: str) -> Callable[[Peer], Awaitable[None]]:
            async def script(peer: Peer) -> None:
                await peer.read_head()
                backs.append(name)
                await peer.send_response(name)

            return script

        made = [ScriptedServer(holds), ScriptedServer(backend("s-0")), ScriptedServer(backend("s-1"))]
        agent_port, *ports = [await back.start() for back in made]
        [port] = held_ports(1)
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                raw(
                    listen=f"127.0.0.1:{port}",
                    discovery=f"127.0.0.1:{agent_port}",
                    counter="",
                    settings={**settings(), "family_info": {"has_counter": False, "max_units": 3}},
                    known={"rev": 1, "all": True, "targets": [target("s-0", ports[0])]},
                )
            ),
            encoding="utf-8",
        )
        node = GatewayNode(load_config(path), path)
        node._timing = LONG  # of the wait for the agent; the agent itself is not given up either
        node._discovery = DiscoveryClient(
            node.config.discovery, node._follower, node._endpoints_updated, node._event_logger.log, LONG
        )
        starting = asyncio.create_task(node.start())
        await asked.wait()
        for _ in range(20):  # turns of the loop in which a listener would come up
            await asyncio.sleep(0)
        assert not node.server.listening
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", port)
        gate.set()
        assert await starting == port
        peer = Peer(*await asyncio.open_connection("127.0.0.1", port))
        await peer.write(request(1))
        assert (await peer.read_response())[2] == b"s-1" and backs == ["s-1"]
        peer.close()
        node.drain_plan = EMPTY_DRAIN_PLAN
        await node.stop()
        for back in made:
            back.stop()

    play(test())


def test_a_door_whose_discovery_refuses_its_first_list_is_not_ready_by_the_one_before(tmp_path: Path) -> None:
    """Broken on a site of our own: nobody knows how old that is, and what discovery has counts as told."""

    async def test() -> None:
        gate, refusals = asyncio.Event(), list[str]()

        async def refuses(peer: Peer) -> None:
            while not gate.is_set():
                refusals.append(await peer.read_head())
                await peer.send_response("", "503 Service Unavailable")
            await peer.read_head()
            await peer.send_response(json.dumps({"rev": 9, "all": True, "targets": [target("s-1", fresh_port)]}))
            await peer.read_to_end()

        fresh = ScriptedServer(serves)
        fresh_port = await fresh.start()
        async with doors(tmp_path, 1, refuses, serves, settings={**settings(), "discovery": "subscribe"}) as [door]:
            await door.start()
            while len(refusals) < 8:  # longer than a discovery that says nothing would be waited for
                await asyncio.sleep(0.005)
            assert "ready" not in door.events() and "endpoint list stale" in door.events()
            gate.set()
            assert (await door.until("ready"))["servers"] == 1
            assert "ready without discovery" not in door.events()
            assert (await door.ask(request(1)))[0] == 200 and fresh.connections == 1
        fresh.stop()

    play(test())


def test_a_door_waits_for_its_address_while_the_one_before_it_ends(tmp_path: Path) -> None:
    """It ended with a traceback."""

    async def test() -> None:
        async with doors(tmp_path, 1, silent, serves) as [door]:
            with socket.create_server(("127.0.0.1", door.port)):
                await door.start()
                await door.until("address in use")
            await door.until("ready")
            assert (await door.ask(request(1)))[0] == 200

    play(test())


@pytest.mark.parametrize("stops", [True, False])
def test_a_door_whose_address_stays_in_use_ends_and_names_the_field(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], stops: bool
) -> None:
    """And one that is told to end waits for it no longer."""
    monkeypatch.setattr(daemon, "BIND_TIMEOUT_MS", LONG_MS if stops else 30.0)

    def told(node: GatewayNode) -> None:
        node._terminate()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                raw(
                    listen=f"127.0.0.1:{port}",
                    discovery=f"127.0.0.1:{held_ports(1)[0]}",
                    counter=f"127.0.0.1:{held_ports(1)[0]}",
                )
            ),
            encoding="utf-8",
        )

        async def test() -> None:
            node = GatewayNode(load_config(path), path)
            real = node._event_logger.log

            def note(event: str, fields: dict[str, Any]) -> None:
                real(event, fields)
                if stops and event == "address in use":
                    told(node)

            node._event_logger.log = note  # type: ignore[method-assign]
            await node.run()

        if stops:
            play(test())
            assert [json.loads(line)["event"] for line in capsys.readouterr().out.splitlines()][-1] == "stopped"
            return
        monkeypatch.setenv("NODE_CONFIG", str(path))
        monkeypatch.setattr(daemon, "gc", Mock())  # the tests' own process keeps its collector
        with pytest.raises(SystemExit) as ended:
            daemon.main()
        error = capsys.readouterr().err
        assert ended.value.code == 2 and f"{path}: listen: " in error and "Traceback" not in error


def test_all_are_ready_and_serve_by_the_list_they_had_while_discovery_is_silent(tmp_path: Path) -> None:
    async def test() -> None:
        async with doors(tmp_path, 4, silent, serves) as made:
            for door in made:
                await door.start()
            for number, door in enumerate(made):
                assert (await door.until("ready"))["servers"] == 1
                assert (await door.ask("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
                assert (await door.ask(request(number)))[0] == 200

    play(test())


def test_a_log_that_nobody_reads_holds_up_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """The write waited for room in the pipe, and with it the loop and every request."""
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, 4096)
    with os.fdopen(writing, "w") as pipe, os.fdopen(reading, "rb") as log:  # a write that waits ends with the reader
        monkeypatch.setattr(sys, "stdout", pipe)
        event_logger = daemon.EventLogger(max_lines_per_s=1000)
        event_logger.log("read", {"long": "x" * 10_000})
        line = json.loads(log.readline())
        assert line["event"] == "read" and len(line["cut"]) < daemon.MAX_LINE_BYTES

        def fill() -> None:
            for number in range(100):
                event_logger.log("unread", {"number": number, "more": "x" * 100})

        filling = threading.Thread(target=fill, daemon=True)
        filling.start()
        filling.join(20.0)  # a bound that only ends a fault
        assert not filling.is_alive()
        os.set_blocking(reading, False)
        got = [json.loads(text) for text in log.read().splitlines()]
        assert 0 < len(got) < 100 and [one["number"] for one in got] == list(range(len(got)))
        event_logger.log("read again", {})
        assert json.loads(log.readline())["event"] == "read again"


def test_doors_that_end_one_after_another_lose_nothing(tmp_path: Path) -> None:
    """Requests are out at a backend as each is told to end; a connection rests, and a move crosses the end."""

    async def test() -> None:
        gates: list[asyncio.Event] = []
        ports: list[int] = []

        async def holds(peer: Peer) -> None:
            while True:
                await peer.read_head()
                gates.append(asyncio.Event())
                await gates[-1].wait()
                await peer.send_response("held")

        back = ScriptedServer(holds)
        ports.append(await back.start())
        targets = [target("s-0", ports[0])]
        asked: list[str] = []
        moved = ScriptedServer(lists(targets, asked))
        elsewhere = f"127.0.0.1:{await moved.start()}"
        async with doors(tmp_path, 3, lambda peer: agent(peer, targets), settings=settings(60_000.0)) as made:
            for number, door in enumerate(made):
                await door.start()
                await door.until("ready")
                gates.clear()
                resting, busy = await door.client(), await door.client()
                await resting.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await resting.read_response())[0] == 200
                await busy.write(request(number, X_Expires_In_Ms="60000"))
                while not gates:
                    await asyncio.sleep(0.005)
                door.signal(signal.SIGTERM)
                await door.until("stopping")
                asked.clear()
                changed = {**json.loads(door.path.read_text(encoding="utf-8")), "discovery": elsewhere}
                door.path.write_text(json.dumps(changed), encoding="utf-8")
                door.signal(signal.SIGHUP)
                await door.until("configuration applied")
                while not asked:
                    await asyncio.sleep(0.005)
                gates[0].set()
                status, head, body = await busy.read_response()
                clean = (status, body) == (200, b"held")  # and refused at the end of the grace, on a starved machine
                assert (clean or status == 503) and "connection: close" in head
                assert await busy.read_to_end() == b"" and await resting.read_to_end() == b""
                assert await door.end() == 0 and door.lines[-1]["clean"] is clean
        back.stop()
        moved.stop()

    play(test())


def test_a_configuration_that_cannot_be_used_leaves_the_one_there_is(tmp_path: Path) -> None:
    async def test() -> None:
        async with doors(tmp_path, 1, silent, serves) as [door]:
            good = json.loads(door.path.read_text(encoding="utf-8"))
            await door.start()
            await door.until("ready")
            for number, changed in enumerate(({**good, "discovery": "nowhere"}, {**good, "settings": 5})):
                door.path.write_text(json.dumps(changed), encoding="utf-8")
                door.signal(signal.SIGHUP)
                while door.events().count("configuration rejected") <= number:
                    await asyncio.sleep(0.005)
            errors = [line["error"] for line in door.lines if line["event"] == "configuration rejected"]
            assert errors[0].startswith("discovery:") and errors[1].startswith("settings:")
            door.path.write_text(json.dumps({**good, "limits": {"sockets": 300}}), encoding="utf-8")
            door.signal(signal.SIGHUP)
            assert (await door.until("configuration applied"))["after_a_restart"] == ["listener", "upstream"]
            assert (await door.ask(request(1)))[0] == 200
            door.signal(signal.SIGTERM)
            assert await door.end() == 0

    play(test())


def test_idle_clients_that_fill_the_descriptors_keep_out_neither_dials_nor_clients(tmp_path: Path) -> None:
    """Discovery is down meanwhile; once it is back its list counts, the counter is asked and new clients are served."""

    async def test() -> None:
        [port], sockets = held_ports(1), 128
        heads: list[str] = []

        async def notes(peer: Peer) -> None:
            heads.append(await peer.read_head())
            await peer.send_response("new")

        fresh = ScriptedServer(notes)
        targets = [target("s-0", 1, state="draining"), target("s-new", await fresh.start())]
        async with doors(tmp_path, 1, silent, serves, discovery=f"127.0.0.1:{port}", limits={"sockets": sockets}) as [
            door
        ]:
            await door.start()
            resource.prlimit(door.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
            await door.until("ready")
            with contextlib.ExitStack() as stack:
                idle = [stack.enter_context(socket.socket()) for _ in range(2 * sockets)]
                for one in idle:
                    one.setblocking(False)
                    one.connect_ex(("127.0.0.1", door.port))
                assert (await door.ask(request(1, X_Plan="small")))[0] in (200, 503), "served, or told of a full house"
                back = ScriptedServer(lists(targets, []))
                back._server = await asyncio.start_server(back._serve, "127.0.0.1", port)
                await door.until("discovery connection recovered")
                while True:  # who came in the same burst is young, and keeps others out for a while
                    status, _, body = await door.ask(
                        request(len(heads) + 2, X_Plan="free", X_Trace_Id=os.urandom(8).hex())
                    )
                    if status == 200 and body == b"new":
                        break
                    assert status == 503
                    await asyncio.sleep(0.02)
                assert len(os.listdir(f"/proc/{door.pid}/fd")) < sockets
                assert "fault" not in door.events()
                back.stop()
        fresh.stop()

    play(test())
