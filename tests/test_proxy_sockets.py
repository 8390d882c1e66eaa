"""The gateway on sockets: edge cases of HTTP, and connections that end at any point of a request."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys

import pytest

from martenstep.proxy.connection_pool import REUSE_DELAY_MS, ConnectionPool
from tests.socket_rig import Peer, request_head, run, running_gateway


async def echo_target(peer: Peer) -> None:
    """Respond to every request with its target."""
    while True:
        head = await peer.read_head()
        await peer.send_response(head.split()[1])


async def never_respond(peer: Peer) -> None:
    """Read everything and send nothing."""
    await peer.read_to_end()


def test_kept_alive_and_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with running_gateway(echo_target) as gateway:
            gateway.server.pool.reuse_delay_ms = 0.0
            peer = await gateway.connect()
            await peer.write("".join(request_head(f"/read/{n}") for n in range(5)))
            bodies = [(await peer.read_response())[2] for _ in range(5)]
            assert bodies == [b"/read/%d" % n for n in range(5)]
            assert gateway.server.pool.opened == 1  # all over one connection to the endpoint

    run(test())


def test_a_late_second_response_is_not_relayed_to_the_next_request() -> None:
    """Guards against an answer of another: the second one comes as the next request has been written."""

    async def twice(peer: Peer) -> None:
        last = ""
        while True:
            target = (await peer.read_head()).split()[1]
            if last:
                await peer.send_response(last)
            last = target
            await peer.send_response(target)

    async def test() -> None:
        async with running_gateway(twice) as gateway:
            assert gateway.server.pool.reuse_delay_ms == REUSE_DELAY_MS
            gateway.server.pool.reuse_delay_ms = 60_000.0  # the test must not depend on its own speed
            peer = await gateway.connect()
            for number in range(3):
                await peer.write(request_head(f"/read/{number}"))
                assert (await peer.read_response())[2] == b"/read/%d" % number

    run(test())


def test_a_head_sent_one_byte_at_a_time_is_parsed() -> None:
    async def test() -> None:
        async with running_gateway(echo_target) as gateway:
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
def test_malformed_requests_get_an_error_status_and_the_connection_closes(sent: str, status: int) -> None:
    async def test() -> None:
        async with running_gateway(echo_target) as gateway:
            peer = await gateway.connect()
            await peer.write(sent.encode("latin-1"))
            received = await peer.read_to_end()
            assert int(received.split()[1]) == status, received
            assert received.count(b"HTTP/1.1") == 1
            assert (await gateway.get())[0] == 200  # other clients are still served

    run(test())


def test_a_chunked_body_over_the_limit_gets_a_413() -> None:
    async def test() -> None:
        async with running_gateway(never_respond, text="listener { body_bytes: 1000 }") as gateway:
            peer = await gateway.connect()
            await peer.write(request_head(method="POST", extra_headers="transfer-encoding: chunked\r\n"))
            await peer.write("7d0\r\n" + "x" * 2000 + "\r\n")
            assert (await peer.read_to_end()).startswith(b"HTTP/1.1 413")
            assert not gateway.server.engine.unanswered

    run(test())


def test_bodies_with_a_length_and_chunked_bodies_are_forwarded_both_ways() -> None:
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


def test_a_large_body_and_response_are_streamed_with_back_pressure() -> None:
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
            # The client reads nothing yet, so the gateway must buffer no more than its limits.
            while not sending.done():
                for request in gateway.server.requests.values():
                    assert request.body is None or len(request.body.buffer) <= 3 * 65536
                    assert request.buffered_bytes <= 3 * 65536
                await asyncio.sleep(0.001)
            status, _, received = await peer.read_response()
            assert status == 200 and received == body

    run(test())


def test_expect_100_continue_is_answered_only_when_the_body_is_read() -> None:
    async def read_body(peer: Peer) -> None:
        head = await peer.read_head()
        assert "expect" not in head
        assert await peer.read(4) == b"body"
        await peer.send_response()

    async def test() -> None:
        async with running_gateway(read_body) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head(method="POST", extra_headers="content-length: 4\r\nexpect: 100-continue\r\n"))
            assert (await peer.read_head()).startswith("http/1.1 100")
            await peer.write("body")
            assert (await peer.read_response())[0] == 200
        async with running_gateway() as gateway:  # no endpoint: the request is rejected without a 100 Continue
            peer = await gateway.connect()
            await peer.write(request_head(method="POST", extra_headers="content-length: 4\r\nexpect: 100-continue\r\n"))
            received = await peer.read_to_end()
            assert received.startswith(b"HTTP/1.1 503") and b"connection: close" in received.lower()

    run(test())


def test_a_response_before_the_end_of_the_body_stops_the_upload() -> None:
    async def respond_early(peer: Peer) -> None:
        await peer.read_head()
        await peer.send_response("too much", "413 Content Too Large")
        await peer.read_to_end()

    async def test() -> None:
        async with running_gateway(respond_early) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head(method="POST", extra_headers="content-length: 1000000\r\n") + "x" * 100_000)
            status, head, body = await peer.read_response()
            assert (status, body) == (413, b"too much") and "connection: close" in head
            assert len(gateway.finished_requests()) == 1 and gateway.finished_requests()[0]["attempts"] == 1

    run(test())


def test_a_response_to_head_has_a_length_and_no_body() -> None:
    async def respond_to_head(peer: Peer) -> None:
        while True:
            head = await peer.read_head()
            assert head.startswith(("head", "get"))
            await peer.write("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n" + ("" if head[0] == "h" else "x" * 100))

    async def test() -> None:
        async with running_gateway(respond_to_head) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head(method="HEAD") + request_head())
            assert "content-length: 100" in await peer.read_head()
            assert (await peer.read_response())[2] == b"x" * 100

    run(test())


def test_an_http_1_0_request_is_answered_and_its_connection_closed() -> None:
    async def test() -> None:
        async with running_gateway(echo_target) as gateway:
            peer = await gateway.connect()
            await peer.write("GET /read/9 HTTP/1.0\r\nx-customer: free\r\n\r\n")
            received = await peer.read_to_end()
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"/read/9")

    run(test())


def test_a_client_that_half_closed_is_still_answered() -> None:
    async def test() -> None:
        async with running_gateway(echo_target) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head("/read/5"))
            peer.writer.write_eof()
            received = await peer.read_to_end()
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"/read/5")

    run(test())


def test_a_half_close_counts_as_a_disconnect_if_so_configured() -> None:
    async def test() -> None:
        async with running_gateway(never_respond, text="listener { leave_on_half_close: true }") as gateway:
            peer = await gateway.connect()
            await peer.write(request_head())
            await gateway.wait_until(lambda: gateway.server.engine.unanswered == 1)
            peer.writer.write_eof()
            await gateway.wait_until(lambda: gateway.server.engine.unanswered == 0)
            assert gateway.finished_requests()[0]["reason"] == "client left"

    run(test())


def test_a_client_reset_ends_the_request_and_aborts_its_attempt() -> None:
    received, ended = asyncio.Event(), asyncio.Event()

    async def wait_for_end(peer: Peer) -> None:
        await peer.read_head()
        received.set()
        await peer.read_to_end()
        ended.set()

    async def test() -> None:
        async with running_gateway(wait_for_end) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head())
            await received.wait()  # a client that disconnects earlier never reaches the endpoint
            assert gateway.server.requests and gateway.server.engine.unanswered == 1
            peer.reset()
            await ended.wait()  # the endpoint sees its connection end
            assert gateway.finished_requests()[0]["reason"] == "client left" and not gateway.server.requests

    run(test())


def test_no_request_is_written_to_an_idle_connection_that_the_endpoint_closed() -> None:
    heads = []

    async def respond_once(peer: Peer) -> None:
        heads.append(await peer.read_head())
        await peer.send_response()  # then closes the connection without a Connection: close header

    async def test() -> None:
        async with running_gateway(respond_once) as gateway:
            for _ in range(3):
                assert (await gateway.get("/pay/1"))[0] == 200  # unsafe: fails if it is written to a closed connection
                await asyncio.sleep(0.02)
            assert len(heads) == 3 and all(line["attempts"] == 1 for line in gateway.finished_requests())

    run(test())


def test_a_request_is_not_retried_if_the_endpoint_resets_after_the_write() -> None:
    async def reset_second(peer: Peer) -> None:
        await peer.read_head()
        await peer.send_response()
        await peer.read_head()
        peer.reset()

    async def test() -> None:
        async with running_gateway(reset_second) as gateway:
            gateway.server.pool.reuse_delay_ms = 0.0
            peer = await gateway.connect()
            await peer.write(request_head("/pay/1"))
            assert (await peer.read_response())[0] == 200
            await peer.write(request_head("/pay/2"))
            status, _, body = await peer.read_response()
            assert status == 502 and json.loads(body)["reason"] == "failed"
            assert gateway.finished_requests()[1]["attempts"] == 1

    run(test())


def test_a_truncated_buffered_response_is_replaced_by_another_attempts() -> None:
    state = {"first": True}

    async def truncate_first(peer: Peer) -> None:
        while True:
            await peer.read_head()
            if state.pop("first", False):
                await peer.write("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
                return
            await peer.send_response("whole")

    async def test() -> None:
        async with running_gateway(truncate_first, truncate_first) as gateway:
            status, _, body = await gateway.get()
            assert (status, body) == (200, b"whole") and gateway.finished_requests()[0]["attempts"] == 2

    run(test())


def test_a_streamed_response_that_breaks_off_aborts_the_clients_connection() -> None:
    async def break_off(peer: Peer) -> None:
        await peer.read_head()
        await peer.write("HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n" + "x" * 300_000)
        await asyncio.sleep(0.05)
        peer.reset()

    async def test() -> None:
        async with running_gateway(break_off) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head())
            received = await peer.read_to_end()
            assert received.startswith(b"HTTP/1.1 200") and len(received) < 1_000_000
            await gateway.wait_until(lambda: bool(gateway.finished_requests()))
            assert (
                gateway.finished_requests()[0]["reason"] == "broken answer"
                and gateway.finished_requests()[0]["attempts"] == 1
            )

    run(test())


def test_a_body_within_the_buffer_limit_is_replayed_and_a_larger_one_is_not() -> None:
    bodies = []

    async def reset_first(peer: Peer) -> None:
        head = await peer.read_head()
        body = await peer.read(int(head.split("content-length: ")[1].split()[0]))
        bodies.append(body)
        if "x-attempt: 0" in head:
            peer.reset()
        else:
            await peer.send_response()

    async def test() -> None:
        async with running_gateway(reset_first, reset_first, text="upstream { keep_body_bytes: 1000 }") as gateway:
            for size, status, attempts in ((1000, 200, 2), (200_000, 503, 1)):
                bodies.clear()
                peer = await gateway.connect()
                await peer.write(request_head(method="POST", extra_headers=f"content-length: {size}\r\n") + "b" * size)
                assert (await peer.read_response())[0] == status
                assert bodies == [b"b" * size] * attempts

    run(test())


def test_a_duplicate_response_is_not_read_as_the_next_requests_response() -> None:
    async def respond_twice(peer: Peer) -> None:
        while True:
            path = (await peer.read_head()).split()[1]
            response = f"HTTP/1.1 200 OK\r\ncontent-length: {len(path)}\r\n\r\n{path}"
            await peer.write(response if path == "/read/late" else response * 2)  # in one write
            if path == "/read/late":
                await asyncio.sleep(0.01)
                await peer.write(response)  # while the connection is idle

    async def test() -> None:
        async with running_gateway(respond_twice) as gateway:
            peer = await gateway.connect()
            for path in ("/read/1", "/read/late", "/read/2", "/read/3"):
                await peer.write(request_head(path))
                assert (await peer.read_response())[2] == path.encode()
                await asyncio.sleep(0.02)
            assert all(line["attempts"] == 1 for line in gateway.finished_requests())

    run(test())


def test_a_refused_connection_allows_the_retry_of_an_unsafe_request() -> None:
    async def test() -> None:
        closed = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = closed.sockets[0].getsockname()[1]
        closed.close()
        await closed.wait_closed()
        async with running_gateway(echo_target, ports=(port, port)) as gateway:
            for _ in range(12):
                assert (await gateway.get("/pay/1"))[0] == 200  # unsafe: retried only because nothing was written
            # Some requests tried the closed port first.
            assert max(line["attempts"] for line in gateway.finished_requests()) > 1

    run(test())


def test_the_limit_of_connections_to_an_endpoint_holds() -> None:
    open_requests = {"now": 0, "most": 0}
    release = asyncio.Event()

    async def counts(peer: Peer) -> None:
        await peer.read_head()
        open_requests["now"] += 1
        open_requests["most"] = max(open_requests["most"], open_requests["now"])
        await release.wait()
        open_requests["now"] -= 1
        await peer.send_response()

    async def test() -> None:
        async with running_gateway(counts, counts, text="upstream { connections: 2 max_attempts: 2 }") as gateway:
            requests = [asyncio.create_task(gateway.get()) for _ in range(12)]
            await gateway.wait_until(lambda: sum(task.done() for task in requests) + open_requests["now"] == 12)
            release.set()
            statuses = [(await task)[0] for task in requests]
            assert open_requests["most"] <= 4 and statuses.count(200) >= 2 and set(statuses) <= {200, 503}
            assert gateway.server.pool.connections <= 4

    run(test())


def test_a_response_that_is_not_http_fails_the_attempt() -> None:
    async def speak_ssh(peer: Peer) -> None:
        await peer.read_head()
        await peer.write("SSH-2.0-nonsense\r\n\r\n")
        await peer.read_to_end()

    async def test() -> None:
        async with running_gateway(speak_ssh) as gateway:
            assert (await gateway.get("/pay/1"))[0] == 502

    run(test())


def test_no_second_attempt_is_written_after_the_deadline() -> None:
    received = []

    async def never_answer(peer: Peer) -> None:
        received.append(await peer.read_head())
        assert await peer.read_to_end() == b""  # nothing but the end of the connection follows

    async def test() -> None:
        async with running_gateway(never_answer) as gateway:
            status, head, _ = await gateway.get("/pay/1", extra_headers="x-deadline-ms: 300\r\n")
            assert status == 504 and "retry-after" not in head
            assert len(received) == 1

    run(test())


def test_a_stop_finishes_requests_in_flight_and_closes_idle_connections() -> None:
    release = asyncio.Event()

    async def respond_on_release(peer: Peer) -> None:
        await peer.read_head()
        await release.wait()
        await peer.send_response("late but whole")

    async def test() -> None:
        async with running_gateway(respond_on_release) as gateway:
            idle, busy = await gateway.connect(), await gateway.connect()
            await busy.write(request_head())
            await gateway.wait_until(lambda: gateway.server.engine.unanswered == 1)
            stopping = asyncio.create_task(gateway.server.stop(10_000.0))
            assert await idle.read_to_end() == b""
            with pytest.raises(OSError):
                await gateway.connect()
            release.set()
            status, head, body = await busy.read_response()
            assert (status, body) == (200, b"late but whole") and "connection: close" in head
            assert await stopping is True

    run(test())


def test_a_stop_answers_the_remaining_requests_at_its_timeout() -> None:
    async def test() -> None:
        async with running_gateway(never_respond) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head("/pay/1"))
            # Once the request has an upstream connection, the endpoint may execute it.
            await gateway.wait_until(lambda: any(request.upstream for request in gateway.server.requests.values()))
            assert await gateway.server.stop(20.0) is False
            assert (await peer.read_response())[0] == 504

    run(test())


def test_connections_over_the_limit_get_a_503() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def respond_on_release(peer: Peer) -> None:
            await peer.read_head()
            await release.wait()
            await peer.send_response()

        async with running_gateway(respond_on_release, text="listener { max_connections: 3 }") as gateway:
            held = [await gateway.connect() for _ in range(3)]
            for peer in held:
                await peer.write(request_head())
            await gateway.wait_until(lambda: gateway.server.engine.unanswered == 3)
            over_limit = await gateway.connect()
            assert (await over_limit.read_to_end()).startswith(b"HTTP/1.1 503")
            over_limit.close()
            release.set()
            for peer in held:
                assert (await peer.read_response())[0] == 200
            assert (await gateway.get())[0] == 200, "the longest idle connection is closed to make room"

    run(test())


def test_accepting_resumes_after_file_descriptors_ran_out() -> None:
    resource = pytest.importorskip("resource")

    async def test() -> None:
        async with running_gateway(echo_target) as gateway:
            gateway.server.pool.reuse_delay_ms = 0.0
            peer = await gateway.connect()
            await peer.write(request_head())
            await peer.read_response()
            loop_errors: list[dict[str, object]] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: loop_errors.append(context))
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            # The clients' sockets are created first, so that no descriptor is left for the gateway's accepts.
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
                assert not loop_errors
                await peer.write(request_head("/read/still"))  # on a connection that is already open
                assert (await peer.read_response())[2] == b"/read/still"
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                for number in spare:
                    os.close(number)
                for each in waiting:
                    each.close()
            assert (await gateway.get())[0] == 200  # accepts again when descriptors are free

    run(test())


def test_idle_clients_and_slow_requests_time_out() -> None:
    async def test() -> None:
        async with running_gateway(echo_target, text="listener { idle_ms: 30 head_ms: 30 }") as gateway:
            idle, slow_sender = await gateway.connect(), await gateway.connect()
            await slow_sender.write("GET /read/1 HT")
            assert await idle.read_to_end() == b""
            assert (await slow_sender.read_to_end()).startswith(b"HTTP/1.1 408")

    run(test())


def test_an_aborted_request_is_reset_and_not_delivered_later() -> None:
    """After a plain close the kernel would go on delivering the request long after it has ended."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            # A small receive buffer keeps most of the request in the gateway's buffers.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
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
                                request.body is not None
                                and request.body.complete
                                and request.body.written == request.body.size
                                for request in gateway.server.requests.values()
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
                        raise AssertionError("the connection ended with a plain close, without a reset")

    run(test())


