"""A machine's own part: it goes only by a start that stands in the book, within its lease by its own clock.

Sans-I/O.  In: answers of the book, the time on this machine's monotonic clock (ms), and how far its own leaving is.
Out: what to ask of the book, and what to do.  A question that got no answer is asked again; every one of them is the
same when it is told twice.

The lease is counted from before the start was asked.  Danger: from when the answer came, a machine that stood with the
answer in its buffer would leave after somebody gave it up and another went.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from martenstep.maintenance.queue import DRIFT, Answer, Done, Request, Start, State

AGAIN_MS = 1000.0  # between two questions


class Step(StrEnum):
    """Where a machine is on its way."""

    HERE = "here"  # it serves
    ASKING = "asking"  # it has a token and has asked to start
    GOING = "going"  # it drains: no new requests, health answers no
    GONE = "gone"  # all is answered and handed over: the machine may be touched
    BACK = "back"  # it tells that the work is done, and serves


@dataclass(frozen=True, slots=True)
class AskStart:
    """Put a start into the book."""

    start: Start


@dataclass(frozen=True, slots=True)
class AskDone:
    """Put an end into the book."""

    done: Done


@dataclass(frozen=True, slots=True)
class Leave:
    """Take no new requests from now on, hand over what is led here, and tell when nothing is left (`left`)."""

    request: str


@dataclass(frozen=True, slots=True)
class Touchable:
    """The machine may be worked on."""

    request: str


Action = AskStart | AskDone | Leave | Touchable


class Agent:
    """One machine's."""

    def __init__(self, machine: str, lease_ms: float) -> None:
        """`lease_ms` as the book's limits have it when it asks."""
        self.machine, self.lease_ms = machine, lease_ms
        self.step = Step.HERE
        self.request, self.token = "", 0
        self.out: list[Action] = []
        self._asked = 0.0  # when the start that may stand was first asked
        self._again = 0.0
        self.leave_by = 0.0  # own clock

    def seen(self, now: float, requests: list[Request]) -> None:
        """The book as somebody who leads it told it: this machine's request, if any."""
        mine = next((one for one in requests if one.machine == self.machine and one.state is not State.ENDED), None)
        if self.step is Step.HERE and mine is not None and mine.state is State.GRANTED:
            self.request, self.token, self.step = mine.id, mine.token, Step.ASKING
            self._ask(now)
        elif self.step is Step.HERE and mine is not None and mine.state is State.OUT:
            # This process began while its machine is out: it was started again, so the work is done, or nearly.
            self.request, self.token, self.step = mine.id, mine.token, Step.BACK
            self.wake(now)
        elif self.step is Step.ASKING:
            if mine is None or (mine.id, mine.token) != (self.request, self.token) or mine.state is State.WAITING:
                self._stay()
        elif self.step is Step.BACK and (mine is None or mine.id != self.request or mine.state is State.COMING):
            self._stay()

    def _ask(self, now: float) -> None:
        self._asked, self._again = now, now + AGAIN_MS
        self.out.append(AskStart(Start(self.request, self.token)))

    def _stay(self) -> None:
        self.step, self.request, self.token = Step.HERE, "", 0

    def wake(self, now: float) -> None:
        """Let time pass: ask again what got no answer."""
        if self.step is Step.ASKING and now >= self._again:
            self._ask(now)
        elif self.step is Step.BACK and now >= self._again:
            self._again = now + AGAIN_MS
            self.out.append(AskDone(Done(self.request, self.token, back=True)))

    def started(self, now: float, start: Start, asked: float, answer: Answer) -> None:
        """The book's answer to a start that was asked at `asked` by this machine's clock."""
        if self.step is not Step.ASKING or (start.id, start.token) != (self.request, self.token):
            return
        if not answer.ok:
            self._stay()
            return
        self.leave_by = asked + self.lease_ms * (1 - DRIFT) / (1 + DRIFT)
        if now >= self.leave_by:
            self._ask(now)  # it stands in the book, and this machine counts as out; it is asked for another lease
            return
        self.step = Step.GOING
        self.out.append(Leave(self.request))

    def left(self, now: float) -> None:
        """Nothing is left here."""
        if self.step is Step.GOING:
            self.step = Step.GONE
            self.out.append(Touchable(self.request))

    def back(self, now: float) -> None:
        """The work is done, and this process serves again."""
        if self.step in (Step.GOING, Step.GONE):
            self.step, self._again = Step.BACK, now
            self.wake(now)
