"""Hosts gateway instances on the simulator's protocol: reads batches of events and writes one reply to each batch.

The host only translates.  Instances share no state.  A malformed line ends the session with a ProtocolError, and an
exception in the decisions is reported with a DIE line.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TextIO

from martenstep.policy.gateway import Gateway
from martenstep.policy.messages import Endpoint, EndpointListScope, EndpointListUpdate, Event
from martenstep.simulator.codec import LIST_SCOPES, decode_endpoint, decode_event, encode_action
from martenstep.simulator.line_format import Fields, ProtocolError, parse_line
from martenstep.simulator.settings_codec import parse_settings


class Host:
    """The instances of one process and the numbered endpoint lists that UPDATE messages refer to."""

    def __init__(self) -> None:
        """Begin without instances."""
        self._gateways: dict[str, Gateway] = {}
        self._endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}

    def add_endpoint_list(self, number: int, endpoints: tuple[Endpoint, ...]) -> None:
        """Store an endpoint list under its number; a later list with the same number replaces it."""
        self._endpoint_lists[number] = endpoints

    def handle(self, now_ms: float, name: str, fields: Fields) -> Iterator[str]:
        """Pass one event to its instance and yield the lines of its actions; raises ProtocolError."""
        instance = fields.text("door")
        if name == "DETACH":
            self._gateways.pop(instance, None)
            return
        try:
            if name == "UP":
                settings = parse_settings(fields.text("params"))
                self._gateways[instance] = Gateway(settings, fields.integer("init_seed"))
                return
            event = self._decode(name, fields)
            gateway = self._gateways.get(instance)
            if gateway is None or event is None:
                return
            actions = gateway.handle(now_ms, event)
        except ProtocolError:
            raise
        except Exception as error:
            yield f"DIE door={instance} text={type(error).__name__}: {' '.join(str(error).split())}"
            return
        for action in actions:
            yield encode_action(instance, action)

    def _decode(self, name: str, fields: Fields) -> Event | None:
        if name != "UPDATE":
            return decode_event(name, fields)
        scope = fields.choice("scope", LIST_SCOPES)
        if scope is EndpointListScope.LOST:
            return EndpointListUpdate(scope)
        number = fields.integer("roster_id")
        if number not in self._endpoint_lists:
            raise ProtocolError(f"field roster_id: expected the number of a TABLE sent before, got {number}")
        return EndpointListUpdate(scope, self._endpoint_lists[number])


class MessageReader:
    """Reads messages and counts the lines read, so that an error can name its line."""

    def __init__(self, source: TextIO) -> None:
        """Begin before the first line."""
        self._lines = iter(source)
        self.line_number = 0

    def __iter__(self) -> Iterator[tuple[str, Fields]]:
        """Yield the messages up to the end of the input, without empty lines; raises ProtocolError."""
        for text in self._lines:
            self.line_number += 1
            line = text.rstrip("\r\n")
            if line:
                yield parse_line(line)

    def expect(self, expected: str) -> Fields:
        """Return the fields of the next line, which must hold the expected message; raises ProtocolError."""
        self.line_number += 1
        name, fields = parse_line(next(self._lines, "").rstrip("\r\n"))
        if name != expected:
            raise ProtocolError(f"message {name!r}: expected {expected}")
        return fields


def serve(source: TextIO, sink: TextIO) -> None:
    """Reply to each batch until the input ends; raises ProtocolError with the number of a malformed line."""
    reader = MessageReader(source)
    try:
        _serve_batches(reader, sink)
    except ProtocolError as error:
        raise ProtocolError(f"line {reader.line_number}: {error}") from None


def _serve_batches(reader: MessageReader, sink: TextIO) -> None:
    host = Host()
    now_ms: float | None = None
    reply: list[str] = []
    for name, fields in reader:
        if name == "BATCH":
            now_ms = fields.number("t_ms")
        elif now_ms is None:
            raise ProtocolError(f"message {name!r}: expected BATCH")
        elif name == "YOUR_TURN":
            reply.append("READY\n")
            sink.write("\n".join(reply))
            sink.flush()
            reply = []
            now_ms = None
        elif name == "TABLE":
            size = fields.integer("entries")
            number = fields.integer("roster_id")
            endpoints = tuple(decode_endpoint(reader.expect("BACKEND")) for _ in range(size))
            host.add_endpoint_list(number, endpoints)
        else:
            reply.extend(host.handle(now_ms, name, fields))
