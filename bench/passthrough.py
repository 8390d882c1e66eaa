"""A bare h11 pass-through on asyncio streams: same shape as the door, and it decides nothing (servers in turn)."""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from typing import Any, Protocol

import h11

READ = 65536
Wire = tuple[asyncio.StreamReader, asyncio.StreamWriter, h11.Connection]


class Proxy(Protocol):
    """What serves a client connection."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""


class PassThrough:
    """One proxy process."""

    def __init__(self, ports: list[int]) -> None:
        self._turn = itertools.cycle(ports)
        self._idle: dict[int, list[Wire]] = {port: [] for port in ports}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One client connection."""
        client = h11.Connection(h11.SERVER)
        try:
            while True:
                request, body = await self._message(client, reader)
                if request is None:
                    break
                head, answer = await self._ask(request, body)
                out = [client.send(event) or b"" for event in (head, h11.Data(data=answer), h11.EndOfMessage())]
                writer.write(b"".join(out))
                await writer.drain()
                client.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def _message(connection: h11.Connection, reader: asyncio.StreamReader) -> tuple[Any, bytes]:
        head: Any = None
        parts: list[bytes] = []
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(READ))
            elif isinstance(event, h11.Request | h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return head, b"".join(parts)
            else:
                return None, b""

    async def _ask(self, request: h11.Request, body: bytes) -> tuple[h11.Response, bytes]:
        port = next(self._turn)
        if self._idle[port]:
            reader, writer, server = self._idle[port].pop()
        else:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            server = h11.Connection(h11.CLIENT)
        events = [request, *([h11.Data(data=body)] if body else []), h11.EndOfMessage()]
        writer.write(b"".join([server.send(event) or b"" for event in events]))
        head, answer = await self._message(server, reader)
        server.start_next_cycle()
        self._idle[port].append((reader, writer, server))
        return h11.Response(status_code=head.status_code, headers=list(head.headers)), answer


async def main(proxy: Proxy) -> None:
    """Serve on any port, and tell which."""
    server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0, backlog=1024)
    sys.stdout.write(json.dumps({"ready": {"listener": server.sockets[0].getsockname()[1]}}) + "\n")
    sys.stdout.flush()
    await asyncio.Event().wait()


if __name__ == "__main__":  # python -m bench.passthrough '[ports]'
    asyncio.run(main(PassThrough(json.loads(sys.argv[1]))))
