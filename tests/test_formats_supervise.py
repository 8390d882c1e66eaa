"""The bytes that a supervisor, its workers and a process manager exchange."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from pathlib import Path

import msgspec
import pytest
from google.protobuf import text_format

from martenstep.config import door_pb2 as pb
from martenstep.supervise import protocol as frames
from martenstep.supervise.process_manager import Notifier
from martenstep.supervise.protocol import (
    CommitSettings,
    Frame,
    PrepareSettings,
    ReloadFiles,
    StartWorker,
    WorkerMessage,
)
from martenstep.supervise.reloader import Reloader, ReloadTarget
from martenstep.supervise.worker_settings import build_worker_settings
from tests.engine_rig import gateway_settings

STORED = Path(__file__).parent / "formats" / "supervise"

FRAMES: dict[str, Frame] = {
    "begin": StartWorker(b"\x0a\x01d", 7, True, 3),
    "begin-least": StartWorker(b"\x0a\x01d"),
    "prepare": PrepareSettings(2, b"\x0a\x01e"),
    "commit": CommitSettings(2),
    "renew": ReloadFiles(),
}
WORKER_MESSAGES: dict[str, WorkerMessage] = {
    "ready": WorkerMessage({"listener": 8080, "admin": 9000}),
    "prepared": WorkerMessage(prepared_generation=3),
    "error": WorkerMessage(prepared_generation=3, error="needs a restart: admin.port"),
}


def test_each_frame_keeps_its_bytes() -> None:
    lines = dict(line.split() for line in (STORED / "frames.txt").read_text().splitlines())
    assert lines == {name: frames.encode(frame).hex() for name, frame in FRAMES.items()}

    async def read(data: bytes) -> Frame | None:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        return await frames.read_frame(reader)

    for name, frame in FRAMES.items():
        assert asyncio.run(read(bytes.fromhex(lines[name]))) == frame


def test_frames_keep_their_types_and_field_names() -> None:
    lines = dict(line.split() for line in (STORED / "frames.txt").read_text().splitlines())
    read = {name: msgspec.msgpack.decode(bytes.fromhex(line)[4:]) for name, line in lines.items()}
    assert read == {
        "begin": {"type": "Begin", "door": b"\x0a\x01d", "socket": 7, "reuse_port": True, "seed": 3},
        "begin-least": {"type": "Begin", "door": b"\x0a\x01d", "socket": -1, "reuse_port": False, "seed": None},
        "prepare": {"type": "Prepare", "number": 2, "door": b"\x0a\x01e"},
        "commit": {"type": "Commit", "number": 2},
        "renew": {"type": "Renew"},
    }


def test_each_line_of_a_worker_keeps_its_bytes() -> None:
    lines = (STORED / "said.jsonl").read_bytes().splitlines()
    assert [msgspec.json.encode(message) for message in WORKER_MESSAGES.values()] == lines
    assert [msgspec.json.decode(line, type=WorkerMessage) for line in lines] == list(WORKER_MESSAGES.values())


def test_the_derived_worker_settings_keep_their_values() -> None:
    gateway = gateway_settings(
        "workers { count: 3 share: REUSE_PORT } admin { port: 9000 } pid_file: '/run/door.pid' "
        'customer { key: "part" plan: "open" first_door: 1 doors: 1 }'
        'hooks { directory: "h" history: "h.jsonl" } counter { journal: "j" } members { warm_copy: "w" } '
        'tracing { file: "t" }'
    )
    text = "".join(
        f"# {number}\n{text_format.MessageToString(build_worker_settings(gateway, number))}" for number in range(3)
    )
    assert text.encode() == (STORED / "workers.txtpb").read_bytes()


def test_the_process_manager_is_notified_of_a_reload(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "clock_gettime_ns", lambda clock: 123_456_789)
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager_socket:
        manager_socket.bind(str(tmp_path / "n"))
        manager_socket.settimeout(5)
        notifier = Notifier({"NOTIFY_SOCKET": str(tmp_path / "n"), "WATCHDOG_USEC": "3000000"})
        assert notifier.watchdog_s == 1.5
        events: list[tuple[str, object]] = []
        current_settings = pb.Door()

        async def apply(new_settings: pb.Door) -> str:
            return ""

        reloader = Reloader(
            None,
            lambda event, fields: events.append((event, fields)),
            notifier,
            ReloadTarget(lambda: current_settings, apply, lambda: None),
        )
        asyncio.run(reloader.reload())
        assert manager_socket.recv(1000) == b"RELOADING=1\nMONOTONIC_USEC=123456\n"
        assert manager_socket.recv(1000) == b"READY=1\n"
        assert notifier.notify(READY=1, STATUS="serves at port 8080") and notifier.notify(WATCHDOG=1)
        assert manager_socket.recv(1000) == b"READY=1\nSTATUS=serves at port 8080\n"
        assert manager_socket.recv(1000) == b"WATCHDOG=1\n"
        assert not events
    other = {"NOTIFY_SOCKET": str(tmp_path / "n"), "WATCHDOG_USEC": "3000000", "WATCHDOG_PID": str(os.getpid() + 1)}
    assert Notifier(other).watchdog_s == 0.0
