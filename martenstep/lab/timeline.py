"""One traced request as a time line."""

from __future__ import annotations

import datetime
from collections.abc import Iterable
from typing import Any

import msgspec

WIDTH = 40  # of the bars, in characters
HIDDEN = ("request", "door")


class TimelineError(Exception):
    """A request that is not in a file of traces."""


def _ms(text: str) -> float:
    return datetime.datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp() * 1000.0


def timeline(lines: Iterable[bytes], request: str) -> str:
    """The spans of a request, each with its begin, length, place and attributes; raises TimelineError."""
    by_trace: dict[str, list[dict[str, Any]]] = {}
    roots: list[dict[str, Any]] = []
    for line in lines:
        try:
            span = msgspec.json.decode(line)
            by_trace.setdefault(span["context"]["trace_id"], []).append(span)
        except (msgspec.DecodeError, KeyError, TypeError):
            continue  # a line cut off by a kill
        if span["attributes"].get("request") == request:
            roots.append(span)
    if not roots:
        raise TimelineError(f"no trace of request {request!r}")
    out = []
    for root in roots:
        own = root["context"]["span_id"]
        parts = [span for span in by_trace[root["context"]["trace_id"]] if span.get("parent_id") == own]
        begin = _ms(root["start_time"])
        length = max(_ms(root["end_time"]) - begin, 0.001)
        door = root["attributes"].get("door", "")
        out.append(f"{request} at {door}, trace {root['context']['trace_id']}, {root['start_time']}")
        for span in [root, *sorted(parts, key=lambda span: span["start_time"])]:
            at, end = _ms(span["start_time"]) - begin, _ms(span["end_time"]) - begin
            left = min(max(round(at / length * WIDTH), 0), WIDTH - 1)
            size = max(min(round((end - at) / length * WIDTH), WIDTH - left), 1)
            bar = " " * left + "=" * size + " " * (WIDTH - left - size)
            told = " ".join(f"{key}={value}" for key, value in span["attributes"].items() if key not in HIDDEN)
            out.append(f"{at:9.3f} ms {end - at:9.3f} ms |{bar}| {span['name']} {told}")
    return "\n".join(out)
