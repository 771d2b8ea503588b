"""Changes at discovery arrive within 6 s after it becomes reachable, regardless of previous failed calls.

On real sockets, with the bounds of the long-running test. docs/crossings.md lists the cases.
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
ANSWER_NS = 500 * MS  # time of a call and its answer
SEED_OF_LATE_RETRY = "1108"  # draws the second wait near the end of its span
SEED_OF_LATE_FIRST_RETRY = "1"  # draws the first wait near the end of its span
FAILED_CALLS = {  # what discovery sends before it closes the connection; None: it resets the connection
    "reset": None,
    "ended": b"",
    "rejected": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "rejected with Retry-After": (
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
    ),
    "half a list": b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{"index": 9, "snapsh',
}


def large_fleet(seed: str) -> dict:
    """Settings of a fleet that polls one discovery service and is so large that backoffs are long at once."""
    return {"settings": {"discovery": "on_request", "balancers": 200}, "seed": seed}


def expect_change_received(harness: GatewayHarness, watch: str) -> None:
    """Discovery becomes reachable after a backend started to drain: the change has to arrive in time."""
    began = time.monotonic()
    harness.run(f"send {watch} change a=Terminating b=Ready\nwait gw tables=2")
    took = time.monotonic() - began
    harness.run("send c1 look 1\nexpect b1 look 1")
    assert took < RECEIVED_WITHIN_S


@pytest.mark.parametrize(
    ("failure", "on_request"),
    [*((failure, False) for failure in FAILED_CALLS), ("reset", True), ("rejected with Retry-After", True)],
)
def test_a_change_arrives_within_6_s_after_failed_calls(tmp_path, failure, on_request):
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


def test_a_silent_watch_of_a_polled_service_is_reopened_within_6_s(tmp_path):
    """The silence is measured from the last data that the watch sent."""
    harness = GatewayHarness(tmp_path, large_fleet(SEED_OF_LATE_FIRST_RETRY))
    try:
        harness.run("send d1 full a=Ready")
        expect_change_received(harness, "d2")
    finally:
        harness.tear_down()


@pytest.mark.parametrize("gateways", [1, 24, 90, 200, 1000])
def test_no_backoff_delays_a_change_beyond_the_limit(gateways):
    """Checks the end of each backoff span, after any number of failures, with and without Retry-After.

    Includes the time of a connection that was never established, and that of the answer.
    """
    for poll_interval_ns in (0, 10 * SECOND):
        limits = limits_in_fleet(gateways, poll_interval_ns)
        connect_ns, silence_ns = limits.max_backoff_ns, limits.watch_silence_timeout_ns
        for answered_before in (False, True):
            for retry_after in (0, SECOND, 30 * SECOND):
                polling = ListPolling(
                    SimpleNamespace(randint=lambda first, last: last),
                    limits.watch_backoff_ns,
                    limits.max_watch_backoff_ns,
                    limits.list_call_timeout_ns,
                    limits.max_watch_wait_ns,
                    answered_before=answered_before,
                )
                waits = [polling.record_failure(retry_after) for _ in range(20)]
                assert connect_ns + max(waits) + ANSWER_NS <= RECEIVED_WITHIN_S * SECOND
                assert (
                    silence_ns + polling.record_failure(0, silence_ns) + connect_ns + ANSWER_NS
                    <= RECEIVED_WITHIN_S * SECOND
                )
                # after the timeout of a long silent call
                assert polling.record_failure(0, 50 * SECOND) + ANSWER_NS <= 2 * SECOND
                assert retry_after > limits.max_watch_wait_ns or min(waits) >= retry_after
