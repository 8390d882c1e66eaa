"""The endpoint feed's protocol: a long poll with an index, after the public form of Consul's blocking queries.

`GET /v1/members?index=N&wait=MS` is held until the list is newer than N or the wait is over.  The answer is JSON:

    {"index": 42, "scope": "changes" | "full", "now_unix_ms": 1.7e12, "servers": [
      {"id": 7, "host": "10.0.0.7", "port": 8080, "zone": "a", "kind": "std", "cell": 0, "state": "up",
       "size": 1.0, "started_unix_ms": 1.7e12}]}

`changes` applies to the list of index N; the feed gives `full` where it no longer holds the changes since.  An index
that went back means that the feed was restarted: the next poll asks from 0, which gives the whole list.
"""

from __future__ import annotations

from typing import Literal

import msgspec

FULL: Literal["full"] = "full"
CHANGES: Literal["changes"] = "changes"


class FeedError(Exception):
    """An answer of the feed, or a cached list, that cannot be used."""


class EndpointEntry(msgspec.Struct):
    """One endpoint as the feed lists it."""

    id: int
    host: str
    port: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: Literal["up", "draining", "gone"] = "up"
    capacity: float = msgspec.field(name="size", default=1.0)
    started_unix_ms: float = 0.0


class FeedResponse(msgspec.Struct):
    """One answer of the feed, and the format of the cached list."""

    index: int
    scope: Literal["changes", "full"]
    now_unix_ms: float
    endpoints: list[EndpointEntry] = msgspec.field(name="servers")

    @property
    def is_full(self) -> bool:
        """It holds the whole list."""
        return self.scope == FULL


def decode_response(body: bytes, source: str) -> FeedResponse:
    """Raises FeedError; `source` begins its text."""
    try:
        return msgspec.json.decode(body, type=FeedResponse)
    except msgspec.DecodeError as error:
        raise FeedError(f"{source}: {error}") from None


def encode_response(response: FeedResponse) -> bytes:
    """The bytes of an answer, or of a cached list."""
    return msgspec.json.encode(response)


def poll_target(path: str, index: int, wait_ms: float, instance: str) -> str:
    """The request target of a poll."""
    return f"{path}?index={index}&wait={wait_ms:.0f}&door={instance}"
