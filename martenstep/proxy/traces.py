"""Request traces: a root span for each request, and child spans for its checks, counter calls and attempts.

The engine records the spans with its own times and ids and without I/O; `TraceExporter` passes them to the
OpenTelemetry SDK when the request is over.  Trace context is received and sent in `traceparent` (W3C Trace Context,
level 1).  A span contains no credentials, bodies or query strings.
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
    """One step of a request, in milliseconds on the engine's clock; `end` is 0 while it is open."""

    name: str
    id: int
    start: float
    end: float = 0.0
    attributes: dict[str, AttributeValue] = field(default_factory=dict)


@dataclass(slots=True)
class Trace:
    """The spans of one request."""

    id: int
    parent_span_id: int  # of the client's span; 0: none
    root: Span
    children: list[Span] = field(default_factory=list)
    rng: random.Random = field(default_factory=random.Random)

    def begin(self, name: str, now: float, **attributes: AttributeValue) -> Span:
        """Open a child span."""
        span = Span(name, self.rng.getrandbits(SPAN_ID_BITS) or 1, now, attributes=attributes)
        self.children.append(span)
        return span

    def _last_open(self, name: str) -> Span | None:
        """Return the newest open child span of a name."""
        return next((span for span in reversed(self.children) if span.name == name and not span.end), None)

    def end(self, name: str, now: float, **attributes: AttributeValue) -> None:
        """Close the newest open child span of a name, if there is one."""
        span = self._last_open(name)
        if span is not None:
            span.end = now
            span.attributes.update(attributes)

    def outgoing(self, span: Span) -> bytes:
        """Return the `traceparent` of a message that is sent within a span."""
        return b"00-%032x-%016x-01" % (self.id, span.id)


class _TraceContext(NamedTuple):
    """The content of a `traceparent` header."""

    trace_id: int
    span_id: int
    sampled: bool


def _parse_traceparent(header: bytes | None) -> _TraceContext | None:
    """Return None if the header is missing or invalid: the specification treats both alike."""
    match = TRACEPARENT.match(header) if header else None
    if match is None:
        return None
    context = _TraceContext(int(match[1], 16), int(match[2], 16), bool(int(match[3], 16) & SAMPLED_FLAG))
    return context if context.trace_id and context.span_id else None


class Sampler:
    """Traces the requests whose client sampled them, and a share of the others that their trace id alone selects."""

    def __init__(self, share: float, rng: random.Random) -> None:
        """`share` is from 0 to 1; `rng` draws the ids."""
        self._share, self._rng = share, rng

    def trace(self, traceparent: bytes | None, now: float, **attributes: AttributeValue) -> Trace | None:
        """Begin the trace of a request that came with this `traceparent`; None if the request is not traced."""
        context = _parse_traceparent(traceparent)
        if context is None:
            context = _TraceContext(self._rng.getrandbits(TRACE_ID_BITS) or 1, 0, False)
        span_range = 2**SPAN_ID_BITS
        if not context.sampled and context.trace_id % span_range >= self._share * span_range:
            return None
        root = Span("request", self._rng.getrandbits(SPAN_ID_BITS) or 1, now, attributes=attributes)
        return Trace(context.trace_id, context.span_id, root, rng=self._rng)


class _PresetIdGenerator(IdGenerator):
    """Returns the ids that the engine has drawn, since messages already sent contain them."""

    def __init__(self) -> None:
        self.trace_id = self.span_id = 1

    def generate_trace_id(self) -> int:
        return self.trace_id

    def generate_span_id(self) -> int:
        return self.span_id


class _JsonLinesExporter(SpanExporter):
    """Appends spans to a file as JSON lines."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            self._file.write(span.to_json(indent=None) + "\n")
        self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self._file.close()


class TraceExporter:
    """Passes finished traces to the SDK, whose own thread writes them and drops those that exceed its queue."""

    def __init__(self, path: Path, gateway: str, wall_ms: Callable[[], float], clock_ms: Callable[[], float]) -> None:
        """Spans are appended to the file at `path`; raises OSError."""
        self._ids = _PresetIdGenerator()
        self._provider = TracerProvider(
            resource=Resource({"service.name": "martenstep", "door": gateway}),
            id_generator=self._ids,
            shutdown_on_exit=False,
        )
        self._provider.add_span_processor(BatchSpanProcessor(_JsonLinesExporter(path)))
        self._tracer = self._provider.get_tracer("martenstep.door")
        self._epoch_ms = wall_ms() - clock_ms()

    def _unix_ns(self, at: float) -> int:
        return round((at + self._epoch_ms) * US_PER_MS) * NS_PER_US  # a double holds Unix time to microseconds only

    def export(self, trace: Trace) -> None:
        """Export the spans of one finished request."""
        self._ids.trace_id = trace.id
        sampled = TraceFlags(TraceFlags.SAMPLED)
        parent = NonRecordingSpan(SpanContext(trace.id, trace.parent_span_id or trace.root.id, True, sampled))
        context = set_span_in_context(parent) if trace.parent_span_id else None
        for span in (trace.root, *trace.children):
            self._ids.span_id = span.id
            exported = self._tracer.start_span(
                span.name, context, start_time=self._unix_ns(span.start), attributes=span.attributes
            )
            exported.end(self._unix_ns(span.end or trace.root.end))
            if span is trace.root:
                context = set_span_in_context(NonRecordingSpan(SpanContext(trace.id, span.id, False, sampled)))

    def close(self) -> None:
        """Write the remaining spans and close the file."""
        self._provider.shutdown()
