"""The door on sockets: the hard cases of HTTP and of connections that end at a bad moment."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys

import pytest

from martenstep.proxy.connection_pool import ConnectionPool
from tests.socket_rig import Peer, request_head, run, running_gateway


async def good(peer: Peer) -> None:
    """Answers every request with its target."""
    while True:
        head = await peer.read_head()
        await peer.send_response(head.split()[1])


async def silent(peer: Peer) -> None:
    """Takes everything, answers nothing."""
    await peer.read_to_end()


def test_kept_alive_and_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with running_gateway(good) as gateway:
            peer = await gateway.connect()
            await peer.write("".join(request_head(f"/read/{n}") for n in range(5)))
            bodies = [(await peer.read_response())[2] for _ in range(5)]
            assert bodies == [b"/read/%d" % n for n in range(5)]
            assert gateway.server.pool.opened == 1  # one connection to the server serves them all

    run(test())


def test_a_head_one_byte_at_a_time() -> None:
    async def test() -> None:
        async with running_gateway(good) as gateway:
            peer = await gateway.connect()
            for byte in request_head().encode():
                await peer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await peer.read_response())[0] == 200

    run(test())


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        ("POST /read/1 HTTP/1.1\r\nhost: d\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        ("GET /read/1 HTTP/1.1\r\nhost: d\r\nx-long: " + "x" * 20_000 + "\r\n\r\n", 431),
        ("POST /read/1 HTTP/1.1\r\nhost: d\r\nx-customer: free\r\ncontent-length: 99999999\r\n\r\n", 413),
        ("POST /read/1 HTTP/1.1\r\nhost: d\r\ncontent-length: -3\r\n\r\n", 400),
        ("POST /read/1 HTTP/1.1\r\nhost: d\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd", 400),
        ("POST /read/1 HTTP/1.1\r\nhost: d\r\ntransfer-encoding: gzip\r\n\r\n", 501),
        ("GET /read/1 HTTP/1.1\r\n\r\n", 400),  # no host
        ("nonsense\r\n\r\n", 400),
        ("GET /read/1 HTTP/1.1\r\nhost: d\r\nbad header\r\n\r\n", 400),
        ("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
    ],
)
def test_bad_requests_get_a_4xx_and_the_connection_ends(sent: str, status: int) -> None:
    async def test() -> None:
        async with running_gateway(good) as gateway:
            peer = await gateway.connect()
            await peer.write(sent.encode("latin-1"))
            got = await peer.read_to_end()
            assert int(got.split()[1]) == status, got
            assert got.count(b"HTTP/1.1") == 1
            assert (await gateway.get())[0] == 200  # others are served as before

    run(test())


def test_a_chunked_body_past_the_bound_is_a_413() -> None:
    async def test() -> None:
        async with running_gateway(silent, text="listener { body_bytes: 1000 }") as gateway:
            peer = await gateway.connect()
            await peer.write(request_head(method="POST", extra_headers="transfer-encoding: chunked\r\n"))
            await peer.write("7d0\r\n" + "x" * 2000 + "\r\n")
            assert (await peer.read_to_end()).startswith(b"HTTP/1.1 413")
            assert not gateway.server.engine.unanswered

    run(test())


def test_bodies_go_both_ways_with_length_and_in_chunks() -> None:
    async def echo(peer: Peer) -> None:
        while True:
            head = await peer.read_head()
            if "transfer-encoding: chunked" in head:
                body = b""
                while size := int(await peer.reader.readline(), 16):
                    body += await peer.read(size)
                    await peer.read(2)
                await peer.read(2)
            else:
                body = await peer.read(int(head.split("content-length: ")[1].split()[0]))
            await peer.write(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            )

    async def test() -> None:
        async with running_gateway(echo) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head(method="POST", extra_headers="content-length: 5\r\n") + "hello")
            assert (await peer.read_head()).startswith("http/1.1 200")
            assert await peer.read(15) == b"5\r\nhello\r\n0\r\n\r\n"
            await peer.write(request_head(method="PUT", extra_headers="transfer-encoding: chunked\r\n"))
            await peer.write("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            assert (await peer.read_head()).startswith("http/1.1 200")
            assert await peer.read(15) == b"5\r\nabcde\r\n0\r\n\r\n"

    run(test())


def test_a_large_body_and_answer_stream_through_with_back_pressure() -> None:
    size = 8 << 20

    async def echo(peer: Peer) -> None:
        await peer.read_head()
        body = await peer.read(size)
        await peer.write(f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n")
        await peer.write(body)

    async def test() -> None:
        async with running_gateway(echo) as gateway:
            peer = await gateway.connect()
            body = bytes(range(256)) * (size // 256)
            head = request_head(method="POST", extra_headers=f"content-length: {size}\r\n").encode()
            sending = asyncio.create_task(peer.write(head + body))
            # Nothing is read yet: the door may hold no more than its bounds.
            while not sending.done():
                for flight in gateway.server.requests.values():
                    assert flight.body is None or len(flight.body.buffer) <= 3 * 65536
                    assert flight.buffered_bytes <= 3 * 65536
                await asyncio.sleep(0.001)
            status, _, got = await peer.read_response()
            assert status == 200 and got == body

    run(test())


def test_expect_100_continue_is_answered_only_when_the_body_is_wanted() -> None:
    async def take(peer: Peer) -> None:
        head = await peer.read_head()
        assert "expect" not in head
        assert await peer.read(4) == b"body"
        await peer.send_response()

    async def test() -> None:
        async with running_gateway(take) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head(method="POST", extra_headers="content-length: 4\r\nexpect: 100-continue\r\n"))
            assert (await peer.read_head()).startswith("http/1.1 100")
            await peer.write("body")
            assert (await peer.read_response())[0] == 200
        async with running_gateway() as gateway:  # no server: refused, and the body is never asked for
            peer = await gateway.connect()
            await peer.write(request_head(method="POST", extra_headers="content-length: 4\r\nexpect: 100-continue\r\n"))
            got = await peer.read_to_end()
            assert got.startswith(b"HTTP/1.1 503") and b"connection: close" in got.lower()

    run(test())


def test_an_early_4xx_ends_the_sending_of_the_body() -> None:
    async def early(peer: Peer) -> None:
        await peer.read_head()
        await peer.send_response("too much", "413 Content Too Large")
        await peer.read_to_end()

    async def test() -> None:
        async with running_gateway(early) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head(method="POST", extra_headers="content-length: 1000000\r\n") + "x" * 100_000)
            status, head, body = await peer.read_response()
            assert (status, body) == (413, b"too much") and "connection: close" in head
            assert len(gateway.finished_requests()) == 1 and gateway.finished_requests()[0]["attempts"] == 1

    run(test())


def test_head_has_the_length_and_no_body() -> None:
    async def headed(peer: Peer) -> None:
        while True:
            head = await peer.read_head()
            assert head.startswith(("head", "get"))
            await peer.write("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n" + ("" if head[0] == "h" else "x" * 100))

    async def test() -> None:
        async with running_gateway(headed) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head(method="HEAD") + request_head())
            assert "content-length: 100" in await peer.read_head()
            assert (await peer.read_response())[2] == b"x" * 100

    run(test())


def test_http_1_0_is_answered_and_closed() -> None:
    async def test() -> None:
        async with running_gateway(good) as gateway:
            peer = await gateway.connect()
            await peer.write("GET /read/9 HTTP/1.0\r\nx-customer: free\r\n\r\n")
            got = await peer.read_to_end()
            assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"/read/9")

    run(test())


def test_a_client_that_closed_its_half_is_still_answered() -> None:
    async def test() -> None:
        async with running_gateway(good) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head("/read/5"))
            peer.writer.write_eof()
            got = await peer.read_to_end()
            assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"/read/5")

    run(test())


def test_a_client_that_closed_its_half_can_be_taken_for_gone() -> None:
    async def test() -> None:
        async with running_gateway(silent, text="listener { leave_on_half_close: true }") as gateway:
            peer = await gateway.connect()
            await peer.write(request_head())
            await gateway.wait_until(lambda: gateway.server.engine.unanswered == 1)
            peer.writer.write_eof()
            await gateway.wait_until(lambda: gateway.server.engine.unanswered == 0)
            assert gateway.finished_requests()[0]["reason"] == "client left"

    run(test())


def test_a_client_that_resets_is_gone_and_its_attempt_is_called_off() -> None:
    got, ended = asyncio.Event(), asyncio.Event()

    async def waits(peer: Peer) -> None:
        await peer.read_head()
        got.set()
        await peer.read_to_end()
        ended.set()

    async def test() -> None:
        async with running_gateway(waits) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head())
            await got.wait()  # a client that goes before leaves the server with nothing
            assert gateway.server.requests and gateway.server.engine.unanswered == 1
            peer.reset()
            await ended.wait()  # the server sees its connection end
            assert gateway.finished_requests()[0]["reason"] == "client left" and not gateway.server.requests

    run(test())


def test_a_kept_connection_that_the_server_closed_is_not_written_to() -> None:
    heads = []

    async def once(peer: Peer) -> None:
        heads.append(await peer.read_head())
        await peer.send_response()  # and closes, without having said so

    async def test() -> None:
        async with running_gateway(once) as gateway:
            for _ in range(3):
                assert (await gateway.get("/pay/1"))[0] == 200  # unsafe: written to a dead connection it would fail
                await asyncio.sleep(0.02)
            assert len(heads) == 3 and all(line["attempts"] == 1 for line in gateway.finished_requests())

    run(test())


def test_a_server_that_closes_as_the_request_is_written_may_have_run_it() -> None:
    async def closes(peer: Peer) -> None:
        await peer.read_head()
        await peer.send_response()
        await peer.read_head()
        peer.reset()

    async def test() -> None:
        async with running_gateway(closes) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head("/pay/1"))
            assert (await peer.read_response())[0] == 200
            await peer.write(request_head("/pay/2"))
            status, _, body = await peer.read_response()
            assert status == 502 and json.loads(body)["reason"] == "failed"
            assert gateway.finished_requests()[1]["attempts"] == 1

    run(test())


def test_an_answer_cut_in_half_is_replaced_by_another_attempts() -> None:
    state = {"first": True}

    async def cuts(peer: Peer) -> None:
        while True:
            await peer.read_head()
            if state.pop("first", False):
                await peer.write("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
                return
            await peer.send_response("whole")

    async def test() -> None:
        async with running_gateway(cuts, cuts) as gateway:
            status, _, body = await gateway.get()
            assert (status, body) == (200, b"whole") and gateway.finished_requests()[0]["attempts"] == 2

    run(test())


def test_a_long_answer_that_breaks_breaks_the_clients_connection() -> None:
    async def breaks(peer: Peer) -> None:
        await peer.read_head()
        await peer.write("HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n" + "x" * 300_000)
        await asyncio.sleep(0.05)
        peer.reset()

    async def test() -> None:
        async with running_gateway(breaks) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head())
            got = await peer.read_to_end()
            assert got.startswith(b"HTTP/1.1 200") and len(got) < 1_000_000
            await gateway.wait_until(lambda: bool(gateway.finished_requests()))
            assert (
                gateway.finished_requests()[0]["reason"] == "broken answer"
                and gateway.finished_requests()[0]["attempts"] == 1
            )

    run(test())


def test_a_body_within_the_bound_is_written_again_and_one_beyond_is_not() -> None:
    bodies = []

    async def drops_first(peer: Peer) -> None:
        head = await peer.read_head()
        body = await peer.read(int(head.split("content-length: ")[1].split()[0]))
        bodies.append(body)
        if "x-attempt: 0" in head:
            peer.reset()
        else:
            await peer.send_response()

    async def test() -> None:
        async with running_gateway(drops_first, drops_first, text="upstream { keep_body_bytes: 1000 }") as gateway:
            for size, status, attempts in ((1000, 200, 2), (200_000, 503, 1)):
                bodies.clear()
                peer = await gateway.connect()
                await peer.write(request_head(method="POST", extra_headers=f"content-length: {size}\r\n") + "b" * size)
                assert (await peer.read_response())[0] == status
                assert bodies == [b"b" * size] * attempts

    run(test())


def test_a_second_answer_is_never_the_next_requests() -> None:
    async def twice(peer: Peer) -> None:
        while True:
            path = (await peer.read_head()).split()[1]
            answer = f"HTTP/1.1 200 OK\r\ncontent-length: {len(path)}\r\n\r\n{path}"
            await peer.write(answer if path == "/read/late" else answer * 2)  # in one piece
            if path == "/read/late":
                await asyncio.sleep(0.01)
                await peer.write(answer)  # when the connection is idle

    async def test() -> None:
        async with running_gateway(twice) as gateway:
            peer = await gateway.connect()
            for path in ("/read/1", "/read/late", "/read/2", "/read/3"):
                await peer.write(request_head(path))
                assert (await peer.read_response())[2] == path.encode()
                await asyncio.sleep(0.02)
            assert all(line["attempts"] == 1 for line in gateway.finished_requests())

    run(test())


def test_a_connection_that_cannot_be_made_proves_that_nothing_ran() -> None:
    async def test() -> None:
        closed = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = closed.sockets[0].getsockname()[1]
        closed.close()
        await closed.wait_closed()
        async with running_gateway(good, ports=(port, port)) as gateway:
            for _ in range(12):
                assert (await gateway.get("/pay/1"))[0] == 200  # unsafe: sent again only as nothing was written
            assert max(line["attempts"] for line in gateway.finished_requests()) > 1  # some met the closed port first

    run(test())


def test_the_bound_of_connections_to_a_server_is_kept() -> None:
    most = {"now": 0, "most": 0}
    go = asyncio.Event()

    async def counts(peer: Peer) -> None:
        await peer.read_head()
        most["now"] += 1
        most["most"] = max(most["most"], most["now"])
        await go.wait()
        most["now"] -= 1
        await peer.send_response()

    async def test() -> None:
        async with running_gateway(counts, counts, text="upstream { connections: 2 max_attempts: 2 }") as gateway:
            asks = [asyncio.create_task(gateway.get()) for _ in range(12)]
            await gateway.wait_until(lambda: sum(task.done() for task in asks) + most["now"] == 12)
            go.set()
            statuses = [(await task)[0] for task in asks]
            assert most["most"] <= 4 and statuses.count(200) >= 2 and set(statuses) <= {200, 503}
            assert gateway.server.pool.connections <= 4

    run(test())


def test_what_is_not_http_from_a_server_is_a_failed_attempt() -> None:
    async def babbles(peer: Peer) -> None:
        await peer.read_head()
        await peer.write("SSH-2.0-nonsense\r\n\r\n")
        await peer.read_to_end()

    async def test() -> None:
        async with running_gateway(babbles) as gateway:
            assert (await gateway.get("/pay/1"))[0] == 502

    run(test())


def test_nothing_is_written_for_an_attempt_that_the_deadline_overtook() -> None:
    got = []

    async def slow(peer: Peer) -> None:
        got.append(await peer.read_head())
        assert await peer.read_to_end() == b""  # its end is all that follows

    async def test() -> None:
        async with running_gateway(slow) as gateway:
            status, head, _ = await gateway.get("/pay/1", extra_headers="x-deadline-ms: 300\r\n")
            assert status == 504 and "retry-after" not in head
            assert len(got) == 1

    run(test())


def test_a_stop_answers_what_is_held_and_closes_idle_connections() -> None:
    go = asyncio.Event()

    async def waits(peer: Peer) -> None:
        await peer.read_head()
        await go.wait()
        await peer.send_response("late but whole")

    async def test() -> None:
        async with running_gateway(waits) as gateway:
            idle, busy = await gateway.connect(), await gateway.connect()
            await busy.write(request_head())
            await gateway.wait_until(lambda: gateway.server.engine.unanswered == 1)
            stopping = asyncio.create_task(gateway.server.stop(10_000.0))
            assert await idle.read_to_end() == b""
            with pytest.raises(OSError):
                await gateway.connect()
            go.set()
            status, head, body = await busy.read_response()
            assert (status, body) == (200, b"late but whole") and "connection: close" in head
            assert await stopping is True

    run(test())


def test_a_stop_that_takes_too_long_gives_the_rest_its_answer() -> None:
    async def test() -> None:
        async with running_gateway(silent) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head("/pay/1"))
            await gateway.wait_until(
                lambda: any(flight.upstream for flight in gateway.server.requests.values())
            )  # it may run
            assert await gateway.server.stop(20.0) is False
            assert (await peer.read_response())[0] == 504

    run(test())


def test_connections_past_the_bound_are_told_so() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def waits(peer: Peer) -> None:
            await peer.read_head()
            await release.wait()
            await peer.send_response()

        async with running_gateway(waits, text="listener { max_connections: 3 }") as gateway:
            held = [await gateway.connect() for _ in range(3)]
            for peer in held:
                await peer.write(request_head())
            await gateway.wait_until(lambda: gateway.server.engine.unanswered == 3)
            more = await gateway.connect()
            assert (await more.read_to_end()).startswith(b"HTTP/1.1 503")
            release.set()
            for peer in held:
                assert (await peer.read_response())[0] == 200
            assert (await gateway.get())[0] == 200, "a request is open on none: the longest idle makes room"

    run(test())


def test_running_out_of_file_descriptors_on_accept_ends_nothing() -> None:
    resource = pytest.importorskip("resource")

    async def test() -> None:
        async with running_gateway(good) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head())
            await peer.read_response()
            faults: list[dict[str, object]] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            # The clients' own sockets are made first; then no descriptor is left for the door's side of them.
            waiting = [socket.socket() for _ in range(4)]
            spare: list[int] = []
            try:
                resource.setrlimit(resource.RLIMIT_NOFILE, (max(int(n) for n in os.listdir("/proc/self/fd")) + 1, hard))
                with contextlib.suppress(OSError):
                    while True:
                        spare.append(os.dup(0))
                for each in waiting:
                    each.setblocking(False)
                    with contextlib.suppress(BlockingIOError):
                        each.connect(("127.0.0.1", gateway.port))
                await gateway.wait_until(lambda: any(event == "accept failed" for event, _ in gateway.log_events))
                assert not faults
                await peer.write(request_head("/read/still"))  # on a connection that it has
                assert (await peer.read_response())[2] == b"/read/still"
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                for number in spare:
                    os.close(number)
                for each in waiting:
                    each.close()
            assert (await gateway.get())[0] == 200  # accepts again once there is room

    run(test())


def test_an_idle_or_slow_client_is_let_go() -> None:
    async def test() -> None:
        async with running_gateway(good, text="listener { idle_ms: 30 head_ms: 30 }") as gateway:
            idle, slow = await gateway.connect(), await gateway.connect()
            await slow.write("GET /read/1 HT")
            assert await idle.read_to_end() == b""
            assert (await slow.read_to_end()).startswith(b"HTTP/1.1 408")

    run(test())


def test_what_is_given_up_is_taken_back_from_the_network_too() -> None:
    """A plain close would go on delivering what the kernel holds, long after the request's end."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # most of the request waits at the door
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            async with running_gateway(ports=(listener.getsockname()[1],)) as gateway:
                peer = await gateway.connect()
                await peer.write(request_head("/read/1", "content-length: 60000\r\n", "POST") + "b" * 60_000)
                server, _ = await loop.sock_accept(listener)
                with server:
                    await gateway.wait_until(
                        lambda: (
                            bool(gateway.server.requests)
                            and all(
                                flight.body is not None
                                and flight.body.complete
                                and flight.body.written == flight.body.size
                                for flight in gateway.server.requests.values()
                            )
                        )
                    )
                    peer.reset()
                    await gateway.wait_until(
                        lambda: not gateway.server.requests and not gateway.server.pool.connections
                    )
                    with pytest.raises(ConnectionResetError):
                        while await loop.sock_recv(server, 65536):
                            pass
                        raise AssertionError("it ended as if all had been meant")

    run(test())


