"""Random orders of events: one final response per request, one open attempt at a time, and nothing left behind."""

from __future__ import annotations

from hypothesis import settings as hypo
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from martenstep.policy.messages import CallResult, EndpointListScope, EndpointState
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine_messages import AttemptFailure
from tests.engine_rig import NOTHING_HELD, Rig, endpoint_list_event
from tests.test_auth_proxy import AuthRig as AuthRig

PATHS = ("/read/1", "/write/free/1", "/pay/1")


class EngineMachine(RuleBasedStateMachine):
    """An engine with clients, endpoints, a counter and discovery that act in random order."""

    def __init__(self) -> None:
        super().__init__()
        self.rig: Rig = Rig()
        self.checked_actions = 0
        self.request_ids: list[int] = []
        self.open_attempts: dict[int, int] = {}  # numbers of the attempts that the driver holds, by request id
        self.counter_calls: list[int] = []
        # Request ids: with a final response, with a streamed response, and whose client has disconnected.
        self.answered: set[int] = set()
        self.streamed: set[int] = set()
        self.disconnected: set[int] = set()

    def _check_new_actions(self) -> None:
        """Carry out the new actions of the engine, and check each of them."""
        for action in self.rig.actions[self.checked_actions :]:
            match action:
                case ev.OpenAttempt(request_id=request_id, attempt=number):
                    assert request_id not in self.answered, "an attempt after the final response"
                    assert request_id not in self.open_attempts, "two open attempts at once"
                    self.open_attempts[request_id] = number
                case ev.AbortAttempt(request_id=request_id, attempt=number):
                    assert self.open_attempts.get(request_id) == number
                    del self.open_attempts[request_id]
                case ev.SendLocalReply(request_id=request_id):
                    assert request_id not in self.answered | self.disconnected, "a second final response"
                    assert request_id not in self.open_attempts, "a final response while an attempt is open"
                    self.answered.add(request_id)
                case ev.RelayResponse(request_id=request_id):
                    assert request_id not in self.answered | self.disconnected, "a second final response"
                    self.answered.add(request_id)
                case ev.ResetClientConnection(request_id=request_id):
                    assert request_id in self.streamed
                case ev.AddToCounter(call_id=call):
                    self.counter_calls.append(call)
        self.checked_actions = len(self.rig.actions)

    @rule(
        path=st.sampled_from(PATHS),
        customer=st.sampled_from(("anna", "free")),
        deadline=st.sampled_from(("50", "400", "4000")),
    )
    def receive_request(self, path: str, customer: str, deadline: str) -> None:
        self.request_ids.append(self.rig.send(path, customer, "POST", x_deadline_ms=deadline))
        self._check_new_actions()

    @precondition(lambda self: self.open_attempts)
    @rule(data=st.data(), failure=st.sampled_from(list(AttemptFailure)))
    def fail_attempt(self, data: st.DataObject, failure: AttemptFailure) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.open_attempts)))
        number = self.open_attempts.pop(request_id)
        if failure not in (AttemptFailure.NOT_CONNECTED, AttemptFailure.CONNECTION_LIMIT, AttemptFailure.NOT_WRITTEN):
            self.rig.handle(ev.AttemptWritten(request_id, number))
        self.rig.handle(ev.AttemptFailed(request_id, number, failure))
        self._check_new_actions()

    @precondition(lambda self: self.open_attempts)
    @rule(
        data=st.data(),
        status=st.sampled_from((200, 404, 500, 503)),
        rejected=st.booleans(),
        streams=st.booleans(),
        completes=st.booleans(),
    )
    def respond(self, data: st.DataObject, status: int, rejected: bool, streams: bool, completes: bool) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.open_attempts)))
        number = self.open_attempts[request_id]
        self.rig.handle(ev.AttemptWritten(request_id, number))
        if request_id not in self.streamed:
            self.rig.handle(
                ev.ResponseHeadReceived(request_id, number, status, [(b"x-not-run", b"1")] if rejected else [])
            )
            self._check_new_actions()
        if self.open_attempts.get(request_id) != number:
            return  # the response was not one to relay
        if streams and request_id not in self.streamed and request_id not in self.disconnected:
            self.streamed.add(request_id)
            self.rig.handle(ev.ResponseBufferExceeded(request_id, number))
        if completes:
            del self.open_attempts[request_id]
            self.rig.handle(ev.ResponseCompleted(request_id, number))
        self._check_new_actions()

    @precondition(lambda self: self.request_ids)
    @rule(data=st.data())
    def disconnect_client(self, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(self.request_ids))
        self.rig.handle(ev.ClientDisconnected(request_id))
        self.disconnected.add(request_id)
        self._check_new_actions()

    @precondition(lambda self: self.counter_calls)
    @rule(
        data=st.data(),
        result=st.sampled_from((CallResult.OK, CallResult.OVERLOADED, CallResult.TIMEOUT)),
        total=st.floats(0, 100),
    )
    def reply_to_counter_call(self, data: st.DataObject, result: CallResult, total: float) -> None:
        call = data.draw(st.sampled_from(self.counter_calls))  # also an earlier call: a late or duplicate reply
        self.rig.handle(ev.CounterReplied(call, result, total))
        self._check_new_actions()

    @rule(ms=st.sampled_from((1.0, 30.0, 300.0, 5000.0)))
    def pass_time(self, ms: float) -> None:
        self.rig.pass_time(ms)
        self._check_new_actions()

    @rule(
        numbers=st.sets(st.integers(1, 5)),
        state=st.sampled_from(list(EndpointState)),
        scope=st.sampled_from((EndpointListScope.FULL, EndpointListScope.DELTA, EndpointListScope.LOST)),
    )
    def update_endpoint_list(self, numbers: set[int], state: EndpointState, scope: EndpointListScope) -> None:
        self.rig.handle(endpoint_list_event(*sorted(numbers), scope=scope, state=state))
        self._check_new_actions()

    @invariant()
    def unanswered_count_is_right(self) -> None:
        # A streamed response is the final one, but its request is unanswered until the last byte.
        streaming = self.streamed & self.answered & set(self.open_attempts) - self.disconnected
        waiting = set(self.request_ids) - self.answered - self.disconnected
        assert self.rig.engine.unanswered == len(waiting) + len(streaming)

    def teardown(self) -> None:
        for request_id, number in list(self.open_attempts.items()):
            if request_id in self.streamed:
                self.rig.handle(ev.ResponseCompleted(request_id, number))
                del self.open_attempts[request_id]
        self.rig.pass_time(20_000)
        self._check_new_actions()
        assert self.rig.held() == NOTHING_HELD
        for request_id in self.request_ids:
            assert request_id in self.answered | self.disconnected, "a request without its final response"
        assert not self.open_attempts


