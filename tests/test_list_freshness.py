"""What discovery has counts as received 6 s after it can be reached, whatever calls failed before.

A term of the standing test, on real sockets, with the term's own bounds. docs/crossings.md lists the rows.
"""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest
from endpoint_lists import limits_in_fleet
from scenario import GatewayHarness

from zincstile.cold_start.list_polling import ListPolling
from zincstile.net.limits import MS, SECOND

RECEIVED_WITHIN_S = 6.0
ANSWER_NS = 500 * MS  # a call and its answer
SEED_OF_LATE_RETRY = "1108"  # its second wait is drawn near the end of its span
SEED_OF_LATE_FIRST_RETRY = "1"  # its first wait is
FAILED_CALLS = {  # what discovery sends before it ends the connection
    "reset": None,
    "ended": b"",
    "rejected": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "rejected with Retry-After": (
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
    ),
    "half a list": b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{"index": 9, "snapsh',
}


def large_fleet(seed: str) -> dict:
    """Discovery is one service that has to be asked, by so many that spans of waits are long at once."""
    return {"settings": {"discovery": "on_request", "balancers": 200}, "seed": seed}


def expect_change_received(harness: GatewayHarness, watch: str) -> None:
    """A backend drains while no watch is open; from now on discovery can be reached, and is followed."""
    began = time.monotonic()
    harness.run(f"send {watch} change a=Terminating b=Ready\nwait gw tables=2")
    took = time.monotonic() - began
    harness.run("send c1 look 1\nexpect b1 look 1")
    assert took < RECEIVED_WITHIN_S


@pytest.mark.parametrize(
    ("failure", "on_request"),
    [*((failure, False) for failure in FAILED_CALLS), ("reset", True), ("rejected with Retry-After", True)],
)
def test_a_change_is_followed_6_s_after_failed_calls(tmp_path, failure, on_request):
    harness = GatewayHarness(tmp_path, large_fleet(SEED_OF_LATE_RETRY) if on_request else {})
    try:
        harness.run("send d1 full a=Ready\nexpect gw ready*from discovery\nreset d1\nexpect d2 request")
        if FAILED_CALLS[failure] is None:
            harness.reset("d2")
        else:
            harness.connection("d2").sock.sendall(FAILED_CALLS[failure])
            harness.close("d2")
        expect_change_received(harness, "d3")
    finally:
        harness.tear_down()


def test_a_silent_watch_of_a_service_that_is_asked_is_opened_anew_in_6_s(tmp_path):
    """One clock for silence: it counts from the last that the watch sent."""
    harness = GatewayHarness(tmp_path, large_fleet(SEED_OF_LATE_FIRST_RETRY))
    try:
        harness.run("send d1 full a=Ready")
        expect_change_received(harness, "d2")
    finally:
        harness.tear_down()


@pytest.mark.parametrize("gateways", [1, 24, 90, 200, 1000])
def test_no_backoff_is_longer_than_a_change_may_take(gateways):
    """The last moment of each span, after any number of failures, with and without a Retry-After;
    with a connection that never came up before it, and an answer behind it."""
    for within in (0, 10 * SECOND):
        limits = limits_in_fleet(gateways, within)
        dial, silence = limits.backoff_most_ns, limits.table_silence_ns
        for answered_once in (False, True):
            for retry_after in (0, SECOND, 30 * SECOND):
                polling = ListPolling(
                    SimpleNamespace(randint=lambda first, last: last),
                    limits.table_again_ns,
                    limits.table_again_most_ns,
                    limits.table_patience_ns,
                    limits.table_longest_ns,
                    answered_before=answered_once,
                )
                waits = [polling.record_failure(retry_after) for _ in range(20)]
                assert dial + max(waits) + ANSWER_NS <= RECEIVED_WITHIN_S * SECOND
                assert (
                    silence + polling.record_failure(0, silence) + dial + ANSWER_NS
                    <= RECEIVED_WITHIN_S * SECOND
                )
                assert (
                    polling.record_failure(0, 50 * SECOND) + ANSWER_NS <= 2 * SECOND
                )  # a call that waited, and is over
                assert retry_after > limits.table_longest_ns or min(waits) >= retry_after
