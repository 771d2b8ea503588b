"""The admin endpoint without sockets: the HTTP/1.1 parser, the operator state and the hand-over file."""

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

ENTER_REQUEST = b"POST /maintenance/enter HTTP/1.1\r\nHost: g\r\nContent-Length: 10\r\n\r\ns-5be2a07c"
VALID_REQUESTS = [
    b"GET /status HTTP/1.1\r\nHost: g\r\n\r\n",
    ENTER_REQUEST,
    b"POST /standby HTTP/1.1\r\n\r\n",
    b"POST /active HTTP/1.0\r\nContent-Length: 0\r\n\r\n",
]


def parse_in_chunks(data: bytes, cuts: list[int]) -> Request | None:
    parser, offset, request = RequestParser(), 0, None
    for cut in sorted(cuts) + [len(data)]:
        request = parser.feed(data[offset:cut]) or request
        offset = max(offset, cut)
    return request


@given(st.sampled_from(VALID_REQUESTS), st.lists(st.integers(min_value=0, max_value=120), max_size=12))
@settings(max_examples=300, deadline=None)
def test_request_split_at_any_offsets_parses_as_in_one_piece(data, cuts):
    assert parse_in_chunks(data, cuts) == parse_in_chunks(data, [])


def test_request_fed_byte_by_byte_is_complete_at_its_last_byte():
    parser = RequestParser()
    results = [parser.feed(ENTER_REQUEST[k : k + 1]) for k in range(len(ENTER_REQUEST))]
    assert results[:-1] == [None] * (len(ENTER_REQUEST) - 1)
    assert results[-1] == Request("POST", "/maintenance/enter", b"s-5be2a07c")


@given(st.binary(max_size=600))
@settings(max_examples=500, deadline=None)
def test_random_bytes_give_an_error_status_or_wait_for_more_input(random_bytes):
    parser = RequestParser(RequestLimits(max_line_bytes=256, max_header_lines=8, max_body_bytes=64))
    try:
        request = parser.feed(random_bytes)
    except RequestError as err:
        assert 400 <= err.status < 600
        return
    assert request is None or request.path.startswith("/")


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
def test_malformed_or_oversized_request_gets_its_status(data, status):
    with pytest.raises(RequestError) as err:
        RequestParser().feed(data)
    assert err.value.status == status


def test_too_many_header_lines_give_431():
    with pytest.raises(RequestError) as err:
        RequestParser(RequestLimits(max_header_lines=3)).feed(b"GET /status HTTP/1.1\r\n" + b"A: b\r\n" * 4)
    assert err.value.status == 431


def test_response_has_content_length_and_closes_the_connection():
    response = encode_response(Status.NOT_FOUND, "no such call")
    head, _, body = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 404 Not Found") and b"Connection: close" in head
    assert int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]) == len(body) == len(b"no such call\n")


def post(path: str, body: bytes = b"") -> Request:
    return Request("POST", path, body)


def test_status_is_200_only_when_ready_and_not_in_standby():
    state = OperatorState(listed_names={"s-a"})
    assert state.handle(Request("GET", "/status", b""), ready=False).status == 503
    assert state.handle(Request("GET", "/status", b""), ready=True).status == 200
    assert state.handle(post("/standby"), ready=True).change is OperatorChange.STANDBY
    assert state.handle(Request("GET", "/status", b""), ready=True).status == 503
    assert state.handle(post("/active"), ready=True).change is OperatorChange.ACTIVE
    assert state.handle(Request("GET", "/status", b""), ready=True).status == 200


def test_repeated_maintenance_enter_changes_nothing_and_one_exit_ends_it():
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
def test_name_never_listed_or_malformed_is_rejected(body, status):
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
def test_unknown_path_or_wrong_method_is_rejected(method, path, status):
    assert OperatorState().handle(Request(method, path, b""), ready=True).status == status


def test_maintenance_of_another_process_is_adopted_only_if_its_version_is_higher():
    state = OperatorState(listed_names={"s-a"})
    assert state.adopt({"s-a"}, 3) == ({"s-a"}, set())
    assert state.adopt(set(), 2) == (set(), set())  # lower version: ignored
    assert state.adopt(set(), 4) == (set(), {"s-a"})


BOOT_ID, UNIX_NS, MINUTE_NS = "boot 1", 10**18, 60 * 10**9


def timestamp(monotonic_ns: int, unix_ns: int = UNIX_NS, boot_id: str = BOOT_ID) -> Timestamp:
    return Timestamp(monotonic_ns, unix_ns, boot_id)


