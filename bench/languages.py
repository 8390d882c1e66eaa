"""The hooks' machine beside languages that could be embedded: `python -m bench.languages`, with the extra [bench].

The same small program in each: the words of a refusal, and a loop of 100.  One run, medians, ratios to ours.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable
from typing import Any

from bench.hooks import LOOP, REFUSAL, REQUEST, TYPICAL, loop, timed, typical
from martenstep.hooks.compiler import compile_source
from martenstep.hooks.translation import translate
from martenstep.hooks.virtual_machine import VirtualMachine

LANGUAGE, ACCEPT, CUSTOMER, WAIT_S = REQUEST[7], REQUEST[8], REQUEST[3], REFUSAL[2] / 1000
CHOICE = (
    "('Zu viel auf einmal' if language == 'de' or language == 'at' else 'Trop' if language == 'fr' "
    "else 'Too much at once')"
)
EXPRESSION = f"('<p>' + {CHOICE} + ', ' + customer + ': ' + str(wait) + 's</p>') if 'html' in accept else {CHOICE}"
NAMES: dict[str, Any] = {"language": LANGUAGE, "accept": ACCEPT, "customer": CUSTOMER, "wait": WAIT_S}
LUA = """
function(language, accept, customer, wait)
  local words = "Too much at once"
  if language == "de" or language == "at" then words = "Zu viel auf einmal"
  elseif language == "fr" then words = "Trop" end
  if string.find(accept, "html", 1, true) then
    return "<p>" .. words .. ", " .. customer .. ": " .. wait .. "s</p>"
  end
  return words
end
"""
JS = """
function words(language, accept, customer, wait) {
  var words = language == "de" || language == "at" ? "Zu viel auf einmal"
    : language == "fr" ? "Trop" : "Too much at once";
  return accept.indexOf("html") >= 0 ? "<p>" + words + ", " + customer + ": " + wait + "s</p>" : words;
}
function loop() { var total = 0; for (var x = 0; x < 100; x++) { total += x * 2; } return total; }
"""
STARLARK = """
def words(language, accept, customer, wait):
    words = "Zu viel auf einmal" if language in ("de", "at") else "Trop" if language == "fr" else "Too much at once"
    return "<p>" + words + ", " + customer + ": " + str(wait) + "s</p>" if "html" in accept else words

def loop():
    total = 0
    for x in range(100):
        total += x * 2
    return total
"""
Pair = tuple[Callable[[], Any], Callable[[], Any] | None]


def ours(interpreted: bool) -> Pair:
    """The machine, and the translated code."""
    made = []
    for source in (TYPICAL, LOOP):
        program = compile_source(source)
        fast = None if interpreted else translate(program)
        made.append(
            lambda program=program, fast=fast: VirtualMachine(program, translated=fast).run(
                program.points["refusal"], (REQUEST, REFUSAL)
            )
        )
    return made[0], made[1]


def simpleeval() -> Pair:
    """An expression evaluator: no loops."""
    module = importlib.import_module("simpleeval")
    evaluator = module.SimpleEval(names=NAMES, functions={"str": str})
    parsed = evaluator.parse(EXPRESSION)
    return lambda: evaluator.eval(EXPRESSION, previously_parsed=parsed), None


def asteval() -> Pair:
    """A Python in Python."""
    module = importlib.import_module("asteval")
    made = module.Interpreter()
    made.symtable.update(NAMES)
    words = made.parse(EXPRESSION)
    turns = made.parse("total = 0\nfor x in range(100):\n    total = total + x * 2")
    return lambda: made.run(words), lambda: made.run(turns)


def lua() -> Pair:
    """Lua by its C library."""
    runtime = importlib.import_module("lupa").LuaRuntime()
    words = runtime.eval(LUA)
    turns = runtime.eval("function() local t = 0 for x = 0, 99 do t = t + x * 2 end return t end")
    return lambda: words(LANGUAGE, ACCEPT, CUSTOMER, WAIT_S), lambda: turns()


def quickjs() -> Pair:
    """JavaScript by a small C library."""
    context = importlib.import_module("quickjs").Context()
    context.eval(JS)
    words, turns = context.get("words"), context.get("loop")
    return lambda: words(LANGUAGE, ACCEPT, CUSTOMER, WAIT_S), lambda: turns()


def starlark() -> Pair:
    """Starlark by a Rust library."""
    module = importlib.import_module("starlark")
    made = module.Module()
    module.eval(made, module.parse("words.star", STARLARK), module.Globals.standard())
    frozen = made.freeze()
    return (lambda: frozen.call("words", LANGUAGE, ACCEPT, CUSTOMER, WAIT_S)), lambda: frozen.call("loop")


def cel() -> Pair:
    """Google's expression language, in Python."""
    module = importlib.import_module("celpy")
    environment = module.Environment()
    text = (
        "accept.contains('html') ? '<p>' + (language == 'de' || language == 'at' ? 'Zu viel auf einmal' : "
        "language == 'fr' ? 'Trop' : 'Too much at once') + ', ' + customer + ': ' + string(wait) + 's</p>' : 'x'"
    )
    program = environment.program(environment.compile(text))
    types = module.celtypes
    given = {
        "language": types.StringType(LANGUAGE),
        "accept": types.StringType(ACCEPT),
        "customer": types.StringType(CUSTOMER),
        "wait": types.DoubleType(WAIT_S),
    }
    return lambda: program.evaluate(given), None


def main() -> None:
    """Print a table."""
    rows: list[tuple[str, Callable[[], Pair]]] = [
        ("ours, translated", lambda: ours(False)),
        ("ours, interpreted", lambda: ours(True)),
        ("Python itself", lambda: ((lambda: typical(REQUEST, REFUSAL)), lambda: loop(REQUEST, REFUSAL))),
        ("simpleeval", simpleeval),
        ("asteval", asteval),
        ("cel-python", cel),
        ("Lua (lupa)", lua),
        ("JavaScript (quickjs)", quickjs),
        ("Starlark (starlark-pyo3)", starlark),
    ]
    base = [0.0, 0.0]
    print("| language | words of a refusal | ratio | a loop of 100 | ratio |\n| --- | --- | --- | --- | --- |")
    for name, make in rows:
        try:
            pair = make()
        except ImportError:
            print(f"| {name} | not installed | | | |")
            continue
        took = [timed(one) if one is not None else 0.0 for one in pair]
        base = base if base[0] else took
        cells = [
            f"{each:.1f} us | {each / first:.2f}" if each else "none | " for each, first in zip(took, base, strict=True)
        ]
        print(f"| {name} | {' | '.join(cells)} |")


if __name__ == "__main__":
    main()
