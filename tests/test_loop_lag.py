"""The longest age of what the event loop finds ready, and the arrival times of a request's bytes."""

from __future__ import annotations

import selectors

import pytest

from martenstep.proxy.loop_lag import STALL_S, LagSelector
from martenstep.proxy.transport import ARRIVAL_MERGE_MS, WatchedReader
from tests.socket_rig import run

ONE_READY_EVENT: list[tuple[selectors.SelectorKey, int]] = [(selectors.SelectorKey(0, 0, 0, None), 1)]


class FakePolls:
    """A clock and a selector whose polls take a given time and find an event or none."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        self._duration_s, self._is_ready = 0.0, True
        monkeypatch.setattr(selectors.DefaultSelector, "select", self._select)
        self.selector = LagSelector(lambda: self.now)

    def _select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now += self._duration_s
        return ONE_READY_EVENT if self._is_ready else []

    def poll(self, duration_s: float, timeout: float | None, is_ready: bool = True, after_s: float = 0.0) -> float:
        """Poll `after_s` seconds after the previous poll returned; returns the lag in milliseconds."""
        self.now += after_s
        self._duration_s, self._is_ready = duration_s, is_ready
        self.selector.select(timeout)
        return self.selector.lag_ms


def test_events_found_at_once_arrived_after_the_previous_poll(monkeypatch: pytest.MonkeyPatch) -> None:
    polls = FakePolls(monkeypatch)
    assert polls.poll(0.0, 0.0, after_s=5.0) == 0.0, "there was no previous poll to count from"
    assert polls.poll(0.0, 0.0, after_s=0.08) == pytest.approx(80.0)
    assert polls.poll(0.2, 1.0) == 0.0, "the poll was waiting when the event arrived"
    assert polls.poll(0.0, 0.0, after_s=0.03) == pytest.approx(30.0)


def test_a_stalled_process_is_detected_by_the_overshoot_of_a_poll(monkeypatch: pytest.MonkeyPatch) -> None:
    polls = FakePolls(monkeypatch)
    polls.poll(0.0, 0.0)
    assert polls.poll(2.0, 0.25) == pytest.approx(2000.0) and polls.selector.stalled_ms == pytest.approx(2000.0)
    polls.poll(0.01, 0.25)
    assert polls.poll(1.0, 0.25, is_ready=False) == pytest.approx(1000.0), "interrupted past its timeout: no new poll"
    assert polls.poll(0.0, 0.0) == pytest.approx(1000.0), "the event may have arrived when the interrupted poll began"
    assert polls.poll(0.0, 0.0, after_s=STALL_S / 2) == pytest.approx(STALL_S * 500)


def reader_at(times: list[float]) -> WatchedReader:
    """A reader whose clock returns these arrival times in turn."""

    class Clock:
        last_poll_ms = 0.0

        @property
        def earliest_arrival_ms(self) -> float:
            return times.pop(0)

    return WatchedReader(Clock())


def test_a_request_has_the_arrival_time_of_its_last_byte() -> None:
    async def test() -> None:
        reader = reader_at([100.0, 200.0, 300.0])
        for data in (b"abcd", b"efgh", b"ijkl"):
            reader.feed_data(data)
        assert [reader.arrival_time(count) for count in (3, 4, 5, 8, 12)] == [100.0, 100.0, 200.0, 200.0, 300.0]

    run(test())


def test_a_client_that_writes_byte_by_byte_does_not_fill_the_memory() -> None:
    async def test() -> None:
        reader = reader_at([number * 0.1 for number in range(2000)])
        for _ in range(2000):
            reader.feed_data(b"x")
        assert len(reader._arrivals) <= 2000 * 0.1 / ARRIVAL_MERGE_MS + 1
        assert reader.arrival_time(2000) == pytest.approx(199.9, abs=ARRIVAL_MERGE_MS)

    run(test())
