"""What a hook gives passes the border within its bounds, or not at all."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.hooks.result_validation import (
    KEPT_HEADERS,
    MOST_BODY,
    BorderError,
    Bounds,
    Placed,
    headers,
    log_fields,
    placed,
    sending,
    words,
)

BOUNDS = Bounds(classes={"read"}, plans={"studio"}, customers={"anna"}, least_units=1.0, most_units=4.0)
BEFORE = Placed("write", "bert", "basic", 2.0)
NASTY = st.text(st.sampled_from("aZ-:/ \r\n\t\0\x7f\x85é\u2028€\ud800%?#"), max_size=8)


@given(st.lists(st.tuples(NASTY, NASTY), max_size=4))
@hypo(max_examples=300, deadline=None, derandomize=True)
def test_no_header_breaks_out_of_its_line(made: list[tuple[str, str]]) -> None:
    try:
        found = headers(made, BOUNDS)
    except BorderError:
        return
    for name, value in found:
        line = f"{name}: {value}".encode("latin-1")
        assert not {0x0A, 0x0D, 0x00, 0x7F} & set(line) and name not in KEPT_HEADERS and ":" not in name


@pytest.mark.parametrize("name", ["Content-Length", "transfer-encoding", "Retry-After", "x-reason", "Via", "HOST"])
def test_headers_that_the_door_sets_are_not_a_hooks(name: str) -> None:
    with pytest.raises(BorderError, match="not a hook's"):
        headers([(name, "1")], BOUNDS)


@pytest.mark.parametrize(
    ("made", "told"),
    [
        ([("x-a", "b\r\nset-cookie: c")], "control sign"),
        ([("x-a", "b\n")], "control sign"),
        ([("x-a", " b")], "control"),
        ([("x a", "b")], "not a header's name"),
        ([("x-a", "€")], "Latin-1"),
        ([("x-a", "1"), ("X-A", "2")], "twice"),
        ([(f"x-{n}", "1") for n in range(17)], "17 headers"),
        ([("x-a", "b" * 1025)], "too long"),
        ([("", "b")], "name"),
    ],
)
def test_headers_that_are_none_are_refused(made: list[tuple[str, str]], told: str) -> None:
    with pytest.raises(BorderError, match=told):
        headers(made, BOUNDS)


@given(st.floats(allow_nan=True, allow_infinity=True), st.floats(0, 1e7))
@hypo(max_examples=200, deadline=None, derandomize=True)
def test_a_retry_after_never_gets_earlier(retry: float, modules: float) -> None:
    try:
        made = words(("no", "text/plain", retry, []), modules, BOUNDS)
    except BorderError:
        return
    assert modules <= made.retry_after_ms <= max(3_600_000.0, modules)


@pytest.mark.parametrize(
    ("made", "told"),
    [
        (("x" * (MOST_BODY + 1), "text/plain", 0.0, []), "at most"),
        (("x", "text/xml", 0.0, []), "content type"),
        (("x", "text/plain\r\nx: y", 0.0, []), "content type"),
        (("\ud800", "text/plain", 0.0, []), "no text"),
        (("x", "text/plain", float("nan"), []), "retry-after"),
        (("x", "text/plain", -1.0, []), "retry-after"),
    ],
)
def test_words_that_may_not_pass(made: tuple[str, str, float, list[tuple[str, str]]], told: str) -> None:
    with pytest.raises(BorderError, match=told):
        words(made, 100.0, BOUNDS)


def test_words_that_pass() -> None:
    made = words(("né", "text/html; charset=utf-8", 5000.0, [("X-Hint", "later")]), 2500.0, BOUNDS)
    assert (made.body, made.retry_after_ms, made.headers) == ("né".encode(), 5000.0, (("x-hint", "later"),))


def test_a_place_is_one_that_is_left_open() -> None:
    assert placed(("", "", "", 0.0), BEFORE, BOUNDS) == BEFORE
    assert placed(("read", "anna", "studio", 4.0), BEFORE, BOUNDS) == Placed("read", "anna", "studio", 4.0)
    assert placed(("write", "bert", "basic", 1.0), BEFORE, BOUNDS).units == 1.0
    for made in (
        ("pay", "", "", 0.0),
        ("", "carl", "", 0.0),
        ("", "", "gold", 0.0),
        ("", "", "", 0.5),
        ("", "", "", 9.0),
        ("", "", "", float("nan")),
        ("", "", "", float("inf")),
        ("", "", "", -1.0),
    ):
        with pytest.raises(BorderError):
            placed(made, BEFORE, BOUNDS)


def test_paths_stay_paths() -> None:
    assert sending(("", []), "/a", BOUNDS) == ("/a", ())
    assert sending(("/b?c=%20d", []), "/a", BOUNDS)[0] == "/b?c=%20d"
    for path in ("b", "/b c", "/b\r\nx", "/é", "/a/../b", "/a/./b", "/..", "/a#b", "/" + "a" * 4096, "http://x/"):
        with pytest.raises(BorderError, match="path"):
            sending((path, []), "/a", BOUNDS)


def test_fields_of_the_log_have_names_of_their_own() -> None:
    assert log_fields([("room", "a\nb")]) == {"hook_room": "a\nb"}
    for made in (
        [("Room", "")],
        [("a", ""), ("a", "")],
        [("a", "x" * 1025)],
        [("a.b", "")],
        [(f"a{n}", "") for n in range(17)],
    ):
        with pytest.raises(BorderError):
            log_fields(made)
