"""The syntax tree of a hook's source."""

from __future__ import annotations

from dataclasses import dataclass, field

from martenstep.hooks.source import SourceLocation


@dataclass(slots=True, kw_only=True)
class Node:
    """A node of the tree, with its location in the source."""

    location: SourceLocation = field(compare=False, repr=False)


@dataclass(slots=True)
class NumberLiteral(Node):
    """A number, or a duration in milliseconds."""

    value: float
    is_duration: bool = False


@dataclass(slots=True)
class TextLiteral(Node):
    """Pieces of text, and the expressions of the templates between them."""

    parts: list[str | Expression]


@dataclass(slots=True)
class BoolLiteral(Node):
    """`true` or `false`."""

    value: bool


@dataclass(slots=True)
class NameReference(Node):
    """A use of a parameter, a binding, or a name of a `for`."""

    name: str


@dataclass(slots=True)
class Call(Node):
    """A call of a function of the file, or of a built-in function."""

    function_name: str
    arguments: list[Expression]


@dataclass(slots=True)
class RecordLiteral(Node):
    """A new record; omitted fields get the default value of their type."""

    type_name: str
    fields: list[tuple[str, Expression]]


@dataclass(slots=True)
class ListLiteral(Node):
    """A new list."""

    items: list[Expression]


@dataclass(slots=True)
class FieldAccess(Node):
    """The value of a record's field."""

    record: Expression
    field_name: str


@dataclass(slots=True)
class IndexAccess(Node):
    """The value of a list's item; the index counts from 0."""

    list_value: Expression
    index: Expression


@dataclass(slots=True)
class UnaryOperation(Node):
    """`not` or `-`."""

    operator: str
    operand: Expression


@dataclass(slots=True)
class BinaryOperation(Node):
    """An operator between two operands; `and` and `or` evaluate the right operand only if they need it."""

    operator: str
    left: Expression
    right: Expression


@dataclass(slots=True)
class Conditional(Node):
    """`if` with its two branches."""

    condition: Expression
    then_branch: Block
    else_branch: Block


@dataclass(slots=True)
class MatchArm(Node):
    """One arm of a match; without literals it matches every value."""

    literals: list[Expression]
    result: Expression


@dataclass(slots=True)
class Match(Node):
    """`match`: its value is the result of the first arm that matches the subject."""

    subject: Expression
    arms: list[MatchArm]


@dataclass(slots=True)
class Fold(Node):
    """`for`: for each item, the body computes the accumulator's next value; the last one is the result."""

    item_name: str
    items: Expression
    accumulator_name: str
    initial: Expression
    body: Block


@dataclass(slots=True)
class Block(Node):
    """Bindings (`let`) and a result in braces."""

    bindings: list[tuple[str, Expression]]
    result: Expression


Expression = (
    NumberLiteral
    | TextLiteral
    | BoolLiteral
    | NameReference
    | Call
    | RecordLiteral
    | ListLiteral
    | FieldAccess
    | IndexAccess
    | UnaryOperation
    | BinaryOperation
    | Conditional
    | Match
    | Fold
    | Block
)


@dataclass(slots=True)
class TypeReference(Node):
    """A type as written in the source."""

    name: str
    item_type: TypeReference | None = None


@dataclass(slots=True)
class FunctionDefinition(Node):
    """A function of the file."""

    name: str
    parameters: list[tuple[str, TypeReference]]
    result_type: TypeReference
    body: Block


@dataclass(slots=True)
class HookDefinition(Node):
    """A hook: the block that runs at an extension point."""

    point: str
    parameters: list[str]
    body: Block


@dataclass(slots=True)
class TestDefinition(Node):
    """A test of the file's functions, in the same file."""

    title: str
    body: Block


Definition = FunctionDefinition | HookDefinition | TestDefinition


@dataclass(slots=True)
class SourceFile:
    """A whole source.

    `definitions` are in the order of the source, each with the location of its last token.
    """

    functions: list[FunctionDefinition]
    hooks: list[HookDefinition]
    tests: list[TestDefinition]
    definitions: list[tuple[Definition, SourceLocation]] = field(default_factory=list, compare=False, repr=False)
    comments: list[tuple[SourceLocation, str]] = field(default_factory=list, compare=False, repr=False)


def result_location(expression: Expression) -> SourceLocation:
    """The location of an expression or, for a block, of its result."""
    return expression.result.location if isinstance(expression, Block) else expression.location