@pytest.mark.parametrize("closed", [True, False])
def test_a_request_that_crosses_the_doors_going_is_answered_or_reaches_no_server(closed: bool) -> None:
    """Read before the door closes: it has it, and answers.  Read behind the close: nobody has it."""
    heads = []

    async def tells(peer: Peer) -> None:
        while True:
            heads.append(await peer.read_head())
            await peer.send_response()

    async def test() -> None:
        async with running_gateway(tells) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head("/read/1"))
            await peer.read_response()
            [client] = gateway.server.clients
            assert not closed or client.close_idle()
            client.reader.feed_data(
                request_head("/read/2").encode()
            )  # read from the socket, and its reader not run yet
            assert client.reader.buffered and client.closing is closed and not client.close_idle()
            assert await gateway.server.stop(1000.0)
            assert len(heads) == (1 if closed else 2) and not gateway.server.requests
            if not closed:
                assert (await peer.read_response())[0] == 200, "and with an answer, not only an effect"
            assert await peer.read_to_end() == b""

    run(test())


def test_a_refused_head_request_gets_its_headers_and_no_body() -> None:
    """It had broken the connection: the body that a refusal has was more than the answer to HEAD may hold."""

    async def test() -> None:
        async with running_gateway(good) as gateway:
            peer = await gateway.connect()
            await peer.write("HEAD /nowhere HTTP/1.1\r\nhost: a\r\nx-customer: free\r\n\r\n")
            head = await peer.read_head()
            assert head.startswith("http/1.1 404 not found") and "content-length: " in head
            await peer.write(request_head("/read/1"))  # on the same connection, nothing between
            assert (await peer.read_response())[0] == 200

    run(test())


