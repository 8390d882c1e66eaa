"""An embedded store or a log of our own: groups of adds, one durable commit a group: `python -m bench.stores`."""

from __future__ import annotations

import sqlite3
import struct
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import lmdb

from martenstep.counter.commit_pipeline import CommitPipeline
from martenstep.counter.log_entries import ADD_LAYOUT, ENTRY_ADD
from martenstep.counter.protocol import Add
from martenstep.counter.state import CounterLimits
from martenstep.storage.files import Disk
from martenstep.storage.log import LogWriter, open_log

GROUP, NAMES, SECONDS = 500, 10_000, 3.0
Commit = Callable[[int], None]


def by_log(folder: Path) -> Commit:
    """The project's keeper, repeats and all."""
    keeper = CommitPipeline(Disk(folder), CounterLimits())
    session = keeper.open_session("d", 1)
    assert session is not None
    keeper.commit_pending()

    def commit(first: int) -> None:
        for number in range(first, first + GROUP):
            keeper.submit(None, session, Add(number, number % NAMES, 1.0, 1e12))
        keeper.commit_pending()

    return commit


def by_entries(folder: Path) -> Commit:
    """The log alone: entries made and written, nothing kept in memory; what the stores below do, without totals."""
    files = Disk(folder)
    writer = LogWriter(files, open_log(files), 64 << 20)

    def commit(first: int) -> None:
        writer.write(
            [
                ADD_LAYOUT.pack(ENTRY_ADD, 1.0, 0, number, number % NAMES, 1.0, 1e12)
                for number in range(first, first + GROUP)
            ],
            True,
        )

    return commit


def by_lmdb(folder: Path) -> Commit:
    """Totals in one database, a record of each add in another."""
    env = lmdb.open(str(folder), map_size=4 << 30, max_dbs=2)
    totals, records = env.open_db(b"totals"), env.open_db(b"records")

    def commit(first: int) -> None:
        with env.begin(write=True) as txn:
            for number in range(first, first + GROUP):
                key = (number % NAMES).to_bytes(8, "big")
                held = txn.get(key, db=totals)
                total = (struct.unpack(">d", held)[0] if held else 0.0) + 1.0
                txn.put(key, struct.pack(">d", total), db=totals)
                txn.put(
                    number.to_bytes(8, "big"),
                    struct.pack(">dQQdd", 1.0, number, number % NAMES, 1.0, 1e12),
                    db=records,
                    append=True,
                )

    return commit


def by_sqlite(folder: Path) -> Commit:
    """The same in two tables, write-ahead log, full sync."""
    db = sqlite3.connect(folder / "c.db", isolation_level=None)
    db.execute("pragma journal_mode=wal")
    db.execute("pragma synchronous=full")
    db.execute("create table totals (name integer primary key, total real)")
    db.execute("create table records (number integer primary key, at real, name integer, units real, expire real)")

    def commit(first: int) -> None:
        db.execute("begin")
        db.executemany(
            "insert into totals values (?, 1.0) on conflict (name) do update set total = total + 1.0",
            [(number % NAMES,) for number in range(first, first + GROUP)],
        )
        db.executemany(
            "insert into records values (?, 1.0, ?, 1.0, 1e12)",
            [(number, number % NAMES) for number in range(first, first + GROUP)],
        )
        db.execute("commit")

    return commit


def main() -> None:
    """Print a table; rounds alternate."""
    found: dict[str, list[float]] = {}
    sizes: dict[str, int] = {}
    kinds = {
        "log of our own, whole keeper": by_log,
        "log of our own, entries only": by_entries,
        "lmdb": by_lmdb,
        "sqlite, WAL": by_sqlite,
    }
    for _ in range(3):
        for what, made in kinds.items():
            with tempfile.TemporaryDirectory(dir=".") as name:
                commit, first = made(Path(name)), 1
                began = time.perf_counter()
                while time.perf_counter() - began < SECONDS:
                    commit(first)
                    first += GROUP
                found.setdefault(what, []).append((first - 1) / (time.perf_counter() - began))
                disk = sum(path.stat().st_blocks * 512 for path in Path(name).iterdir())
                sizes[what] = disk // (first - 1)
    print("| what | durable adds a second (three rounds) | bytes on disk an add |\n| --- | --- | --- |")
    for what, rates in found.items():
        print(f"| {what} | {', '.join(f'{rate:.0f}' for rate in sorted(rates))} | {sizes[what]} |")


if __name__ == "__main__":
    main()
