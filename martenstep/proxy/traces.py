"""What became of a request, as spans.

The engine gathers them, with its own times and ids and without I/O; `Exporter` hands them to the OpenTelemetry SDK when
the request is over.  Context comes and goes in `traceparent` (W3C Trace Context, level 1).  Neither credentials nor
bodies nor query strings are in a span.
"""

from __future__ import annotations

import random
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.id_generator import IdGenerator
from opentelemetry.trace import NonRecordingSpan, SpanContext, TraceFlags, set_span_in_context

TRACEPARENT = re.compile(rb"^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$")
TRACE_ID_BITS, SPAN_ID_BITS = 128, 64
SAMPLED_FLAG = 1
AttributeValue = str | int | float | bool
NS_PER_US = 1000
US_PER_MS = 1000.0


@dataclass(slots=True)
class Span:
    """One part of a request's time, in the engine's milliseconds."""

    name: str
    id: int
    start: float
    end: float = 0.0
    attributes: dict[str, AttributeValue] = field(default_factory=dict)


@dataclass(slots=True)
class Trace:
    """One request: its root and the parts."""

    id: int
    parent: int  # span id of whoever sent it; 0: none
    root: Span
    parts: list[Span] = field(default_factory=list)
    ids: random.Random = field(default_factory=random.Random)

    def begin(self, name: str, now: float, **attributes: AttributeValue) -> Span:
        """A part begins."""
        span = Span(name, self.ids.getrandbits(SPAN_ID_BITS) or 1, now, attributes=attributes)
        self.parts.append(span)
        return span

    def last(self, name: str) -> Span | None:
        """The last part of a name that has not ended."""
        return next((span for span in reversed(self.parts) if span.name == name and not span.end), None)

    def end(self, name: str, now: float, **attributes: AttributeValue) -> None:
        """A part ends, where one has begun."""
        span = self.last(name)
        if span is not None:
            span.end = now
            span.attributes.update(attributes)

    def outgoing(self, span: Span) -> bytes:
        """The `traceparent` of what a part sends."""
        return b"00-%032x-%016x-01" % (self.id, span.id)


class _TraceContext(NamedTuple):
    """What a `traceparent` states."""

    trace_id: int
    span_id: int
    sampled: bool


def _parse_traceparent(header: bytes | None) -> _TraceContext | None:
    """None where there is none, or none that can be read: the specification has them treated alike."""
    match = TRACEPARENT.match(header) if header else None
    if match is None:
        return None
    context = _TraceContext(int(match[1], 16), int(match[2], 16), bool(int(match[3], 16) & SAMPLED_FLAG))
    return context if context.trace_id and context.span_id else None


class Sampler:
    """Decides which requests are traced: those that come sampled, and a share of the others by their id alone."""

    def __init__(self, share: float, rng: random.Random) -> None:
        """`share` from 0 to 1; `rng` makes the ids."""
        self._share, self._rng = share, rng

    def trace(self, traceparent: bytes | None, now: float, **attributes: AttributeValue) -> Trace | None:
        """A trace for a request with this `traceparent`; None where it is not traced."""
        context = _parse_traceparent(traceparent)
        if context is None:
            context = _TraceContext(self._rng.getrandbits(TRACE_ID_BITS) or 1, 0, False)
        span_range = 2**SPAN_ID_BITS
        if not context.sampled and context.trace_id % span_range >= self._share * span_range:
            return None
        root = Span("request", self._rng.getrandbits(SPAN_ID_BITS) or 1, now, attributes=attributes)
        return Trace(context.trace_id, context.span_id, root, ids=self._rng)


class _ChosenIds(IdGenerator):
    """Gives the ids that the engine has chosen: they are in what was sent already."""

    def __init__(self) -> None:
        self.trace_id = self.span_id = 1

    def generate_trace_id(self) -> int:
        return self.trace_id

    def generate_span_id(self) -> int:
        return self.span_id


class _JsonLinesExporter(SpanExporter):
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

    def __init__(self, path: Path, gateway: str, wall_ms: Callable[[], float], clock_ms: Callable[[], float]) -> None:
        """`path` of the file that is appended to; raises OSError."""
        self._ids = _ChosenIds()
        self._provider = TracerProvider(
            resource=Resource({"service.name": "martenstep", "door": gateway}),
            id_generator=self._ids,
            shutdown_on_exit=False,
        )
        self._provider.add_span_processor(BatchSpanProcessor(_JsonLinesExporter(path)))
        self._tracer = self._provider.get_tracer("martenstep.door")
        self._epoch_ms = wall_ms() - clock_ms()

    def _unix_ns(self, at: float) -> int:
        return round((at + self._epoch_ms) * US_PER_MS) * NS_PER_US  # what a double still holds of a wall time

    def take(self, trace: Trace) -> None:
        """Export one finished request."""
        self._ids.trace_id = trace.id
        sampled = TraceFlags(TraceFlags.SAMPLED)
        parent = NonRecordingSpan(SpanContext(trace.id, trace.parent or trace.root.id, True, sampled))
        context = set_span_in_context(parent) if trace.parent else None
        for span in (trace.root, *trace.parts):
            self._ids.span_id = span.id
            started = self._tracer.start_span(
                span.name, context, start_time=self._unix_ns(span.start), attributes=span.attributes
            )
            started.end(self._unix_ns(span.end or trace.root.end))
            if span is trace.root:
                context = set_span_in_context(NonRecordingSpan(SpanContext(trace.id, span.id, False, sampled)))

    def close(self) -> None:
        """Write what is left."""
        self._provider.shutdown()