def test_an_old_client_may_keep_its_connection_if_it_says_so() -> None:
    async def test() -> None:
        async with running_gateway(good) as gateway:
            peer = await gateway.connect()
            for _ in range(2):
                await peer.write("GET /read/1 HTTP/1.0\r\nconnection: keep-alive\r\nx-customer: free\r\n\r\n")
                status, headers, body = await peer.read_response()
                assert (status, body) == (200, b"/read/1") and "connection: keep-alive" in headers
            await peer.write("GET /read/1 HTTP/1.0\r\nx-customer: free\r\n\r\n")
            assert b"connection: close" in (await peer.read_to_end())

    run(test())


def test_the_kernel_is_told_how_long_a_repeat_may_be_on_its_way() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        address = ("127.0.0.1", int(server.sockets[0].getsockname()[1]))
        pool = ConnectionPool(1, 1000.0, lambda where, why: None)
        assert pool.reserve_slot(address)
        upstream = await pool.connect(address)
        sock = upstream.writer.get_extra_info("socket")
        for within, told in ((250.4, 250), (0.2, 1), (None, 0)):
            upstream.set_delivery_timeout(within)
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == told
        pool.discard(upstream)
        server.close()

    run(test())


KILLED = """
import asyncio, sys
from martenstep.proxy.connection_pool import ConnectionPool

async def main():
    pool = ConnectionPool(1, 1000.0, lambda where, why: None)
    assert pool.reserve_slot(("127.0.0.1", int(sys.argv[1])))
    upstream = await pool.connect(("127.0.0.1", int(sys.argv[1])))
    upstream.writer.write(b"b" * 60_000)
    print("written", flush=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""


def test_what_a_killed_door_had_written_is_taken_back_too() -> None:
    """Its client is told by the broken connection that it is over; the kernel would deliver the rest all the same."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            door = await asyncio.create_subprocess_exec(
                sys.executable, "-c", KILLED, str(listener.getsockname()[1]), stdout=asyncio.subprocess.PIPE
            )
            assert door.stdout is not None
            server, _ = await loop.sock_accept(listener)
            with server:
                assert await door.stdout.readline() == b"written\n"
                door.kill()
                await door.wait()
                with pytest.raises(ConnectionResetError):
                    while await loop.sock_recv(server, 65536):
                        pass

    run(test())
