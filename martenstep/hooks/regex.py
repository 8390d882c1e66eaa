"""Matches regular expressions in linear time, by Thompson's simulation of a nondeterministic automaton."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

from martenstep.hooks.pattern_parser import (
    Alternatives,
    CharacterSet,
    PatternError,
    PatternNode,
    PatternParser,
    Repeat,
    Sequence,
    TextEnd,
    TextStart,
)

__all__ = ["Pattern", "PatternError"]

MAX_STATES = 400


class _StateKind(Enum):
    CHARACTER = auto()  # consumes a character of the set, then `next`
    SPLIT = auto()  # continues at both `next` and `alternative`
    TEXT_START = auto()  # continues at `next` only at the start of the text
    TEXT_END = auto()  # continues at `next` only at the end of the text
    ACCEPT = auto()


class _State(NamedTuple):
    kind: _StateKind
    next: int = 0
    alternative: int = 0
    characters: CharacterSet | None = None  # only in a CHARACTER state


class Pattern:
    """A compiled pattern, which matches anywhere in a text unless it is anchored."""

    def __init__(self, text: str) -> None:
        """Compiles `text`; raises PatternError."""
        self._states: list[_State] = []
        accept = self._add(_State(_StateKind.ACCEPT))
        self._start = self._compile(PatternParser(text).parse(), accept)

    @property
    def state_count(self) -> int:
        """The number of states, which bounds the cost of one character of a text."""
        return len(self._states)

    def _add(self, state: _State) -> int:
        if len(self._states) >= MAX_STATES:
            raise PatternError(f"the pattern needs more than {MAX_STATES} states")
        self._states.append(state)
        return len(self._states) - 1

    def _compile(self, node: PatternNode, then: int) -> int:
        """Add the states of a node, after which matching continues at `then`; returns the first of them."""
        match node:
            case CharacterSet():
                return self._add(_State(_StateKind.CHARACTER, then, characters=node))
            case TextStart():
                return self._add(_State(_StateKind.TEXT_START, then))
            case TextEnd():
                return self._add(_State(_StateKind.TEXT_END, then))
            case Sequence():
                for part in reversed(node.parts):
                    then = self._compile(part, then)
                return then
            case Alternatives():
                first, *others = [self._compile(option, then) for option in node.options]
                for other in others:
                    first = self._add(_State(_StateKind.SPLIT, first, other))
                return first
            case Repeat():
                return self._compile_repeat(node, then)

    def _compile_repeat(self, repeat: Repeat, then: int) -> int:
        if repeat.max_times is None:
            loop = self._add(_State(_StateKind.SPLIT, 0, then))
            self._states[loop] = _State(_StateKind.SPLIT, self._compile(repeat.part, loop), then)
            then = loop
        else:
            for _ in range(repeat.max_times - repeat.min_times):
                then = self._add(_State(_StateKind.SPLIT, self._compile(repeat.part, then), then))
        for _ in range(repeat.min_times):
            then = self._compile(repeat.part, then)
        return then

    def search(self, text: str) -> bool:
        """Whether the pattern matches anywhere in a text; each character visits each state at most once."""
        current: set[int] = set()
        for position in range(len(text) + 1):
            self._add_reachable(self._start, position, len(text), current)
            if any(self._states[state].kind is _StateKind.ACCEPT for state in current):
                return True
            if position == len(text):
                break
            following: set[int] = set()
            for state in current:
                _, after, _, characters = self._states[state]
                if characters is not None and characters.contains(text[position]):
                    self._add_reachable(after, position + 1, len(text), following)
            current = following
        return False

    def _add_reachable(self, start: int, position: int, text_length: int, reachable: set[int]) -> None:
        """Add the states that can be reached from `start` without consuming a character."""
        pending = [start]
        while pending:
            state = pending.pop()
            if state in reachable:
                continue
            reachable.add(state)
            kind, after, alternative, _ = self._states[state]
            if kind is _StateKind.SPLIT:
                pending += (after, alternative)
            elif (kind is _StateKind.TEXT_START and position == 0) or (
                kind is _StateKind.TEXT_END and position == text_length
            ):
                pending.append(after)
