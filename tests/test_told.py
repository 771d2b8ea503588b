"""What discovery has counts as told 6 s after it could be reached, whatever calls failed before: a term of
the standing test, on real sockets. Bounds are the term's own; docs/crossings.md tells the rows."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest
from scenario import World

from zincstile.cold_start.list_polling import ListPolling
from zincstile.net.limits import MS, SECOND, Limits

TOLD_S = 6.0
ANSWER_NS = 500 * MS  # a call and its answer
LATE, LATE_AT_ONCE = "1108", "1"  # seeds whose second wait, and first, are drawn near the end of their span
FAILS = {  # how a call comes to nothing: what discovery says before it ends the connection
    "reset": None,
    "ended": b"",
    "turned away": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "told to come later": b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n",
    "half a list": b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{"index": 9, "snapsh',
}


def fleet(seed: str) -> dict:
    """Discovery is one service that has to be asked, by so many that spans of waits are long at once."""
    return {"settings": {"discovery": "on_request", "balancers": 200}, "seed": seed}


def told(world: World, watch: str) -> None:
    """A server drains while nothing is heard; from now on discovery can be reached. What it has is heeded."""
    began = time.monotonic()
    world.play(f"send {watch} change a=Terminating b=Ready\nwait gw tables=2")
    took = time.monotonic() - began
    world.play("send c1 look 1\nexpect b1 look 1")
    assert took < TOLD_S


@pytest.mark.parametrize(
    ("how", "asked"), [*((how, False) for how in FAILS), ("reset", True), ("told to come later", True)]
)
def test_a_change_is_heeded_6_s_after_calls_that_failed(tmp_path, how, asked):
    world = World(tmp_path, fleet(LATE) if asked else {})
    try:
        world.play("send d1 full a=Ready\nexpect gw ready*told\nreset d1\nexpect d2 asked")
        if FAILS[how] is None:
            world.reset("d2")
        else:
            world.line("d2").sock.sendall(FAILS[how])
            world.close("d2")
        told(world, "d3")
    finally:
        world.end()


def test_a_silent_watch_of_a_service_that_is_asked_is_opened_anew_in_6_s(tmp_path):
    """One clock for silence: it counts from the last that the watch said."""
    world = World(tmp_path, fleet(LATE_AT_ONCE))
    try:
        world.play("send d1 full a=Ready")
        told(world, "d2")
    finally:
        world.end()


@pytest.mark.parametrize("gateways", [1, 24, 90, 200, 1000])
def test_no_wait_before_a_call_is_too_long_for_what_counts_as_told(gateways):
    """The last moment of each span, after any number of failures, with and without a word on when to come
    again; with a dial that never came up before it, and an answer behind it."""
    for within in (0, 10 * SECOND):
        limits = Limits.for_gateway(384, 80, 100, 1, 1, 3 * SECOND, {}, gateways, within)
        dial, silence = limits.backoff_most_ns, limits.table_silence_ns
        for told_once in (False, True):
            for retry_after in (0, SECOND, 30 * SECOND):
                one = ListPolling(
                    SimpleNamespace(randint=lambda first, last: last),
                    limits.table_again_ns,
                    limits.table_again_most_ns,
                    limits.table_patience_ns,
                    limits.table_longest_ns,
                    answered_before=told_once,
                )
                waits = [one.failed(retry_after) for _ in range(20)]
                assert dial + max(waits) + ANSWER_NS <= TOLD_S * SECOND
                assert silence + one.failed(0, silence) + dial + ANSWER_NS <= TOLD_S * SECOND
                assert one.failed(0, 50 * SECOND) + ANSWER_NS <= 2 * SECOND  # a call that waited, and is over
                assert retry_after > limits.table_longest_ns or min(waits) >= retry_after
