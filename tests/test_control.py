"""The operators' door without sockets: its HTTP/1.1 parser in pieces and junk, the operator state, and the
hand-over file's reading."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from zincstile.admin import handover as ho
from zincstile.admin.http import Bounds, Call, CallError, CallParser, answer
from zincstile.admin.operator import Change, Operator
from zincstile.admin.timestamp import Moment

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


BOOT, UNIX_NS, MINUTE = "one run of the machine", 10**18, 60 * 10**9


def moment(monotonic_ns: int, unix_ns: int = UNIX_NS, boot: str = BOOT) -> Moment:
    return Moment(monotonic_ns, unix_ns, boot)


def test_the_handover_file_is_read_back_and_what_cannot_be_trusted_is_told():
    h = ho.Handover("n3", 7, moment(5), frozenset({"s-a", "s-b"}), "8c1f", {"s-c": 4}, -7)
    assert ho.unpack(ho.pack(h), "n3", moment(10), MINUTE) == h
    table = json.loads(ho.pack(h))
    bad = {
        "not json": b"{",
        "another gateway": ho.pack(ho.Handover("n4", 1, moment(5), frozenset())),
        "stale": ho.pack(h),
        "a list of no names": json.dumps(table | {"banned": [1]}).encode(),
        "no version": b'{"form": 1, "gateway": "n3", "written_ns": 1, "banned": []}',
        "a boot of no name": json.dumps(table | {"boot": 1}).encode(),
        "no time of writing": json.dumps(table | {"written_monotonic_ns": "1"}).encode(),
        "an age below nought": json.dumps(table | {"back_age_ns": {"s-c": -1}}).encode(),
        "no ages": json.dumps(table | {"back_age_ns": [1]}).encode(),
        "no difference": json.dumps(table | {"apart_ns": 0.5}).encode(),
    }
    for why, data in bad.items():
        with pytest.raises(ho.HandoverError):
            ho.unpack(data, "n3", moment(10 + (10**12 if why == "stale" else 0)), MINUTE)


@pytest.mark.parametrize("step_s", [0, 7, -7, 3600, -3600])
def test_the_age_of_the_handover_is_real_time_whatever_the_wall_clock_does(step_s):
    h = ho.Handover("n3", 7, moment(5), frozenset({"s-a"}), back_age_ns={"s-c": 4}, apart_ns=-7)
    stepped = UNIX_NS + step_s * 10**9
    assert ho.unpack(ho.pack(h), "n3", moment(5 + MINUTE, stepped), MINUTE) == h
    with pytest.raises(ho.HandoverError, match="60 s old"):
        ho.unpack(ho.pack(h), "n3", moment(6 + MINUTE, stepped), MINUTE)


def test_a_file_that_its_process_could_only_date_is_as_old_as_its_date():
    h = ho.Handover("n3", 7, moment(5), frozenset({"s-a"}))
    now = moment(2 * MINUTE)
    assert ho.unpack(ho.pack(h), "n3", now, MINUTE, dated_ns=MINUTE) == h
    for dated_ns in (MINUTE - 1, 4, 2 * MINUTE + 1, UNIX_NS):  # too old, before the writing, no date of ours
        with pytest.raises(ho.HandoverError, match="stale"):
            ho.unpack(ho.pack(h), "n3", now, MINUTE, dated_ns)
    with pytest.raises(ho.HandoverError, match="stale"):
        ho.unpack(ho.pack(h), "n3", moment(2 * MINUTE, UNIX_NS + 2 * MINUTE, "another"), MINUTE, MINUTE)


def test_after_a_new_start_of_the_machine_the_age_goes_by_the_wall_clock():
    h = ho.Handover("n3", 7, moment(5 * MINUTE), frozenset({"s-a"}), apart_ns=-7)
    for boot in ("another", ""):
        found = ho.unpack(ho.pack(h), "n3", moment(1, UNIX_NS + MINUTE, boot), MINUTE)
        assert found.banned == h.banned and found.apart_ns is None
        with pytest.raises(ho.HandoverError, match="stale"):
            ho.unpack(ho.pack(h), "n3", moment(1, UNIX_NS + MINUTE + 1, boot), MINUTE)


def test_a_file_of_a_version_before_is_read_by_the_wall_clock_that_wrote_it():
    older = {"form": 1, "gateway": "n3", "version": 1, "written_ns": UNIX_NS, "banned": ["s-a"]}
    back = {"s-b": UNIX_NS - 9, "s-c": UNIX_NS + 10**12}  # the second by a clock that was stepped since
    found = ho.unpack(json.dumps(older | {"back": back}).encode(), "n3", moment(1), MINUTE)
    assert found.banned == {"s-a"} and found.back_age_ns == {"s-b": 9, "s-c": 0}
    for spoilt in ({"s-b": -1}, {"s-b": "1"}, [1]):
        with pytest.raises(ho.HandoverError, match="back"):
            ho.unpack(json.dumps(older | {"back": spoilt}).encode(), "n3", moment(1), MINUTE)


def test_a_version_before_reads_what_this_one_writes():
    """Unix times stand beside, as that version reads them: an upgrade may be undone."""
    table = json.loads(ho.pack(ho.Handover("n3", 7, moment(5), frozenset(), back_age_ns={"s-c": 4})))
    assert table["written_ns"] == UNIX_NS and table["back"] == {"s-c": UNIX_NS - 4}


def test_the_handover_names_who_said_last_that_it_takes_clients():
    h = ho.Handover("n3", 1, moment(1), frozenset(), ready_by="8c1f")
    assert ho.unpack(ho.pack(h), "n3", moment(1), 10**9).ready_by == "8c1f"
    older = b'{"form": 1, "gateway": "n3", "version": 1, "written_ns": 1, "banned": []}'
    assert ho.unpack(older, "n3", moment(1, 1), 10**9).ready_by == ""  # a file of a version before it: nobody
    with pytest.raises(ho.HandoverError, match="ready_by"):
        ho.unpack(older[:-1] + b', "ready_by": 5}', "n3", moment(1, 1), 10**9)
