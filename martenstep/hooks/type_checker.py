"""Checks the names and types of a syntax tree, and that no function calls itself.

A program that passes has no type errors at run time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from martenstep.hooks import syntax_tree as tree
from martenstep.hooks.regex import Pattern, PatternError
from martenstep.hooks.source import MAX_NESTING, HookSourceError, SourceLocation
from martenstep.hooks.types import (
    ANY_SCALAR,
    BOOL,
    BUILT_INS,
    DURATION,
    EXTENSION_POINTS,
    NOTHING,
    NUMBER,
    RECORDS,
    SCALARS,
    TEXT,
    TYPES_BY_NAME,
    Signature,
    Type,
    common_type,
    is_assignable,
    list_of,
)

MAX_LOCALS = 200  # parameters, bindings and loops of one function
MAX_SUGGESTED_NAMES = 20  # in one error message
# Rounds of inference until an accumulator's type is stable: an initial empty list takes its item type from the body.
MAX_FOLD_ROUNDS = 4
ORDERED_TYPES = (NUMBER, DURATION, TEXT)
ARITHMETIC_RESULTS: dict[tuple[str, Type, Type], Type] = {
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
Scope = dict[str, Type]


def _known_names(names: Iterable[str]) -> str:
    suggestions = ", ".join(sorted(names)[:MAX_SUGGESTED_NAMES])
    return f"(there are: {suggestions})" if suggestions else "(there are none)"


class TypeChecker:
    """Checks one file; `types` has the type of each expression by the expression's `id`."""

    def __init__(self, file: tree.SourceFile) -> None:
        """`file` is checked by `check`."""
        self._file = file
        self.types: dict[int, Type] = {}
        self._functions: dict[str, Signature] = {}
        self._calls: dict[str, dict[str, SourceLocation]] = {}  # callees by caller, with the location of the first call
        self._current_function = ""  # empty in a hook or a test
        self._local_count = 0
        self._rules: dict[type, Callable[[Any, Scope], Type]] = {
            tree.NumberLiteral: lambda node, scope: DURATION if node.is_duration else NUMBER,
            tree.BoolLiteral: lambda node, scope: BOOL,
            tree.TextLiteral: self._text,
            tree.NameReference: self._name,
            tree.ListLiteral: self._list,
            tree.RecordLiteral: self._record,
            tree.FieldAccess: self._field,
            tree.IndexAccess: self._index,
            tree.UnaryOperation: self._unary,
            tree.BinaryOperation: self._binary,
            tree.Block: self._block,
            tree.Conditional: self._conditional,
            tree.Match: self._match,
            tree.Fold: self._fold,
            tree.Call: self._call,
        }

    # Definitions --------------------------------------------------------------------------------------------

    def check(self) -> None:
        """Check the file; raises HookSourceError at the first error."""
        self._declare_functions()
        for function in self._file.functions:
            self._current_function = function.name
            names = [name for name, _ in function.parameters]
            self._check_body(function, names, self._functions[function.name])
        self._current_function = ""
        self._reject_recursion()
        self._check_hooks()
        for test in self._file.tests:
            self._check_body(test, [], Signature((), BOOL))

    def _declare_functions(self) -> None:
        for function in self._file.functions:
            if function.name in self._functions or function.name in BUILT_INS:
                raise HookSourceError(function.location, f"function {function.name!r} is already defined or built in")
            parameters = tuple(self._resolve(reference) for _, reference in function.parameters)
            self._functions[function.name] = Signature(parameters, self._resolve(function.result_type))

    def _resolve(self, reference: tree.TypeReference) -> Type:
        if reference.name == "list":
            if reference.item_type is None:
                raise HookSourceError(reference.location, "list: expected the type of its items, such as list<text>")
            return list_of(self._resolve(reference.item_type))
        found = TYPES_BY_NAME.get(reference.name)
        if found is not None and reference.item_type is not None:
            raise HookSourceError(reference.location, f"{found}: only list takes a type of items")
        if found is None:
            known = _known_names([*TYPES_BY_NAME, "list"])
            raise HookSourceError(reference.location, f"no type is named {reference.name!r} {known}")
        return found

    def _reject_recursion(self) -> None:
        """Reject functions that call themselves, so that a run ends even without a budget."""
        checked: set[str] = set()

        def visit(name: str, callers: tuple[str, ...]) -> None:
            for callee, location in self._calls.get(name, {}).items():
                if callee in (*callers, name):
                    raise HookSourceError(
                        location, f"function {callee!r} calls itself, directly or through other functions"
                    )
                if callee in checked:
                    continue
                if len(callers) > MAX_NESTING:
                    raise HookSourceError(location, f"function calls nested deeper than {MAX_NESTING} levels")
                visit(callee, (*callers, name))
            checked.add(name)

        for function in self._file.functions:
            visit(function.name, ())

    def _check_hooks(self) -> None:
        checked: set[str] = set()
        for hook in self._file.hooks:
            if hook.point not in EXTENSION_POINTS:
                known = _known_names(EXTENSION_POINTS)
                raise HookSourceError(hook.location, f"no extension point is named {hook.point!r} {known}")
            if hook.point in checked:
                raise HookSourceError(hook.location, f"the file has another hook at {hook.point!r}")
            checked.add(hook.point)
            signature = EXTENSION_POINTS[hook.point]
            if len(hook.parameters) != len(signature.parameters):
                expected = ", ".join(map(str, signature.parameters))
                message = (
                    f"hook at {hook.point}: expected {len(signature.parameters)} parameters ({expected}), "
                    f"got {len(hook.parameters)}"
                )
                raise HookSourceError(hook.location, message)
            self._check_body(hook, hook.parameters, signature)

    def _check_body(self, definition: tree.Definition, names: Sequence[str], signature: Signature) -> None:
        if len(set(names)) < len(names):
            raise HookSourceError(definition.location, "two parameters have the same name")
        self._local_count = len(names)
        scope = dict(zip(names, signature.parameters, strict=True))
        self._require(definition.body, signature.result, scope)

    # Expressions --------------------------------------------------------------------------------------------

    def _infer(self, expression: tree.Expression, scope: Scope) -> Type:
        """Infer the type of an expression, and record it for the compiler."""
        found = self._rules[type(expression)](expression, scope)
        self.types[id(expression)] = found
        return found

    def _require(self, expression: tree.Expression, expected: Type, scope: Scope, context: str = "") -> None:
        """Check that an expression has the expected type; `context` begins the error message."""
        actual = self._infer(expression, scope)
        if not is_assignable(actual, expected):
            message = f"{context}expected {expected}, got {actual}"
            raise HookSourceError(tree.result_location(expression), message)

    def _add_local(self, location: SourceLocation) -> None:
        self._local_count += 1
        if self._local_count > MAX_LOCALS:
            raise HookSourceError(location, f"more than {MAX_LOCALS} parameters, bindings and loops in one function")

    def _text(self, text: tree.TextLiteral, scope: Scope) -> Type:
        for part in text.parts:
            if isinstance(part, str):
                continue
            actual = self._infer(part, scope)
            if actual not in SCALARS.values():
                message = f"template in a text: expected {ANY_SCALAR}, got {actual}"
                raise HookSourceError(part.location, message)
        return TEXT

    def _name(self, reference: tree.NameReference, scope: Scope) -> Type:
        if reference.name not in scope:
            message = f"nothing is named {reference.name!r} {_known_names(scope)}"
            raise HookSourceError(reference.location, message)
        return scope[reference.name]

    def _list(self, literal: tree.ListLiteral, scope: Scope) -> Type:
        item_type = NOTHING
        for item in literal.items:
            actual = self._infer(item, scope)
            common = common_type(item_type, actual) if item_type != NOTHING else actual
            if common is None:
                raise HookSourceError(item.location, f"list: expected {item_type} like the items before, got {actual}")
            item_type = common
        return list_of(item_type)

    def _record(self, literal: tree.RecordLiteral, scope: Scope) -> Type:
        record = TYPES_BY_NAME.get(literal.type_name)
        if record is None or record not in RECORDS:
            known = _known_names(each.name for each in RECORDS)
            raise HookSourceError(literal.location, f"no record is named {literal.type_name!r} {known}")
        field_types = dict(RECORDS[record])
        given: set[str] = set()
        for name, value in literal.fields:
            if name not in field_types:
                message = f"{record} has no field {name!r} {_known_names(field_types)}"
                raise HookSourceError(value.location, message)
            if name in given:
                raise HookSourceError(value.location, f"{record}: the field {name!r} is given twice")
            given.add(name)
            self._require(value, field_types[name], scope, f"{record}.{name}: ")
        return record

    def _field(self, access: tree.FieldAccess, scope: Scope) -> Type:
        record = self._infer(access.record, scope)
        field_types = dict(RECORDS.get(record, ()))
        if access.field_name not in field_types:
            message = f"{record} has no field {access.field_name!r} {_known_names(field_types)}"
            raise HookSourceError(access.location, message)
        return field_types[access.field_name]

    def _index(self, access: tree.IndexAccess, scope: Scope) -> Type:
        actual = self._infer(access.list_value, scope)
        if actual.item_type is None or actual.item_type == NOTHING:
            raise HookSourceError(access.list_value.location, f"index: expected a list with items, got {actual}")
        self._require(access.index, NUMBER, scope)
        return actual.item_type

    def _unary(self, operation: tree.UnaryOperation, scope: Scope) -> Type:
        if operation.operator == "not":
            self._require(operation.operand, BOOL, scope)
            return BOOL
        actual = self._infer(operation.operand, scope)
        if actual not in (NUMBER, DURATION):
            raise HookSourceError(operation.operand.location, f"'-': expected number or duration, got {actual}")
        return actual

    def _binary(self, operation: tree.BinaryOperation, scope: Scope) -> Type:
        if operation.operator in ("and", "or"):
            self._require(operation.left, BOOL, scope)
            self._require(operation.right, BOOL, scope)
            return BOOL
        left = self._infer(operation.left, scope)
        right = self._infer(operation.right, scope)
        found = _operation_result(operation.operator, left, right)
        if found is None:
            raise HookSourceError(operation.location, f"{operation.operator!r} is not defined for {left} and {right}")
        return found

    def _block(self, block: tree.Block, scope: Scope) -> Type:
        inner = dict(scope)
        for name, value in block.bindings:
            inner[name] = self._infer(value, inner)
            self._add_local(value.location)
        return self._infer(block.result, inner)

    def _conditional(self, conditional: tree.Conditional, scope: Scope) -> Type:
        self._require(conditional.condition, BOOL, scope)
        first = self._infer(conditional.then_branch, scope)
        second = self._infer(conditional.else_branch, scope)
        found = common_type(first, second)
        if found is None:
            message = f"else: expected {first} as in the branch before, got {second}"
            raise HookSourceError(tree.result_location(conditional.else_branch), message)
        return found

    def _match(self, match: tree.Match, scope: Scope) -> Type:
        subject = self._infer(match.subject, scope)
        if subject not in SCALARS.values():
            raise HookSourceError(match.subject.location, f"match: expected {ANY_SCALAR}, got {subject}")
        if not match.arms or match.arms[-1].literals or any(not arm.literals for arm in match.arms[:-1]):
            raise HookSourceError(match.location, "match: expected '_' as the last arm, and only there")
        found: Type | None = None
        for arm in match.arms:
            for literal in arm.literals:
                self._require(literal, subject, scope)
            actual = self._infer(arm.result, scope)
            common = actual if found is None else common_type(found, actual)
            if common is None:
                raise HookSourceError(
                    arm.result.location, f"match arm: expected {found} as in the arms before, got {actual}"
                )
            found = common
        assert found is not None  # there is at least one arm
        return found

    def _fold(self, fold: tree.Fold, scope: Scope) -> Type:
        items = self._infer(fold.items, scope)
        if items.item_type is None:
            raise HookSourceError(fold.items.location, f"for: expected a list, got {items}")
        accumulator = self._infer(fold.initial, scope)
        if fold.item_name == fold.accumulator_name:
            raise HookSourceError(fold.location, "for: the item and the accumulator have the same name")
        for _ in range(MAX_FOLD_ROUNDS):
            self._add_local(fold.location)
            inner = {**scope, fold.item_name: items.item_type, fold.accumulator_name: accumulator}
            actual = self._infer(fold.body, inner)
            common = common_type(accumulator, actual)
            if common is None:
                message = f"for: expected {accumulator} like the accumulator, got {actual}"
                raise HookSourceError(fold.body.result.location, message)
            if common == accumulator:
                return accumulator
            accumulator = common
        raise HookSourceError(
            fold.location, f"for: the accumulator's type is not stable after {MAX_FOLD_ROUNDS} rounds of inference"
        )

    def _call(self, call: tree.Call, scope: Scope) -> Type:
        name = call.function_name
        signature = self._functions.get(name) or BUILT_INS.get(name)
        if signature is None:
            known = _known_names([*self._functions, *BUILT_INS])
            raise HookSourceError(call.location, f"no function is named {name!r} {known}")
        if name in self._functions and self._current_function:
            self._calls.setdefault(self._current_function, {}).setdefault(name, call.location)
        if len(signature.parameters) != len(call.arguments):
            message = f"{name}: expected {len(signature.parameters)} arguments, got {len(call.arguments)}"
            raise HookSourceError(call.location, message)
        for number, argument in enumerate(call.arguments, 1):
            self._require(argument, signature.parameters[number - 1], scope, f"{name}, argument {number}: ")
        if name in ("matches", "count"):
            _require_constant_text(name, call.arguments[-1])
        return signature.result


