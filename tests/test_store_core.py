"""The store's decisions one by one."""

from __future__ import annotations

import random

from martenstep.interface import Verdict
from martenstep.store.core import Core, Lane, Options, Told, Write
from martenstep.store.slots import SLOTS, slot_of


def test_a_call_that_was_written_is_never_told_as_not_added_though_its_new_lane_is_full() -> None:
    core = Core(Options(lanes=1, waiting=1, topology=True), random.Random(1))
    slots = ["one:1"] * SLOTS
    slots[slot_of(core.key(2))] = "two:2"
    core.topology(0.0, slots)
    core.add(1.0, 1, 1, 1.0, 60_000.0)
    core.add(1.0, 2, 2, 1.0, 60_000.0)  # its lane is not open yet: it waits there, and the lane is full
    core.opened(2.0, Lane("one:1", 0))
    assert any(isinstance(action, Write) for action in core.take())
    core.topology(3.0, ["two:2"] * SLOTS)
    assert [(a.call, a.verdict) for a in core.take() if isinstance(a, Told)] == [(1, Verdict.TIMEOUT)]
