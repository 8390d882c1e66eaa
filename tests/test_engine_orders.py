"""Any order of events: one final answer, no two attempts out, nothing after the end, books that balance."""

from __future__ import annotations

from hypothesis import settings as hypo
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from martenstep.policy.messages import CallResult, EndpointListScope, EndpointState
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine_messages import AttemptFailure
from tests.engine_rig import QUIET, Rig, listed
from tests.test_auth_proxy import AuthRig as Guarded

PATHS = ("/read/1", "/write/free/1", "/pay/1")


class Door(RuleBasedStateMachine):
    """A door among clients, servers, store and feed that do as they like."""

    def __init__(self) -> None:
        super().__init__()
        self.rig: Rig = Rig()
        self.seen = 0
        self.request_ids: list[int] = []
        self.out: dict[int, int] = {}  # attempts that the driver holds, by request_id
        self.calls: list[int] = []
        self.over: set[int] = set()
        self.begun: set[int] = set()
        self.left: set[int] = set()

    def _look(self) -> None:
        """Carry out what the engine did, and check each step of it."""
        for action in self.rig.did[self.seen :]:
            match action:
                case ev.OpenAttempt(request_id=request_id, attempt=number):
                    assert request_id not in self.over, "an attempt after the final answer"
                    assert request_id not in self.out, "two attempts out at once"
                    self.out[request_id] = number
                case ev.AbortAttempt(request_id=request_id, attempt=number):
                    assert self.out.get(request_id) == number
                    del self.out[request_id]
                case ev.SendLocalReply(request_id=request_id):
                    assert request_id not in self.over and request_id not in self.left, "a second final answer"
                    assert request_id not in self.out, "answered while an attempt is out"
                    self.over.add(request_id)
                case ev.RelayResponse(request_id=request_id):
                    assert request_id not in self.over and request_id not in self.left, "a second final answer"
                    self.over.add(request_id)
                case ev.ResetClientConnection(request_id=request_id):
                    assert request_id in self.begun
                case ev.AddToCounter(call_id=call):
                    self.calls.append(call)
        self.seen = len(self.rig.did)

    @rule(
        path=st.sampled_from(PATHS),
        customer=st.sampled_from(("anna", "free")),
        deadline=st.sampled_from(("50", "400", "4000")),
    )
    def arrive(self, path: str, customer: str, deadline: str) -> None:
        self.request_ids.append(self.rig.ask(path, customer, "POST", x_deadline_ms=deadline))
        self._look()

    @precondition(lambda self: self.out)
    @rule(data=st.data(), how=st.sampled_from(list(AttemptFailure)))
    def attempt_ends(self, data: st.DataObject, how: AttemptFailure) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.out)))
        number = self.out.pop(request_id)
        if how not in (AttemptFailure.NOT_CONNECTED, AttemptFailure.CONNECTION_LIMIT, AttemptFailure.NOT_WRITTEN):
            self.rig.tell(ev.AttemptWritten(request_id, number))
        self.rig.tell(ev.AttemptFailed(request_id, number, how))
        self._look()

    @precondition(lambda self: self.out)
    @rule(
        data=st.data(),
        status=st.sampled_from((200, 404, 500, 503)),
        refused=st.booleans(),
        begins=st.booleans(),
        ends=st.booleans(),
    )
    def answer(self, data: st.DataObject, status: int, refused: bool, begins: bool, ends: bool) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.out)))
        number = self.out[request_id]
        self.rig.tell(ev.AttemptWritten(request_id, number))
        if request_id not in self.begun:
            self.rig.tell(
                ev.ResponseHeadReceived(request_id, number, status, [(b"x-not-run", b"1")] if refused else [])
            )
            self._look()
        if self.out.get(request_id) != number:
            return  # it was no answer to pass on
        if begins and request_id not in self.begun and request_id not in self.left:
            self.begun.add(request_id)
            self.rig.tell(ev.ResponseBufferExceeded(request_id, number))
        if ends:
            del self.out[request_id]
            self.rig.tell(ev.ResponseCompleted(request_id, number))
        self._look()

    @precondition(lambda self: self.request_ids)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(self.request_ids))
        self.rig.tell(ev.ClientDisconnected(request_id))
        self.left.add(request_id)
        self._look()

    @precondition(lambda self: self.calls)
    @rule(
        data=st.data(),
        verdict=st.sampled_from((CallResult.OK, CallResult.OVERLOADED, CallResult.TIMEOUT)),
        total=st.floats(0, 100),
    )
    def count(self, data: st.DataObject, verdict: CallResult, total: float) -> None:
        call = data.draw(st.sampled_from(self.calls))  # an old one as well: a late or doubled reply
        self.rig.tell(ev.CounterReplied(call, verdict, total))
        self._look()

    @rule(ms=st.sampled_from((1.0, 30.0, 300.0, 5000.0)))
    def wait(self, ms: float) -> None:
        self.rig.pass_time(ms)
        self._look()

    @rule(
        numbers=st.sets(st.integers(1, 5)),
        state=st.sampled_from(list(EndpointState)),
        scope=st.sampled_from((EndpointListScope.FULL, EndpointListScope.DELTA, EndpointListScope.LOST)),
    )
    def list_changes(self, numbers: set[int], state: EndpointState, scope: EndpointListScope) -> None:
        self.rig.tell(listed(*sorted(numbers), scope=scope, state=state))
        self._look()

    @invariant()
    def books_agree(self) -> None:
        # A begun answer is final for the client, and stays open until its last byte.
        half = self.begun & self.over & set(self.out) - self.left
        assert self.rig.engine.unanswered == len(set(self.request_ids) - self.over - self.left) + len(half)

    def teardown(self) -> None:
        for request_id, number in list(self.out.items()):
            if request_id in self.begun:
                self.rig.tell(ev.ResponseCompleted(request_id, number))
                del self.out[request_id]
        self.rig.pass_time(20_000)
        self._look()
        assert self.rig.quiet() == QUIET
        for request_id in self.request_ids:
            assert request_id in self.over or request_id in self.left, "a request without its final answer"
        assert not self.out


