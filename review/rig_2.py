"""Stand-ins for the cases of the second review: clients, servers, discovery, the counter; and the gateway processes.

Only the standard library is used.  Every address is on loopback.  `python rig_2.py counter PORT` runs the counter as a
process of its own, so that a case can stop, kill and restart it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Return ports that are free now, below the range from which the system picks ports for connections."""
    found: list[int] = []
    start = 20_000 + (os.getpid() * 37) % 10_000
    for port in range(start, 32_000):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise OSError("too few free ports")


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._file = path.open("w", encoding="utf-8")
        self.began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self.began_at

    def add(self, what: str, **fields: Any) -> None:  # noqa: ANN401
        """Write one line."""
        self._file.write(json.dumps({"t": round(self.now(), 4), "what": what, **fields}) + "\n")

    def close(self) -> None:
        """Write what is still buffered."""
        self._file.close()


# HTTP/1.1 -----------------------------------------------------------------------------------------------------------


class Message:
    """One message as read from a connection."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        """`line` is the first line; names of headers are in lower case."""
        self.line, self.headers, self.body = line, headers, body

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.line.split()[1])


async def read_message(reader: asyncio.StreamReader, until_close: bool = False) -> Message | None:
    """Read a message; None at the end of the connection before its first byte.

    Without a length, and with `until_close`, its body ends with the connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("half a head") from None
        return None
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in rest if line)}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(first, headers, await _read_chunks(reader))
    if "content-length" in headers:
        try:
            return Message(first, headers, await reader.readexactly(int(headers["content-length"])))
        except asyncio.IncompleteReadError:
            raise ConnectionError("half a body") from None
    return Message(first, headers, await reader.read() if until_close else b"")


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


# Servers ------------------------------------------------------------------------------------------------------------


class Arrival:
    """One attempt that has arrived whole at a server."""

    def __init__(self, server: Server, at: float, message: Message, writer: asyncio.StreamWriter) -> None:
        """`at` is in seconds of the record."""
        self.server, self.at, self.message, self.writer = server, at, message, writer
        self.id = message.headers.get("x-trace-id", "")
        self.customer = message.line.split()[1].rpartition("/")[2]
        self.ended_at: float | None = None  # its answer was written, or its connection has ended


Work = Callable[[Arrival], Awaitable[bytes | None]]