EngineMachine.TestCase.settings = hypo(max_examples=120, stateful_step_count=40, deadline=None, derandomize=True)
TestEngineMachine = EngineMachine.TestCase


class AuthEngineMachine(EngineMachine):
    """The same machine with an authentication service that acts in random order, too."""

    def __init__(self) -> None:
        super().__init__()
        self.rig = AuthRig()
        self.checked_actions = 0
        self.checks: dict[int, int] = {}  # numbers of the open attempts of checks, by check id
        self.credential: dict[int, str] = {}  # by request id, for routes that do not fail open
        self.allowed: set[str] = set()  # credentials with a positive verdict

    def _check_new_actions(self) -> None:
        for action in self.rig.actions[self.checked_actions :]:
            match action:
                case ev.StartAuthCheck(check_id=check, attempt=attempt):
                    assert check not in self.checks, "two open attempts of one check"
                    self.checks[check] = attempt
                case ev.StopAuthCheck(check_id=check, attempt=attempt):
                    assert self.checks.pop(check) == attempt
                case ev.OpenAttempt(request_id=request_id) if request_id in self.credential:
                    assert self.credential[request_id] in self.allowed, "forwarded without a positive verdict"
        super()._check_new_actions()

    @rule(
        path=st.sampled_from(("/safe/1", "/loose/1", "/bill/1")),
        credential=st.sampled_from(("a", "b")),
        deadline=st.sampled_from(("50", "400", "4000")),
    )
    def receive_unauthenticated_request(self, path: str, credential: str, deadline: str) -> None:
        if path != "/loose/1":
            self.credential[self.rig._request_id + 1] = credential
        self.request_ids.append(self.rig.send(path, method="POST", authorization=credential, x_deadline_ms=deadline))
        self._check_new_actions()

    @precondition(lambda self: self.checks)
    @rule(data=st.data(), status=st.sampled_from((200, 200, 401, 500)), cacheable=st.booleans(), fails=st.booleans())
    def reply_to_check(self, data: st.DataObject, status: int, cacheable: bool, fails: bool) -> None:
        check = data.draw(st.sampled_from(sorted(self.checks)))
        attempt = self.checks.pop(check)
        started = next(start for start in self.rig.actions_of(ev.StartAuthCheck) if start.check_id == check)
        credential = dict(started.headers)[b"authorization"].decode()
        if fails:
            self.rig.handle(ev.AuthCheckFailed(check, attempt))
        else:
            if status == 200:
                self.allowed.add(credential)
            headers = [(b"x-auth-customer", b"free"), *([(b"cache-control", b"max-age=5")] if cacheable else [])]
            self.rig.handle(ev.AuthCheckReplied(check, attempt, status, headers))
        self._check_new_actions()

    def teardown(self) -> None:
        super().teardown()
        assert all(
            self.rig.engine.held_counts[f"auth_{name}"] == 0 for name in ("asks", "checks", "queued", "out", "passed")
        )


AuthEngineMachine.TestCase.settings = hypo(max_examples=120, stateful_step_count=40, deadline=None, derandomize=True)
TestAuthEngineMachine = AuthEngineMachine.TestCase
