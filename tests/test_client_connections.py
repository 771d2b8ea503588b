"""Client connections over sockets: idle ones, slow ones, and more of them than descriptors."""

from __future__ import annotations

import pytest
from scenario import ANSWERED_CALL, PING, READY, GatewayHarness, call_command, encode_command, run_scenario


@pytest.mark.parametrize(("asks", "gone"), [("raw", "c30"), (PING, "c10")], ids=["silent", "asked once"])
def test_resting_clients_make_room_for_new_ones(tmp_path, asks, gone):
    """26 of 60 descriptors are for clients; c1 to c8 asked twice, c10 to c18 once, then comes a crowd."""

    def ask(numbers, what=PING):
        pong = "expect c{} +PONG\n" if what == PING else ""
        return "".join(f"send c{k} {what}\n" + pong.format(k) for k in numbers)

    often = ask(range(1, 9))
    limits = {"sockets": 60, "spare_ns": 10**12, "newcomer_ns": 1, "silent_ns": 10**12, "rest_ns": 10**12}
    run_scenario(
        tmp_path,
        READY
        + often * 2
        + ask(range(10, 19))
        + ask(range(30, 80), asks)
        + f"expect {gone} end\n"
        + ANSWERED_CALL
        + often,
        limits=limits,
    )


def test_a_command_that_is_begun_and_never_ended_is_dropped(tmp_path):
    run_scenario(
        tmp_path,
        READY + "send c1 raw *4\\r\\n\nexpect c1 -ERR*\nexpect c1 end\n" + ANSWERED_CALL,
        limits={"silent_ns": 10**8, "tend_ns": 10**8},
    )


@pytest.mark.parametrize(
    ("asked", "limit"), [("send c1 raw", "silent_ns"), (f"send c1 {PING}\nexpect c1 +PONG", "rest_ns")]
)
def test_a_client_that_says_nothing_or_no_more_is_closed(tmp_path, asked, limit):
    run_scenario(
        tmp_path, READY + asked + "\nexpect c1 end\n" + ANSWERED_CALL, limits={limit: 10**8, "tend_ns": 10**8}
    )


def test_a_client_that_has_asked_may_take_longer_for_a_command(tmp_path):
    """Its connection outlives the time by which a new one has to ask; the silent c2 tells when that is."""
    begun = f"send c1 {PING}\nexpect c1 +PONG\nsend c1 raw *1\\r\\n\n"
    limits = {"silent_ns": 10**8, "command_ns": 10**12, "tend_ns": 10**8}
    run_scenario(
        tmp_path,
        READY + begun + "send c2 raw\nexpect c2 end\n" r"send c1 raw $4\r\nPING\r\n" + "\nexpect c1 +PONG",
        limits=limits,
    )
    run_scenario(
        tmp_path / "b",
        READY + begun + "expect c1 -ERR*\nexpect c1 end",
        limits=limits | {"command_ns": 10**8},
    )


def test_a_client_with_much_unanswered_is_read_no_further(tmp_path):
    with GatewayHarness(tmp_path, {"limits": {"pipelined": 2, "read_bytes": 512}}) as harness:
        calls = "".join(encode_command(call_command("look", k)).decode() for k in range(1, 41))
        harness.run(READY)
        harness.send("c1", "raw", calls)
        while harness.counters()["requests"] < 3:
            pass
        harness.run(f"send c2 {PING}\nexpect c2 +PONG")
        assert harness.counters()["requests"] <= 6


def test_more_clients_than_descriptors_wait_their_turn(tmp_path):
    """26 of 60 descriptors are for clients: with a command begun on each, the others have to wait."""
    asks = "".join(f"send c{k} raw *4\\r\\n\n" for k in range(10, 40))
    run_scenario(
        tmp_path,
        READY + asks + "wait gw clients=26\nclose c10\nclose c11\nwait gw clients=28\n",
        limits={"sockets": 60, "command_ns": 10**12},
    )
