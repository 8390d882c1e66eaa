"""What became of one request, as spans.  The engine gathers them, with its own times and ids and without I/O;
`Exporter` hands them to the OpenTelemetry SDK when the request is over.

Context comes and goes in `traceparent` (W3C Trace Context, level 1).  Neither credentials nor bodies nor query strings
are in a span.
"""

from __future__ import annotations

import random
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.id_generator import IdGenerator
from opentelemetry.trace import NonRecordingSpan, SpanContext, TraceFlags, set_span_in_context

PARENT = re.compile(rb"^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$")
Value = str | int | float | bool
NS_OF_US = 1000


@dataclass(slots=True)
class Span:
    """One part of a request's time, in the engine's milliseconds."""

    name: str
    id: int
    start: float
    end: float = 0.0
    attributes: dict[str, Value] = field(default_factory=dict)


@dataclass(slots=True)
class Trace:
    """One request: its root and the parts."""

    id: int
    parent: int  # span id of whoever sent it; 0: none
    root: Span
    parts: list[Span] = field(default_factory=list)
    ids: random.Random = field(default_factory=random.Random)

    def begin(self, name: str, now: float, **attributes: Value) -> Span:
        """A part begins."""
        made = Span(name, self.ids.getrandbits(64) or 1, now, attributes=attributes)
        self.parts.append(made)
        return made

    def last(self, name: str) -> Span | None:
        """The last part of a name that has not ended."""
        return next((span for span in reversed(self.parts) if span.name == name and not span.end), None)

    def end(self, name: str, now: float, **attributes: Value) -> None:
        """A part ends, where one has begun."""
        span = self.last(name)
        if span is not None:
            span.end = now
            span.attributes.update(attributes)

    def outgoing(self, span: Span) -> bytes:
        """The `traceparent` of what a part sends."""
        return b"00-%032x-%016x-01" % (self.id, span.id)


class Sampler:
    """Decides which requests are traced: those that come sampled, and a share of the others by their id alone."""

    def __init__(self, share: float, rng: random.Random) -> None:
        self._share, self._rng = share, rng

    def trace(self, parent: bytes | None, now: float, **attributes: Value) -> Trace | None:
        """A trace for a request with this `traceparent`; None where it is not traced.  One that cannot be read is
        taken for none, as the specification asks."""
        match = PARENT.match(parent) if parent else None
        number, sender, sampled = (int(match[1], 16), int(match[2], 16), int(match[3], 16) & 1) if match else (0, 0, 0)
        if not number or not sender:
            number, sender, sampled = self._rng.getrandbits(128) or 1, 0, 0
        if not sampled and (number & (2**64 - 1)) >= self._share * 2**64:
            return None
        root = Span("request", self._rng.getrandbits(64) or 1, now, attributes=attributes)
        return Trace(number, sender, root, ids=self._rng)


class _Given(IdGenerator):
    """Gives the ids that the engine has chosen: they are in what was sent already."""

    def __init__(self) -> None:
        self.trace = self.span = 1

    def generate_trace_id(self) -> int:
        return self.trace

    def generate_span_id(self) -> int:
        return self.span


class _Lines(SpanExporter):
    """JSON lines in a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            self._file.write(span.to_json(indent=None) + "\n")
        self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self._file.close()


class Exporter:
    """Hands finished traces to the SDK; a thread of its own writes them, and what it cannot keep up with is dropped."""

    def __init__(self, path: Path, door: str, wall_ms: Callable[[], float], clock_ms: Callable[[], float]) -> None:
        self._ids = _Given()
        self._provider = TracerProvider(
            resource=Resource({"service.name": "martenstep", "door": door}),
            id_generator=self._ids,
            shutdown_on_exit=False,
        )
        self._provider.add_span_processor(BatchSpanProcessor(_Lines(path)))
        self._tracer = self._provider.get_tracer("martenstep.proxy")
        self._offset = wall_ms() - clock_ms()

    def _ns(self, at: float) -> int:
        return round((at + self._offset) * 1000.0) * NS_OF_US  # what a double still holds of a wall time

    def take(self, trace: Trace) -> None:
        """One finished request."""
        self._ids.trace = trace.id
        sampled = TraceFlags(TraceFlags.SAMPLED)
        parent = NonRecordingSpan(SpanContext(trace.id, trace.parent or trace.root.id, True, sampled))
        context = set_span_in_context(parent) if trace.parent else None
        for span in (trace.root, *trace.parts):
            self._ids.span = span.id
            made = self._tracer.start_span(
                span.name, context, start_time=self._ns(span.start), attributes=span.attributes
            )
            made.end(self._ns(span.end or trace.root.end))
            if span is trace.root:
                context = set_span_in_context(NonRecordingSpan(SpanContext(trace.id, span.id, False, sampled)))

    def close(self) -> None:
        """Write what is left."""
        self._provider.shutdown()
