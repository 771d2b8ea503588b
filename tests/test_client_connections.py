"""Client connections over sockets: idle timeouts, slow commands, and more clients than descriptors."""

from __future__ import annotations

import re
import time

import pytest
from scenario import ANSWERED_CALL, PING, READY, GatewayHarness, call_command, encode_command, run_scenario


@pytest.mark.parametrize(
    ("client_input", "evicted_client"), [("raw", "c30"), (PING, "c10")], ids=["silent", "one command"]
)
def test_idle_clients_are_evicted_for_new_ones(tmp_path, client_input, evicted_client):
    """26 of 60 descriptors are for clients; c1 to c8 send two commands, c10 to c18 one, then 50 connect."""

    def send(numbers, command=PING):
        pong = "expect c{} +PONG\n" if command == PING else ""
        return "".join(f"send c{k} {command}\n" + pong.format(k) for k in numbers)

    two_command_clients = send(range(1, 9))
    limits = {"sockets": 60, "spare_ns": 10**12, "newcomer_ns": 1, "silent_ns": 10**12, "rest_ns": 10**12}
    run_scenario(
        tmp_path,
        READY
        + two_command_clients * 2
        + send(range(10, 19))
        + send(range(30, 80), client_input)
        + f"expect {evicted_client} end\n"
        + ANSWERED_CALL
        + two_command_clients,
        limits=limits,
    )


def test_an_incomplete_command_is_answered_with_an_error_and_closed(tmp_path):
    run_scenario(
        tmp_path,
        READY + "send c1 raw *4\\r\\n\nexpect c1 -ERR*\nexpect c1 end\n" + ANSWERED_CALL,
        limits={"silent_ns": 10**8, "tend_ns": 10**8},
    )


@pytest.mark.parametrize(
    ("client_input", "limit"), [("send c1 raw", "silent_ns"), (f"send c1 {PING}\nexpect c1 +PONG", "rest_ns")]
)
def test_a_silent_or_idle_client_is_closed_after_its_timeout(tmp_path, client_input, limit):
    run_scenario(
        tmp_path,
        READY + client_input + "\nexpect c1 end\n" + ANSWERED_CALL,
        limits={limit: 10**8, "tend_ns": 10**8},
    )


def test_after_a_first_command_the_next_may_take_longer_than_the_timeout_for_silence(tmp_path):
    """c1 stays open past the timeout for connections without a command; the close of c2 shows its end."""
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


def test_reading_pauses_for_a_client_with_many_unanswered_requests(tmp_path):
    with GatewayHarness(tmp_path, {"limits": {"pipelined": 2, "read_bytes": 512}}) as harness:
        calls = "".join(encode_command(call_command("look", k)).decode() for k in range(1, 41))
        harness.run(READY)
        harness.send("c1", "raw", calls)
        while harness.counters()["requests"] < 3:
            pass
        harness.run(f"send c2 {PING}\nexpect c2 +PONG")
        assert harness.counters()["requests"] <= 6


def test_clients_beyond_the_descriptors_wait_until_others_close(tmp_path):
    """26 of 60 descriptors are for clients; none is evicted, as each has sent part of a command."""
    client_input = "".join(f"send c{k} raw *4\\r\\n\n" for k in range(10, 40))
    run_scenario(
        tmp_path,
        READY + client_input + "wait gw clients=26\nclose c10\nclose c11\nwait gw clients=28\n",
        limits={"sockets": 60, "command_ns": 10**12},
    )


@pytest.mark.parametrize("answers_apart_s", [0.0, 0.02])
def test_commands_that_waited_unread_are_forwarded_with_what_is_left_of_their_time(tmp_path, answers_apart_s):
    """Guards against giving all of them the age of the last one, when reading was paused for long.

    If the gateway reads the first answer before the second is written, it forwards the waiting commands while
    the second connection is still busy; so they may come on any connection.
    """
    pause_s, timeout_ms = 0.6, 20_000
    with GatewayHarness(tmp_path, {"limits": {"pipelined": 1}}) as harness:
        harness.run(
            READY + "send c1 look 1\nsend c1 look 2\nexpect a1 look *\nexpect a2 look *\nsend c1 look 3"
        )
        time.sleep(pause_s)
        harness.run("send c1 look 4\nsend a1 ok same")
        time.sleep(answers_apart_s)
        harness.run("send a2 ok same\nexpect c1 ok same\nexpect c1 ok same")
        forwarded = harness.read_next_calls("a", count=2)
        told_ms = {
            int(words[2], 16): int(re.search(rb"(?:^|,)d=(\d+)", words[3]).group(1)) for words in forwarded
        }
        assert told_ms[3] <= timeout_ms - 1000 * pause_s, told_ms
        assert timeout_ms - 1000 * pause_s / 2 < told_ms[4] <= timeout_ms, told_ms
