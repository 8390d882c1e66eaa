"""What an attempt without a response proves of its endpoint: nothing, where later ones were answered meanwhile.

Seen on sockets: single connections fall silent, their endpoints answer all others at once.  Each attempt lost so was
read as a queue of its whole wait; soon every endpoint was taken for overloaded, and 92% of the requests were rejected.
"""

from __future__ import annotations

from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway
from tests.policy_events import START, actions_of, attempt_ended, endpoint, gateway, request

FREE = api.Plan("free")


def one() -> Gateway:
    """A gateway with one server, and a plan without a quota."""
    made = gateway([endpoint(1)], plans=(FREE,), instances=1)
    for number in range(40):  # it knows its server, and has sent enough to trust what it knows
        at = START + number * 20.0
        [send] = actions_of(made.handle(at, request(f"w{number}", plan="free")), api.StartAttempt)
        made.handle(at + 10.0, attempt_ended(send, api.CallResult.OK, rtt=10.0))
    return made


BEGIN = START + 1000.0


def sent(made: Gateway, at: float, rid: str) -> api.StartAttempt:
    """A request that goes out."""
    [send] = actions_of(made.handle(at, request(rid, plan="free")), api.StartAttempt)
    return send


def overtaken() -> tuple[Gateway, api.StartAttempt]:
    """The same, and an attempt sent at BEGIN that a later one overtook."""
    made = one()
    lost = sent(made, BEGIN, "lost")
    later = sent(made, BEGIN + 5.0, "later")
    made.handle(BEGIN + 15.0, attempt_ended(later, api.CallResult.OK, rtt=10.0))
    return made, lost


def test_the_loss_of_an_overtaken_attempt_is_no_queue() -> None:
    made, lost = overtaken()
    made.handle(BEGIN + 4000.0, attempt_ended(lost, api.CallResult.TIMEOUT, rtt=4000.0, ended=True))
    assert sent(made, BEGIN + 4001.0, "next")


def test_an_overtaken_attempt_is_not_taken_for_a_queue_while_it_is_out() -> None:
    made, _ = overtaken()
    assert sent(made, BEGIN + 2000.0, "next")


def test_an_attempt_that_nothing_overtook_is_a_queue() -> None:
    made = one()
    earlier = sent(made, BEGIN, "earlier")
    lost = sent(made, BEGIN + 5.0, "lost")
    made.handle(BEGIN + 10.0, attempt_ended(earlier, api.CallResult.OK, rtt=10.0))
    made.handle(BEGIN + 4000.0, attempt_ended(lost, api.CallResult.TIMEOUT, rtt=4000.0, ended=True))
    [refusal] = actions_of(made.handle(BEGIN + 4001.0, request("next", plan="free")), api.Reject)
    assert refusal.reason is api.RejectionReason.OVERLOAD


def test_one_answer_to_what_was_sent_later_refutes_a_wait_in_vain() -> None:
    made = one()
    lost = sent(made, BEGIN, "lost")
    made.handle(BEGIN + 600.0, attempt_ended(lost, api.CallResult.TIMEOUT, rtt=600.0, ended=True))
    later = sent(made, BEGIN + 601.0, "later")
    assert made._cluster.endpoints.by_id[1].latency_ms == 600.0
    made.handle(BEGIN + 611.0, attempt_ended(later, api.CallResult.OK, rtt=10.0))
    assert made._cluster.endpoints.by_id[1].latency_ms == 10.0


def test_an_answer_to_what_was_sent_before_refutes_nothing() -> None:
    """A full server still answers what stands in its queue."""
    made = one()
    earlier, refused = sent(made, BEGIN, "earlier"), sent(made, BEGIN + 1.0, "refused")
    made.handle(BEGIN + 2.0, attempt_ended(refused, api.CallResult.OVERLOADED, rtt=1.0))
    made.handle(BEGIN + 10.0, attempt_ended(earlier, api.CallResult.OK, rtt=10.0))
    assert made._cluster.endpoints.by_id[1].latency_ms > 500.0
