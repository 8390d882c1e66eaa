"""The syntax tree of a hook's source."""

from __future__ import annotations

from dataclasses import dataclass, field

from martenstep.hooks.source import SourceLocation


@dataclass(slots=True, kw_only=True)
class Node:
    """A part of a program."""

    location: SourceLocation = field(compare=False, repr=False)


@dataclass(slots=True)
class NumberLiteral(Node):
    """A number, or a duration in milliseconds."""

    value: float
    is_duration: bool = False


@dataclass(slots=True)
class TextLiteral(Node):
    """Pieces of text, and the expressions whose values stand between them."""

    parts: list[str | Expression]


@dataclass(slots=True)
class BoolLiteral(Node):
    """true or false."""

    value: bool


@dataclass(slots=True)
class NameReference(Node):
    """A parameter or a binding."""

    name: str


@dataclass(slots=True)
class Call(Node):
    """A call of a function of the file, or of a built-in one."""

    function_name: str
    arguments: list[Expression]


@dataclass(slots=True)
class RecordLiteral(Node):
    """A record; fields that are left out have the default value of their type."""

    type_name: str
    fields: list[tuple[str, Expression]]


@dataclass(slots=True)
class ListLiteral(Node):
    """A list."""

    items: list[Expression]


@dataclass(slots=True)
class FieldAccess(Node):
    """A field of a record."""

    record: Expression
    field_name: str


@dataclass(slots=True)
class IndexAccess(Node):
    """An item of a list, counted from 0."""

    list_value: Expression
    index: Expression


@dataclass(slots=True)
class UnaryOperation(Node):
    """`not` or `-`."""

    operator: str
    operand: Expression


@dataclass(slots=True)
class BinaryOperation(Node):
    """An operator between two operands; `and` and `or` evaluate the second only if they need it."""

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
    """The result of the first arm that matches the subject."""

    subject: Expression
    arms: list[MatchArm]


@dataclass(slots=True)
class Fold(Node):
    """`for`: the body gives the accumulator's next value for each item."""

    item_name: str
    items: Expression
    accumulator_name: str
    initial: Expression
    body: Block


@dataclass(slots=True)
class Block(Node):
    """Bindings (`let`) and a result."""

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
    """A type as the source writes it."""

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
    """What is done at an extension point."""

    point: str
    parameters: list[str]
    body: Block


@dataclass(slots=True)
class TestDefinition(Node):
    """A test that stands in the file itself."""

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
    """Where the value of an expression is written: for a block, that of its result."""
    return expression.result.location if isinstance(expression, Block) else expression.location