def _operation_result(operator: str, left: Type, right: Type) -> Type | None:
    """The type of a binary operation other than `and` and `or`; None if it is not defined for the operands."""
    if operator in ("==", "!="):
        return BOOL if common_type(left, right) is not None else None
    if operator in ("<", "<=", ">", ">="):
        return BOOL if left == right and left in ORDERED_TYPES else None
    if operator == "in":
        is_substring_test = left == right == TEXT
        return BOOL if is_substring_test or is_assignable(list_of(left), right) else None
    if operator == "+" and left.is_list and right.is_list:
        return common_type(left, right)
    return ARITHMETIC_RESULTS.get((operator, left, right))


def _require_constant_text(function_name: str, argument: tree.Expression) -> None:
    """Check that an argument is a text without templates and, for `matches`, a valid pattern."""
    parts = argument.parts if isinstance(argument, tree.TextLiteral) else []
    if len(parts) != 1 or not isinstance(parts[0], str):
        raise HookSourceError(argument.location, f"{function_name}: expected a text without templates")
    if function_name == "matches":
        try:
            Pattern(parts[0])
        except PatternError as error:
            raise HookSourceError(argument.location, f"matches: {error}") from None


def check_types(file: tree.SourceFile) -> dict[int, Type]:
    """The type of each expression of a file, by the expression's `id`; raises HookSourceError."""
    checker = TypeChecker(file)
    checker.check()
    return checker.types
