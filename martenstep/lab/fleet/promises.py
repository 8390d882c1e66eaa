"""A workload of calls to the counter that a fleet of gateways replicates, and a check of what was acknowledged.

Each caller is a `counter.client.CounterClient` of this process, as a gateway has one: it repeats a journaled command
until that is answered.  So, once all calls are answered, every increment that may have been sent counts exactly once,
every acknowledged attempt is recorded exactly once, and a returned total was never below the increments acknowledged
before it.  The counter's state is read from the replicas' disks after all gateways have ended.
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

COUNTER_EXPIRY_MS = 3_600_000.0
CALL_TIMEOUT_MS = 1000.0


class CounterCaller:
    """A client of the counter, as one gateway has it, with the results of its calls."""

    def __init__(self, name: str, folder: Path, addresses: Sequence[Address], slots: int, rng: random.Random) -> None:
        self.name, self._rng = name, rng
        self.calls: dict[int, tuple[int, float]] = {}  # by call: the counter that it increments, and when it was sent
        self.sent: Counter[int] = Counter()  # increments that may have been sent, by counter
        self.acknowledged: Counter[int] = Counter()
        self.attempts: set[str] = set()
        self.results: Counter[str] = Counter()
        self.latency_us = HdrHistogram(1, 60_000_000, 3)  # of acknowledged increments
        # By slot: the monotonic time of each answer, in seconds.
        self.answer_times: defaultdict[str, list[float]] = defaultdict(list)
        self.violations: list[str] = []
        self._call = 0

        def list_addresses() -> list[Address]:
            return list(addresses)

        self._slots = [f"counter-{slot}" for slot in range(slots)]
        self.shards = ShardedClient(
            {
                f"counter-{slot}": CounterClient(
                    list_addresses,
                    AttemptJournal(folder / f"counter-{slot}", 1_000_000),
                    self._record_result,
                    self._log_event,
                    ClientOptions(
                        name,
                        timeout_ms=CALL_TIMEOUT_MS,
                        max_pending=100_000,
                        map_version=slots,
                        group=f"counter-{slot}",
                    ),
                )
                for slot in range(slots)
            }
        )

    @staticmethod
    def _log_event(event: str, fields: dict[str, object]) -> None:
        """Ignore the client's connection events."""

    def send(self, names: int) -> None:
        """Send one increment, and record one attempt."""
        self._call += 1
        name = self._rng.randrange(names)
        self.calls[self._call] = name, time.monotonic()
        self.sent[name] += 1
        self.shards.add(self._call, name, 1.0, COUNTER_EXPIRY_MS)
        request = f"{self.name}-{self._call}"
        if self.shards.record(
            AttemptRecord(request, time.time() * 1000, 1.0, False, f"c{self._call % 50}", "p", "read")
        ):
            self.attempts.add(request)

    def _record_result(self, call: int, result: CallResult, total: float, kept_ms: float) -> None:
        name, sent_at_s = self.calls.pop(call)
        now = time.monotonic()
        self.results[result.name] += 1
        if result is CallResult.CONNECT_FAILED or result is CallResult.OVERLOADED:
            self.sent[name] -= 1  # it was not sent
        if result is CallResult.OK:
            if total <= self.acknowledged[name]:
                self.violations.append(
                    f"{self.name} received total {total} of counter {name} after {self.acknowledged[name]} of "
                    "its own increments had been acknowledged"
                )
            self.acknowledged[name] += 1
            self.latency_us.record_value(int((now - sent_at_s) * 1e6))
            self.answer_times[owning_service(self._slots, f"n{name:x}")].append(now)


class CounterWorkload:
    """Several callers that send at an even rate."""

    def __init__(
        self, folder: Path, addresses: Sequence[Address], slots: int, callers: int = 4, names: int = 40, seed: int = 1
    ) -> None:
        self._names = names
        self.callers = [
            CounterCaller(
                f"asker-{number}", folder / f"asker-{number}", addresses, slots, random.Random(f"{seed} {number}")
            )
            for number in range(callers)
        ]
        self._sending: asyncio.Task[None] | None = None

    def start(self, per_s: float) -> None:
        """Start to send."""
        for caller in self.callers:
            caller.shards.start()
        self._sending = asyncio.get_running_loop().create_task(self._send_at_rate(per_s))

    async def _send_at_rate(self, per_s: float) -> None:
        begin, sent_count = time.monotonic(), 0
        while True:
            due = int((time.monotonic() - begin) * per_s)
            for number in range(sent_count, due):
                self.callers[number % len(self.callers)].send(self._names)
            sent_count = due
            await asyncio.sleep(0.005)

    async def settle(self, within_s: float) -> bool:
        """Stop sending, and wait for all answers; False where some are missing after `within_s`."""
        if self._sending is not None:
            self._sending.cancel()
        done = await asyncio.gather(*(caller.shards.flush(within_s * 1000) for caller in self.callers))
        await asyncio.gather(*(caller.shards.stop() for caller in self.callers))
        return all(done)

    @property
    def acknowledged_count(self) -> int:
        """Return the number of increments acknowledged so far."""
        return sum(caller.acknowledged.total() for caller in self.callers)

    def longest_answer_gap_s(self, since: float = 0.0) -> float:
        """Return the longest time between two answers of one slot since a moment."""
        longest = 0.0
        for slot in {slot for caller in self.callers for slot in caller.answer_times}:
            times = sorted(at for caller in self.callers for at in caller.answer_times[slot] if at >= since)
            longest = max([longest, *(after - before for before, after in itertools.pairwise(times))])
        return longest

    def find_violations(self, folders: Sequence[Path]) -> list[str]:
        """Return each violation of what was acknowledged, from the replicas on disk; all gateways must have ended."""
        replicas = [replica for folder in folders if (folder / "groups").exists() for replica in read_folder(folder)]
        violations = [line for caller in self.callers for line in caller.violations] + find_differences(replicas)
        totals, attempts = _stored_totals(replicas, self._names)
        sent: Counter[int] = Counter()
        for caller in self.callers:
            sent.update(caller.sent)
        for name in sorted(sent):
            if totals[name] != sent[name]:
                violations.append(f"counter {name}: the total is {totals[name]:g} after {sent[name]} increments")
        accepted_attempts = sum(len(caller.attempts) for caller in self.callers)
        if attempts != accepted_attempts:
            violations.append(f"{attempts} attempts are recorded, and {accepted_attempts} were accepted")
        return violations

    def summary(self) -> dict[str, Any]:
        """Return the figures of all callers together."""
        results: Counter[str] = Counter()
        latency_us = HdrHistogram(1, 60_000_000, 3)
        for caller in self.callers:
            results.update(caller.results)
            latency_us.add(caller.latency_us)
        return {
            "verdicts": dict(results),
            "p50_ms": latency_us.get_value_at_percentile(50) / 1000,
            "p99_ms": latency_us.get_value_at_percentile(99) / 1000,
            "longest_without_s": round(self.longest_answer_gap_s(), 3),
        }


def _stored_totals(replicas: list[StoredReplica], names: int) -> tuple[Counter[int], int]:
    """Return totals by counter and the number of attempts, from the most advanced replica of each group."""
    totals: Counter[int] = Counter()
    attempts = 0
    for replica in find_latest(replicas).values():
        counter = ReplicatedCounter.from_stored(replica.state)
        totals.update({name: int(counter.total(name)) for name in range(names)})
        attempts += sum(use.attempts for use in counter.state.usage().values())
    return totals, attempts