@pytest.mark.parametrize("closed", [True, False])
def test_a_request_that_crosses_the_shutdown_is_answered_or_never_forwarded(closed: bool) -> None:
    """A request that was read before the close is answered; one that was read after it is never forwarded."""
    heads = []

    async def record_head(peer: Peer) -> None:
        while True:
            heads.append(await peer.read_head())
            await peer.send_response()

    async def test() -> None:
        async with running_gateway(record_head) as gateway:
            peer = await gateway.connect()
            await peer.write(request_head("/read/1"))
            await peer.read_response()
            [client] = gateway.server.clients
            assert not closed or client.close_idle()
            client.reader.feed_data(request_head("/read/2").encode())  # received, but not processed yet
            assert client.reader.buffered and client.closing is closed and not client.close_idle()
            assert await gateway.server.stop(1000.0)
            assert len(heads) == (1 if closed else 2) and not gateway.server.requests
            if not closed:
                assert (await peer.read_response())[0] == 200, "the executed request must also be answered"
            assert await peer.read_to_end() == b""

    run(test())


def test_a_local_reply_to_head_has_no_body() -> None:
    """A local reply with a body to HEAD is not valid HTTP, and writing one broke the connection."""

    async def test() -> None:
        async with running_gateway(echo_target) as gateway:
            peer = await gateway.connect()
            await peer.write("HEAD /nowhere HTTP/1.1\r\nhost: a\r\nx-customer: free\r\n\r\n")
            head = await peer.read_head()
            assert head.startswith("http/1.1 404 not found") and "content-length: " in head
            await peer.write(request_head("/read/1"))  # on the same connection, with no bytes in between
            assert (await peer.read_response())[0] == 200

    run(test())


