"""Checks a hook's tree: every name, every type, no recursion.  What passes cannot go wrong by its types."""

from __future__ import annotations

from martenstep.hooks import syntax_tree as syn
from martenstep.hooks.regex import Pattern, PatternError
from martenstep.hooks.syntax_tree import Expr, HookFault, Place
from martenstep.hooks.types import (
    BOOL,
    BUILT_IN,
    BY_NAME,
    DURATION,
    NOTHING,
    NUMBER,
    PLAIN,
    POINTS,
    RECORDS,
    TEXT,
    Type,
    fits,
    joined,
    list_of,
)

MOST_SLOTS = 200  # names in one function
ORDERED = (NUMBER, DURATION, TEXT)
# Signs on two plain types, and what they make.
MADE: dict[tuple[str, Type, Type], Type] = {
    ("+", NUMBER, NUMBER): NUMBER,
    ("-", NUMBER, NUMBER): NUMBER,
    ("*", NUMBER, NUMBER): NUMBER,
    ("/", NUMBER, NUMBER): NUMBER,
    ("%", NUMBER, NUMBER): NUMBER,
    ("+", TEXT, TEXT): TEXT,
    ("+", DURATION, DURATION): DURATION,
    ("-", DURATION, DURATION): DURATION,
    ("*", DURATION, NUMBER): DURATION,
    ("*", NUMBER, DURATION): DURATION,
    ("/", DURATION, NUMBER): DURATION,
    ("/", DURATION, DURATION): NUMBER,
}


def _near(among: list[str]) -> str:
    listed = ", ".join(sorted(among)[:20])
    return f"(there are: {listed})" if listed else "(there are none)"


