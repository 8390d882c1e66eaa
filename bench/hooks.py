"""What a hook costs: `python -m bench.hooks`.  Compare within one run."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from martenstep.hooks.compiler import compile_source
from martenstep.hooks.run_context import HookRunError
from martenstep.hooks.translation import translate
from martenstep.hooks.virtual_machine import VirtualMachine

ROUNDS = 3000
REQUEST = ("GET", "/p/1", "h", "anna", "studio", "read", 1.0, "de", "text/html", [("accept", "text/html")], 0.0)
REFUSAL = (429.0, "quota", 2500.0)
TYPICAL = """
fn words(r: Request) -> text {
  match r.language { "de" | "at" -> "Zu viel auf einmal", "fr" -> "Trop à la fois", _ -> "Too much at once" }
}
on refusal(r, why) {
  if "html" in r.accept {
    Words { body: "<p>${words(r)}, ${r.customer}: ${why.retry_after}</p>", content_type: "text/html; charset=utf-8" }
  } else {
    Words { body: words(r), content_type: "text/plain" }
  }
}
"""
LOOP = "on refusal(r, why) { Words { body: text(for x in range(100), a = 0 { a + x * 2 }) } }"


def words(request: tuple[Any, ...]) -> str:
    """The typical hook's function in Python."""
    return {"de": "Zu viel auf einmal", "at": "Zu viel auf einmal", "fr": "Trop à la fois"}.get(
        request[7], "Too much at once"
    )


def typical(request: tuple[Any, ...], why: tuple[Any, ...]) -> tuple[Any, ...]:
    """The typical hook in Python."""
    if "html" in request[8]:
        return f"<p>{words(request)}, {request[3]}: {why[2] / 1000:g}s</p>", "text/html; charset=utf-8", 0.0, []
    return words(request), "text/plain", 0.0, []


def loop(request: tuple[Any, ...], why: tuple[Any, ...]) -> tuple[Any, ...]:
    """The loop in Python."""
    total = 0.0
    for x in range(100):
        total = total + x * 2.0
    return str(total), "", 0.0, []


def timed(run: Callable[[], Any]) -> float:
    """Median microseconds."""
    took = []
    for _ in range(ROUNDS):
        begin = time.perf_counter()
        run()
        took.append((time.perf_counter() - begin) * 1e6)
    return sorted(took)[ROUNDS // 2]


BAD = {
    "a loop without an end in sight": "text(for x in range(900), n = 0 { for y in range(900), k = n { k + 1 } })",
    "a text doubled again and again": 'for x in range(60), s = "ab" { s + s }',
    "a pattern made to explode": '"${matches(for x in range(13), s = "a" { s + s }, "(a|a)*(a|a)*b")}"',
    "a long text taken apart and joined": 'join(split(for x in range(12), s = "a b" { s + s }, " "), ",")',
    "replacing within itself": 'for x in range(40), s = "ab" { replace(s, "a", s) }',
    "looking through headers": '"${for x in range(200), n = 0 { n + len(header(r.headers, "none")) }}"',
}
MANY = [(f"x-{number}", "v" * 100) for number in range(100)]


def bad() -> None:
    """How soon hooks that go too far are cut off."""
    print(
        "\n| hook | ends by | translated: median, longest | interpreted: median, longest |\n| --- | --- | --- | --- |"
    )
    for name, body in BAD.items():
        program = compile_source(f'on refusal(r, why) {{ Words {{ body: {body}, content_type: "text/plain" }} }}')
        given = ((*REQUEST[:9], MANY, 0.0), REFUSAL)
        cells, ends = [], ""
        for fast in (translate(program), None):
            took = []
            for _ in range(300):
                machine = VirtualMachine(program, translated=fast)
                begin = time.perf_counter()
                try:
                    machine.run(program.points["refusal"], given)
                    ends = "itself"
                except HookRunError as error:
                    ends = error.kind
                took.append((time.perf_counter() - begin) * 1e3)
            took.sort()
            cells.append(f"{took[150]:.2f}, {took[-1]:.2f} ms")
        print(f"| {name} | {ends} | {' | '.join(cells)} |")


def main() -> None:
    """Print the tables."""
    print(
        "| hook | steps | translated | interpreted | the same in Python | steps a us |\n"
        "| --- | --- | --- | --- | --- | --- |"
    )
    empty: Callable[..., Any] = lambda request, why: ("", "", 0.0, [])  # noqa: E731
    for name, source, python in (
        ("empty", "on refusal(r, why) { Words {} }", empty),
        ("typical", TYPICAL, typical),
        ("a loop of 100", LOOP, loop),
    ):
        program = compile_source(source)
        fast = translate(program)
        machine = VirtualMachine(program, translated=fast)
        machine.run(program.points["refusal"], (REQUEST, REFUSAL))
        steps = machine.used_steps
        ours, slow = (
            timed(
                lambda program=program, fast=each: VirtualMachine(program, translated=fast).run(  # type: ignore[misc]
                    program.points["refusal"], (REQUEST, REFUSAL)
                )
            )
            for each in (fast, None)
        )
        theirs = timed(lambda python=python: python(REQUEST, REFUSAL))  # type: ignore[misc]
        print(f"| {name} | {steps} | {ours:.1f} us | {slow:.1f} us | {theirs:.2f} us | {steps / ours:.2f} |")


if __name__ == "__main__":
    main()
    bad()
