"""The members feed: a long poll with an index, after the public form of Consul's blocking queries.

`GET /v1/members?index=N&wait=MS` is held until the list is newer than N or the wait is over.  The answer is JSON:

    {"index": 42, "scope": "changes" | "full", "now_unix_ms": 1.7e12, "servers": [
      {"id": 7, "host": "10.0.0.7", "port": 8080, "zone": "a", "kind": "std", "cell": 0, "state": "up",
       "size": 1.0, "started_unix_ms": 1.7e12}]}

`changes` applies to the list of index N; the feed gives `full` where it no longer holds the changes since.  An
index that went back means that the feed was restarted: the next poll asks from 0, which gives the whole list.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Literal

import h11
import msgspec

from martenstep.backoff import Backoff
from martenstep.config import door_pb2 as pb
from martenstep.discovery.endpoint_list import Listed
from martenstep.policy.messages import Endpoint, EndpointListScope, EndpointState
from martenstep.policy.start_times import StartTimes

AGAIN_LEAST_MS, AGAIN_MOST_MS = 100.0, 2000.0  # between polls that fail
LATE_MS = 5000.0  # a poll that is not answered so long after its wait has failed
ANSWER_BYTES = 16 << 20  # of one answer at most


class Entry(msgspec.Struct):
    """One server as the feed tells it."""

    id: int
    host: str
    port: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: Literal["up", "draining", "gone"] = "up"
    size: float = 1.0
    started_unix_ms: float = 0.0


class Answer(msgspec.Struct):
    """One answer of the feed, and the form of the copy kept on disk."""

    index: int
    scope: Literal["changes", "full"]
    now_unix_ms: float
    servers: list[Entry]


class FeedError(Exception):
    """An answer of the feed that cannot be used."""


class Follower:
    """What the door knows of the list: the protocol without its sockets."""

    def __init__(self) -> None:
        self.index = 0
        self._entries: dict[int, Entry] = {}
        self._starts = StartTimes()
        self._complete_at = -math.inf  # when the feed last told all that it had, on the gateway's clock

    def take(self, body: bytes, now: float) -> tuple[Listed | None, list[str]]:
        """Take in an answer at a time of the door's clock; gives what is new, and what was odd about it."""
        try:
            answer = msgspec.json.decode(body, type=Answer)
        except msgspec.DecodeError as error:
            raise FeedError(f"not a member list: {error}") from None
        unseen_ms, self._complete_at = now - self._complete_at, now
        odd: list[str] = []
        if answer.index < self.index:
            # Its numbers mean nothing any more: the changes were against another list.
            self.index = 0
            if answer.scope != "full":
                raise FeedError(f"index went back to {answer.index}: asking for the whole list")
        if answer.scope == "changes" and answer.index == self.index:
            return None, odd  # the wait was over
        if answer.scope == "changes" and not self.index:
            raise FeedError("changes without the list that they apply to")
        listed: dict[int, Entry] = {}
        for entry in answer.servers:
            if entry.id in listed:
                odd.append(f"server {entry.id} is listed twice: the last entry counts")
            listed[entry.id] = entry
        if answer.scope == "full":
            self._entries = dict(listed)
        else:
            self._entries.update(listed)
        self.index = answer.index
        scope = EndpointListScope.FULL if answer.scope == "full" else EndpointListScope.DELTA
        return self._told(scope, listed, answer.now_unix_ms, now, unseen_ms), odd

    def _told(
        self,
        scope: EndpointListScope,
        listed: dict[int, Entry],
        now_unix_ms: float,
        now: float,
        unseen_ms: float = math.inf,
    ) -> Listed:
        servers = []
        for entry in listed.values():
            started = self._starts.local_start(
                entry.id, entry.started_unix_ms, now_unix_ms - entry.started_unix_ms, now, unseen_ms
            )
            servers.append(
                Endpoint(entry.id, entry.zone, entry.kind, entry.cell, EndpointState(entry.state), entry.size, started)
            )
        gone = [key for key, entry in self._entries.items() if entry.state == "gone"]
        for key in gone:
            del self._entries[key]
        self._starts.trim(self._entries)
        return Listed(scope, tuple(servers), {entry.id: (entry.host, entry.port) for entry in listed.values()})

    def copy(self, now_unix_ms: float) -> bytes:
        """The whole list, for the next start."""
        return msgspec.json.encode(Answer(self.index, "full", now_unix_ms, list(self._entries.values())))

    def warm(self, body: bytes, now: float, now_unix_ms: float) -> Listed:
        """The list as last held; raises FeedError where the copy cannot be read.  The index is not taken over:
        the feed is asked for the whole list."""
        try:
            answer = msgspec.json.decode(body, type=Answer)
        except msgspec.DecodeError as error:
            raise FeedError(f"warm copy: {error}") from None
        self._entries = {entry.id: entry for entry in answer.servers}
        listed = self._told(EndpointListScope.CACHED, self._entries, now_unix_ms, now)
        self._starts = StartTimes()  # its ages rest on two wall clocks; the feed's answer has both times of one
        return listed