class Server:
    """One server of the back end.  `work` returns the bytes to send for an attempt; None: send nothing, ever."""

    def __init__(self, name: str, record: Record, work: Work) -> None:
        """Nothing listens before `start`."""
        self.name, self.record, self.work = name, record, work
        self.port = 0
        self.arrivals: list[Arrival] = []
        self.on_arrival: Callable[[Arrival], None] | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def close_listener(self) -> None:
        """Refuse new connections; the open ones stay."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """End as a process does that is killed: reset all connections, refuse new ones."""
        self.close_listener()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, OSError):
            while (message := await read_message(reader)) is not None:
                arrival = Arrival(self, self.record.now(), message, writer)
                self.arrivals.append(arrival)
                self.record.add("arrived", server=self.name, id=arrival.id, line=message.line)
                if self.on_arrival is not None:
                    self.on_arrival(arrival)
                answer = await self.work(arrival)
                arrival.ended_at = self.record.now()
                if answer is None:
                    continue
                self.record.add("run", server=self.name, id=arrival.id)
                writer.write(answer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


def ok(body: bytes, more: str = "") -> bytes:
    """Return an answer with status 200."""
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


# Discovery ----------------------------------------------------------------------------------------------------------


class Agent:
    """Discovery's agent on the machine of one gateway: the whole list, and watches of changes."""

    def __init__(self, record: Record, name: str) -> None:
        """Begin with an empty list."""
        self.record, self.name = record, name
        self.port = 0
        self.rev = 41
        self.targets: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self.delay_s = 0.0
        self.silent = False
        self.told: list[tuple[float, int]] = []  # when each revision was written to the gateway
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def set(self, uid: str, **fields: Any) -> None:  # noqa: ANN401
        """Add or change one entry."""
        self.rev += 1
        entry = {**self.targets.get(uid, {}), "uid": uid, **fields}
        if entry["state"] == "gone":
            self.targets.pop(uid, None)
        else:
            self.targets[uid] = entry
        self._changes.append((self.rev, entry))
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while (message := await read_message(reader)) is not None:
                body = json.dumps(await self._answer(message.line.split()[1])).encode()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.silent:
                    await asyncio.sleep(0.02)
                writer.write(ok(body))
                await writer.drain()
                self.told.append((self.record.now(), self.rev))
        writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        _, _, query = target.partition("?")
        if not query:
            return self.whole()
        fields = dict(part.split("=") for part in query.split("&"))
        after, wait_s = int(fields["after"]), float(fields.get("wait_ms", 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.rev <= after:
                    await self._changed.wait()
        latest = {entry["uid"]: entry for rev, entry in self._changes if rev > after}
        return {"rev": self.rev, "all": False, "targets": list(latest.values())}


# The counter --------------------------------------------------------------------------------------------------------


class Counter:
    """The counter: RESP2, names with a life, calls of one connection in order."""

    def __init__(self, call_s: float = 0.001) -> None:
        """`call_s` is the time that one call takes."""
        self.totals: dict[bytes, tuple[float, float]] = {}
        self.call_s = call_s
        self.silent = False
        self._missed: dict[asyncio.StreamWriter, int] = {}  # calls without an answer, by connection

    def fall_silent(self) -> None:
        """Answer nothing and add nothing from now on; connections stay open, and new ones come up."""
        self.silent = True

    def come_back_empty(self) -> None:
        """Serve again without any total; what was asked meanwhile is turned away now, in order: nothing was added."""
        self.silent = False
        self.totals.clear()
        for writer, missed in self._missed.items():
            self._missed[writer] = 0
            writer.write(b"-BUSY\r\n" * missed)

    def add(self, name: bytes, amount: float, life_s: float) -> float:
        """Add to a name and return the total."""
        now = time.monotonic()
        total, until = self.totals.get(name, (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + min(life_s, 60.0)
        self.totals[name] = total + amount, until
        return total + amount

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._missed[writer] = 0
        with contextlib.suppress(ConnectionError, OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                parts = []
                for _ in range(int(line[1:])):
                    size = int((await reader.readline())[1:])
                    parts.append((await reader.readexactly(size + 2))[:-2])
                if not self.silent:
                    await asyncio.sleep(self.call_s)
                if self.silent:
                    self._missed[writer] += 1
                    continue
                writer.write(self._reply(parts))
                await writer.drain()
        self._missed.pop(writer, None)
        writer.close()

    def _reply(self, parts: list[bytes]) -> bytes:
        if parts[0] == b"ADDGET":
            total = b"%.6f" % self.add(parts[1], float(parts[2]), float(parts[3]) / 1000)
            return b"$%d\r\n%b\r\n" % (len(total), total)
        return b"+PONG\r\n" if parts[0] == b"PING" else b"-ERR no such call\r\n"


async def run_counter(port: int) -> None:
    """Run the counter until it is killed: SIGUSR1 makes it silent, SIGUSR2 brings it back empty."""
    counter = Counter()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, counter.fall_silent)
    loop.add_signal_handler(signal.SIGUSR2, counter.come_back_empty)
    server = await asyncio.start_server(counter.serve, HOST, port, backlog=512)
    async with server:
        await server.serve_forever()


class CounterProcess:
    """The counter as a process."""

    def __init__(self, record: Record, port: int) -> None:
        """Nothing runs before `start`."""
        self.record, self.port = record, port
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it empty; return once it listens."""
        self._process = await asyncio.create_subprocess_exec(sys.executable, __file__, "counter", str(self.port))
        await wait_for_port(self.port)
        self.record.add("counter started")

    def send_signal(self, number: int) -> None:
        """Send a signal to it."""
        assert self._process is not None
        self._process.send_signal(number)
        self.record.add("counter signalled", signal=signal.Signals(number).name)

    async def kill(self) -> None:
        """End it at once."""
        if self._process is not None and self._process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()


async def wait_for_port(port: int, within_s: float = 20.0) -> None:
    """Return once something listens on a port."""
    until = time.monotonic() + within_s
    while True:
        try:
            _, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            if time.monotonic() > until:
                raise
            await asyncio.sleep(0.02)
        else:
            writer.close()
            return


# Gateways -----------------------------------------------------------------------------------------------------------


def run_command() -> str:
    """Return the command of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"])


class Door:
    """One gateway process, started by the command of the deploy file."""

    def __init__(self, folder: Path, record: Record, name: str, **config: Any) -> None:  # noqa: ANN401
        """`config` has the keys of the configuration file, without `name` and `listen`."""
        self.folder, self.record, self.name = folder, record, name
        self.port = free_ports(1)[0]
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **config,
        }
        self.path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        """Replace the configuration file."""
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config), encoding="utf-8")
        new.replace(self.path)

    async def start(self, wait: bool = True) -> None:
        """Start the process and wait until it is ready."""
        self.write_config()
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_shell(
            run_command(),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                **os.environ,
                "NODE_NAME": self.name,
                "NODE_LISTEN": self.config["listen"],
                "NODE_DISCOVERY": self.config["discovery"],
                "NODE_CONFIG": str(self.path),
                "TMPDIR": str(temporary),
            },
        )
        log.close()
        self.record.add("door started", door=self.name)
        if wait:
            await self.ready()

    async def ready(self, within_s: float = 20.0) -> None:
        """Return once the gateway answers its readiness check with 200."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, ConnectionError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer is not None and answer.status == 200:
                    return
            await asyncio.sleep(0.03)
        raise TimeoutError(f"{self.name} is not ready")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.record.add("door signalled", door=self.name, signal=signal.Signals(number).name)

    async def kill(self) -> None:
        """End the process at once, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Feed:
    """The feed of endpoints for stand-alone gateways: a long poll with an index."""

    def __init__(self, record: Record) -> None:
        """Begin with an empty list."""
        self.record = record
        self.port = 0
        self.index = 1
        self.servers: dict[int, dict[str, Any]] = {}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self.told_at: dict[int, float] = {}  # when each index was written to the gateway
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set(self, number: int, port: int, state: str = "up", zone: str = "room-a") -> int:
        """Add or change an entry; return the index of the change."""
        self.index += 1
        entry = {"id": number, "host": HOST, "port": port, "zone": zone, "kind": "standard", "state": state}
        self.servers[number] = entry
        if state == "gone":
            del self.servers[number]
        self._changes.append((self.index, entry))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.index

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while (message := await read_message(reader)) is not None:
                query = message.line.split()[1].partition("?")[2]
                fields = dict(part.split("=") for part in query.split("&"))
                body = await self._answer(int(fields.get("index", 0)), float(fields.get("wait", 0)) / 1000)
                self.told_at.setdefault(self.index, self.record.now())
                self.record.add("told", index=self.index, servers=body["servers"])
                writer.write(ok(json.dumps(body).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, known: int, wait_s: float) -> dict[str, Any]:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while known == self.index:
                    await self._changed.wait()
        latest = {entry["id"]: entry for index, entry in self._changes if index > known}
        servers = latest.values() if known else self.servers.values()
        scope = "changes" if known else "full"
        return {"index": self.index, "scope": scope, "now_unix_ms": time.time() * 1000, "servers": list(servers)}


class StandAlone:
    """A stand-alone gateway: `martenstep serve FILE`, in the environment that `build-2.sh` makes."""

    def __init__(self, folder: Path, record: Record, name: str, settings: str) -> None:
        """`settings` is in protobuf text format, without the name and the listener."""
        self.folder, self.record, self.name = folder, record, name
        self.port = free_ports(1)[0]
        self.path = folder / f"{name}.txtpb"
        listener = f'listener {{ host: "{HOST}" port: {self.port} }}'
        self.path.write_text(f'name: "{name}"\n{listener}\n{settings}\n', encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / ".ci-venv" / "bin" / "martenstep"), "serve", str(self.path), cwd=ROOT, stdout=log, stderr=log
            )
        self.record.add("door started", door=self.name)
        await wait_for_port(self.port)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.record.add("door signalled", door=self.name, signal=signal.Signals(number).name)

    async def kill(self) -> None:
        """End the process at once, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


LATE = "no answer in time"


# Clients ------------------------------------------------------------------------------------------------------------


class Answer:
    """How a request ended for its client."""

    def __init__(
        self, status: int, body: bytes, at: float, how: str = "", headers: dict[str, str] | None = None
    ) -> None:
        """Status 0 stands for a connection that ended without a whole answer."""
        self.status, self.body, self.at, self.how, self.headers = status, body, at, how, headers or {}


def head(request_id: str, cls: str, plan: str, customer: int, expires_ms: int, quota: str, **more: Any) -> bytes:  # noqa: ANN401, PLR0913
    """Return a request in the platform's form; with `key` it is a POST with a key, with `body` it has one."""
    key, body, retry = more.get("key"), more.get("body", b""), more.get("retry", False)
    method = more.get("method") or ("POST" if key else "GET")
    lines = [
        f"{method} /{cls}/{customer:016x} HTTP/1.1",
        "Host: origin.svc",
        f"X-Trace-Id: {request_id}",
        f"X-Qos: {cls}",
        f"X-Plan: {plan}",
        f"X-Expires-In-Ms: {expires_ms}",
        f"X-Quota: {quota}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if retry:
        lines.append("X-Second-Try: 1")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Front:
    """The connections of clients to one gateway: each carries one request at a time, and is kept."""

    def __init__(self, record: Record, door: Door | StandAlone) -> None:
        """Begin without connections."""
        self.record, self.door = record, door
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, request_id: str, data: bytes, wait_s: float) -> Answer:
        """Send a request, once more on a new connection if a kept one turns out to be closed; return its end."""
        self.record.add("sent", door=self.door.name, id=request_id)
        answer = await self._send(data, wait_s)
        self.record.add("answered", door=self.door.name, id=request_id, status=answer.status, how=answer.how)
        return answer

    async def _send(self, data: bytes, wait_s: float) -> Answer:
        while True:
            kept = bool(self._idle)
            try:
                reader, writer = self._idle.pop() if kept else await asyncio.open_connection(HOST, self.door.port)
            except OSError as error:
                return Answer(0, b"", self.record.now(), f"not connected: {error}")
            answer = await self._exchange(reader, writer, data, wait_s)
            if answer.status or answer.how == LATE or not kept:
                return answer

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes, wait_s: float
    ) -> Answer:
        try:
            async with asyncio.timeout(wait_s):
                writer.write(data)
                answer = await read_message(reader)
        except TimeoutError:
            writer.transport.abort()
            return Answer(0, b"", self.record.now(), LATE)
        except (OSError, asyncio.IncompleteReadError) as error:
            writer.close()
            return Answer(0, b"", self.record.now(), f"broken: {error!r}")
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        if answer is None:
            return Answer(0, b"", self.record.now(), "closed")
        return Answer(answer.status, answer.body, self.record.now(), "", answer.headers)

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()