Door.TestCase.settings = hypo(max_examples=120, stateful_step_count=40, deadline=None, derandomize=True)
TestDoor = Door.TestCase


class GuardedDoor(Door):
    """The same door with an authentication service that does as it likes, too."""

    def __init__(self) -> None:
        super().__init__()
        self.rig = Guarded()
        self.seen = 0
        self.checks: dict[int, int] = {}
        self.credential: dict[int, str] = {}  # by request_id, of guarded requests
        self.given: set[str] = set()  # credentials with a positive verdict

    def _look(self) -> None:
        for action in self.rig.did[self.seen :]:
            match action:
                case ev.StartAuthCheck(check_id=check, attempt=attempt):
                    assert check not in self.checks, "two attempts of one check"
                    self.checks[check] = attempt
                case ev.StopAuthCheck(check_id=check, attempt=attempt):
                    assert self.checks.pop(check) == attempt
                case ev.OpenAttempt(request_id=request_id) if request_id in self.credential:
                    assert self.credential[request_id] in self.given, "sent on without a positive verdict"
        super()._look()

    @rule(
        path=st.sampled_from(("/safe/1", "/loose/1", "/bill/1")),
        who=st.sampled_from(("a", "b")),
        deadline=st.sampled_from(("50", "400", "4000")),
    )
    def arrive_guarded(self, path: str, who: str, deadline: str) -> None:
        if path != "/loose/1":
            self.credential[self.rig._request_id + 1] = who
        self.request_ids.append(self.rig.ask(path, method="POST", authorization=who, x_deadline_ms=deadline))
        self._look()

    @precondition(lambda self: self.checks)
    @rule(data=st.data(), status=st.sampled_from((200, 200, 401, 500)), keep=st.booleans(), fails=st.booleans())
    def verdict(self, data: st.DataObject, status: int, keep: bool, fails: bool) -> None:
        check = data.draw(st.sampled_from(sorted(self.checks)))
        attempt = self.checks.pop(check)
        asked = next(ask for ask in self.rig.of(ev.StartAuthCheck) if ask.check_id == check)
        who = dict(asked.headers)[b"authorization"].decode()
        if fails:
            self.rig.tell(ev.AuthCheckFailed(check, attempt))
        else:
            if status == 200:
                self.given.add(who)
            headers = [(b"x-auth-customer", b"free"), *([(b"cache-control", b"max-age=5")] if keep else [])]
            self.rig.tell(ev.AuthCheckReplied(check, attempt, status, headers))
        self._look()

    def teardown(self) -> None:
        super().teardown()
        assert all(
            self.rig.engine.held_counts[f"auth_{name}"] == 0 for name in ("asks", "checks", "queued", "out", "passed")
        )


GuardedDoor.TestCase.settings = hypo(max_examples=120, stateful_step_count=40, deadline=None, derandomize=True)
TestGuardedDoor = GuardedDoor.TestCase
