"""The wires alone, and a relay on sockets: what each fault does to datagrams and streams."""

from __future__ import annotations

import asyncio
import random

from martenstep.lab.fleet.relay import Relay
from martenstep.lab.fleet.schedule import Step, members_of, parse_schedule
from martenstep.lab.fleet.wires import Arrival, Wires
from tests.socket_rig import run


def wires(text: str) -> tuple[Wires, list[Step]]:
    """Wires of six members with these faults begun, and the steps that end them."""
    schedule = parse_schedule(f'name: "w" members: 6 {text}', "w")
    made = Wires(members_of(schedule), random.Random(1))
    for number, entry in enumerate(schedule.trouble):
        made.step(Step(0.0, True, number, entry, ()))
    return made, [Step(0.0, False, number, entry, ()) for number, entry in enumerate(schedule.trouble)]


def passed(made: Wires, times: int = 1000, data: bytes = b"d" * 100) -> list[Arrival]:
    return [one for _ in range(times) for one in made.pass_on(0.0, "d000", "d001", data)]


def test_a_cut_holds_one_way_or_both_by_name_or_zone_and_ends() -> None:
    made, ends = wires('trouble { what: CUT source: "zone-a" sink: "d001,d002" }')
    assert made.is_cut("d000", "d001") and made.is_cut("d003", "d002")
    assert not made.is_cut("d001", "d000") and not made.is_cut("d000", "d004") and not passed(made)
    made.step(ends[0])
    assert not made.is_cut("d000", "d001") and len(passed(made, 3)) == 3
    both, _ = wires('trouble { what: CUT source: "d000" both: true }')
    assert both.is_cut("d000", "d001") and both.is_cut("d001", "d000") and not both.is_cut("d001", "d002")


def test_losses_doubles_and_replays_come_in_their_share() -> None:
    lost, _ = wires("trouble { what: LOSS share: 0.2 }")
    assert 740 < len(passed(lost)) < 860
    doubled, _ = wires("trouble { what: DUPLICATE share: 0.3 }")
    assert 1240 < len(passed(doubled)) < 1360
    again, _ = wires("trouble { what: REPLAY share: 0.3 ms: 500 }")
    late = [one for one in passed(again) if one.after_ms > 0]
    assert 240 < len(late) < 360 and max(one.after_ms for one in late) <= 500


def test_delays_reordering_and_changed_bytes() -> None:
    slow, _ = wires("trouble { what: DELAY ms: 40 jitter_ms: 10 }")
    assert all(40 <= one.after_ms <= 50 for one in passed(slow))
    mixed, _ = wires("trouble { what: REORDER share: 0.5 ms: 80 }")
    assert 400 < sum(one.after_ms > 0 for one in passed(mixed)) < 600
    spoilt, _ = wires("trouble { what: CORRUPT share: 1 }")
    for one in passed(spoilt, 50):
        assert sum(a != b for a, b in zip(one.data, b"d" * 100, strict=True)) == 1


def test_a_narrow_wire_queues_for_a_second_and_loses_the_rest() -> None:
    made, _ = wires("trouble { what: BANDWIDTH bytes_per_s: 10000 }")
    arrived = passed(made, 300)
    assert 100 <= len(arrived) <= 102 and arrived[9].after_ms == 100.0
    assert made.stream_ms("d000", "d001", 10_000) == 1000.0


def test_a_stalled_stream_waits_while_datagrams_pass() -> None:
    made, _ = wires('trouble { what: STALL source: "d000" sink: "d001" }')
    assert made.is_stalled("d000", "d001") and not made.is_stalled("d001", "d000") and len(passed(made, 5)) == 5


def test_a_relay_carries_both_kinds_and_holds_a_stream_while_it_is_stalled() -> None:
    async def test() -> None:
        made, ends = wires('trouble { what: STALL source: "d000" sink: "d001" }')
        got: asyncio.Queue[bytes] = asyncio.Queue()

        class Sink(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: object) -> None:
                got.put_nowait(data)

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"to " + await reader.readexactly(4))
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        sink, _ = await loop.create_datagram_endpoint(Sink, local_addr=("127.0.0.1", port))
        relay = Relay(made, "d000", "d001", ("127.0.0.1", port), lambda: 0.0)
        at = await relay.start()
        sender, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, remote_addr=at)
        sender.sendto(b"datagram")
        assert await got.get() == b"datagram"
        reader, writer = await asyncio.open_connection(*at)
        writer.write(b"door")
        answer = asyncio.create_task(reader.read())
        sender.sendto(b"passes still")
        assert await got.get() == b"passes still" and not answer.done()
        made.step(ends[0])
        assert await answer == b"to door"
        for each in (writer, sender, sink, server, relay):
            each.close()

    run(test())
