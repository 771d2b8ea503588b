"""The operators' door without sockets: its HTTP/1.1 parser in pieces and junk, the operator state, and the
hand-over file's reading."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from zincstile.control import handover as ho
from zincstile.control.http import Bounds, Call, CallError, CallParser, answer
from zincstile.control.operator import Change, Operator

ENTER = b"POST /maintenance/enter HTTP/1.1\r\nHost: g\r\nContent-Length: 10\r\n\r\ns-5be2a07c"
CALLS = [
    b"GET /status HTTP/1.1\r\nHost: g\r\n\r\n",
    ENTER,
    b"POST /standby HTTP/1.1\r\n\r\n",
    b"POST /active HTTP/1.0\r\nContent-Length: 0\r\n\r\n",
]


def whole(data: bytes, cuts: list[int]) -> Call | None:
    parser, at, call = CallParser(), 0, None
    for cut in sorted(cuts) + [len(data)]:
        call = parser.feed(data[at:cut]) or call
        at = max(at, cut)
    return call


@given(st.sampled_from(CALLS), st.lists(st.integers(min_value=0, max_value=120), max_size=12))
@settings(max_examples=300, deadline=None)
def test_a_call_cut_anywhere_reads_as_the_whole(data, cuts):
    assert whole(data, cuts) == whole(data, [])


def test_a_call_byte_by_byte():
    parser = CallParser()
    got = [parser.feed(ENTER[k : k + 1]) for k in range(len(ENTER))]
    assert got[:-1] == [None] * (len(ENTER) - 1)
    assert got[-1] == Call("POST", "/maintenance/enter", b"s-5be2a07c")


@given(st.binary(max_size=600))
@settings(max_examples=500, deadline=None)
def test_junk_is_a_4xx_or_waits_never_anything_else(junk):
    parser = CallParser(Bounds(line_bytes=256, header_lines=8, body_bytes=64))
    try:
        call = parser.feed(junk)
    except CallError as err:
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
    with pytest.raises(CallError) as err:
        CallParser().feed(data)
    assert err.value.status == status


def test_too_many_header_lines():
    with pytest.raises(CallError) as err:
        CallParser(Bounds(header_lines=3)).feed(b"GET /status HTTP/1.1\r\n" + b"A: b\r\n" * 4)
    assert err.value.status == 431


def test_the_answer_says_its_length_and_closes():
    text = answer(404, "no such call")
    head, _, body = text.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 404 Not Found") and b"Connection: close" in head
    assert int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]) == len(body) == len(b"no such call\n")


def post(path: str, body: bytes = b"") -> Call:
    return Call("POST", path, body)


def test_status_is_yes_only_when_ready_and_not_in_standby():
    o = Operator(listed={"s-a"})
    assert o.call(Call("GET", "/status", b""), ready=False).status == 503
    assert o.call(Call("GET", "/status", b""), ready=True).status == 200
    assert o.call(post("/standby"), True).change is Change.STANDBY
    assert o.call(Call("GET", "/status", b""), True).status == 503
    assert o.call(post("/active"), True).change is Change.ACTIVE
    assert o.call(Call("GET", "/status", b""), True).status == 200


def test_maintenance_out_repeated_is_harmless_and_one_call_back_ends_it():
    o = Operator(listed={"s-a", "s-b"})
    for _ in range(3):
        reply = o.call(post("/maintenance/enter", b"s-a\n"), True)
        assert (reply.status, reply.change, reply.name) == (200, Change.BAN, "s-a")
    assert o.banned == {"s-a"} and o.version == 1
    assert o.call(post("/maintenance/exit", b"s-a"), True).change is Change.UNBAN
    assert o.banned == set() and o.version == 2


@pytest.mark.parametrize("body, status", [(b"s-never", 404), (b"", 400), (b"s-a s-b", 400), (b"\xff", 400)])
def test_an_id_never_listed_or_no_id_is_a_no(body, status):
    o = Operator(listed={"s-a", "s-b"})
    reply = o.call(post("/maintenance/enter", body), True)
    assert reply.status == status and reply.change is Change.NONE and not o.banned


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
    assert Operator().call(Call(method, path, b""), True).status == status


def test_a_ban_by_another_process_is_taken_where_it_is_newer():
    o = Operator(listed={"s-a"})
    assert o.adopt({"s-a"}, 3) == ({"s-a"}, set())
    assert o.adopt(set(), 2) == (set(), set())  # older: ignored
    assert o.adopt(set(), 4) == (set(), {"s-a"})


def test_the_handover_file_is_read_back_and_what_cannot_be_trusted_is_told():
    h = ho.Handover("n3", 7, 10**18, frozenset({"s-a", "s-b"}))
    assert ho.unpack(ho.pack(h), "n3", 10**18 + 5, 60 * 10**9) == h
    bad = {
        "not json": b"{",
        "another gateway": ho.pack(ho.Handover("n4", 1, 10**18, frozenset())),
        "stale": ho.pack(h),
        "a list of no names": json.dumps(
            {"form": 1, "gateway": "n3", "version": 1, "written_ns": 10**18, "banned": [1]}
        ).encode(),
        "no version": b'{"form": 1, "gateway": "n3", "written_ns": 1, "banned": []}',
    }
    for why, data in bad.items():
        with pytest.raises(ho.HandoverError):
            ho.unpack(data, "n3", 10**18 + (10**12 if why == "stale" else 0), 60 * 10**9)


def test_the_handover_names_who_said_last_that_it_takes_clients():
    h = ho.Handover("n3", 1, 10**18, frozenset(), ready_by="8c1f")
    assert ho.unpack(ho.pack(h), "n3", 10**18, 10**9).ready_by == "8c1f"
    older = b'{"form": 1, "gateway": "n3", "version": 1, "written_ns": 1, "banned": []}'
    assert ho.unpack(older, "n3", 1, 10**9).ready_by == ""  # a file of a version before it: nobody
    with pytest.raises(ho.HandoverError, match="ready_by"):
        ho.unpack(older[:-1] + b', "ready_by": 5}', "n3", 1, 10**9)