# Cases --------------------------------------------------------------------------------------------------------------


class Case:
    """The folder, the record and the processes of one run of a case."""

    def __init__(self, script: str) -> None:
        """`script` is the file of the case."""
        self.record = Record(Path(script).resolve().parent / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.doors: list[Door | StandAlone] = []
        self.counter: CounterProcess | None = None
        self.servers: list[Server] = []

    async def close(self) -> None:
        """End all processes and write the record."""
        for door in self.doors:
            await door.kill()
        if self.counter is not None:
            await self.counter.kill()
        for server in self.servers:
            await server.stop()
        self.record.close()
        if os.environ.get("KEEP"):
            for door in self.doors:
                sys.stderr.write((self.folder / f"{door.name}.log").read_text(encoding="utf-8"))
        self._temporary.cleanup()


def main(script: str, play: Callable[[Case], Awaitable[int]], within_s: float = 110.0) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        case = Case(script)
        try:
            async with asyncio.timeout(within_s):
                return await play(case)
        except Exception as error:
            case.record.add("could not run", error=repr(error))
            sys.stderr.write(f"could not run: {error!r}\n")
            return NOT_RUN
        finally:
            await case.close()
            rest = asyncio.all_tasks() - {asyncio.current_task()}
            for task in rest:
                task.cancel()
            await asyncio.gather(*rest, return_exceptions=True)
            await asyncio.sleep(0.05)  # the transports of closed connections end

    code = asyncio.run(run())
    sys.unraisablehook = lambda unraisable: None  # streams that are collected after the end of the loop
    sys.exit(code)


if __name__ == "__main__":
    asyncio.run(run_counter(int(sys.argv[2])))
