"""Polling of the list service: no timeout while it is working, random backoff, bounded rate of calls."""

from __future__ import annotations

import random

import pytest
from endpoint_lists import limits_in_fleet

from zincstile.cold_start.list_polling import ListPolling
from zincstile.emulators.list_service import ListServiceBehaviour
from zincstile.net import http
from zincstile.net.limits import MS, SECOND, Limits
from zincstile.simulation.plan import Plan
from zincstile.testbed import start


def polling(number, gateways):
    limits = limits_in_fleet(gateways, 10 * SECOND)
    return ListPolling(
        random.Random(number),
        limits.watch_backoff_ns,
        limits.max_watch_backoff_ns,
        limits.list_call_timeout_ns,
        limits.max_watch_wait_ns,
    )


@pytest.mark.parametrize("gateways", [1, 24, 200, 1000])
def test_the_rate_of_failed_calls_of_a_fleet_is_bounded_for_any_size(gateways):
    calls = []
    for number in range(gateways):
        gateway_polling, now = polling(number, gateways), 0
        while now < 20 * SECOND:
            now += gateway_polling.record_failure()
            calls.append(now)
    calls.sort()
    calls_in_first_second = sum(at < SECOND for at in calls)
    # Each gateway calls 2 / backoff times a second, and the backoff grows with the number of gateways.
    # But all of them have called by the end of the longest wait.
    longest_wait_ns = Limits().max_watch_wait_ns
    assert calls_in_first_second <= max(
        60 + gateways * 50 * MS / SECOND, 1.15 * gateways * SECOND / longest_wait_ns
    )
    assert sum(10 * SECOND <= at < 20 * SECOND for at in calls) / 10 <= max(25, gateways / 4)
    assert len(set(calls)) > 0.99 * len(calls)


def test_the_timeout_follows_the_response_time_and_retry_after_is_respected():
    fleet_polling = polling(1, 200)
    assert (
        fleet_polling.timeout_ns() == 50 * SECOND
        and fleet_polling.keeps_waiting(49 * SECOND)
        and not fleet_polling.keeps_waiting(50 * SECOND)
    )
    assert fleet_polling.timeout_ns() == 100 * SECOND
    fleet_polling.record_answer(20 * SECOND)
    assert fleet_polling.timeout_ns() == 80 * SECOND and fleet_polling.failures == fleet_polling.timeouts == 0
    assert all(fleet_polling.record_failure(2 * SECOND) >= 2 * SECOND for _ in range(50))
    single_polling = polling(1, 1)
    assert single_polling.timeout_ns() == 2600 * MS and single_polling.record_failure() <= 50 * MS


def test_retry_after_is_parsed_if_it_is_in_seconds_and_in_range():
    for text, seconds in (
        (b"Retry-After: 3\r\n", 3),
        (b"retry-after: soon\r\n", 0),
        (b"", 0),
        (b"Retry-After: 99999\r\n", 0),
    ):
        reader = http.LineReader(Limits())
        reader.feed(b"HTTP/1.1 503 Service Unavailable\r\n" + text + b"Content-Length: 0\r\n\r\n")
        assert reader.done and reader.status == 503 and reader.retry_after_s == seconds


@pytest.mark.parametrize(
    ("wave", "behaviour"),
    [
        ("all", ListServiceBehaviour(6.0)),
        ("seven-in-ten", ListServiceBehaviour(12.0, slows_after_calls=10)),
        ("all", ListServiceBehaviour(40.0, resets_every=3, truncates_every=7)),
        ("all", ListServiceBehaviour(40.0, queue_capacity=4)),
    ],
    ids=["slow", "slower", "resets and truncated lists", "rejected calls"],
)
def test_a_fleet_of_real_processes_gets_ready_with_a_slow_or_failing_service(wave, behaviour, tmp_path):
    """24 processes. Each gets one full list; more calls are only made if the service breaks some."""
    waves = ["all", wave] if wave != "all" else [wave]
    plan = Plan(seed=3, gateways=24, boxes=24, requests=0, asked=True)
    row = start.play(plan, tmp_path, behaviour, waves, 40.0)[-1]
    breaks_calls = behaviour.resets_every or behaviour.queue_capacity < 100
    assert row.ready == row.gateways and row.for_the_left <= (row.gateways if breaks_calls else 0)
    assert row.calls_each <= (8 if breaks_calls else 1.2), row
    assert row.times < (20 if breaks_calls else 2.5), row
