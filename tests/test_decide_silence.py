"""What an attempt without an answer proves of its server: nothing, where later ones were answered meanwhile.

Seen on sockets: single connections fall silent, their servers answer all others at once.  Each attempt lost so was read
as a queue of its whole wait; soon every server was taken for jammed, and 92% of the tries were refused.
"""

from __future__ import annotations

from martenstep import interface as api
from martenstep.decide import Gateway
from tests.helpers import START, gateway, only, outcome, request, server

FREE = api.Plan("free")


def one() -> Gateway:
    """A gateway with one server, and a plan without a quota."""
    made = gateway([server(1)], plans=(FREE,), gateways=1)
    for number in range(40):  # it knows its server, and has sent enough to trust what it knows
        at = START + number * 20.0
        [send] = only(made.handle(at, request(f"w{number}", plan="free")), api.Send)
        made.handle(at + 10.0, outcome(send, api.Verdict.OK, rtt=10.0))
    return made


BEGIN = START + 1000.0


def sent(made: Gateway, at: float, rid: str) -> api.Send:
    """A request that goes out."""
    [send] = only(made.handle(at, request(rid, plan="free")), api.Send)
    return send


def test_the_loss_of_an_overtaken_attempt_is_no_queue() -> None:
    made = one()
    lost = sent(made, BEGIN, "lost")
    later = sent(made, BEGIN + 5.0, "later")
    made.handle(BEGIN + 15.0, outcome(later, api.Verdict.OK, rtt=10.0))
    made.handle(BEGIN + 4000.0, outcome(lost, api.Verdict.TIMEOUT, rtt=4000.0, ended=True))
    assert sent(made, BEGIN + 4001.0, "next")


def test_an_overtaken_attempt_is_not_taken_for_a_queue_while_it_is_out() -> None:
    made = one()
    sent(made, BEGIN, "lost")
    later = sent(made, BEGIN + 5.0, "later")
    made.handle(BEGIN + 15.0, outcome(later, api.Verdict.OK, rtt=10.0))
    assert sent(made, BEGIN + 2000.0, "next")


def test_an_attempt_that_nothing_overtook_is_a_queue() -> None:
    made = one()
    earlier = sent(made, BEGIN, "earlier")
    lost = sent(made, BEGIN + 5.0, "lost")
    made.handle(BEGIN + 10.0, outcome(earlier, api.Verdict.OK, rtt=10.0))
    made.handle(BEGIN + 4000.0, outcome(lost, api.Verdict.TIMEOUT, rtt=4000.0, ended=True))
    [refusal] = only(made.handle(BEGIN + 4001.0, request("next", plan="free")), api.Refuse)
    assert refusal.reason is api.Reason.OVERLOAD


def test_one_answer_refutes_a_wait_in_vain() -> None:
    made = one()
    first, second = sent(made, BEGIN, "first"), sent(made, BEGIN + 1.0, "second")
    made.handle(BEGIN + 3000.0, outcome(second, api.Verdict.TIMEOUT, rtt=2999.0, ended=True))
    assert only(made.handle(BEGIN + 3001.0, request("no", plan="free")), api.Refuse)
    made.handle(BEGIN + 3002.0, outcome(first, api.Verdict.OK, rtt=12.0))
    assert sent(made, BEGIN + 3003.0, "next")


def test_silence_is_counted_from_the_servers_last_word() -> None:
    """Looked at once only, an attempt whose server had just answered another was left to its deadline."""
    made = one()
    earlier = sent(made, BEGIN, "earlier")
    actions = made.handle(BEGIN + 1.0, request("lost", plan="free"))
    [wake] = only(actions, api.Wake)
    patience = wake.at_ms - BEGIN - 1.0
    word = BEGIN + 1.0 + patience / 2
    made.handle(word, outcome(earlier, api.Verdict.OK, rtt=patience / 2 + 1.0))
    [again] = made.handle(wake.at_ms, api.Due(wake.token))
    assert isinstance(again, api.Wake) and abs(again.at_ms - word - patience) < 1e-6
    [early] = made.handle(again.at_ms - 1e-9, api.Due(again.token))
    assert isinstance(early, api.Wake) and early.at_ms >= again.at_ms + 1.0, "no loop without time passing"
    again = early
    assert made.handle(again.at_ms, api.Due(again.token)) == [api.Cancel("lost", 0)]


def test_an_overtaken_attempt_is_not_given_up() -> None:
    """A long one is overtaken too: called off after a part of its aim, it cost 0.04 on simulated days."""
    made = one()
    actions = made.handle(BEGIN, request("long", plan="free"))
    [wake] = only(actions, api.Wake)
    later = sent(made, BEGIN + 5.0, "later")
    made.handle(BEGIN + 15.0, outcome(later, api.Verdict.OK, rtt=10.0))
    assert made.handle(wake.at_ms, api.Due(wake.token)) == []