class Feed:
    """Follows the feed over a socket and keeps the copy."""

    def __init__(
        self,
        members: pb.MembersFeed,
        door: str,
        tell: Callable[[Listed], None],
        log_event: Callable[[str, str], None],
        clock: Callable[[], float],
    ) -> None:
        self._members, self._door, self._tell, self._log_event, self._clock = members, door, tell, log_event, clock
        self._follower = Follower()
        self._path = Path(members.warm_copy) if members.warm_copy else None
        self.backoff = Backoff(AGAIN_LEAST_MS, AGAIN_MOST_MS)
        self._listening = asyncio.Event()
        self._lost = False

    def warm(self) -> None:
        """Tell the list as last held; an empty one where there is none."""
        listed = Listed(EndpointListScope.CACHED)
        if self._path is not None:
            try:
                listed = self._follower.warm(self._path.read_bytes(), self._clock(), time.time() * 1000)
            except FileNotFoundError:
                pass
            except (OSError, FeedError) as error:
                self._log_event("warm copy unusable", str(error))
        self._tell(listed)

    def listen(self) -> None:
        """The module asks for changes from now on."""
        self._listening.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        await self._listening.wait()
        while True:
            try:
                await self._follow()
            except (OSError, TimeoutError, FeedError, h11.ProtocolError, asyncio.IncompleteReadError) as error:
                if not self._lost:
                    self._lost = True
                    self._log_event("feed lost", f"{type(error).__name__}: {error}")
                    self._tell(Listed(EndpointListScope.LOST))
                await asyncio.sleep(self.backoff.failed() / 1000)

    async def _follow(self) -> None:
        """Poll over one connection until it breaks."""
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(self._members.host, self._members.port), LATE_MS / 1000
        )
        connection = h11.Connection(h11.CLIENT)
        try:
            while True:
                wait = self._members.wait_ms
                target = f"{self._members.path}?index={self._follower.index}&wait={wait:.0f}&door={self._door}"
                writer.write(
                    connection.send(
                        h11.Request(
                            method="GET",
                            target=target,
                            headers=[("host", f"{self._members.host}:{self._members.port}")],
                        )
                    )
                    or b""
                )
                writer.write(connection.send(h11.EndOfMessage()) or b"")
                async with asyncio.timeout((wait + LATE_MS) / 1000):
                    body = await self._answer(reader, connection)
                listed, odd = self._follower.take(body, self._clock())
                self.backoff.succeeded()
                for text in odd:
                    self._log_event("feed", text)
                if self._lost:
                    self._lost = False
                    self._log_event("feed back", f"index {self._follower.index}")
                if listed is not None:
                    self._keep()
                    self._tell(listed)
                connection.start_next_cycle()
        finally:
            writer.close()

    @staticmethod
    async def _answer(reader: asyncio.StreamReader, connection: h11.Connection) -> bytes:
        body = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise FeedError(f"the feed answered {event.status_code}")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > ANSWER_BYTES:
                    raise FeedError(f"an answer of over {ANSWER_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif isinstance(event, h11.ConnectionClosed):
                raise FeedError("the feed closed the connection")

    def _keep(self) -> None:
        """Write the copy aside, then rename: a kill leaves the old one or the new one."""
        if self._path is None:
            return
        aside = self._path.with_name(self._path.name + ".new")
        try:
            aside.write_bytes(self._follower.copy(time.time() * 1000))
            os.replace(aside, self._path)
        except OSError as error:
            self._log_event("warm copy not kept", str(error))
            with contextlib.suppress(OSError):
                aside.unlink(missing_ok=True)
