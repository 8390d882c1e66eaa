"""Doors' commands to a counter that the doors of a fleet hold, and whether what they were told holds.

Each asking door is a `counter.client.CounterClient` of this process, as a real door has it: a command once written is
asked again until it is answered.  So, once all are answered, every add that may have left counts exactly once, every
promised try is recorded exactly once, and a total that was told was never less than what had been acknowledged before.
What the counter holds is read from the copies' disks when no door runs any more.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from martenstep.counter.client import Address, ClientOptions, CounterClient
from martenstep.counter.journal import AttemptJournal
from martenstep.counter.pending_increments import AttemptRecord
from martenstep.counter.replicated_counter import ReplicatedCounter
from martenstep.counter.shards import ShardedClient, owning_service
from martenstep.policy.messages import CallResult
from martenstep.replication.verify import StoredReplica, find_differences, find_latest, read_folder

EXPIRE_MS = 3_600_000.0
TIMEOUT_MS = 1000.0


class Asker:
    """One door that asks."""

    def __init__(self, name: str, folder: Path, addresses: Sequence[Address], slots: int, rng: random.Random) -> None:
        self.name, self._rng = name, rng
        self.calls: dict[int, tuple[int, float]] = {}  # call: name that it adds to, and when it was asked
        self.sent: Counter[int] = Counter()  # adds that may have left, by name
        self.acknowledged: Counter[int] = Counter()
        self.tries: set[str] = set()
        self.verdicts: Counter[str] = Counter()
        self.took = HdrHistogram(1, 60_000_000, 3)  # microseconds of an add that was told
        self.answers: defaultdict[str, list[float]] = defaultdict(list)  # by slot: monotonic seconds of its totals
        self.breaches: list[str] = []
        self._call = 0

        def likely() -> list[Address]:
            return list(addresses)

        self._slots = [f"counter-{slot}" for slot in range(slots)]
        self.shards = ShardedClient(
            {
                f"counter-{slot}": CounterClient(
                    likely,
                    AttemptJournal(folder / f"counter-{slot}", 1_000_000),
                    self._answered,
                    self._log_event,
                    ClientOptions(
                        name, timeout_ms=TIMEOUT_MS, max_pending=100_000, map_version=slots, group=f"counter-{slot}"
                    ),
                )
                for slot in range(slots)
            }
        )

    @staticmethod
    def _log_event(event: str, fields: dict[str, object]) -> None:
        """What a client says of its connection is not judged."""

    def ask(self, names: int) -> None:
        """One add and one try."""
        self._call += 1
        name = self._rng.randrange(names)
        self.calls[self._call] = name, time.monotonic()
        self.sent[name] += 1
        self.shards.add(self._call, name, 1.0, EXPIRE_MS)
        request = f"{self.name}-{self._call}"
        if self.shards.record(
            AttemptRecord(request, time.time() * 1000, 1.0, False, f"c{self._call % 50}", "p", "read")
        ):
            self.tries.add(request)

    def _answered(self, call: int, verdict: CallResult, total: float, kept_ms: float) -> None:
        name, asked = self.calls.pop(call)
        now = time.monotonic()
        self.verdicts[verdict.name] += 1
        if verdict is CallResult.CONNECT_FAILED or verdict is CallResult.OVERLOADED:
            self.sent[name] -= 1  # it never left
        if verdict is CallResult.OK:
            if total <= self.acknowledged[name]:
                self.breaches.append(
                    f"{self.name} was told {total} of name {name} after {self.acknowledged[name]} of "
                    "its own adds were acknowledged"
                )
            self.acknowledged[name] += 1
            self.took.record_value(int((now - asked) * 1e6))
            self.answers[owning_service(self._slots, f"n{name:x}")].append(now)


class Promises:
    """Several doors that ask, at an even rate."""

    def __init__(
        self, folder: Path, addresses: Sequence[Address], slots: int, askers: int = 4, names: int = 40, seed: int = 1
    ) -> None:
        self._names = names
        self.askers = [
            Asker(f"asker-{number}", folder / f"asker-{number}", addresses, slots, random.Random(f"{seed} {number}"))
            for number in range(askers)
        ]
        self._asking: asyncio.Task[None] | None = None

    def start(self, per_s: float) -> None:
        """Ask from now on."""
        for asker in self.askers:
            asker.shards.start()
        self._asking = asyncio.get_running_loop().create_task(self._ask(per_s))

    async def _ask(self, per_s: float) -> None:
        begin, made = time.monotonic(), 0
        while True:
            due = int((time.monotonic() - begin) * per_s)
            for number in range(made, due):
                self.askers[number % len(self.askers)].ask(self._names)
            made = due
            await asyncio.sleep(0.005)

    async def settle(self, within_s: float) -> bool:
        """Ask nothing more, and wait until all is answered; False where it was not in time."""
        if self._asking is not None:
            self._asking.cancel()
        done = await asyncio.gather(*(asker.shards.flush(within_s * 1000) for asker in self.askers))
        await asyncio.gather(*(asker.shards.stop() for asker in self.askers))
        return all(done)

    @property
    def told(self) -> int:
        """Adds that were acknowledged so far."""
        return sum(asker.acknowledged.total() for asker in self.askers)

    def without_answers_s(self, since: float = 0.0) -> float:
        """The longest time between two answers of one slot, from a moment on."""
        longest = 0.0
        for slot in {slot for asker in self.askers for slot in asker.answers}:
            times = sorted(at for asker in self.askers for at in asker.answers[slot] if at >= since)
            longest = max([longest, *(after - before for before, after in itertools.pairwise(times))])
        return longest

    def judge(self, folders: Sequence[Path]) -> list[str]:
        """What was promised and does not hold, a line each; the doors must have ended."""
        found = [one for folder in folders if (folder / "groups").exists() for one in read_folder(folder)]
        breaches = [line for asker in self.askers for line in asker.breaches] + find_differences(found)
        totals, tries = _held(found, self._names)
        sent: Counter[int] = Counter()
        for asker in self.askers:
            sent.update(asker.sent)
        for name in sorted(sent):
            if totals[name] != sent[name]:
                breaches.append(f"name {name}: {totals[name]:g} are held of {sent[name]} that were sent")
        promised = sum(len(asker.tries) for asker in self.askers)
        if tries != promised:
            breaches.append(f"{tries} tries are recorded of {promised} that were promised")
        return breaches

    def summary(self) -> dict[str, Any]:
        """Figures of the asking doors."""
        verdicts: Counter[str] = Counter()
        took = HdrHistogram(1, 60_000_000, 3)
        for asker in self.askers:
            verdicts.update(asker.verdicts)
            took.add(asker.took)
        return {
            "verdicts": dict(verdicts),
            "p50_ms": took.get_value_at_percentile(50) / 1000,
            "p99_ms": took.get_value_at_percentile(99) / 1000,
            "longest_without_s": round(self.without_answers_s(), 3),
        }


def _held(found: list[StoredReplica], names: int) -> tuple[Counter[int], int]:
    """Totals by name and the number of tries, from the furthest copy of each group."""
    totals: Counter[int] = Counter()
    tries = 0
    for one in find_latest(found).values():
        machine = ReplicatedCounter.from_stored(one.state)
        totals.update({name: int(machine.total(name)) for name in range(names)})
        tries += sum(use.attempts for use in machine.state.usage().values())
    return totals, tries
