"""What a hook costs: `python -m bench.hooks`.  Compare within one run."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from martenstep.hooks.code import compile_source
from martenstep.hooks.vm import STEPS, Machine

ROUNDS = 3000
REQUEST = ("GET", "/p/1", "h", "anna", "studio", "read", 1.0, "de", "text/html", [("accept", "text/html")], 0.0)
REFUSAL = (429.0, "quota", 2500.0)
TYPICAL = '''
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
'''
LOOP = 'on refusal(r, why) { Words { body: text(for x in range(300), a = 0 { a + x * 2 }) } }'


def words(request: tuple[Any, ...]) -> str:
    """The typical hook's function in Python."""
    return {"de": "Zu viel auf einmal", "at": "Zu viel auf einmal", "fr": "Trop à la fois"}.get(
        request[7], "Too much at once")


def typical(request: tuple[Any, ...], why: tuple[Any, ...]) -> tuple[Any, ...]:
    """The typical hook in Python."""
    if "html" in request[8]:
        return f"<p>{words(request)}, {request[3]}: {why[2] / 1000:g}s</p>", "text/html; charset=utf-8", 0.0, []
    return words(request), "text/plain", 0.0, []


def loop(request: tuple[Any, ...], why: tuple[Any, ...]) -> tuple[Any, ...]:
    """The loop in Python."""
    total = 0.0
    for x in range(300):
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


def main() -> None:
    """Print a table."""
    print("| hook | steps | median | the same in Python | steps a us |\n| --- | --- | --- | --- | --- |")
    empty: Callable[..., Any] = lambda request, why: ("", "", 0.0, [])  # noqa: E731
    for name, source, python in (("empty", "on refusal(r, why) { Words {} }", empty), ("typical", TYPICAL, typical),
                                 ("a loop of 300", LOOP, loop)):
        program = compile_source(source)
        machine = Machine(program)
        machine.run(program.points["refusal"], (REQUEST, REFUSAL))
        steps = STEPS - machine.steps
        ours = timed(lambda program=program: Machine(program).run(  # type: ignore[misc]
            program.points["refusal"], (REQUEST, REFUSAL)))
        theirs = timed(lambda python=python: python(REQUEST, REFUSAL))  # type: ignore[misc]
        print(f"| {name} | {steps} | {ours:.1f} us | {theirs:.2f} us | {steps / ours:.2f} |")


if __name__ == "__main__":
    main()
