"""Shows the spans of one traced request as a time line."""

from __future__ import annotations

import datetime
from collections.abc import Iterable
from typing import Any

import msgspec

BAR_WIDTH = 40  # characters
HIDDEN_ATTRIBUTES = ("request", "door")  # shown in the heading


class TimelineError(Exception):
    """The traces do not contain the request."""


def _unix_ms(text: str) -> float:
    return datetime.datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp() * 1000.0


def timeline(lines: Iterable[bytes], request: str) -> str:
    """The spans of a request, each with its begin, length, bar and attributes; raises TimelineError."""
    by_trace: dict[str, list[dict[str, Any]]] = {}
    roots: list[dict[str, Any]] = []
    for line in lines:
        try:
            span = msgspec.json.decode(line)
            by_trace.setdefault(span["context"]["trace_id"], []).append(span)
        except (msgspec.DecodeError, KeyError, TypeError):
            continue  # a line that was truncated by a kill
        if span["attributes"].get("request") == request:
            roots.append(span)
    if not roots:
        raise TimelineError(f"no trace of request {request!r}")
    out = []
    for root in roots:
        root_id = root["context"]["span_id"]
        children = [span for span in by_trace[root["context"]["trace_id"]] if span.get("parent_id") == root_id]
        begin = _unix_ms(root["start_time"])
        length = max(_unix_ms(root["end_time"]) - begin, 0.001)
        gateway = root["attributes"].get("door", "")
        out.append(f"{request} at {gateway}, trace {root['context']['trace_id']}, {root['start_time']}")
        for span in [root, *sorted(children, key=lambda span: span["start_time"])]:
            at, end = _unix_ms(span["start_time"]) - begin, _unix_ms(span["end_time"]) - begin
            left = min(max(round(at / length * BAR_WIDTH), 0), BAR_WIDTH - 1)
            size = max(min(round((end - at) / length * BAR_WIDTH), BAR_WIDTH - left), 1)
            bar = " " * left + "=" * size + " " * (BAR_WIDTH - left - size)
            attributes = " ".join(
                f"{key}={value}" for key, value in span["attributes"].items() if key not in HIDDEN_ATTRIBUTES
            )
            out.append(f"{at:9.3f} ms {end - at:9.3f} ms |{bar}| {span['name']} {attributes}")
    return "\n".join(out)
