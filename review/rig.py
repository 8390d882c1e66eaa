"""Stand-ins and helpers that the cases share: HTTP/1.1 on loopback, the endpoint feed, processes, the record.

The stand-ins use nothing but the standard library.  Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, UNABLE = 0, 1, 2  # the exit codes of a case
TIME_LIMIT_S = 110.0
CONNECTION_ERRORS = (ConnectionError, asyncio.IncompleteReadError, OSError)
Headers = dict[str, str]


class UnableError(Exception):
    """The case cannot run."""


class Record:
    """The record of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        """Begin an empty file."""
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.4f} {what} {text}\n")
        self._file.flush()


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address."""
    sockets = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [int(one.getsockname()[1]) for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], Headers]:
    """Read a head; return the words of its first line, and its headers by lower-case name."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0].split(" ", 2), {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Read a body with a length, or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def message(first_line: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items()), f"content-length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """A server whose `respond` answers one request of one connection; False ends the connection."""

    def __init__(self) -> None:
        """Begin without a port."""
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accepted, HOST, self.port, backlog=512)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                words, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.respond(words, headers, body, reader, writer):
                    return
        except (*CONNECTION_ERRORS, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def respond(
        self,
        words: list[str],
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request."""
        raise NotImplementedError

    def close(self) -> None:
        """End the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Feed(HttpServer):
    """The endpoint feed of a stand-alone gateway: a long poll of a list that does not change."""

    def __init__(self, servers: list[dict[str, Any]]) -> None:
        """`servers` are the entries of the list."""
        super().__init__()
        self._servers = servers

    async def respond(
        self,
        words: list[str],
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer the first poll with the list, and hold all others for the time that they state."""
        query = dict(part.split("=", 1) for part in words[1].partition("?")[2].split("&") if "=" in part)
        is_first = query.get("index", "0") == "0"
        if not is_first:
            await asyncio.sleep(float(query.get("wait", "0")) / 1000)
        answer = {
            "index": 1,
            "scope": "full" if is_first else "changes",
            "now_unix_ms": time.time() * 1000,
            "servers": self._servers if is_first else [],
        }
        writer.write(message("HTTP/1.1 200 OK", {"content-type": "application/json"}, json.dumps(answer).encode()))
        await writer.drain()
        return True


class Process:
    """One program of the project, started in a process group of its own."""

    def __init__(self, command: list[str], log: Path, environment: dict[str, str] | None = None) -> None:
        """`log` receives what the program writes."""
        self._command, self._log, self._environment = command, log, environment or {}
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it."""
        with self._log.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env={**os.environ, **self._environment},
                start_new_session=True,
            )

    @property
    def running(self) -> bool:
        """Whether it runs."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def stop(self, within_s: float = 5.0) -> None:
        """Send SIGTERM and wait, then SIGKILL."""
        if self._process is None or self._process.returncode is not None:
            return
        self.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._process.wait(), within_s)
        if self._process.returncode is None:
            self.signal(signal.SIGKILL)
            await self._process.wait()


async def wait_for(check: Callable[[], Awaitable[bool]], within_s: float, what: str) -> None:
    """Wait until a check is true; raises UnableError."""
    until = time.monotonic() + within_s
    while not await check():
        if time.monotonic() >= until:
            raise UnableError(f"{what}: not within {within_s:.0f} s")
        await asyncio.sleep(0.05)


async def accepts(port: int) -> bool:
    """Whether a connection to a port can be made."""
    try:
        _, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    writer.close()
    return True


def stand_alone_command(*arguments: str) -> list[str]:
    """Return the command of a stand-alone program, as review/build.sh has built it."""
    program = ROOT / ".ci-venv" / "bin" / "martenstep"
    if not program.exists():
        raise UnableError("review/build.sh has not been run")
    return [str(program), *arguments]


def run_command() -> list[str]:
    """Return the command of a front door from the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    if not (ROOT / shlex.split(deploy["run"])[1]).exists():
        raise UnableError("the build of the deploy file has not been run")
    return ["/bin/sh", "-c", deploy["run"]]


def play(case: Callable[[Path, Record, bool], Awaitable[bool]], record_file: Path) -> int:
    """Run a case in a temporary folder, and return the exit code; `case` returns whether the rule held."""
    record = Record(record_file)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("start", trouble=int(with_trouble))

    async def bounded(directory: Path) -> bool:
        async with asyncio.timeout(TIME_LIMIT_S):
            return await case(directory, record, with_trouble)

    try:
        with tempfile.TemporaryDirectory(prefix="review-") as directory:
            held = asyncio.run(bounded(Path(directory)))
    except (UnableError, TimeoutError, OSError) as error:
        record.write("unable", error=repr(error))
        print(f"the case could not run: {error!r}")
        return UNABLE
    print("the rule held" if held else "the rule was broken")
    record.write("held" if held else "broken")
    return HELD if held else BROKEN
