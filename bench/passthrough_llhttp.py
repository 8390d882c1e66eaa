"""The pass-through of the same shape with llhttp (httptools) in place of h11, and no guards."""

from __future__ import annotations

import asyncio
import itertools
import json
import sys

import httptools

from bench.passthrough import main

READ = 65536


class Parts:
    """One message as llhttp tells it."""

    def __init__(self) -> None:
        self.target, self.headers, self.body, self.whole = b"", [], b"", False

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        self.whole = True


Wire = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class PassThrough:
    """One proxy process."""

    def __init__(self, ports: list[int]) -> None:
        self._turn = itertools.cycle(ports)
        self._idle: dict[int, list[Wire]] = {port: [] for port in ports}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One client connection, one request at a time."""
        try:
            while True:
                parts = Parts()
                parser = httptools.HttpRequestParser(parts)
                while not parts.whole:
                    data = await reader.read(READ)
                    if not data:
                        return
                    parser.feed_data(data)
                head = b"%b %b HTTP/1.1\r\n" % (parser.get_method(), parts.target)
                status, answer = await self._ask(head, parts)
                writer.write(b"HTTP/1.1 %d OK\r\n%b\r\n%b" % (status, lines(answer), answer.body))
                await writer.drain()
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            writer.close()

    async def _ask(self, head: bytes, asked: Parts) -> tuple[int, Parts]:
        port = next(self._turn)
        wire = self._idle[port].pop() if self._idle[port] else await asyncio.open_connection("127.0.0.1", port)
        wire[1].write(head + lines(asked) + b"\r\n" + asked.body)
        parts = Parts()
        parser = httptools.HttpResponseParser(parts)
        while not parts.whole:
            data = await wire[0].read(READ)
            if not data:
                raise ConnectionResetError
            parser.feed_data(data)
        self._idle[port].append(wire)
        return parser.get_status_code(), parts


def lines(parts: Parts) -> bytes:
    """Headers as they are written."""
    return b"".join([b"%b: %b\r\n" % pair for pair in parts.headers])


if __name__ == "__main__":  # python -m bench.passthrough_llhttp '[ports]'
    asyncio.run(main(PassThrough(json.loads(sys.argv[1]))))