class Checker:
    """One file; `types` holds what each part of the tree was found to be, by its identity."""

    def __init__(self, file: syn.File) -> None:
        self._file = file
        self.types: dict[int, Type] = {}
        self.functions: dict[str, tuple[tuple[Type, ...], Type]] = {}
        self._calls: dict[str, dict[str, Place]] = {}
        self._inside = ""
        self._slots = 0

    def check(self) -> None:
        """Raises HookFault at the first thing that is wrong."""
        for function in self._file.functions:
            if function.name in self.functions or function.name in BUILT_IN:
                raise HookFault(function.place, f"the function {function.name!r} is there already")
            self.functions[function.name] = (
                tuple(self._written(made) for _, made in function.params),
                self._written(function.gives),
            )
        for function in self._file.functions:
            params, gives = self.functions[function.name]
            names = [name for name, _ in function.params]
            self._body(function.place, names, params, function.body, gives, function.name)
        self._no_recursion()
        seen: set[str] = set()
        for hook in self._file.hooks:
            if hook.point not in POINTS:
                raise HookFault(hook.place, f"no point is named {hook.point!r} {_near(list(POINTS))}")
            if hook.point in seen:
                raise HookFault(hook.place, f"a second hook at {hook.point!r}")
            seen.add(hook.point)
            given, gives = POINTS[hook.point]
            if len(hook.params) != len(given):
                raise HookFault(
                    hook.place,
                    f"{hook.point} is given {len(given)} values ("
                    f"{', '.join(map(str, given))}), named are {len(hook.params)}",
                )
            self._body(hook.place, hook.params, given, hook.body, gives, "")
        for test in self._file.tests:
            self._body(test.place, [], (), test.body, BOOL, "")

    def _no_recursion(self) -> None:
        """No function comes back to itself: each ends by its shape, but for what the budget cuts off."""
        done: set[str] = set()

        def visit(name: str, under: tuple[str, ...]) -> None:
            for called, place in self._calls.get(name, {}).items():
                if called in (*under, name):
                    raise HookFault(place, f"{called!r} calls itself, here or over others")
                if called not in done:
                    if len(under) > syn.MOST_DEPTH:
                        raise HookFault(place, f"calls nested deeper than {syn.MOST_DEPTH}")
                    visit(called, (*under, name))
            done.add(name)

        for function in self._file.functions:
            visit(function.name, ())

    def _written(self, made: syn.TypeName) -> Type:
        if made.name == "list":
            if made.of is None:
                raise HookFault(made.place, "expected what the list holds, such as list<text>")
            return list_of(self._written(made.of))
        found = BY_NAME.get(made.name)
        if found is None or made.of is not None:
            raise HookFault(made.place, f"no type is named {made.name!r} {_near([*BY_NAME, 'list'])}")
        return found

    def _body(
        self, place: Place, names: list[str], given: tuple[Type, ...], body: syn.Block, gives: Type, inside: str
    ) -> None:
        if len(set(names)) < len(names):
            raise HookFault(place, "two parameters of one name")
        self._inside, self._slots = inside, len(names)
        self._want(body, gives, dict(zip(names, given, strict=True)), "")

    def _want(self, made: Expr, wanted: Type, names: dict[str, Type], what: str) -> None:
        got = self.type(made, names)
        if not fits(got, wanted):
            at = made.value if isinstance(made, syn.Block) else made
            raise HookFault(at.place, f"{what}expected {wanted}, got {got}")

    def type(self, made: Expr, names: dict[str, Type]) -> Type:
        """What a part is; kept for the compiler."""
        found = self._type(made, names)
        self.types[id(made)] = found
        return found

    def _type(self, made: Expr, names: dict[str, Type]) -> Type:
        match made:
            case syn.Number():
                return DURATION if made.duration else NUMBER
            case syn.Bool():
                return BOOL
            case syn.Text():
                for part in made.parts:
                    if not isinstance(part, str) and self.type(part, names) not in PLAIN.values():
                        raise HookFault(
                            part.place, f"expected something plain to put into a text, got {self.types[id(part)]}"
                        )
                return TEXT
            case syn.Name():
                if made.name not in names:
                    raise HookFault(made.place, f"nothing is named {made.name!r} {_near(list(names))}")
                return names[made.name]
            case syn.Items():
                of = NOTHING
                for item in made.items:
                    both = joined(of, self.type(item, names)) if of != NOTHING else self.type(item, names)
                    if both is None:
                        raise HookFault(item.place, f"expected {of} as the others, got {self.types[id(item)]}")
                    of = both
                return list_of(of)
            case syn.Make():
                return self._record(made, names)
            case syn.Field():
                of = self.type(made.of, names)
                for name, kind in RECORDS.get(of, ()):
                    if name == made.name:
                        return kind
                known = [name for name, _ in RECORDS.get(of, ())]
                raise HookFault(made.place, f"{of} has no field {made.name!r} {_near(known)}")
            case syn.Index():
                of = self.type(made.of, names)
                if of.name != "list" or of.of is None or of.of == NOTHING:
                    raise HookFault(made.of.place, f"expected a list, got {of}")
                self._want(made.at, NUMBER, names, "")
                return of.of
            case syn.Unary():
                if made.sign == "not":
                    self._want(made.of, BOOL, names, "")
                    return BOOL
                got = self.type(made.of, names)
                if got not in (NUMBER, DURATION):
                    raise HookFault(made.of.place, f"expected number or duration, got {got}")
                return got
            case syn.Binary():
                return self._binary(made, names)
            case syn.Block():
                inner = dict(names)
                for name, value in made.lets:
                    inner[name] = self.type(value, inner)
                    self._slot(value.place)
                return self.type(made.value, inner)
            case syn.If():
                self._want(made.test, BOOL, names, "")
                return self._both(made.then, made.other, names)
            case syn.Match():
                return self._match(made, names)
            case syn.For():
                return self._for(made, names)
            case syn.Call():
                return self._call(made, names)

    def _slot(self, place: Place) -> None:
        self._slots += 1
        if self._slots > MOST_SLOTS:
            raise HookFault(place, f"more than {MOST_SLOTS} names in one function")

    def _record(self, made: syn.Make, names: dict[str, Type]) -> Type:
        found = BY_NAME.get(made.name)
        if found is None or found not in RECORDS:
            known = [record.name for record in RECORDS]
            raise HookFault(made.place, f"no record is named {made.name!r} {_near(known)}")
        fields = dict(RECORDS[found])
        seen: set[str] = set()
        for name, value in made.fields:
            if name not in fields:
                raise HookFault(value.place, f"{found} has no field {name!r} {_near(list(fields))}")
            if name in seen:
                raise HookFault(value.place, f"{name!r} is given twice")
            seen.add(name)
            self._want(value, fields[name], names, f"{found}.{name}: ")
        return found

    def _binary(self, made: syn.Binary, names: dict[str, Type]) -> Type:
        if made.sign in ("and", "or"):
            self._want(made.left, BOOL, names, "")
            self._want(made.right, BOOL, names, "")
            return BOOL
        left, right = self.type(made.left, names), self.type(made.right, names)
        if made.sign in ("==", "!="):
            if joined(left, right) is not None:
                return BOOL
        elif made.sign in ("<", "<=", ">", ">="):
            if left == right and left in ORDERED:
                return BOOL
        elif made.sign == "in":
            if (left == right == TEXT) or (right.name == "list" and fits(list_of(left), right)):
                return BOOL
        elif made.sign == "+" and left.name == right.name == "list":
            both = joined(left, right)
            if both is not None:
                return both
        elif (made.sign, left, right) in MADE:
            return MADE[made.sign, left, right]
        raise HookFault(made.place, f"{left} {made.sign} {right} is nothing")

    def _both(self, one: Expr, other: Expr, names: dict[str, Type]) -> Type:
        first, second = self.type(one, names), self.type(other, names)
        both = joined(first, second)
        if both is None:
            at = other.value if isinstance(other, syn.Block) else other
            raise HookFault(at.place, f"expected {first} as in the first way, got {second}")
        return both

    def _match(self, made: syn.Match, names: dict[str, Type]) -> Type:
        of = self.type(made.of, names)
        if of not in PLAIN.values():
            raise HookFault(made.of.place, f"expected something plain to match, got {of}")
        if not made.arms or made.arms[-1].values or any(not arm.values for arm in made.arms[:-1]):
            raise HookFault(made.place, "expected '_' as the last arm, and only there")
        found: Type | None = None
        for arm in made.arms:
            for value in arm.values:
                self._want(value, of, names, "")
            got = self.type(arm.then, names)
            both = got if found is None else joined(found, got)
            if both is None:
                raise HookFault(arm.then.place, f"expected {found} as in the first arm, got {got}")
            found = both
        assert found is not None
        return found

    def _for(self, made: syn.For, names: dict[str, Type]) -> Type:
        over = self.type(made.over, names)
        if over.name != "list" or over.of is None:
            raise HookFault(made.over.place, f"expected a list, got {over}")
        carried = self.type(made.start, names)
        if made.item == made.carried:
            raise HookFault(made.place, "the item and what is carried along have one name")
        for _ in range(4):  # an empty list at the start becomes the body's
            self._slot(made.place)
            inner = {**names, made.item: over.of, made.carried: carried}
            got = self.type(made.body, inner)
            both = joined(carried, got)
            if both is None:
                raise HookFault(made.body.value.place, f"expected {carried} as it began, got {got}")
            if both == carried:
                return carried
            carried = both
        raise HookFault(made.place, "what is carried along has no one type")

    def _call(self, made: syn.Call, names: dict[str, Type]) -> Type:
        known = self.functions.get(made.name) or BUILT_IN.get(made.name)
        if known is None:
            raise HookFault(made.place, f"no function is named {made.name!r} {_near([*self.functions, *BUILT_IN])}")
        if made.name in self.functions and self._inside:
            self._calls.setdefault(self._inside, {}).setdefault(made.name, made.place)
        params, gives = known
        if len(params) != len(made.args):
            raise HookFault(made.place, f"{made.name} takes {len(params)} values, got {len(made.args)}")
        for number, (arg, wanted) in enumerate(zip(made.args, params, strict=True), 1):
            self._want(arg, wanted, names, f"{made.name}, value {number}: ")
        if made.name in ("matches", "count"):
            last = made.args[-1]
            if not isinstance(last, syn.Text) or len(last.parts) != 1 or not isinstance(last.parts[0], str):
                raise HookFault(last.place, f"{made.name}: expected a plain text, known before the hook runs")
            if made.name == "matches":
                try:
                    Pattern(last.parts[0])
                except PatternError as error:
                    raise HookFault(last.place, f"matches: {error}") from None
        return gives


def check(file: syn.File) -> Checker:
    """Check a whole file; raises HookFault."""
    made = Checker(file)
    made.check()
    return made
