"""Polling of a list service that can't collapse: no timeout while it works, random backoff, bounded calls."""

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
        limits.table_again_ns,
        limits.table_again_most_ns,
        limits.table_patience_ns,
        limits.table_longest_ns,
    )


@pytest.mark.parametrize("gateways", [1, 24, 200, 1000])
def test_a_fleet_that_fails_makes_no_more_calls_than_are_stated_whatever_its_size(gateways):
    calls = []
    for number in range(gateways):
        one, now = polling(number, gateways), 0
        while now < 20 * SECOND:
            now += one.record_failure()
            calls.append(now)
    calls.sort()
    first = sum(at < SECOND for at in calls)
    # 2 / `again` for each, and `again` grows with them; but all have called when the longest wait is over
    longest = Limits().table_longest_ns
    assert first <= max(60 + gateways * 50 * MS / SECOND, 1.15 * gateways * SECOND / longest)
    assert sum(10 * SECOND <= at < 20 * SECOND for at in calls) / 10 <= max(25, gateways / 4)
    assert len(set(calls)) > 0.99 * len(calls)


def test_the_timeout_follows_what_the_service_needs_and_retry_after_is_kept():
    one = polling(1, 200)
    assert (
        one.timeout_ns() == 50 * SECOND
        and one.keeps_waiting(49 * SECOND)
        and not one.keeps_waiting(50 * SECOND)
    )
    assert one.timeout_ns() == 100 * SECOND
    one.record_answer(20 * SECOND)
    assert one.timeout_ns() == 80 * SECOND and one.failures == one.timeouts == 0
    assert all(one.record_failure(2 * SECOND) >= 2 * SECOND for _ in range(50))
    lone = polling(1, 1)
    assert lone.timeout_ns() == 2600 * MS and lone.record_failure() <= 50 * MS


def test_retry_after_is_read_where_it_gives_seconds():
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
    ("wave", "manners"),
    [
        ("all", ListServiceBehaviour(6.0)),
        ("seven-in-ten", ListServiceBehaviour(12.0, slows_after_calls=10)),
        ("all", ListServiceBehaviour(40.0, resets_every=3, truncates_every=7)),
        ("all", ListServiceBehaviour(40.0, queue_capacity=4)),
    ],
    ids=["slow", "slower", "resets and halves", "turned away"],
)
def test_a_fleet_of_real_processes_gets_ready_with_a_slow_service(wave, manners, tmp_path):
    """24 of them; one whole list each, and calls beyond that only where the service itself breaks them."""
    waves = ["all", wave] if wave != "all" else [wave]
    plan = Plan(seed=3, gateways=24, boxes=24, requests=0, asked=True)
    row = start.play(plan, tmp_path, manners, waves, 40.0)[-1]
    broken = manners.resets_every or manners.queue_capacity < 100
    assert row.ready == row.gateways and row.for_the_left <= (row.gateways if broken else 0)
    assert row.calls_each <= (8 if broken else 1.2), row
    assert row.times < (20 if broken else 2.5), row
