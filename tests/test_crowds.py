"""Idle clients use up the descriptors while discovery is down; on real sockets.

RLIMIT_NOFILE is set to the configured number of descriptors, so that a part of the gateway that uses more
than its share leaves too few for the others.
"""

from __future__ import annotations

import os
import resource
import socket

import pytest
from scenario import FOREVER_NS, READY, TIMEOUT_S, GatewayHarness

from zincstile.net.limits import SECOND, Limits, Machine

DESCRIPTORS = 60  # of the process; clients, backends and all others have a share each
ANSWERED_FIRST_CALL = "send c1 look 1\nexpect a1 look 1\nsend a1 ok hello\nexpect c1 ok hello\n"
DISCOVERY_LOST = "refuse d\nclose d1\nexpect gw watch lost*\n"


class ClientGroup:
    """Clients that connect and send some input, whether or not they are accepted."""

    def __init__(self, harness: GatewayHarness, count: int, client_input: bytes) -> None:
        self.sockets = [socket.create_connection(harness.address, TIMEOUT_S) for _ in range(count)]
        for sock in self.sockets:
            sock.sendall(client_input)

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()


def start_with_few_descriptors(tmp_path, **limits: int) -> GatewayHarness:
    """Starts a gateway whose process can open only the configured number of descriptors."""
    harness = GatewayHarness(tmp_path, {"limits": {"sockets": DESCRIPTORS} | limits})
    resource.prlimit(harness.program.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    return harness


def count_descriptors(harness: GatewayHarness) -> int:
    return len(os.listdir(f"/proc/{harness.program.pid}/fd"))


def test_the_watch_is_reopened_while_clients_and_backends_use_all_their_descriptors(tmp_path):
    """Idle clients stay connected, more are queued, and no attempt is answered. The next request, on an open
    connection, goes to a backend of the new watch's list."""
    limits = Limits.for_gateway(Machine(DESCRIPTORS, 192, 20000, 1, 1, 30 * SECOND), {})
    harness = start_with_few_descriptors(tmp_path, newcomer_ns=FOREVER_NS, silent_ns=FOREVER_NS)
    group, request_ids = None, range(1, limits.backend_connections + 1)
    try:
        harness.run("send d1 full a=Ready b=Ready c=Ready\nexpect gw ready*from discovery\n" + DISCOVERY_LOST)
        harness.run(
            "".join(f"send c1 book {k}\n" for k in request_ids) + f"wait gw attempts={len(request_ids)}"
        )
        group = ClientGroup(harness, 2 * limits.frontend_connections, b"")
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
        assert count_descriptors(harness) <= DESCRIPTORS
    finally:
        if group:
            group.close()
        harness.tear_down()


@pytest.mark.parametrize(
    ("client_input", "count", "limits"),
    [
        ("", 200, {"silent_ns": FOREVER_NS}),
        (r"*1\r\n$4\r\nPING\r\n", 200, {"rest_ns": FOREVER_NS}),
        (r"*4\r\n", 30, {}),  # may become a request: its descriptor is not taken for 2.2 s
    ],
    ids=["silent", "one command", "part of a command"],
)
def test_a_new_client_is_served_after_many_idle_ones_while_discovery_is_down_and_later(
    tmp_path, client_input, count, limits
):
    """A new client sends a request after each group of idle clients; the second group is connected when
    discovery returns. No timeout frees descriptors of a group, except that of partial commands."""
    harness, groups = start_with_few_descriptors(tmp_path, **limits), []
    client_input = client_input.encode().decode("unicode_escape").encode()
    try:
        harness.run(READY + ANSWERED_FIRST_CALL + DISCOVERY_LOST)
        groups.append(ClientGroup(harness, count, client_input))
        harness.run("expect gw full*\nsend c2 look 2\nexpect a1 look 2\nsend a1 ok x\nexpect c2 ok x")
        groups.append(ClientGroup(harness, count, client_input))
        harness.run("""
            listen d
            send d2 change a=Terminating b=Ready
            wait gw tables=2
            send c3 look 3
            expect b1 look 3
            send b1 ok x
            expect c3 ok x
            wait gw faults=0""")
        assert count_descriptors(harness) <= DESCRIPTORS
    finally:
        for group in groups:
            group.close()
        harness.tear_down()
