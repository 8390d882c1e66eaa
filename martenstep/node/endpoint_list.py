"""The endpoint list as received from discovery: the full list first, then changes.  No I/O."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from ipaddress import ip_address
from typing import Any

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.node.config import ConfigError, parse_address
from martenstep.policy.messages import Endpoint, EndpointListScope, EndpointState
from martenstep.policy.start_times import StartTimes
from martenstep.proxy.clock import now_ms, wall_clock_ms

PATH = "/catalog/members"
_OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
IPV4 = re.compile(rf"(?:{_OCTET}\.){{3}}{_OCTET}", re.ASCII)  # an address in the form that ipaddress would return
STATES = {"ready": EndpointState.UP, "draining": EndpointState.DRAINING, "gone": EndpointState.REMOVED}


class DiscoveryError(Exception):
    """A response of discovery that cannot be used."""


class RejectedError(DiscoveryError):
    """Discovery rejected a poll: the list that it sent before stays valid."""


@dataclass(frozen=True, slots=True)
class _Reading:
    """The time at which a list is read, in milliseconds."""

    now: float  # on the gateway's clock
    wall_ms: float  # in Unix time
    unlisted_ms: float  # since the list was last up to date, without what this response adds


@dataclass(slots=True)
class _Entry:
    """One endpoint of a response, validated, before it has a number."""

    uid: str
    zone: str
    kind: str
    cell: int
    state: EndpointState
    size: float
    started_ms: float
    address: tuple[str, int]


class EndpointListFollower:
    """Maintains the list as received so far.  Endpoints are numbered in the order in which they first appear."""

    def __init__(self, clock: Callable[[], float] = now_ms, wall_clock: Callable[[], float] = wall_clock_ms) -> None:
        """`clock` is the gateway's monotonic clock, `wall_clock` returns Unix time, both in milliseconds."""
        self._clock, self._wall_clock = clock, wall_clock
        self._starts = StartTimes()
        self._complete_at = -math.inf  # when a response last brought the list up to date
        self.revision: int | None = None  # None: the next poll requests the full list
        self._numbers: dict[str, int] = {}
        self._last_number = 0
        self.addresses: dict[int, tuple[str, int]] = {}
        self._endpoints: dict[int, Endpoint] = {}

    def full_list(self) -> EndpointListEvent:
        """Return the list as received so far."""
        return EndpointListEvent(EndpointListScope.FULL, tuple(self._endpoints.values()), dict(self.addresses))

    def draining_list(self) -> EndpointListEvent:
        """Return the list with every endpoint draining, for when any of them may be: none receives further requests."""
        return EndpointListEvent(
            EndpointListScope.DELTA,
            tuple(replace(endpoint, state=EndpointState.DRAINING) for endpoint in self._endpoints.values()),
            dict(self.addresses),
        )

    def next_target(self, wait_ms: float = 0.0) -> str:
        """Return the target of the next poll; `wait_ms` is how long a watch may wait for changes."""
        return PATH if self.revision is None else f"{PATH}?after={self.revision}&wait_ms={wait_ms:.0f}"

    def apply_response(self, body: bytes) -> EndpointListEvent | None:
        """Apply a response; return the update, None if nothing changed.  Raises DiscoveryError."""
        try:
            raw = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise DiscoveryError(f"response body is not JSON: {error}") from None
        return self.apply_list(raw)

    def apply_list(self, raw: Any, scope: EndpointListScope | None = None) -> EndpointListEvent | None:  # noqa: ANN401  # JSON
        """Apply a decoded list.  With `scope` given, the update has that scope and the revision is not stored.

        A list with an invalid part is not applied at all.  Raises DiscoveryError.
        """
        now = self._clock()
        reading = _Reading(now, self._wall_clock(), now - self._complete_at)
        try:
            revision, is_full = int(raw["rev"]), raw["all"]
            if not isinstance(is_full, bool):
                raise TypeError(f"all: expected true or false, got {is_full!r}")
            entries = [self._read_entry(entry, reading) for entry in raw["targets"]]
        except KeyError as error:
            states = ", ".join(STATES)
            raise DiscoveryError(f"endpoint list: key missing, or state none of {states}: {error}") from None
        except (ValueError, TypeError, OverflowError, ConfigError) as error:
            raise DiscoveryError(f"endpoint list: expected valid rev, all and targets, got {error!r}") from None
        if self.revision is None and not is_full:
            raise DiscoveryError("received changes, expected the full list: no list has been received yet")
        if scope is None:
            if self.revision is not None and not is_full and revision < self.revision:
                raise DiscoveryError(f"rev of a watch goes back: expected at least {self.revision}, got {revision}")
            self.revision, self._complete_at = revision, now
        if not is_full and not entries:
            return None
        endpoints = self._apply(entries, is_full)
        self._starts.trim(self._numbers)
        addresses = {one.id: self.addresses[one.id] for one in endpoints if one.id in self.addresses}
        own_scope = EndpointListScope.FULL if is_full else EndpointListScope.DELTA
        return EndpointListEvent(scope or own_scope, tuple(endpoints), addresses)

    def _apply(self, entries: list[_Entry], is_full: bool) -> list[Endpoint]:
        """Apply validated entries; the cost depends on their number, not on the length of the list."""
        previous_numbers = self._numbers
        if is_full:
            self._numbers, self.addresses, self._endpoints = {}, {}, {}
        endpoints = []
        for entry in entries:
            number = self._numbers.get(entry.uid) or (previous_numbers.pop(entry.uid, None) if is_full else None)
            if number is None:
                self._last_number += 1
                number = self._last_number
            endpoint = Endpoint(number, entry.zone, entry.kind, entry.cell, entry.state, entry.size, entry.started_ms)
            endpoints.append(endpoint)
            if endpoint.state is EndpointState.REMOVED:  # if it returns, even in this response, it gets another number
                self._numbers.pop(entry.uid, None)
                self.addresses.pop(number, None)
                self._endpoints.pop(number, None)
            else:
                self._numbers[entry.uid], self.addresses[number] = number, entry.address
                self._endpoints[number] = endpoint
        return endpoints

    def _read_entry(self, entry: dict[str, Any], reading: _Reading) -> _Entry:
        uid = entry["uid"]
        if not isinstance(uid, str):
            raise TypeError(f"uid: expected a string, got {uid!r}")
        size, boot_ms = float(entry.get("capacity_hint", 1.0)), float(entry.get("boot_ms", 0.0))
        if not (0 <= size < math.inf and 0 <= boot_ms < math.inf):
            raise ValueError(
                f"capacity_hint, boot_ms: expected finite numbers of at least 0, got {size!r}, {boot_ms!r}"
            )
        started = self._starts.local_start(uid, boot_ms, reading.wall_ms - boot_ms, reading.now, reading.unlisted_ms)
        host, port = parse_address(entry.get("endpoint"), "endpoint")
        if IPV4.fullmatch(host) is None:
            host = str(ip_address(host))  # rejects host names: without DNS a lookup would block for seconds
        return _Entry(
            uid,
            str(entry.get("az", "")),
            str(entry.get("model", "")),
            int(entry.get("pod_group", 0)),
            STATES[entry["state"]],
            size,
            started,
            (host, port),
        )
