"""A rolling upgrade under load: `python -m bench.rolling_upgrade --old CHECKOUT [--new CHECKOUT]`.

Three counter replicas run as processes of the old checkout's text, on loopback.  While a client adds, each replica is
stopped and replaced by the new checkout's text on the same folder: a follower, the leader, then the last one.  At the
end each add must be counted once if it was acknowledged or may have arrived, and not at all if it never left; every
replica's folder is read and verified.  Exit 1 otherwise.  Run by hand, not part of the tests.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import click

from martenstep.counter.client import ClientOptions, CounterClient
from martenstep.counter.journal import AttemptJournal
from martenstep.counter.protocol import FrameDecoder, Hello, Read, TotalReply, decode, encode
from martenstep.lab.copies import CounterReplicas
from martenstep.policy.messages import CallResult

REPLICAS = 3
NEW_CHECKOUT = Path(__file__).resolve().parents[1]
ADD_INTERVAL_S = 0.01
CLIENT_TIMEOUT_MS = 300.0
RETAINED_MS = 86_400_000.0
JOURNAL_RECORDS = 100_000
EXIT_S = 15.0  # for a replica that was asked to stop
FLUSH_MS = 30_000
POLL_S = 0.02
READS_AT_ONCE = 500
READ_BYTES = 1 << 16


class UpgradeError(Exception):
    """What the upgrade lost, doubled or left damaged."""


def environment(checkout: Path) -> dict[str, str]:
    """Variables that make a process run a checkout's text."""
    return {**os.environ, "PYTHONPATH": str(checkout), "PYTHONDONTWRITEBYTECODE": "1"}


def run_cli(checkout: Path, *words: str) -> str:
    """The output of a command of a checkout; raises UpgradeError where it fails."""
    command = [sys.executable, "-m", "martenstep", *words]
    done = subprocess.run(
        command, cwd=checkout, env=environment(checkout), capture_output=True, text=True, timeout=60.0, check=False
    )
    if done.returncode:
        raise UpgradeError(f"{' '.join(words)}: exit {done.returncode}: {done.stdout}{done.stderr}")
    return done.stdout


class Replicas(CounterReplicas):
    """Replicas whose processes each run the text of a stated checkout."""

    def __init__(self, folder: Path, checkout: Path) -> None:
        """Folders get their identity from `checkout`."""
        for number in range(REPLICAS):
            run_cli(
                checkout, "counter", "identity", f"{folder}/log-{number}", "--witness", f"{folder}/witness-{number}"
            )
        super().__init__(folder, REPLICAS)

    async def start_from(self, checkout: Path, number: int) -> None:
        """Run one replica and wait until it is ready."""
        with (self.folder / f"{number}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "martenstep",
                "counter",
                "serve",
                str(self.file(number)),
                cwd=checkout,
                env=environment(checkout),
                stdout=asyncio.subprocess.PIPE,
                stderr=log.fileno(),
            )
        self.running[number] = process
        assert process.stdout is not None
        line = await process.stdout.readline()
        if not line:
            raise UpgradeError(f"replica {number} of {checkout} does not start: exit {await process.wait()}")
        json.loads(line)["ready"]

    async def terminate(self, number: int) -> None:
        """Stop one replica as an operator does, by SIGTERM."""
        process = self.running.pop(number)
        process.terminate()
        async with asyncio.timeout(EXIT_S):
            code = await process.wait()
        if code:
            raise UpgradeError(f"replica {number} ends with exit {code}")


@dataclass(slots=True)
class Load:
    """Adds of one unit, each to a name of its own, and what the client was told of them."""

    limit: int
    results: dict[int, CallResult] = field(default_factory=dict)
    sent: int = 0
    stopping: bool = False

    def answered(self, call: int, result: CallResult, total: float, retained_ms: float) -> None:
        """The client's callback: once for each add."""
        if call in self.results:
            raise UpgradeError(f"add {call} was answered twice")
        self.results[call] = result

    @property
    def acknowledged(self) -> int:
        """Adds that the client was told are counted."""
        return sum(result is CallResult.OK for result in self.results.values())

    async def run(self, client: CounterClient) -> None:
        """Add until told to stop, or until the limit."""
        while not self.stopping and self.sent < self.limit:
            self.sent += 1
            client.add(self.sent, self.sent, 1.0, RETAINED_MS)
            await asyncio.sleep(ADD_INTERVAL_S)

    async def progress(self, adds: int) -> None:
        """Return once so many more adds were acknowledged."""
        wanted = self.acknowledged + adds
        while self.acknowledged < wanted:
            if self.sent >= self.limit:
                raise UpgradeError(f"the limit of {self.limit} adds was reached before {wanted} were acknowledged")
            await asyncio.sleep(POLL_S)


async def upgrade(replicas: Replicas, old: Path, new: Path, load: Load, between: int) -> None:
    """Start all from the old text, then replace each, `between` acknowledged adds apart."""
    await asyncio.gather(*(replicas.start_from(old, number) for number in range(REPLICAS)))
    leader, _ = await replicas.wait_for_leader()
    first, last = (number for number in range(REPLICAS) if number != leader)
    await load.progress(between)
    for number in (first, leader, last):
        await replicas.terminate(number)
        await load.progress(between)  # the two others go on alone
        await replicas.start_from(new, number)
        await load.progress(between)
        leading, _ = await replicas.wait_for_leader()
        click.echo(f"replica {number} replaced; {load.acknowledged} adds acknowledged; {leading} leads")


