"""Which connections and requests a gateway still accepts and answers after SIGTERM, over sockets."""

from __future__ import annotations

import time

from scenario import READY, GatewayHarness, run_scenario


def test_new_connections_are_accepted_for_a_while_after_sigterm(tmp_path):
    run_scenario(
        tmp_path,
        READY
        + """
        send gw TERM
        expect gw stop with 0 sessions
        send c1 look 1
        serve c1 look 1 a1 hello
        expect c1 end
        expect gw exit 0""",
        limits={"drain_quiet_ns": 2 * 10**9},
    )


def test_shutdown_waits_while_requests_come_but_not_beyond_the_drain_time(tmp_path):
    for limits in (
        {"drain_quiet_ns": 10**9, "drain_ns": 10**12, "drain_most_ns": 10**13},
        {"drain_quiet_ns": 10**12, "drain_ns": 15 * 10**8},
    ):
        tmp_path.mkdir(exist_ok=True)
        with GatewayHarness(tmp_path, {"limits": limits}) as harness:
            harness.run(READY + "send gw TERM\nexpect gw stop with 0 sessions")
            until, number = time.monotonic() + 1.2, 0
            while time.monotonic() < until:
                number += 1
                harness.run(
                    f"send c1 look {number} units=0.001\nexpect a1 look {number}\n"
                    "send a1 ok x\nexpect c1 ok x"
                )
            harness.run("expect c1 end\nexpect gw exit 0")


def test_requests_with_a_later_deadline_than_the_shutdown_fail_before_the_end(tmp_path):
    run_scenario(
        tmp_path,
        READY
        + """
        send c1 look 1 d=90000
        expect a1 look 1
        send gw TERM
        expect c1 -ERR failed
        expect c1 end
        expect gw exit 0""",
        limits={"drain_most_ns": 10**9, "drain_ns": 1},
    )
