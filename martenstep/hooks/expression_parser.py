"""Parses blocks and expressions by recursive descent; the grammar is in `parser`."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import TypeVar

from martenstep.hooks import syntax_tree as tree
from martenstep.hooks.lexer import Token, TokenKind
from martenstep.hooks.source import MAX_NESTING, HookSourceError
from martenstep.hooks.token_stream import TokenStream

COMPARISONS = ("==", "!=", "<", "<=", ">", ">=", "in")
Item = TypeVar("Item")


class ExpressionParser:
    """Parses blocks and expressions.

    `in_head` means that the expression is in the head of if, match or for, where a brace begins the block.
    """

    def __init__(self, tokens: Sequence[Token], nesting: int = 0) -> None:
        """`nesting` is the nesting depth of the tokens in the whole source."""
        self.tokens = TokenStream(tokens)
        self._nesting = nesting

    @contextmanager
    def nested(self) -> Iterator[None]:
        """Parse one nesting level deeper; raises HookSourceError beyond MAX_NESTING."""
        self._nesting += 1
        if self._nesting > MAX_NESTING:
            raise HookSourceError(self.tokens.next.location, f"nested deeper than {MAX_NESTING} levels")
        yield
        self._nesting -= 1

    def list_of(self, opening: str, closing: str, parse_item: Callable[[], Item]) -> list[Item]:
        """Items between two marks, separated by commas; a comma after the last item is allowed."""
        self.tokens.expect(opening)
        items: list[Item] = []
        while not self.tokens.is_next(closing):
            items.append(parse_item())
            if not self.tokens.is_next(closing):
                self.tokens.expect(",")
        self.tokens.take()
        return items

    def block(self) -> tree.Block:
        """Parse bindings and a result between braces."""
        location = self.tokens.expect("{").location
        with self.nested():
            bindings = []
            while self.tokens.is_next("let"):
                self.tokens.take()
                name = self.tokens.take_name("the name of a binding")
                self.tokens.expect("=")
                bindings.append((name, self.expression()))
                self.tokens.expect(";")
            result = self.expression()
            self.tokens.expect("}")
        return tree.Block(bindings, result, location=location)

    def expression(self, in_head: bool = False) -> tree.Expression:
        """Parse a whole expression."""
        with self.nested():
            return self._operations(("or",), self._conjunction, in_head)

    def _operations(
        self, operators: tuple[str, ...], parse_operand: Callable[[bool], tree.Expression], in_head: bool
    ) -> tree.Expression:
        """Parse operands separated by operators of one precedence, grouped from the left."""
        parsed = parse_operand(in_head)
        count = 0
        while self.tokens.is_next(*operators):
            token = self.tokens.take()
            count += 1
            if count > MAX_NESTING:  # each operator makes the tree one level deeper
                message = f"more than {MAX_NESTING} operators in a row, at {token.text!r}: use parentheses or let"
                raise HookSourceError(token.location, message)
            parsed = tree.BinaryOperation(token.text, parsed, parse_operand(in_head), location=token.location)
        return parsed

    def _conjunction(self, in_head: bool) -> tree.Expression:
        return self._operations(("and",), self._negation, in_head)

    def _negation(self, in_head: bool) -> tree.Expression:
        if self.tokens.is_next("not"):
            with self.nested():
                location = self.tokens.take().location
                operand = self._negation(in_head)
            return tree.UnaryOperation("not", operand, location=location)
        left = self._sum(in_head)
        if self.tokens.is_next(*COMPARISONS):
            token = self.tokens.take()
            return tree.BinaryOperation(token.text, left, self._sum(in_head), location=token.location)
        return left

    def _sum(self, in_head: bool) -> tree.Expression:
        return self._operations(("+", "-"), self._product, in_head)

    def _product(self, in_head: bool) -> tree.Expression:
        return self._operations(("*", "/", "%"), self._unary, in_head)

    def _unary(self, in_head: bool) -> tree.Expression:
        if self.tokens.is_next("-"):
            with self.nested():
                location = self.tokens.take().location
                operand = self._unary(in_head)
            return tree.UnaryOperation("-", operand, location=location)
        return self._postfix(in_head)

    def _postfix(self, in_head: bool) -> tree.Expression:
        parsed = self._primary(in_head)
        count = 0
        while self.tokens.is_next(".", "["):
            token = self.tokens.take()
            count += 1
            if count > MAX_NESTING:
                raise HookSourceError(token.location, f"more than {MAX_NESTING} field or index accesses in a row")
            if token.text == ".":
                field_name = self.tokens.take_name("a field's name")
                parsed = tree.FieldAccess(parsed, field_name, location=token.location)
            else:
                parsed = tree.IndexAccess(parsed, self.expression(), location=token.location)
                self.tokens.expect("]")
        return parsed

    def _primary(self, in_head: bool) -> tree.Expression:
        token = self.tokens.next
        if token.kind in (TokenKind.NUMBER, TokenKind.DURATION):
            self.tokens.take()
            is_duration = token.kind is TokenKind.DURATION
            return tree.NumberLiteral(token.value, is_duration, location=token.location)
        if token.kind is TokenKind.TEXT:
            self.tokens.take()
            return self._text(token)
        if token.kind is TokenKind.NAME:
            return self._named(in_head)
        parse_rule = {
            "true": self._bool,
            "false": self._bool,
            "[": self._list_literal,
            "(": self._parenthesized,
            "if": self._conditional,
            "match": self._match,
            "for": self._fold,
        }.get(token.text)
        if parse_rule is None:
            raise self.tokens.unexpected("an expression")
        return parse_rule()

    def _named(self, in_head: bool) -> tree.Expression:
        """A name, a call or a record."""
        token = self.tokens.take()
        if self.tokens.is_next("("):
            arguments = self.list_of("(", ")", self.expression)
            return tree.Call(token.text, arguments, location=token.location)
        if self.tokens.is_next("{") and not in_head:
            fields = self.list_of("{", "}", self._record_field)
            return tree.RecordLiteral(token.text, fields, location=token.location)
        return tree.NameReference(token.text, location=token.location)

    def _record_field(self) -> tuple[str, tree.Expression]:
        name = self.tokens.take_name("a field's name")
        self.tokens.expect(":")
        return name, self.expression()

    def _bool(self) -> tree.Expression:
        token = self.tokens.take()
        return tree.BoolLiteral(token.text == "true", location=token.location)

    def _list_literal(self) -> tree.Expression:
        location = self.tokens.next.location
        return tree.ListLiteral(self.list_of("[", "]", self.expression), location=location)

    def _parenthesized(self) -> tree.Expression:
        self.tokens.take()
        parsed = self.expression()
        self.tokens.expect(")")
        return parsed

    def _conditional(self) -> tree.Expression:
        location = self.tokens.expect("if").location
        with self.nested():
            condition = self.expression(in_head=True)
            then_branch = self.block()
            self.tokens.expect("else")
            if self.tokens.is_next("if"):
                inner = self._conditional()
                else_branch = tree.Block([], inner, location=inner.location)
            else:
                else_branch = self.block()
        return tree.Conditional(condition, then_branch, else_branch, location=location)

    def _match(self) -> tree.Expression:
        location = self.tokens.take().location
        subject = self.expression(in_head=True)
        arms = self.list_of("{", "}", self._match_arm)
        return tree.Match(subject, arms, location=location)

    def _match_arm(self) -> tree.MatchArm:
        token = self.tokens.next
        literals: list[tree.Expression] = []
        if token.kind is TokenKind.NAME and token.text == "_":
            self.tokens.take()
        else:
            literals.append(self._literal())
            while self.tokens.is_next("|"):
                self.tokens.take()
                literals.append(self._literal())
        self.tokens.expect("->")
        return tree.MatchArm(literals, self.expression(), location=token.location)

    def _literal(self) -> tree.Expression:
        """Parse a number, duration, bool, or text without templates."""
        location = self.tokens.next.location
        is_negative = self.tokens.is_next("-")
        if is_negative:
            self.tokens.take()
        parsed = self._primary(in_head=True)
        if isinstance(parsed, tree.NumberLiteral):
            if is_negative:
                parsed.value = -parsed.value
            return parsed
        is_plain_text = isinstance(parsed, tree.TextLiteral) and all(isinstance(part, str) for part in parsed.parts)
        if is_negative or not (is_plain_text or isinstance(parsed, tree.BoolLiteral)):
            raise HookSourceError(
                location, "match arm: expected a number, a duration, a text without templates, true or false"
            )
        return parsed

    def _fold(self) -> tree.Expression:
        location = self.tokens.take().location
        item_name = self.tokens.take_name("the item's name")
        self.tokens.expect("in")
        items = self.expression(in_head=True)
        self.tokens.expect(",")
        accumulator_name = self.tokens.take_name("the accumulator's name")
        self.tokens.expect("=")
        initial = self.expression(in_head=True)
        return tree.Fold(item_name, items, accumulator_name, initial, self.block(), location=location)

    def _text(self, token: Token) -> tree.TextLiteral:
        parts: list[str | tree.Expression] = []
        for part in token.parts:
            if isinstance(part, str):
                if part or len(token.parts) == 1:
                    parts.append(part)
                continue
            template = ExpressionParser(part.tokens, self._nesting + 1)
            parts.append(template.expression())
            if not template.tokens.at_end:
                raise template.tokens.unexpected("'}'")
        return tree.TextLiteral(parts, location=token.location)