def test_handover_file_round_trips_and_invalid_content_is_rejected():
    handover = Handover("n3", 7, timestamp(5), frozenset({"s-a", "s-b"}), "8c1f", {"s-c": 4}, -7)
    assert decode(encode(handover), "n3", timestamp(10), MINUTE_NS) == handover
    table = json.loads(encode(handover))
    invalid = {
        "not JSON": b"{",
        "another gateway": encode(Handover("n4", 1, timestamp(5), frozenset())),
        "stale": encode(handover),
        "names of a wrong type": json.dumps(table | {"banned": [1]}).encode(),
        "missing version": b'{"form": 1, "gateway": "n3", "written_ns": 1, "banned": []}',
        "boot id of a wrong type": json.dumps(table | {"boot": 1}).encode(),
        "writing time of a wrong type": json.dumps(table | {"written_monotonic_ns": "1"}).encode(),
        "negative age": json.dumps(table | {"back_age_ns": {"s-c": -1}}).encode(),
        "ages of a wrong type": json.dumps(table | {"back_age_ns": [1]}).encode(),
        "discovery offset of a wrong type": json.dumps(table | {"apart_ns": 0.5}).encode(),
    }
    for reason, data in invalid.items():
        with pytest.raises(HandoverError):
            decode(data, "n3", timestamp(10 + (10**12 if reason == "stale" else 0)), MINUTE_NS)


@pytest.mark.parametrize("step_s", [0, 7, -7, 3600, -3600])
def test_step_of_the_wall_clock_does_not_change_the_age_of_the_file(step_s):
    handover = Handover(
        "n3", 7, timestamp(5), frozenset({"s-a"}), returned_age_ns={"s-c": 4}, discovery_offset_ns=-7
    )
    stepped_unix_ns = UNIX_NS + step_s * 10**9
    assert decode(encode(handover), "n3", timestamp(5 + MINUTE_NS, stepped_unix_ns), MINUTE_NS) == handover
    with pytest.raises(HandoverError, match="60 s old"):
        decode(encode(handover), "n3", timestamp(6 + MINUTE_NS, stepped_unix_ns), MINUTE_NS)


def test_age_counts_from_modification_time_if_the_process_could_only_touch_the_file():
    handover = Handover("n3", 7, timestamp(5), frozenset({"s-a"}))
    now = timestamp(2 * MINUTE_NS)
    assert decode(encode(handover), "n3", now, MINUTE_NS, modified_ns=MINUTE_NS) == handover
    # Too old, before the writing, in the future, and a Unix time, which no process of a gateway sets.
    for modified_ns in (
        MINUTE_NS - 1,
        4,
        2 * MINUTE_NS + 1,
        UNIX_NS,
    ):
        with pytest.raises(HandoverError, match="stale"):
            decode(encode(handover), "n3", now, MINUTE_NS, modified_ns)
    with pytest.raises(HandoverError, match="stale"):
        decode(
            encode(handover),
            "n3",
            timestamp(2 * MINUTE_NS, UNIX_NS + 2 * MINUTE_NS, "boot 2"),
            MINUTE_NS,
            MINUTE_NS,
        )


def test_age_goes_by_the_wall_clock_after_a_reboot_or_without_a_boot_id():
    handover = Handover("n3", 7, timestamp(5 * MINUTE_NS), frozenset({"s-a"}), discovery_offset_ns=-7)
    for boot_id in ("boot 2", ""):
        decoded = decode(encode(handover), "n3", timestamp(1, UNIX_NS + MINUTE_NS, boot_id), MINUTE_NS)
        assert decoded.under_maintenance == handover.under_maintenance and decoded.discovery_offset_ns is None
        with pytest.raises(HandoverError, match="stale"):
            decode(encode(handover), "n3", timestamp(1, UNIX_NS + MINUTE_NS + 1, boot_id), MINUTE_NS)


def test_file_of_an_older_version_gives_ages_by_the_wall_clock():
    older_content = {"form": 1, "gateway": "n3", "version": 1, "written_ns": UNIX_NS, "banned": ["s-a"]}
    # The second time is later than the writing: the wall clock was set back in between.
    returned_unix_ns = {"s-b": UNIX_NS - 9, "s-c": UNIX_NS + 10**12}
    decoded = decode(
        json.dumps(older_content | {"back": returned_unix_ns}).encode(), "n3", timestamp(1), MINUTE_NS
    )
    assert decoded.under_maintenance == {"s-a"} and decoded.returned_age_ns == {"s-b": 9, "s-c": 0}
    for malformed in ({"s-b": -1}, {"s-b": "1"}, [1]):
        with pytest.raises(HandoverError, match="back"):
            decode(json.dumps(older_content | {"back": malformed}).encode(), "n3", timestamp(1), MINUTE_NS)


def test_file_holds_unix_times_for_older_versions():
    """An upgrade may be rolled back: the older version reads Unix times only."""
    table = json.loads(encode(Handover("n3", 7, timestamp(5), frozenset(), returned_age_ns={"s-c": 4})))
    assert table["written_ns"] == UNIX_NS and table["back"] == {"s-c": UNIX_NS - 4}


def test_handover_holds_the_process_that_was_last_ready():
    handover = Handover("n3", 1, timestamp(1), frozenset(), ready_process="8c1f")
    assert decode(encode(handover), "n3", timestamp(1), 10**9).ready_process == "8c1f"
    older = b'{"form": 1, "gateway": "n3", "version": 1, "written_ns": 1, "banned": []}'
    # An older version writes no such key.
    assert decode(older, "n3", timestamp(1, 1), 10**9).ready_process == ""
    with pytest.raises(HandoverError, match="ready_by"):
        decode(older[:-1] + b', "ready_by": 5}', "n3", timestamp(1, 1), 10**9)
