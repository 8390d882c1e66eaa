"""Regular expressions in linear time: Thompson's simulation of a machine without back-references.

Known: characters, `.`, classes `[a-z0-9]` and `[^...]`, `\\d \\w \\s` and their capitals, `^`, `$`, `( )`, `|`,
`* + ?`, `{m}`, `{m,}` and `{m,n}`.  A match may stand anywhere in the text.
"""

from __future__ import annotations

import string
from dataclasses import dataclass

MOST_STATES = 400
MOST_TIMES = 32  # of a counted repeat: it is written out so often
MOST_NESTED = 20
CLASSES = {"d": string.digits, "w": string.ascii_letters + string.digits + "_", "s": string.whitespace}


class PatternError(Exception):
    """A pattern that is none; tells where, from 0 on."""


@dataclass(frozen=True, slots=True)
class Signs:
    """A set of characters, or all but these."""

    ranges: tuple[tuple[str, str], ...]
    inverted: bool = False

    def has(self, sign: str) -> bool:
        """Whether a character is one of them."""
        return any(low <= sign <= high for low, high in self.ranges) != self.inverted


Step = tuple[str, Signs | None, int, int]  # what: sign, split, begin, end, done; and where on
Tree = tuple[object, ...]


class _Reader:
    def __init__(self, pattern: str) -> None:
        self._pattern, self._at = pattern, 0

    def all(self) -> Tree:
        made = self._either(0)
        if self._at < len(self._pattern):
            raise PatternError(f"at {self._at}: a ')' that nothing opened")
        return made

    def _peek(self) -> str:
        return self._pattern[self._at : self._at + 1]

    def _either(self, depth: int) -> Tree:
        if depth > MOST_NESTED:
            raise PatternError(f"at {self._at}: nested deeper than {MOST_NESTED}")
        ways = [self._row(depth)]
        while self._peek() == "|":
            self._at += 1
            ways.append(self._row(depth))
        return ("either", tuple(ways)) if len(ways) > 1 else ways[0]

    def _row(self, depth: int) -> Tree:
        parts: list[Tree] = []
        while self._peek() not in ("", "|", ")"):
            parts.append(self._repeat(self._one(depth)))
        return ("row", tuple(parts))

    def _repeat(self, made: Tree) -> Tree:
        sign = self._peek()
        if sign and sign in "*+?":
            self._at += 1
            made = ("repeat", made, int(sign == "+"), 1 if sign == "?" else None)
        elif sign == "{":
            end = self._pattern.find("}", self._at)
            low, comma, high = self._pattern[self._at + 1 : max(end, 0)].partition(",")
            good = end > 0 and low.isascii() and low.isdigit() and (not high or (high.isascii() and high.isdigit()))
            if not good or max(int(low), int(high or 0)) > MOST_TIMES or (high and int(high) < int(low)):
                raise PatternError(f"at {self._at}: expected a repeat such as {{2,5}} of no more than {MOST_TIMES}")
            self._at = end + 1
            made = ("repeat", made, int(low), int(high) if high else None if comma else int(low))
        else:
            return made
        if self._peek() in ("*", "+", "?", "{") and self._peek():
            raise PatternError(f"at {self._at}: a repeat of a repeat")
        return made

    def _one(self, depth: int) -> Tree:
        sign = self._peek()
        self._at += 1
        if sign == "(":
            made = self._either(depth + 1)
            if self._peek() != ")":
                raise PatternError(f"at {self._at}: expected ')'")
            self._at += 1
            return made
        if sign == "[":
            return ("signs", self._set())
        if sign == ".":
            return ("signs", Signs((), True))
        if sign in "^$":
            return ("begin" if sign == "^" else "end",)
        if sign in "*+?{":
            raise PatternError(f"at {self._at - 1}: nothing to repeat")
        if sign == "\\":
            return ("signs", self._escape())
        return ("signs", Signs(((sign, sign),)))

    def _escape(self) -> Signs:
        sign = self._peek()
        self._at += 1
        if sign.lower() in CLASSES:
            return Signs(tuple((one, one) for one in CLASSES[sign.lower()]), sign.isupper())
        if not sign or sign.isalnum():
            raise PatternError(f"at {self._at - 1}: no such escape: \\{sign}")
        return Signs(((sign, sign),))

    def _set(self) -> Signs:
        inverted = self._peek() == "^"
        self._at += inverted
        ranges: list[tuple[str, str]] = []
        while self._peek() != "]" or not ranges:
            sign = self._peek()
            if not sign:
                raise PatternError(f"at {self._at}: expected ']'")
            self._at += 1
            if sign == "\\":
                inner = self._escape()
                if inner.inverted:
                    raise PatternError(f"at {self._at}: not in a class: a capital's escape")
                ranges += inner.ranges
                continue
            if self._peek() == "-" and self._pattern[self._at + 1 : self._at + 2] not in ("", "]"):
                high = self._pattern[self._at + 1]
                self._at += 2
                if high < sign:
                    raise PatternError(f"at {self._at}: a range that runs backwards")
                ranges.append((sign, high))
            else:
                ranges.append((sign, sign))
        self._at += 1
        return Signs(tuple(ranges), inverted)


