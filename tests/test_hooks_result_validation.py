"""A hook's result is accepted as a whole if it is within the limits, and rejected otherwise."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.hooks.result_validation import (
    MAX_BODY_CHARACTERS,
    PROTECTED_HEADERS,
    Classification,
    ForwardedRequest,
    InvalidResultError,
    ResultLimits,
    validate_classification,
    validate_forwarded_request,
    validate_headers,
    validate_log_fields,
    validate_rejection,
)

LIMITS = ResultLimits(classes={"read"}, plans={"studio"}, customers={"anna"}, min_units=1.0, max_units=4.0)
BEFORE = Classification("write", "bert", "basic", 2.0)
HEADER_TEXTS = st.text(st.sampled_from("aZ-:/ \r\n\t\0\x7f\x85é\u2028€\ud800%?#"), max_size=8)


@given(st.lists(st.tuples(HEADER_TEXTS, HEADER_TEXTS), max_size=4))
@hypo(max_examples=300, deadline=None, derandomize=True)
def test_an_accepted_header_has_no_line_breaks_and_no_protected_name(returned: list[tuple[str, str]]) -> None:
    try:
        accepted = validate_headers(returned, LIMITS)
    except InvalidResultError:
        return
    for name, value in accepted:
        line = f"{name}: {value}".encode("latin-1")
        assert not {0x0A, 0x0D, 0x00, 0x7F} & set(line) and name not in PROTECTED_HEADERS and ":" not in name


@pytest.mark.parametrize("name", ["Content-Length", "transfer-encoding", "Retry-After", "x-reason", "Via", "HOST"])
def test_headers_that_the_gateway_sets_are_rejected(name: str) -> None:
    with pytest.raises(InvalidResultError, match="hooks may not set this header"):
        validate_headers([(name, "1")], LIMITS)


@pytest.mark.parametrize(
    ("returned", "expected_message"),
    [
        ([("x-a", "b\r\nset-cookie: c")], "control characters"),
        ([("x-a", "b\n")], "control characters"),
        ([("x-a", " b")], "surrounding blanks"),
        ([("x a", "b")], "not a valid header name"),
        ([("x-a", "€")], "Latin-1"),
        ([("x-a", "1"), ("X-A", "2")], "two headers have the same name"),
        ([(f"x-{n}", "1") for n in range(17)], "at most 16 headers, got 17"),
        ([("x-a", "b" * 1025)], "1 to 1024 characters"),
        ([("", "b")], "not a valid header name"),
    ],
)
def test_invalid_headers_are_rejected(returned: list[tuple[str, str]], expected_message: str) -> None:
    with pytest.raises(InvalidResultError, match=expected_message):
        validate_headers(returned, LIMITS)


@given(st.floats(allow_nan=True, allow_infinity=True), st.floats(0, 1e7))
@hypo(max_examples=200, deadline=None, derandomize=True)
def test_a_hook_cannot_make_retry_after_earlier(hook_retry_after_ms: float, gateway_retry_after_ms: float) -> None:
    try:
        accepted = validate_rejection(("no", "text/plain", hook_retry_after_ms, []), gateway_retry_after_ms, LIMITS)
    except InvalidResultError:
        return
    assert gateway_retry_after_ms <= accepted.retry_after_ms <= max(3_600_000.0, gateway_retry_after_ms)


@pytest.mark.parametrize(
    ("returned", "expected_message"),
    [
        (("x" * (MAX_BODY_CHARACTERS + 1), "text/plain", 0.0, []), "body: expected at most"),
        (("x", "text/xml", 0.0, []), "content type"),
        (("x", "text/plain\r\nx: y", 0.0, []), "content type"),
        (("\ud800", "text/plain", 0.0, []), "lone surrogate"),
        (("x", "text/plain", float("nan"), []), "retry-after"),
        (("x", "text/plain", -1.0, []), "retry-after"),
    ],
)
def test_invalid_rejection_content_is_rejected(
    returned: tuple[str, str, float, list[tuple[str, str]]], expected_message: str
) -> None:
    with pytest.raises(InvalidResultError, match=expected_message):
        validate_rejection(returned, 100.0, LIMITS)


def test_valid_rejection_content_is_accepted() -> None:
    accepted = validate_rejection(("né", "text/html; charset=utf-8", 5000.0, [("X-Hint", "later")]), 2500.0, LIMITS)
    assert (accepted.body, accepted.retry_after_ms, accepted.headers) == ("né".encode(), 5000.0, (("x-hint", "later"),))


def test_a_classification_keeps_to_the_values_that_the_settings_allow() -> None:
    assert validate_classification(("", "", "", 0.0), BEFORE, LIMITS) == BEFORE
    assert validate_classification(("read", "anna", "studio", 4.0), BEFORE, LIMITS) == Classification(
        "read", "anna", "studio", 4.0
    )
    assert validate_classification(("write", "bert", "basic", 1.0), BEFORE, LIMITS).units == 1.0
    for returned in (
        ("pay", "", "", 0.0),
        ("", "carl", "", 0.0),
        ("", "", "gold", 0.0),
        ("", "", "", 0.5),
        ("", "", "", 9.0),
        ("", "", "", float("nan")),
        ("", "", "", float("inf")),
        ("", "", "", -1.0),
    ):
        with pytest.raises(InvalidResultError):
            validate_classification(returned, BEFORE, LIMITS)


def test_a_path_is_absolute_and_has_no_dot_segments_blanks_or_fragment() -> None:
    assert validate_forwarded_request(("", []), "/a", LIMITS) == ForwardedRequest("/a", ())
    assert validate_forwarded_request(("/b?c=%20d", []), "/a", LIMITS).path == "/b?c=%20d"
    for path in ("b", "/b c", "/b\r\nx", "/é", "/a/../b", "/a/./b", "/..", "/a#b", "/" + "a" * 4096, "http://x/"):
        with pytest.raises(InvalidResultError, match="path"):
            validate_forwarded_request((path, []), "/a", LIMITS)


def test_log_fields_get_a_prefix_and_invalid_ones_are_rejected() -> None:
    assert validate_log_fields([("room", "a\nb")]) == {"hook_room": "a\nb"}
    for returned in (
        [("Room", "")],
        [("a", ""), ("a", "")],
        [("a", "x" * 1025)],
        [("a.b", "")],
        [(f"a{n}", "") for n in range(17)],
    ):
        with pytest.raises(InvalidResultError):
            validate_log_fields(returned)
