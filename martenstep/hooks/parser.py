"""Parses the source of hooks to a syntax tree.

The grammar:

    file     = { function | hook | test } ;
    function = "fn" NAME "(" [ param { "," param } ] ")" "->" type block ;
    param    = NAME ":" type ;
    hook     = "on" NAME "(" [ NAME { "," NAME } ] ")" block ;
    test     = "test" TEXT block ;
    type     = NAME [ "<" type ">" ] ;
    block    = "{" { "let" NAME "=" expr ";" } expr "}" ;
    expr     = and { "or" and } ;
    and      = not { "and" not } ;
    not      = "not" not | compare ;
    compare  = sum [ ( "==" | "!=" | "<" | "<=" | ">" | ">=" | "in" ) sum ] ;
    sum      = product { ( "+" | "-" ) product } ;
    product  = unary { ( "*" | "/" | "%" ) unary } ;
    unary    = "-" unary | postfix ;
    postfix  = primary { "." NAME | "[" expr "]" } ;
    primary  = NUMBER | DURATION | TEXT | "true" | "false" | NAME | NAME "(" [ expr { "," expr } ] ")"
             | NAME "{" [ NAME ":" expr { "," NAME ":" expr } ] "}" | "[" [ expr { "," expr } ] "]" | "(" expr ")"
             | "if" expr block "else" ( block | if )
             | "match" expr "{" arm { "," arm } [ "," ] "}"
             | "for" NAME "in" expr "," NAME "=" expr block ;
    arm      = ( "_" | literal { "|" literal } ) "->" expr ;

A TEXT holds templates: "${expr}".  A DURATION is a number followed by ms, s, m or h.  "#" begins a comment.  In the
head of if, match and for, a record needs parentheses: without them its brace would begin the block.
"""

from __future__ import annotations

from martenstep.hooks import syntax_tree as tree
from martenstep.hooks.expression_parser import ExpressionParser
from martenstep.hooks.lexer import Lexer, TokenKind
from martenstep.hooks.source import MAX_SOURCE_BYTES, HookSourceError, SourceLocation


class _FileParser(ExpressionParser):
    """Parses functions, hooks and tests."""

    def file(self) -> tree.SourceFile:
        """Parse the whole file; raises HookSourceError."""
        parsed = tree.SourceFile([], [], [])
        while not self.tokens.at_end:
            definition = self._definition(parsed)
            parsed.definitions.append((definition, self.tokens.previous.location))
        return parsed

    def _definition(self, parsed: tree.SourceFile) -> tree.Definition:
        if self.tokens.is_next("fn"):
            function = self._function()
            parsed.functions.append(function)
            return function
        if self.tokens.is_next("on"):
            hook = self._hook()
            parsed.hooks.append(hook)
            return hook
        if self.tokens.is_next("test"):
            test = self._test()
            parsed.tests.append(test)
            return test
        raise self.tokens.unexpected("'fn', 'on' or 'test'")

    def _function(self) -> tree.FunctionDefinition:
        location = self.tokens.take().location
        name = self.tokens.take_name("the function's name")
        parameters = self.list_of("(", ")", self._parameter)
        self.tokens.expect("->")
        result_type = self._type()
        return tree.FunctionDefinition(name, parameters, result_type, self.block(), location=location)

    def _hook(self) -> tree.HookDefinition:
        location = self.tokens.take().location
        point = self.tokens.take_name("the name of an extension point")
        parameters = self.list_of("(", ")", lambda: self.tokens.take_name("a parameter's name"))
        return tree.HookDefinition(point, parameters, self.block(), location=location)

    def _test(self) -> tree.TestDefinition:
        location = self.tokens.take().location
        title = self.tokens.next
        if title.kind is not TokenKind.TEXT or len(title.parts) != 1:
            raise self.tokens.unexpected("the test's title, a text without templates")
        self.tokens.take()
        return tree.TestDefinition(str(title.parts[0]), self.block(), location=location)

    def _parameter(self) -> tuple[str, tree.TypeReference]:
        name = self.tokens.take_name("a parameter's name")
        self.tokens.expect(":")
        return name, self._type()

    def _type(self) -> tree.TypeReference:
        location = self.tokens.next.location
        name = self.tokens.take_name("a type")
        item_type = None
        if self.tokens.is_next("<"):
            with self.nested():
                self.tokens.take()
                item_type = self._type()
                self.tokens.expect(">")
        return tree.TypeReference(name, item_type, location=location)


def parse(source: str) -> tree.SourceFile:
    """The syntax tree of a source; raises HookSourceError."""
    size = len(source.encode("utf-8", "surrogatepass"))
    if size > MAX_SOURCE_BYTES:
        raise HookSourceError(
            SourceLocation(1, 1), f"expected a source of at most {MAX_SOURCE_BYTES} bytes, got {size}"
        )
    lexer = Lexer(source)
    parsed = _FileParser(lexer.tokens()).file()
    parsed.comments = lexer.comments
    return parsed
