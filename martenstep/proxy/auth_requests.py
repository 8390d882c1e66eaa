"""Sends checks to authentication services: one GET for each, whose response is read whole within a size limit."""

from __future__ import annotations

import asyncio
from typing import Protocol

from martenstep.config import door_pb2 as pb
from martenstep.config.tls import ClientContext
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.connection_pool import ConnectionPool
from martenstep.proxy.http1.message_head import ProtocolError, ResponseHead
from martenstep.proxy.http1.message_reader import Data, EndOfMessage
from martenstep.proxy.http1.message_writer import InvalidMessageError
from martenstep.proxy.upstream_connection import UpstreamConnection

IDLE_TIMEOUT_MS = 15_000.0  # of a connection to a service
# Before a connection is reused.  A second verdict would be read as that on the next credential, and a slow service may
# send it as late as it answers.
REUSE_DELAY_MS = 2000.0


class CheckObserver(Protocol):
    """Receives the results of checks."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that the observer runs in."""

    def handle(self, event: ev.Event) -> None:
        """Pass an event to the engine."""

    def log_rejected_server(self, address: str, reason: str) -> None:
        """Log that the TLS handshake rejected a service."""


class _CheckAttempt:
    """One attempt of a check."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.task: asyncio.Task[None] | None = None
        self.upstream: UpstreamConnection | None = None
        self.status = 0
        self.headers: ev.Headers = []
        self.body = bytearray()


class AuthClient:
    """Runs the checks in flight, by check id."""

    def __init__(self, observer: CheckObserver, settings: pb.Auth) -> None:
        """`observer` receives the results; raises TlsError."""
        self._observer, self._max_body_bytes = observer, settings.body_bytes
        self.tls = [ClientContext(settings.tls)] if settings.HasField("tls") else []
        self.pool = ConnectionPool(
            settings.per_service + 1,
            IDLE_TIMEOUT_MS,
            observer.log_rejected_server,
            self.tls[0].context if self.tls else None,
            settings.tls.server_name,
            reuse_delay_ms=REUSE_DELAY_MS,
        )
        self._attempts: dict[int, _CheckAttempt] = {}

    def start(self, action: ev.StartAuthCheck) -> None:
        """Start an attempt of a check."""
        attempt = self._attempts[action.check_id] = _CheckAttempt(action.attempt)
        upstream = self.pool.acquire_idle(action.address)
        if upstream is not None:
            self._send_request(action, attempt, upstream)
        elif self.pool.reserve_slot(action.address):
            attempt.task = self._observer.loop.create_task(self._connect(action, attempt))
        else:
            self._fail(action.check_id, attempt)

    def stop(self, action: ev.StopAuthCheck) -> None:
        """Abort an attempt and close its connection; its later events are discarded."""
        attempt = self._attempts.pop(action.check_id, None)
        if attempt is not None:
            self._release(attempt)

    def close(self) -> None:
        """Abort all attempts and close all connections."""
        for attempt in self._attempts.values():
            self._release(attempt)
        self._attempts.clear()
        self.pool.close()

    def _release(self, attempt: _CheckAttempt) -> None:
        if attempt.task is not None:
            attempt.task.cancel()
        if attempt.upstream is not None:
            attempt.upstream.reader.on_data = None
            self.pool.discard(attempt.upstream)
            attempt.upstream = None

    def _fail(self, check_id: int, attempt: _CheckAttempt) -> None:
        if self._attempts.get(check_id) is attempt:
            del self._attempts[check_id]
            attempt.task = None
            self._release(attempt)
            self._observer.handle(ev.AuthCheckFailed(check_id, attempt.number))

    async def _connect(self, action: ev.StartAuthCheck, attempt: _CheckAttempt) -> None:
        try:
            upstream = await self.pool.connect(action.address)
        except OSError:
            self._fail(action.check_id, attempt)
            return
        attempt.task = None
        if self._attempts.get(action.check_id) is not attempt:
            self.pool.discard(upstream)
            return
        self._send_request(action, attempt, upstream)

    def _send_request(self, action: ev.StartAuthCheck, attempt: _CheckAttempt, upstream: UpstreamConnection) -> None:
        attempt.upstream = upstream
        upstream.reader.on_data = lambda data: self._data_received(action.check_id, attempt, upstream, data)
        host = f"{action.address[0]}:{action.address[1]}".encode()
        try:
            head = upstream.http.encode_head(b"GET", action.target, [(b"host", host), *action.headers])
            upstream.writer.write(head + upstream.http.encode_end())
        except InvalidMessageError:
            self._fail(action.check_id, attempt)

    def _data_received(self, check_id: int, attempt: _CheckAttempt, upstream: UpstreamConnection, data: bytes) -> None:
        if attempt.upstream is not upstream:
            return
        try:
            upstream.feed(data)
            while attempt.upstream is upstream:
                event = upstream.http.next_event()
                if event is None:
                    return
                if isinstance(event, ResponseHead):
                    attempt.status, attempt.headers = event.status, event.headers
                elif isinstance(event, Data):
                    attempt.body += event.data
                    if len(attempt.body) > self._max_body_bytes:
                        self._fail(check_id, attempt)
                elif isinstance(event, EndOfMessage):
                    self._complete(check_id, attempt, upstream)
                else:
                    self._fail(check_id, attempt)
        except ProtocolError:
            self._fail(check_id, attempt)

    def _complete(self, check_id: int, attempt: _CheckAttempt, upstream: UpstreamConnection) -> None:
        upstream.reader.on_data = None
        attempt.upstream = None
        self._attempts.pop(check_id, None)
        # The pool discards a connection with further bytes, which would be read as the next check's verdict.
        self.pool.recycle(upstream)
        self._observer.handle(
            ev.AuthCheckReplied(check_id, attempt.number, attempt.status, attempt.headers, bytes(attempt.body))
        )
