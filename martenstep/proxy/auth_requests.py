"""Carries checks to authentication services: one GET each, the answer read whole within a bound."""

from __future__ import annotations

import asyncio
from typing import Protocol

from martenstep.config import door_pb2 as pb
from martenstep.config.tls import ClientContext
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.http1.message_head import AnswerHead, Fault
from martenstep.proxy.http1.message_reader import Data, End
from martenstep.proxy.http1.message_writer import UnwritableError
from martenstep.proxy.transport import Pool, Upstream

IDLE_MS = 15_000.0  # an idle connection to a service is closed


class Host(Protocol):
    """Who is told."""

    loop: asyncio.AbstractEventLoop

    def act(self, event: ev.Event) -> None:
        """Tell the engine."""

    def refused(self, address: str, reason: str) -> None:
        """TLS refused a service."""


class _Flying:
    """One attempt of a check."""

    def __init__(self, attempt: int) -> None:
        self.attempt = attempt
        self.task: asyncio.Task[None] | None = None
        self.upstream: Upstream | None = None
        self.status = 0
        self.headers: ev.Headers = []
        self.body = bytearray()


class Checks:
    """All checks that are out."""

    def __init__(self, host: Host, settings: pb.Auth) -> None:
        self._host, self._bound = host, settings.body_bytes
        self.tls = [ClientContext(settings.tls)] if settings.HasField("tls") else []
        self.pool = Pool(
            settings.per_service + 1,
            IDLE_MS,
            host.refused,
            self.tls[0].context if self.tls else None,
            settings.tls.server_name,
        )
        self._flying: dict[int, _Flying] = {}

    def ask(self, action: ev.StartAuthCheck) -> None:
        """Start an attempt."""
        flying = self._flying[action.check_id] = _Flying(action.attempt)
        upstream = self.pool.take(action.address)
        if upstream is not None:
            self._begin(action, flying, upstream)
        elif self.pool.reserve(action.address):
            flying.task = self._host.loop.create_task(self._dial(action, flying))
        else:
            self._failed(action.check_id, flying)

    def stop(self, action: ev.StopAuthCheck) -> None:
        """End an attempt and its connection; what still comes of it reaches nobody."""
        flying = self._flying.pop(action.check_id, None)
        if flying is not None:
            self._drop(flying)

    def close(self) -> None:
        """End all."""
        for flying in self._flying.values():
            self._drop(flying)
        self._flying.clear()
        self.pool.close()

    def _drop(self, flying: _Flying) -> None:
        if flying.task is not None:
            flying.task.cancel()
        if flying.upstream is not None:
            flying.upstream.reader.sink = None
            self.pool.drop(flying.upstream)
            flying.upstream = None

    def _failed(self, check: int, flying: _Flying) -> None:
        if self._flying.get(check) is flying:
            del self._flying[check]
            flying.task = None
            self._drop(flying)
            self._host.act(ev.AuthCheckFailed(check, flying.attempt))

    async def _dial(self, action: ev.StartAuthCheck, flying: _Flying) -> None:
        try:
            upstream = await self.pool.dial(action.address)
        except OSError:
            self._failed(action.check_id, flying)
            return
        flying.task = None
        if self._flying.get(action.check_id) is not flying:
            self.pool.drop(upstream)
            return
        self._begin(action, flying, upstream)

    def _begin(self, action: ev.StartAuthCheck, flying: _Flying, upstream: Upstream) -> None:
        flying.upstream = upstream
        upstream.reader.sink = lambda data: self._came(action.check_id, flying, upstream, data)
        host = f"{action.address[0]}:{action.address[1]}".encode()
        try:
            out = upstream.wire.head(b"GET", action.target, [(b"host", host), *action.headers])
            upstream.writer.write(out + upstream.wire.end())
        except UnwritableError:
            self._failed(action.check_id, flying)

    def _came(self, check: int, flying: _Flying, upstream: Upstream, data: bytes) -> None:
        if flying.upstream is not upstream:
            return
        try:
            upstream.feed(data)
            while flying.upstream is upstream:
                event = upstream.wire.next()
                if event is None:
                    return
                if isinstance(event, AnswerHead):
                    flying.status, flying.headers = event.status, event.headers
                elif isinstance(event, Data):
                    flying.body += event.data
                    if len(flying.body) > self._bound:
                        self._failed(check, flying)
                elif isinstance(event, End):
                    self._whole(check, flying, upstream)
                else:
                    self._failed(check, flying)
        except Fault:
            self._failed(check, flying)

    def _whole(self, check: int, flying: _Flying, upstream: Upstream) -> None:
        upstream.reader.sink = None
        flying.upstream = None
        self._flying.pop(check, None)
        self.pool.put(upstream)  # with bytes behind the answer it is dropped
        self._host.act(ev.AuthCheckReplied(check, flying.attempt, flying.status, flying.headers, bytes(flying.body)))