def test_an_http_1_0_client_can_ask_to_keep_its_connection() -> None:
    async def test() -> None:
        async with running_gateway(echo_target) as gateway:
            peer = await gateway.connect()
            for _ in range(2):
                await peer.write("GET /read/1 HTTP/1.0\r\nconnection: keep-alive\r\nx-customer: free\r\n\r\n")
                status, headers, body = await peer.read_response()
                assert (status, body) == (200, b"/read/1") and "connection: keep-alive" in headers
            await peer.write("GET /read/1 HTTP/1.0\r\nx-customer: free\r\n\r\n")
            assert b"connection: close" in (await peer.read_to_end())

    run(test())


def test_the_delivery_timeout_is_set_on_the_socket() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        address = ("127.0.0.1", int(server.sockets[0].getsockname()[1]))
        pool = ConnectionPool(1, 1000.0, lambda where, why: None)
        assert pool.reserve_slot(address)
        upstream = await pool.connect(address)
        sock = upstream.writer.get_extra_info("socket")
        for timeout_ms, expected in ((250.4, 250), (0.2, 1), (None, 0)):
            upstream.set_delivery_timeout(timeout_ms)
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == expected
        pool.discard(upstream)
        server.close()

    run(test())


KILLED_GATEWAY = """
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


def test_bytes_written_by_a_killed_gateway_are_not_delivered_later() -> None:
    """The client sees the broken connection, but after a plain close the kernel would still deliver the rest."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", KILLED_GATEWAY, str(listener.getsockname()[1]), stdout=asyncio.subprocess.PIPE
            )
            assert process.stdout is not None
            server, _ = await loop.sock_accept(listener)
            with server:
                assert await process.stdout.readline() == b"written\n"
                process.kill()
                await process.wait()
                with pytest.raises(ConnectionResetError):
                    while await loop.sock_recv(server, 65536):
                        pass

    run(test())