class Pattern:
    """A pattern made ready."""

    def __init__(self, text: str) -> None:
        self._steps: list[Step] = []
        start = self._make(_Reader(text).all(), self._add("done", None, 0, 0))
        self._start = start

    @property
    def states(self) -> int:
        """What one character of a text may cost."""
        return len(self._steps)

    def _add(self, what: str, signs: Signs | None, one: int, other: int) -> int:
        if len(self._steps) >= MOST_STATES:
            raise PatternError(f"more than {MOST_STATES} states")
        self._steps.append((what, signs, one, other))
        return len(self._steps) - 1

    def _make(self, tree: Tree, then: int) -> int:
        """The steps of a part, from its last to its first; gives where it begins."""
        kind = tree[0]
        if kind == "signs":
            signs = tree[1]
            assert isinstance(signs, Signs)
            return self._add("sign", signs, then, 0)
        if kind in ("begin", "end"):
            return self._add(str(kind), None, then, 0)
        if kind == "row":
            assert isinstance(tree[1], tuple)
            for part in reversed(tree[1]):
                then = self._make(part, then)
            return then
        if kind == "either":
            assert isinstance(tree[1], tuple)
            first, *rest = [self._make(way, then) for way in tree[1]]
            for other in rest:
                first = self._add("split", None, first, other)
            return first
        inner, low, high = tree[1], tree[2], tree[3]
        assert isinstance(inner, tuple) and isinstance(low, int)
        if high is None:
            loop = self._add("split", None, 0, then)
            body = self._make(inner, loop)
            self._steps[loop] = ("split", None, body, then)
            then = loop
        else:
            assert isinstance(high, int)
            for _ in range(high - low):
                then = self._add("split", None, self._make(inner, then), then)
        for _ in range(low):
            then = self._make(inner, then)
        return then

    def search(self, text: str) -> bool:
        """Whether it matches anywhere; each character looks at each state once."""
        now: set[int] = set()
        for at in range(len(text) + 1):
            self._reach(self._start, at, len(text), now)
            if any(self._steps[state][0] == "done" for state in now):
                return True
            if at == len(text):
                break
            after: set[int] = set()
            for state in now:
                what, signs, one, _ = self._steps[state]
                if what == "sign" and signs is not None and signs.has(text[at]):
                    self._reach(one, at + 1, len(text), after)
            now = after
        return False

    def _reach(self, start: int, at: int, end: int, found: set[int]) -> None:
        todo = [start]
        while todo:
            state = todo.pop()
            if state in found:
                continue
            found.add(state)
            what, _, one, other = self._steps[state]
            if what == "split":
                todo += (one, other)
            elif (what == "begin" and at == 0) or (what == "end" and at == end):
                todo.append(one)
