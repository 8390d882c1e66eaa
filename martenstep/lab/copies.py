"""Copies of the counter as processes of the program, for tests and benches: started, killed, paused, asked."""

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
from martenstep.lab.ports import held_ports
from martenstep.replication.replica_storage import ReplicaStorage
from martenstep.storage.files import Disk

ASK_S = 2.0  # a copy that says nothing for so long is paused or gone


async def started(file: Path, stderr: int | None = None) -> tuple[asyncio.subprocess.Process, int]:
    """`counter serve` with the settings in a file, once it is ready, and its port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "martenstep", "counter", "serve", str(file), stdout=asyncio.subprocess.PIPE, stderr=stderr
    )
    assert process.stdout is not None
    line = await process.stdout.readline()
    if not line:
        raise RuntimeError(f"{file} is not served: exit {await process.wait()}")
    return process, json.loads(line)["ready"]["port"]


class Copies:
    """One group, each copy with its files below a folder."""

    def __init__(self, folder: Path, count: int = 3, memory: Path | None = None) -> None:
        """Witnesses stand in `memory`, as in service; without it beside the logs."""
        self.folder, self.count = folder, count
        witness = memory or folder
        ports = held_ports(2 * count)
        self.ports = ports[count:]  # for doors
        (folder / "keys").write_text("ab" * 16 + "\n")
        self.ids = [read_identity(folder / f"log-{n}", witness / f"witness-{n}") for n in range(count)]
        self._ports, self._witness = ports, witness
        self.write(range(count))
        self.running: dict[int, asyncio.subprocess.Process] = {}

    def write(self, numbers: Iterable[int], began: int | None = None) -> None:
        """Write the settings of some, as the whole group; the first `began` copies were there when it began."""
        numbers = list(numbers)
        began = self.count if began is None else began
        listed = "".join(
            f'copy {{ id: {self.ids[n]} port: {self._ports[n]} doors: "127.0.0.1:{self.ports[n]}" '
            f"{'later: true' if n >= began else ''} }} "
            for n in numbers
        )
        for n in numbers:
            self.file(n).write_text(
                f'name: "c{n}" port: {self.ports[n]} log {{ directory: "{self.folder}/log-{n}" }} '
                f'copies {{ group: "g" key_file: "{self.folder}/keys" witness: "{self._witness}/witness-{n}" '
                f"{listed} }}"
            )

    def file(self, number: int) -> Path:
        """A copy's settings."""
        return self.folder / f"{number}.txtpb"

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Where doors ask."""
        return [("127.0.0.1", port) for port in self.ports]

    async def start(self, number: int) -> None:
        """Run one, and wait until it is ready."""
        with (self.folder / f"{number}.log").open("ab") as log:
            self.running[number], _ = await started(self.file(number), log.fileno())

    def notes(self, number: int) -> list[dict[str, Any]]:
        """What a copy told staff."""
        return [
            json.loads(line)
            for line in (self.folder / f"{number}.log").read_text().splitlines()
            if line.startswith("{") and line.endswith("}")
        ]

    async def start_all(self) -> None:
        """Run all."""
        await asyncio.gather(*(self.start(number) for number in range(self.count)))

    async def kill(self, number: int) -> None:
        """SIGKILL."""
        process = self.running.pop(number)
        process.kill()
        await process.wait()

    async def stop(self) -> None:
        """Kill all that run."""
        for number in list(self.running):
            await self.kill(number)

    async def ask(self, number: int, hello: Hello, command: Add | Read, within_s: float = ASK_S) -> float | None:
        """The total that one copy answers with; None where it does not lead, or says nothing in time."""
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

    async def leader(self, name: int = 7) -> tuple[int, float]:
        """Who leads, and a name's total there; waits for one."""
        while True:
            for number in self.running:
                total = await self.ask(number, Hello(f"reader-{number}", 1), Read(1, name))
                if total is not None:
                    return number, total
            await asyncio.sleep(0.02)

    def on_disk(self, number: int) -> CounterState:
        """What a copy that is down would begin with, all its entries applied."""
        with contextlib.closing(Disk(self.folder / f"log-{number}")) as disk:
            return ReplicatedCounter.from_stored(ReplicaStorage(disk, None, random.Random(1)).read_state()).state
