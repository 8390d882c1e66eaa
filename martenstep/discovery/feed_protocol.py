"""The endpoint feed's protocol: a long poll with an index, modelled on Consul's blocking queries.

The feed holds `GET /v1/members?index=N&wait=MS` until its list is newer than N or the wait is over.  The response is
JSON:

    {"index": 42, "scope": "changes" | "full", "now_unix_ms": 1.7e12, "servers": [
      {"id": 7, "host": "10.0.0.7", "port": 8080, "zone": "a", "kind": "std", "cell": 0, "state": "up",
       "size": 1.0, "started_unix_ms": 1.7e12}]}

`changes` applies to the list of index N; the feed sends `full` if it no longer has all changes since N.  An index that
went back means that the feed was restarted: the next poll has index 0, which requests the whole list.
"""

from __future__ import annotations

from typing import Literal

import msgspec

FULL: Literal["full"] = "full"
CHANGES: Literal["changes"] = "changes"


class FeedError(Exception):
    """A response of the feed, or a cached list, cannot be used."""


class EndpointEntry(msgspec.Struct):
    """One endpoint in a response of the feed."""

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
    """One response of the feed; the cached list has the same format."""

    index: int
    scope: Literal["changes", "full"]
    now_unix_ms: float
    endpoints: list[EndpointEntry] = msgspec.field(name="servers")

    @property
    def is_full(self) -> bool:
        """Whether it contains the whole list."""
        return self.scope == FULL


def decode_response(body: bytes, source: str) -> FeedResponse:
    """Decode a response; raises FeedError, whose text begins with `source`."""
    try:
        return msgspec.json.decode(body, type=FeedResponse)
    except msgspec.DecodeError as error:
        raise FeedError(f"{source}: {error}") from None


def encode_response(response: FeedResponse) -> bytes:
    """Encode a response or a cached list."""
    return msgspec.json.encode(response)


def poll_target(path: str, index: int, wait_ms: float, instance: str) -> str:
    """Return the request target of a poll."""
    return f"{path}?index={index}&wait={wait_ms:.0f}&door={instance}"
