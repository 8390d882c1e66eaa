"""A replica group of the counter as processes of this program, for tests and benchmarks."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from martenstep.counter.protocol import Add, FrameDecoder, Hello, Read, TotalReply, decode, encode
from martenstep.counter.replica_process import read_identity
from martenstep.counter.replicated_counter import ReplicatedCounter
from martenstep.counter.state import CounterState
from martenstep.lab.ports import reserve_ports
from martenstep.replication.replica_storage import ReplicaStorage
from martenstep.storage.files import Disk

ANSWER_TIMEOUT_S = 2.0  # a replica that does not answer within this is paused or has ended


async def start_counter(file: Path, stderr: int | None = None) -> tuple[asyncio.subprocess.Process, int]:
    """Start `counter serve` with a settings file and wait until it is ready; returns the process and its port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "martenstep", "counter", "serve", str(file), stdout=asyncio.subprocess.PIPE, stderr=stderr
    )
    assert process.stdout is not None
    line = await process.stdout.readline()
    if not line:
        raise RuntimeError(f"{file}: the counter ended before it was ready, exit {await process.wait()}")
    return process, json.loads(line)["ready"]["port"]


class CounterReplicas:
    """One replica group; the files of all replicas are below one folder."""

    def __init__(self, folder: Path, count: int = 3, memory: Path | None = None) -> None:
        """Witness files are in the folder `memory`, on a tmpfs as in production, or else beside the logs."""
        self.folder, self.count = folder, count
        witness = memory or folder
        ports = reserve_ports(2 * count)
        self.ports = ports[count:]  # for gateways
        (folder / "keys").write_text("ab" * 16 + "\n")
        self.ids = [read_identity(folder / f"log-{n}", witness / f"witness-{n}") for n in range(count)]
        self._ports, self._witness = ports, witness
        self.write_settings(range(count))
        self.running: dict[int, asyncio.subprocess.Process] = {}

    def write_settings(self, numbers: Iterable[int], bootstrap_count: int | None = None) -> None:
        """Write the settings of a group of these replicas; the first `bootstrap_count` are its bootstrap members."""
        numbers = list(numbers)
        bootstrap_count = self.count if bootstrap_count is None else bootstrap_count
        replicas = "".join(
            f'copy {{ id: {self.ids[n]} port: {self._ports[n]} doors: "127.0.0.1:{self.ports[n]}" '
            f"{'later: true' if n >= bootstrap_count else ''} }} "
            for n in numbers
        )
        for n in numbers:
            self.file(n).write_text(
                f'name: "c{n}" port: {self.ports[n]} log {{ directory: "{self.folder}/log-{n}" }} '
                f'copies {{ group: "g" key_file: "{self.folder}/keys" witness: "{self._witness}/witness-{n}" '
                f"{replicas} }}"
            )

    def file(self, number: int) -> Path:
        """The settings file of a replica."""
        return self.folder / f"{number}.txtpb"

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The addresses for gateways."""
        return [("127.0.0.1", port) for port in self.ports]

    async def start(self, number: int) -> None:
        """Start a replica and wait until it is ready."""
        with (self.folder / f"{number}.log").open("ab") as log:
            self.running[number], _ = await start_counter(self.file(number), log.fileno())

    def logged_events(self, number: int) -> list[dict[str, Any]]:
        """The events that a replica has logged."""
        return [
            json.loads(line)
            for line in (self.folder / f"{number}.log").read_text().splitlines()
            if line.startswith("{") and line.endswith("}")
        ]

    async def start_all(self) -> None:
        """Start all replicas and wait until they are ready."""
        await asyncio.gather(*(self.start(number) for number in range(self.count)))

    async def kill(self, number: int) -> None:
        """Send SIGKILL to a replica and wait for its end."""
        process = self.running.pop(number)
        process.kill()
        await process.wait()

    async def stop(self) -> None:
        """Kill all replicas that are running."""
        for number in list(self.running):
            await self.kill(number)

    async def read_total(
        self, number: int, hello: Hello, command: Add | Read, within_s: float = ANSWER_TIMEOUT_S
    ) -> float | None:
        """The total that a replica answers; None if it is not the leader or does not answer in time."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(within_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[number])
                try:
                    writer.write(encode(hello) + encode(command))
                    frames = FrameDecoder()
                    while data := await reader.read(4096):
                        for reply in map(decode, frames.feed(data)):
                            if isinstance(reply, TotalReply):
                                return reply.total
                finally:
                    writer.close()
        return None

    async def wait_for_leader(self, name: int = 7) -> tuple[int, float]:
        """Wait for a leader; returns its number and the total that it holds under a counter name."""
        while True:
            for number in self.running:
                total = await self.read_total(number, Hello(f"reader-{number}", 1), Read(1, name))
                if total is not None:
                    return number, total
            await asyncio.sleep(0.02)

    def load_state(self, number: int) -> CounterState:
        """The state that a stopped replica would start with, with all its log entries applied."""
        with contextlib.closing(Disk(self.folder / f"log-{number}")) as disk:
            return ReplicatedCounter.from_stored(ReplicaStorage(disk, None, random.Random(1)).read_state()).state
