"""Traces: the spans of each request, the trace context that is received and sent, and the printed timeline."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine_messages import AttemptFailure
from martenstep.proxy.traces import Sampler, Trace, TraceExporter
from tests.engine_rig import Rig, header
from tests.test_auth_proxy import AuthRig

TRACING = 'tracing { file: "x" share: 1 }'
PARENT = "00-" + "ab" * 16 + "-" + "cd" * 8 + "-01"


def exported_traces(rig: Rig) -> list[Trace]:
    return [action.trace for action in rig.actions_of(ev.ExportTrace)]


def test_a_request_exports_one_trace_with_a_span_for_each_step() -> None:
    rig = AuthRig(TRACING)
    request_id = rig.send("/safe/1?token=secret", authorization="Bearer secret", x_request_id="r1")
    rig.pass_time(7)
    rig.send_verdict()
    rig.pass_time(3)
    rig.answer_counter_calls(1.0)
    rig.pass_time(5)
    rig.fail_attempt(request_id, AttemptFailure.CLOSED)
    rig.pass_time(20)
    rig.serve(request_id)
    [trace] = exported_traces(rig)
    assert [(span.name, span.start - 100_000.0, span.end - 100_000.0) for span in (trace.root, *trace.children)] == [
        ("request", 0, 35),
        ("auth", 0, 7),
        ("counter", 7, 10),
        ("attempt", 10, 15),
        ("attempt", 15, 35),
    ]
    assert trace.root.attributes == {
        "request": "r1",
        "door": "door-0",
        "method": "GET",
        "path": "/safe/1",
        "class": "read",
        "status": 200,
        "reason": "served",
        "customer": "anna",
        "plan": "plain",
    }
    assert [span.attributes["verdict"] for span in trace.children[2:]] == ["reset", "ok"]
    assert "secret" not in repr(trace)
    for sent, span in zip(rig.actions_of(ev.OpenAttempt, request_id), trace.children[2:], strict=True):
        assert header(sent, "traceparent") == f"00-{trace.id:032x}-{span.id:016x}-01"


def test_a_trace_is_exported_after_the_last_attempt_and_for_rejected_requests_too() -> None:
    rig = Rig(TRACING + " upstream { cancel: false }")
    left = rig.send(x_deadline_ms="900")
    rig.write(left)
    rig.handle(ev.ClientDisconnected(left))
    assert not exported_traces(rig)  # an attempt is still in flight
    rig.pass_time(900)
    [trace] = exported_traces(rig)
    assert trace.root.attributes["reason"] == "client left" and trace.children[0].end > trace.root.end
    refused = rig.send(customer="anna")
    rig.answer_counter_calls(900.0)
    assert rig.responses(refused) and exported_traces(rig)[1].root.attributes["status"] == 429


def test_trace_context_is_taken_from_the_client_unless_it_is_invalid() -> None:
    rig = Rig(TRACING)
    rig.serve(rig.send(traceparent=PARENT))
    for bad in (PARENT.upper(), PARENT[:-3], "00-" + "0" * 32 + PARENT[35:], "ff" + PARENT[2:], "x"):
        rig.serve(rig.send(traceparent=bad))
    first, *others = exported_traces(rig)
    assert first.id == int("ab" * 16, 16) and first.parent_span_id == int("cd" * 8, 16)
    assert all(trace.parent_span_id == 0 and trace.id != first.id for trace in others)


def test_sampling_follows_the_clients_flag_and_otherwise_the_trace_id_alone() -> None:
    sampler = Sampler(0.25, random.Random(1))
    found = [sampler.trace(None, 0.0) for _ in range(4000)]
    assert 900 < sum(trace is not None for trace in found) < 1100
    none = Sampler(0.0, random.Random(1))
    assert none.trace(PARENT.encode(), 0.0) is not None and none.trace(PARENT[:-1].encode() + b"0", 0.0) is None
    assert none.trace(None, 0.0) is None
    rig = Rig()  # without tracing, `traceparent` is forwarded unchanged
    assert header(rig.last_attempt(rig.send(traceparent=PARENT)), "traceparent") == PARENT


def test_trace_show_prints_the_timeline_of_a_request(tmp_path: Path) -> None:
    rig = Rig(TRACING)
    request_id = rig.send(x_request_id="r1", traceparent=PARENT)
    rig.pass_time(4)
    rig.fail_attempt(request_id, AttemptFailure.CLOSED)
    rig.pass_time(6)
    rig.serve(request_id)
    file = tmp_path / "traces.jsonl"
    exporter = TraceExporter(file, "door-0", lambda: 1_700_000_000_000.0, lambda: 100_000.0)
    for trace in exported_traces(rig):
        exporter.export(trace)
    exporter.close()
    with file.open("a") as more:
        more.write('{"name": "cut of')
    shown = CliRunner().invoke(cli, ["trace", "show", str(file), "r1"])
    assert shown.exit_code == 0, shown.output
    lines = shown.output.splitlines()
    assert "ab" * 16 in lines[0] and [line.rsplit("| ", 1)[1].split()[0] for line in lines[1:]] == [
        "request",
        "attempt",
        "attempt",
    ]
    assert lines[1].split()[2] == "10.000" and lines[3].split()[0] == "4.000" and "verdict=ok" in lines[3]
    for arguments in ((str(file), "nobody"), ("/no/such/file", "r1")):
        missing = CliRunner().invoke(cli, ["trace", "show", *arguments])
        assert missing.exit_code == 2 and "Traceback" not in missing.output


@pytest.mark.parametrize("share", [0.0, 1.0])
def test_tracing_changes_no_decision(share: float) -> None:
    def chosen_endpoints(text: str) -> list[int]:
        rig = Rig(text, seed=5)
        for number in range(60):
            request_id = rig.send(customer="anna" if number % 3 else "free")
            rig.answer_counter_calls(1.0)
            rig.pass_time(3)
            if rig.actions_of(ev.OpenAttempt, request_id):
                rig.serve(request_id)
        return [opened.endpoint for opened in rig.actions_of(ev.OpenAttempt)]

    assert chosen_endpoints(f'tracing {{ file: "x" share: {share} }}') == chosen_endpoints("")
