"""Writes a hook's tree in the one usual form; reading that gives the tree again.  Comments between functions, hooks and
tests are kept; one inside of them has no place in the form, and is told of, not lost."""

from __future__ import annotations

from martenstep.hooks import syntax_tree as syn
from martenstep.hooks.syntax_tree import Expr

WIDTH = 100
INDENT = "  "
LEVEL = {
    "or": 1,
    "and": 2,
    "==": 4,
    "!=": 4,
    "<": 4,
    "<=": 4,
    ">": 4,
    ">=": 4,
    "in": 4,
    "+": 5,
    "-": 5,
    "*": 6,
    "/": 6,
    "%": 6,
}
NOT, MINUS, PRIMARY = 3, 7, 8
ESCAPED = {"\n": "\\n", "\t": "\\t", '"': '\\"', "\\": "\\\\"}


def number(made: syn.Number) -> str:
    """A number or duration as it is written."""
    if not made.duration:
        return f"{made.value:.17g}" if made.value != int(made.value) else f"{made.value:.0f}"
    for unit in ("h", "m", "s"):
        if made.value and made.value % syn.UNITS_MS[unit] == 0:
            return f"{made.value / syn.UNITS_MS[unit]:.0f}{unit}"
    return (f"{made.value:.0f}" if made.value == int(made.value) else f"{made.value:.17g}") + "ms"


def text(made: str) -> str:
    """The inside of a text."""
    return "".join(ESCAPED.get(sign, sign) for sign in made).replace("${", "\\${")


def type_name(made: syn.TypeName) -> str:
    """A type as it is written."""
    return made.name if made.of is None else f"{made.name}<{type_name(made.of)}>"


class _Writer:
    def expr(self, made: Expr, depth: int, level: int = 0, bare: bool = False) -> str:
        """`level`: what binds looser needs parentheses; `bare`: in a head, where a record does."""
        got, own = self._expr(made, depth, bare)
        return f"({got})" if own < level else got

    def _expr(self, made: Expr, depth: int, bare: bool) -> tuple[str, int]:
        match made:
            case syn.Number():
                return (
                    (f"-{number(syn.Number(-made.value, made.duration, place=made.place))}", MINUS)
                    if made.value < 0
                    else (number(made), PRIMARY)
                )
            case syn.Bool():
                return ("true" if made.value else "false"), PRIMARY
            case syn.Text():
                return '"' + "".join(
                    text(part) if isinstance(part, str) else "${" + self.expr(part, 0) + "}" for part in made.parts
                ) + '"', PRIMARY
            case syn.Name():
                return made.name, PRIMARY
            case syn.Call():
                return f"{made.name}({self._row(made.args, depth)})", PRIMARY
            case syn.Make():
                inner = ", ".join(f"{name}: {self.expr(value, depth + 1)}" for name, value in made.fields)
                return f"{made.name} {{ {inner} }}" if inner else f"{made.name} {{}}", -1 if bare else PRIMARY
            case syn.Items():
                return f"[{self._row(made.items, depth)}]", PRIMARY
            case syn.Field():
                return f"{self.expr(made.of, depth, MINUS + 1, bare)}.{made.name}", PRIMARY
            case syn.Index():
                return f"{self.expr(made.of, depth, MINUS + 1, bare)}[{self.expr(made.at, depth)}]", PRIMARY
            case syn.Unary(sign="not"):
                return f"not {self.expr(made.of, depth, NOT, bare)}", NOT
            case syn.Unary():
                return f"-{self.expr(made.of, depth, MINUS, bare)}", MINUS
            case syn.Binary():
                own = LEVEL[made.sign]
                left = self.expr(made.left, depth, own + (own == 4), bare)
                return f"{left} {made.sign} {self.expr(made.right, depth, own + 1, bare)}", own
            case syn.If():
                return self._if(made, depth), PRIMARY
            case syn.Match():
                pad = INDENT * (depth + 1)
                arms = "".join(
                    f"{pad}{' | '.join(self.expr(v, depth) for v in arm.values) or '_'} -> "
                    f"{self.expr(arm.then, depth + 1)},\n"
                    for arm in made.arms
                )
                return f"match {self.expr(made.of, depth, 0, True)} {{\n{arms}{INDENT * depth}}}", PRIMARY
            case syn.For():
                head = (
                    f"for {made.item} in {self.expr(made.over, depth, 0, True)}, {made.carried} = "
                    f"{self.expr(made.start, depth, 0, True)}"
                )
                return f"{head} {self.block(made.body, depth)}", PRIMARY
            case syn.Block():
                return self.block(made, depth), PRIMARY

    def _row(self, made: list[Expr], depth: int) -> str:
        return ", ".join(self.expr(one, depth) for one in made)

    def _if(self, made: syn.If, depth: int) -> str:
        head = f"if {self.expr(made.test, depth, 0, True)} {self.block(made.then, depth)} else "
        if not made.other.lets and isinstance(made.other.value, syn.If):
            return head + self._if(made.other.value, depth)
        return head + self.block(made.other, depth)

    def block(self, made: syn.Block, depth: int) -> str:
        """On one line where it is short and holds one value."""
        value = self.expr(made.value, depth + 1)
        if not made.lets and "\n" not in value and len(value) + 2 * depth < WIDTH - 30 and depth:
            return f"{{ {value} }}"
        pad = INDENT * (depth + 1)
        lets = "".join(f"{pad}let {name} = {self.expr(one, depth + 1)};\n" for name, one in made.lets)
        return f"{{\n{lets}{pad}{value}\n{INDENT * depth}}}"


def format_file(made: syn.File) -> str:
    """A whole file, in its order; raises HookFault on a comment that would be lost."""
    drawn: list[syn.Function | syn.Hook | syn.Test] = [*made.functions, *made.hooks, *made.tests]
    items = made.items or [(one, one.place) for one in drawn]  # a tree that was not read has no order
    left = list(made.comments)
    parts = []
    for one, end in items:
        above = ""
        while left and left[0][0] < one.place:
            above += left.pop(0)[1] + "\n"
        if left and left[0][0] < end:
            raise syn.HookFault(left[0][0], "a comment inside a block: put it above the function, hook or test")
        parts.append(above + _item(one))
    if left:
        parts.append("".join(comment + "\n" for _, comment in left))
    return "\n".join(parts)


def _item(one: syn.Function | syn.Hook | syn.Test) -> str:
    write = _Writer()
    match one:
        case syn.Function():
            params = ", ".join(f"{name}: {type_name(kind)}" for name, kind in one.params)
            return f"fn {one.name}({params}) -> {type_name(one.gives)} {write.block(one.body, 0)}\n"
        case syn.Hook():
            return f"on {one.point}({', '.join(one.params)}) {write.block(one.body, 0)}\n"
        case syn.Test():
            return f'test "{text(one.title)}" {write.block(one.body, 0)}\n'