async def served_totals(replicas: Replicas, names: range) -> dict[int, float]:
    """Each name's total as the leader answers it."""
    leader, _ = await replicas.wait_for_leader()
    reader, writer = await asyncio.open_connection("127.0.0.1", replicas.ports[leader])
    frames, totals = FrameDecoder(), dict[int, float]()
    writer.write(encode(Hello("verifier", 1)))
    for first in range(names.start, names.stop, READS_AT_ONCE):
        batch = range(first, min(first + READS_AT_ONCE, names.stop))
        writer.write(b"".join(encode(Read(name, name)) for name in batch))
        while len(totals) < batch.stop - names.start:
            data = await reader.read(READ_BYTES)
            if not data:
                raise UpgradeError(f"replica {leader} leads no more while totals are read")
            replies = [decode(payload) for payload in frames.feed(data)]
            totals |= {reply.sequence: reply.total for reply in replies if isinstance(reply, TotalReply)}
    writer.close()
    return totals


def expected_totals(load: Load) -> dict[int, float]:
    """What each add must have made of its name; raises UpgradeError where one has no result."""
    if len(load.results) != load.sent:
        raise UpgradeError(f"{load.sent - len(load.results)} of {load.sent} adds were never answered")
    return {call: 0.0 if result is CallResult.CONNECT_FAILED else 1.0 for call, result in load.results.items()}


async def verify_served(replicas: Replicas, load: Load) -> None:
    """Hold what the group answers against what the client was told; raises UpgradeError."""
    expected = expected_totals(load)
    totals = await served_totals(replicas, range(1, load.sent + 1))
    wrong = [call for call, total in expected.items() if totals[call] != total]
    if wrong:
        raise UpgradeError(f"the leader answers another total for {len(wrong)} adds: {wrong[:10]}")


def verify(replicas: Replicas, new: Path, load: Load) -> None:
    """Hold the folders against what the client was told; raises UpgradeError."""
    expected, complete = expected_totals(load), 0
    for number in range(REPLICAS):
        state = replicas.load_state(number)
        totals = {call: state.total(call) for call in expected}
        doubled = [call for call, total in totals.items() if total > expected[call]]
        if doubled:
            raise UpgradeError(f"replica {number} counts too much for adds {doubled[:10]}")
        complete += totals == expected
    if complete <= REPLICAS // 2:
        raise UpgradeError(f"only {complete} replicas hold every add")
    folders = [replicas.folder / f"node-{number}" for number in range(REPLICAS)]
    for number, folder in enumerate(folders):
        (folder / "groups").mkdir(parents=True)
        (folder / "groups" / "counter").symlink_to(replicas.folder / f"log-{number}")
    click.echo(run_cli(new, "copies", "verify", *map(str, folders)).rstrip())
    click.echo(f"{complete} of {REPLICAS} replicas hold every add")


async def scenario(folder: Path, old: Path, new: Path, load: Load, between: int) -> None:
    """The upgrade under load, then the check; raises UpgradeError, TimeoutError."""
    replicas = Replicas(folder, old)
    client = CounterClient(
        replicas.addresses,
        AttemptJournal(folder / "journal", JOURNAL_RECORDS),
        load.answered,
        lambda event, fields: None,
        ClientOptions("client", timeout_ms=CLIENT_TIMEOUT_MS),
    )
    client.start()
    loading = asyncio.create_task(load.run(client))
    try:
        await upgrade(replicas, old, new, load, between)
        load.stopping = True
        await loading
        if not await client.flush(FLUSH_MS):
            raise UpgradeError(f"{client.pending_count} adds are not acknowledged after {FLUSH_MS} ms")
        await verify_served(replicas, load)
        for number in list(replicas.running):
            await replicas.terminate(number)
    finally:
        loading.cancel()
        await client.stop()
        await replicas.stop()
    verify(replicas, new, load)


async def bounded(folder: Path, old: Path, new: Path, load: Load, between: int, within_s: float) -> None:
    """The scenario within a time; raises UpgradeError."""
    try:
        async with asyncio.timeout(within_s):
            await scenario(folder, old, new, load, between)
    except TimeoutError:
        raise UpgradeError(f"not done in {within_s:g} s; {load.acknowledged} adds acknowledged") from None


CHECKOUT = click.Path(path_type=Path, file_okay=False, exists=True, resolve_path=True)


@click.command()
@click.option("--old", type=CHECKOUT, required=True, help="Checkout that the replicas run first.")
@click.option("--new", type=CHECKOUT, default=NEW_CHECKOUT, help="Checkout that replaces it; this one by default.")
@click.option("--between", default=60, show_default=True, help="Acknowledged adds between two steps.")
@click.option("--limit", default=5000, show_default=True, help="Adds at most.")
@click.option("--within", "within_s", default=120.0, show_default=True, help="Seconds for all.")
def main(old: Path, new: Path, between: int, limit: int, within_s: float) -> None:
    """Upgrade three replicas one at a time under load."""
    load = Load(limit)
    with tempfile.TemporaryDirectory() as folder:
        try:
            asyncio.run(bounded(Path(folder), old, new, load, between, within_s))
        except UpgradeError as error:
            click.echo(f"FAILED: {error}")
            sys.exit(1)
    results = Counter(result.name for result in load.results.values())
    click.echo(f"{load.sent} adds: " + ", ".join(f"{count} {name}" for name, count in sorted(results.items())))


if __name__ == "__main__":
    main()
