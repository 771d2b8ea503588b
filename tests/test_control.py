"""The admin endpoint without sockets: its HTTP/1.1 parser in pieces and junk, the operator state, and the
hand-over file's reading."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from zincstile.admin.handover import Handover, HandoverError, decode, encode
from zincstile.admin.http import (
    Request,
    RequestError,
    RequestLimits,
    RequestParser,
    Status,
    encode_response,
)
from zincstile.admin.operator_state import OperatorChange, OperatorState
from zincstile.admin.timestamp import Timestamp

ENTER = b"POST /maintenance/enter HTTP/1.1\r\nHost: g\r\nContent-Length: 10\r\n\r\ns-5be2a07c"
CALLS = [
    b"GET /status HTTP/1.1\r\nHost: g\r\n\r\n",
    ENTER,
    b"POST /standby HTTP/1.1\r\n\r\n",
    b"POST /active HTTP/1.0\r\nContent-Length: 0\r\n\r\n",
]


def whole(data: bytes, cuts: list[int]) -> Request | None:
    parser, at, call = RequestParser(), 0, None
    for cut in sorted(cuts) + [len(data)]:
        call = parser.feed(data[at:cut]) or call
        at = max(at, cut)
    return call


@given(st.sampled_from(CALLS), st.lists(st.integers(min_value=0, max_value=120), max_size=12))
@settings(max_examples=300, deadline=None)
def test_a_call_cut_anywhere_reads_as_the_whole(data, cuts):
    assert whole(data, cuts) == whole(data, [])


def test_a_call_byte_by_byte():
    parser = RequestParser()
    got = [parser.feed(ENTER[k : k + 1]) for k in range(len(ENTER))]
    assert got[:-1] == [None] * (len(ENTER) - 1)
    assert got[-1] == Request("POST", "/maintenance/enter", b"s-5be2a07c")


@given(st.binary(max_size=600))
@settings(max_examples=500, deadline=None)
def test_junk_is_a_4xx_or_waits_never_anything_else(junk):
    parser = RequestParser(RequestLimits(line_bytes=256, header_lines=8, body_bytes=64))
    try:
        call = parser.feed(junk)
    except RequestError as err:
        assert 400 <= err.status < 600
        return
    assert call is None or call.path.startswith("/")


@pytest.mark.parametrize(
    "data, status",
    [
        (b"GET /status\r\n\r\n", 400),
        (b"GET /status HTTP/2.0\r\n\r\n", 505),
        (b"GET " + b"/a" * 600 + b" HTTP/1.1\r\n", 400),
        (b"GET /status HTTP/1.1\r\nX-" + b"a" * 2000, 431),
        (b"POST /standby HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        (b"POST /standby HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413),
        (b"POST /standby HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST /standby HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"GET /status HTTP/1.1\r\nno colon\r\n\r\n", 400),
    ],
)
def test_what_breaks_the_syntax_or_a_bound_gets_its_status(data, status):
    with pytest.raises(RequestError) as err:
        RequestParser().feed(data)
    assert err.value.status == status


def test_too_many_header_lines():
    with pytest.raises(RequestError) as err:
        RequestParser(RequestLimits(header_lines=3)).feed(b"GET /status HTTP/1.1\r\n" + b"A: b\r\n" * 4)
    assert err.value.status == 431


def test_the_answer_says_its_length_and_closes():
    text = encode_response(Status.NOT_FOUND, "no such call")
    head, _, body = text.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 404 Not Found") and b"Connection: close" in head
    assert int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]) == len(body) == len(b"no such call\n")


def post(path: str, body: bytes = b"") -> Request:
    return Request("POST", path, body)


def test_status_is_yes_only_when_ready_and_not_in_standby():
    state = OperatorState(listed_names={"s-a"})
    assert state.handle(Request("GET", "/status", b""), ready=False).status == 503
    assert state.handle(Request("GET", "/status", b""), ready=True).status == 200
    assert state.handle(post("/standby"), ready=True).change is OperatorChange.STANDBY
    assert state.handle(Request("GET", "/status", b""), ready=True).status == 503
    assert state.handle(post("/active"), ready=True).change is OperatorChange.ACTIVE
    assert state.handle(Request("GET", "/status", b""), ready=True).status == 200


def test_maintenance_out_repeated_is_harmless_and_one_call_back_ends_it():
    state = OperatorState(listed_names={"s-a", "s-b"})
    for _ in range(3):
        reply = state.handle(post("/maintenance/enter", b"s-a\n"), ready=True)
        assert (reply.status, reply.change, reply.name) == (200, OperatorChange.MAINTENANCE_ENTER, "s-a")
    assert state.under_maintenance == {"s-a"} and state.version == 1
    assert (
        state.handle(post("/maintenance/exit", b"s-a"), ready=True).change is OperatorChange.MAINTENANCE_EXIT
    )
    assert state.under_maintenance == set() and state.version == 2


@pytest.mark.parametrize("body, status", [(b"s-never", 404), (b"", 400), (b"s-a s-b", 400), (b"\xff", 400)])
def test_an_id_never_listed_or_no_id_is_a_no(body, status):
    state = OperatorState(listed_names={"s-a", "s-b"})
    reply = state.handle(post("/maintenance/enter", body), ready=True)
    assert reply.status == status and reply.change is OperatorChange.NONE and not state.under_maintenance


@pytest.mark.parametrize(
    "method, path, status",
    [
        ("GET", "/standby", 405),
        ("POST", "/status", 405),
        ("GET", "/nothing", 404),
        ("DELETE", "/active", 405),
    ],
)
def test_unknown_calls_are_a_no(method, path, status):
    assert OperatorState().handle(Request(method, path, b""), ready=True).status == status


def test_a_ban_by_another_process_is_taken_where_it_is_newer():
    state = OperatorState(listed_names={"s-a"})
    assert state.adopt({"s-a"}, 3) == ({"s-a"}, set())
    assert state.adopt(set(), 2) == (set(), set())  # older: ignored
    assert state.adopt(set(), 4) == (set(), {"s-a"})


BOOT, UNIX_NS, MINUTE = "one run of the machine", 10**18, 60 * 10**9


def timestamp(monotonic_ns: int, unix_ns: int = UNIX_NS, boot: str = BOOT) -> Timestamp:
    return Timestamp(monotonic_ns, unix_ns, boot)


def test_the_handover_file_is_read_back_and_what_cannot_be_trusted_is_told():
    handover = Handover("n3", 7, timestamp(5), frozenset({"s-a", "s-b"}), "8c1f", {"s-c": 4}, -7)
    assert decode(encode(handover), "n3", timestamp(10), MINUTE) == handover
    table = json.loads(encode(handover))
    bad = {
        "not json": b"{",
        "another gateway": encode(Handover("n4", 1, timestamp(5), frozenset())),
        "stale": encode(handover),
        "a list of no names": json.dumps(table | {"banned": [1]}).encode(),
        "no version": b'{"form": 1, "gateway": "n3", "written_ns": 1, "banned": []}',
        "a boot of no name": json.dumps(table | {"boot": 1}).encode(),
        "no time of writing": json.dumps(table | {"written_monotonic_ns": "1"}).encode(),
        "an age below nought": json.dumps(table | {"back_age_ns": {"s-c": -1}}).encode(),
        "no ages": json.dumps(table | {"back_age_ns": [1]}).encode(),
        "no difference": json.dumps(table | {"apart_ns": 0.5}).encode(),
    }
    for why, data in bad.items():
        with pytest.raises(HandoverError):
            decode(data, "n3", timestamp(10 + (10**12 if why == "stale" else 0)), MINUTE)


@pytest.mark.parametrize("step_s", [0, 7, -7, 3600, -3600])
def test_the_age_of_the_handover_is_real_time_whatever_the_wall_clock_does(step_s):
    handover = Handover(
        "n3", 7, timestamp(5), frozenset({"s-a"}), returned_age_ns={"s-c": 4}, discovery_offset_ns=-7
    )
    stepped = UNIX_NS + step_s * 10**9
    assert decode(encode(handover), "n3", timestamp(5 + MINUTE, stepped), MINUTE) == handover
    with pytest.raises(HandoverError, match="60 s old"):
        decode(encode(handover), "n3", timestamp(6 + MINUTE, stepped), MINUTE)


def test_a_file_that_its_process_could_only_date_is_as_old_as_its_date():
    handover = Handover("n3", 7, timestamp(5), frozenset({"s-a"}))
    now = timestamp(2 * MINUTE)
    assert decode(encode(handover), "n3", now, MINUTE, modified_ns=MINUTE) == handover
    for modified_ns in (
        MINUTE - 1,
        4,
        2 * MINUTE + 1,
        UNIX_NS,
    ):  # too old, before the writing, no date of ours
        with pytest.raises(HandoverError, match="stale"):
            decode(encode(handover), "n3", now, MINUTE, modified_ns)
    with pytest.raises(HandoverError, match="stale"):
        decode(encode(handover), "n3", timestamp(2 * MINUTE, UNIX_NS + 2 * MINUTE, "another"), MINUTE, MINUTE)


def test_after_a_new_start_of_the_machine_the_age_goes_by_the_wall_clock():
    handover = Handover("n3", 7, timestamp(5 * MINUTE), frozenset({"s-a"}), discovery_offset_ns=-7)
    for boot in ("another", ""):
        found = decode(encode(handover), "n3", timestamp(1, UNIX_NS + MINUTE, boot), MINUTE)
        assert found.under_maintenance == handover.under_maintenance and found.discovery_offset_ns is None
        with pytest.raises(HandoverError, match="stale"):
            decode(encode(handover), "n3", timestamp(1, UNIX_NS + MINUTE + 1, boot), MINUTE)


def test_a_file_of_a_version_before_is_read_by_the_wall_clock_that_wrote_it():
    older = {"form": 1, "gateway": "n3", "version": 1, "written_ns": UNIX_NS, "banned": ["s-a"]}
    back = {"s-b": UNIX_NS - 9, "s-c": UNIX_NS + 10**12}  # the second by a clock that was stepped since
    found = decode(json.dumps(older | {"back": back}).encode(), "n3", timestamp(1), MINUTE)
    assert found.under_maintenance == {"s-a"} and found.returned_age_ns == {"s-b": 9, "s-c": 0}
    for spoilt in ({"s-b": -1}, {"s-b": "1"}, [1]):
        with pytest.raises(HandoverError, match="back"):
            decode(json.dumps(older | {"back": spoilt}).encode(), "n3", timestamp(1), MINUTE)


def test_a_version_before_reads_what_this_one_writes():
    """Unix times stand beside, as that version reads them: an upgrade may be undone."""
    table = json.loads(encode(Handover("n3", 7, timestamp(5), frozenset(), returned_age_ns={"s-c": 4})))
    assert table["written_ns"] == UNIX_NS and table["back"] == {"s-c": UNIX_NS - 4}


def test_the_handover_names_who_said_last_that_it_takes_clients():
    handover = Handover("n3", 1, timestamp(1), frozenset(), ready_process="8c1f")
    assert decode(encode(handover), "n3", timestamp(1), 10**9).ready_process == "8c1f"
    older = b'{"form": 1, "gateway": "n3", "version": 1, "written_ns": 1, "banned": []}'
    assert (
        decode(older, "n3", timestamp(1, 1), 10**9).ready_process == ""
    )  # a file of a version before it: nobody
    with pytest.raises(HandoverError, match="ready_by"):
        decode(older[:-1] + b', "ready_by": 5}', "n3", timestamp(1, 1), 10**9)
