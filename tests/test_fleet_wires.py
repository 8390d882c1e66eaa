"""Tests of injected network faults: their effect on datagrams and streams, without sockets and in a relay."""

from __future__ import annotations

import asyncio
import random

from martenstep.lab.fleet.relay import Relay
from martenstep.lab.fleet.schedule import Step, members_of, parse_schedule
from martenstep.lab.fleet.wires import Arrival, Links
from tests.socket_rig import run


def start_faults(text: str) -> tuple[Links, list[Step]]:
    """Return the links of six members with the given faults active, and the steps that end the faults."""
    schedule = parse_schedule(f'name: "w" members: 6 {text}', "w")
    links = Links(members_of(schedule), random.Random(1))
    for number, entry in enumerate(schedule.trouble):
        links.apply_step(Step(0.0, True, number, entry, ()))
    return links, [Step(0.0, False, number, entry, ()) for number, entry in enumerate(schedule.trouble)]


def send_datagrams(links: Links, count: int = 1000, data: bytes = b"d" * 100) -> list[Arrival]:
    return [arrival for _ in range(count) for arrival in links.transmit(0.0, "d000", "d001", data)]


def test_a_cut_applies_to_one_or_both_directions_by_name_or_zone_until_it_ends() -> None:
    links, end_steps = start_faults('trouble { what: CUT source: "zone-a" sink: "d001,d002" }')
    assert links.is_cut("d000", "d001") and links.is_cut("d003", "d002")
    assert not links.is_cut("d001", "d000") and not links.is_cut("d000", "d004") and not send_datagrams(links)
    links.apply_step(end_steps[0])
    assert not links.is_cut("d000", "d001") and len(send_datagrams(links, 3)) == 3
    both, _ = start_faults('trouble { what: CUT source: "d000" both: true }')
    assert both.is_cut("d000", "d001") and both.is_cut("d001", "d000") and not both.is_cut("d001", "d002")


def test_datagrams_are_lost_duplicated_and_replayed_in_the_given_shares() -> None:
    lost, _ = start_faults("trouble { what: LOSS share: 0.2 }")
    assert 740 < len(send_datagrams(lost)) < 860
    duplicated, _ = start_faults("trouble { what: DUPLICATE share: 0.3 }")
    assert 1240 < len(send_datagrams(duplicated)) < 1360
    replayed, _ = start_faults("trouble { what: REPLAY share: 0.3 ms: 500 }")
    late = [arrival for arrival in send_datagrams(replayed) if arrival.delay_ms > 0]
    assert 240 < len(late) < 360 and max(arrival.delay_ms for arrival in late) <= 500


def test_datagrams_are_delayed_reordered_and_corrupted() -> None:
    slow, _ = start_faults("trouble { what: DELAY ms: 40 jitter_ms: 10 }")
    assert all(40 <= arrival.delay_ms <= 50 for arrival in send_datagrams(slow))
    reordered, _ = start_faults("trouble { what: REORDER share: 0.5 ms: 80 }")
    assert 400 < sum(arrival.delay_ms > 0 for arrival in send_datagrams(reordered)) < 600
    corrupted, _ = start_faults("trouble { what: CORRUPT share: 1 }")
    for arrival in send_datagrams(corrupted, 50):
        assert sum(a != b for a, b in zip(arrival.data, b"d" * 100, strict=True)) == 1


def test_a_bandwidth_limit_queues_one_second_of_data_and_drops_the_rest() -> None:
    links, _ = start_faults("trouble { what: BANDWIDTH bytes_per_s: 10000 }")
    arrived = send_datagrams(links, 300)
    assert 100 <= len(arrived) <= 102 and arrived[9].delay_ms == 100.0
    assert links.stream_delay_ms("d000", "d001", 10_000) == 1000.0


def test_a_stall_holds_streams_but_not_datagrams() -> None:
    links, _ = start_faults('trouble { what: STALL source: "d000" sink: "d001" }')
    assert (
        links.is_stalled("d000", "d001") and not links.is_stalled("d001", "d000") and len(send_datagrams(links, 5)) == 5
    )


def test_a_relay_forwards_datagrams_and_holds_a_stalled_stream_until_the_stall_ends() -> None:
    async def test() -> None:
        links, end_steps = start_faults('trouble { what: STALL source: "d000" sink: "d001" }')
        received: asyncio.Queue[bytes] = asyncio.Queue()

        class Receiver(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: object) -> None:
                received.put_nowait(data)

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"to " + await reader.readexactly(4))
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        receiver, _ = await loop.create_datagram_endpoint(Receiver, local_addr=("127.0.0.1", port))
        relay = Relay(links, "d000", "d001", ("127.0.0.1", port), lambda: 0.0)
        address = await relay.start()
        sender, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, remote_addr=address)
        sender.sendto(b"datagram")
        assert await received.get() == b"datagram"
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"door")
        answer = asyncio.create_task(reader.read())
        sender.sendto(b"passes still")
        assert await received.get() == b"passes still" and not answer.done()
        links.apply_step(end_steps[0])
        assert await answer == b"to door"
        for closable in (writer, sender, receiver, server, relay):
            closable.close()

    run(test())
