"""Idle clients fill the descriptors while discovery is down: a term of the standing test, on real sockets.

The system itself grants no more descriptors than the configuration names, so that what a part takes beyond
its own is missing elsewhere.
"""

from __future__ import annotations

import os
import resource
import socket

import pytest
from scenario import FOREVER_NS, READY, TIMEOUT_S, GatewayHarness

from zincstile.net.limits import SECOND, Limits, Machine

DESCRIPTORS = 60  # of a process: clients, backend servers and the rest have a part each
ASKED = "send c1 look 1\nexpect a1 look 1\nsend a1 ok hello\nexpect c1 ok hello\n"
DOWN = "refuse d\nclose d1\nexpect gw watch lost*\n"


class Crowd:
    """Clients that connect and say this much, whether or not they are taken."""

    def __init__(self, harness: GatewayHarness, count: int, said: bytes) -> None:
        self.sockets = [socket.create_connection(harness.address, TIMEOUT_S) for _ in range(count)]
        for sock in self.sockets:
            sock.sendall(said)

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()


def narrow(tmp_path, **limits: int) -> GatewayHarness:
    """Its process can hold no descriptor beyond those that it is told of."""
    harness = GatewayHarness(tmp_path, {"limits": {"sockets": DESCRIPTORS} | limits})
    resource.prlimit(harness.program.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    return harness


def held(harness: GatewayHarness) -> int:
    return len(os.listdir(f"/proc/{harness.program.pid}/fd"))


def test_the_watch_comes_back_while_clients_and_backend_servers_hold_every_place(tmp_path):
    """Idle clients that never go, with more that wait, and attempts that are not answered. What the new watch
    tells holds for who asks next, on a connection that it has."""
    parts = Limits.for_gateway(Machine(DESCRIPTORS, 192, 20000, 1, 1, 30 * SECOND), {})
    harness = narrow(tmp_path, newcomer_ns=FOREVER_NS, silent_ns=FOREVER_NS)
    crowd, out = None, range(1, parts.backend_connections + 1)
    try:
        harness.run("send d1 full a=Ready b=Ready c=Ready\nexpect gw ready*from discovery\n" + DOWN)
        harness.run("".join(f"send c1 book {k}\n" for k in out) + f"wait gw attempts={len(out)}")
        crowd = Crowd(harness, 2 * parts.frontend_connections, b"")
        harness.run("""
            expect gw full * client connections*
            listen d
            send d2 change a=Terminating b=Terminating c=Terminating e=Ready
            wait gw tables=2
            open a1
            send a1 ok x
            wait gw ok=1
            send c1 book 99
            expect e1 book 99
            wait gw faults=0""")
        assert held(harness) <= DESCRIPTORS
    finally:
        if crowd:
            crowd.close()
        harness.tear_down()


@pytest.mark.parametrize(
    ("said", "count", "limits"),
    [
        ("", 200, {"silent_ns": FOREVER_NS}),
        (r"*1\r\n$4\r\nPING\r\n", 200, {"rest_ns": FOREVER_NS}),
        (r"*4\r\n", 30, {}),  # it may be a request: its place is its own for 2.2 s
    ],
    ids=["silent", "asked once", "half a command"],
)
def test_who_asks_is_admitted_behind_a_crowd_while_discovery_is_down_and_after(tmp_path, said, count, limits):
    """Behind each crowd comes one that asks, on a connection of its own; the second crowd is there when
    discovery returns. No time alone makes room where a crowd has begun nothing."""
    harness, crowds = narrow(tmp_path, **limits), []
    said = said.encode().decode("unicode_escape").encode()
    try:
        harness.run(READY + ASKED + DOWN)
        crowds.append(Crowd(harness, count, said))
        harness.run("expect gw full*\nsend c2 look 2\nexpect a1 look 2\nsend a1 ok x\nexpect c2 ok x")
        crowds.append(Crowd(harness, count, said))
        harness.run("""
            listen d
            send d2 change a=Terminating b=Ready
            wait gw tables=2
            send c3 look 3
            expect b1 look 3
            send b1 ok x
            expect c3 ok x
            wait gw faults=0""")
        assert held(harness) <= DESCRIPTORS
    finally:
        for crowd in crowds:
            crowd.close()
        harness.tear_down()
