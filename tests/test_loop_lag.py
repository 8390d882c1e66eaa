"""How old what the event loop finds may be, and when bytes of a request came."""

from __future__ import annotations

import selectors

import pytest

from martenstep.proxy.loop_lag import STALL_S, LagSelector
from martenstep.proxy.transport import ARRIVAL_MERGE_MS, WatchedReader
from tests.socket_rig import run

FOUND: list[tuple[selectors.SelectorKey, int]] = [(selectors.SelectorKey(0, 0, 0, None), 1)]


class Looks:
    """A clock, and looks that each take a while and find something or not."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        self._takes, self._found = 0.0, True
        patch.setattr(selectors.DefaultSelector, "select", self._select)
        self.selector = LagSelector(lambda: self.now)

    def _select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now += self._takes
        return FOUND if self._found else []

    def look(self, takes: float, timeout: float | None, found: bool = True, after: float = 0.0) -> float:
        """One look, so long after the one before; gives its lag in milliseconds."""
        self.now += after
        self._takes, self._found = takes, found
        self.selector.select(timeout)
        return self.selector.lag_ms


def test_what_is_found_at_once_came_after_the_look_before(monkeypatch: pytest.MonkeyPatch) -> None:
    looks = Looks(monkeypatch)
    assert looks.look(0.0, 0.0, after=5.0) == 0.0, "before the first look nobody was served"
    assert looks.look(0.0, 0.0, after=0.08) == pytest.approx(80.0)
    assert looks.look(0.2, 1.0) == 0.0, "it was waited for"
    assert looks.look(0.0, 0.0, after=0.03) == pytest.approx(30.0)


def test_a_stop_of_the_process_is_seen_by_its_overshoot(monkeypatch: pytest.MonkeyPatch) -> None:
    looks = Looks(monkeypatch)
    looks.look(0.0, 0.0)
    assert looks.look(2.0, 0.25) == pytest.approx(2000.0) and looks.selector.stalled_ms == pytest.approx(2000.0)
    looks.look(0.01, 0.25)
    assert looks.look(1.0, 0.25, found=False) == pytest.approx(1000.0), "interrupted, its time over: no look"
    assert looks.look(0.0, 0.0) == pytest.approx(1000.0), "what this one finds may have come as that one began"
    assert looks.look(0.0, 0.0, after=STALL_S / 2) == pytest.approx(STALL_S * 500)


def reader_at(times: list[float]) -> WatchedReader:
    """A reader whose bytes come at these times."""

    class Clock:
        last_poll_ms = 0.0

        @property
        def earliest_arrival_ms(self) -> float:
            return times.pop(0)

    return WatchedReader(Clock())


def test_a_requests_time_is_that_of_its_last_byte() -> None:
    async def test() -> None:
        reader = reader_at([100.0, 200.0, 300.0])
        for data in (b"abcd", b"efgh", b"ijkl"):
            reader.feed_data(data)
        assert [reader.arrival_time(count) for count in (3, 4, 5, 8, 12)] == [100.0, 100.0, 200.0, 200.0, 300.0]

    run(test())


def test_who_writes_byte_by_byte_is_kept_few_times_of() -> None:
    async def test() -> None:
        reader = reader_at([number * 0.1 for number in range(2000)])
        for _ in range(2000):
            reader.feed_data(b"x")
        assert len(reader._arrivals) <= 2000 * 0.1 / ARRIVAL_MERGE_MS + 1
        assert reader.arrival_time(2000) == pytest.approx(199.9, abs=ARRIVAL_MERGE_MS)

    run(test())
