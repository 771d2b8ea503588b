"""Requests of disconnected clients are not forwarded, wherever they wait. Uses bursts of real connections.

The requirement is that no attempt, first or further, begins later than 0.1 s after the client's close. These
tests are stricter: no attempt begins once the gateway could read the end of the connection. docs/crossings.md
explains the cases.
"""

from __future__ import annotations

import itertools
import socket
import time

import pytest
from scenario import (
    FOREVER_NS,
    LOOPBACK_ADDRESS,
    NO_CONNECT_TIMEOUT,
    READY,
    TIMEOUT_S,
    GatewayHarness,
    address_of,
    call_command,
    encode_command,
    run_scenario,
    settings,
)

from zincstile.decisions.messages import CustomerUsage, SendGossip
from zincstile.decisions.records import hash_id
from zincstile.simulator import gossip_codec

BURST = range(1, 21)  # the numbers of the clients of a burst
GATEWAYS = 7  # with this many the set is wide and uses a relay
UNITS = 2.0  # more than a bucket of plan `small` holds: only a grant admits the request
END_COUNTERS = ("abandoned", "rejected")


def for_each_client(line: str) -> str:
    return "".join(line.format(k) + "\n" for k in BURST)


class Relays:
    """The other gateways of a wide set; a test tells them when to answer."""

    def __init__(self) -> None:
        self.sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(GATEWAYS - 1)]
        for sock in self.sockets:
            sock.bind((LOOPBACK_ADDRESS, 0))
            sock.setblocking(False)

    def received_queries(self) -> list[tuple[socket.socket, CustomerUsage]]:
        """Returns the queries received since the last call, each with the socket of its relay."""
        queries = []
        for sock in self.sockets:
            try:
                while True:
                    message = gossip_codec.decode_gossip(0, sock.recv(4096))
                    queries += [(sock, usage) for usage in message.usages if usage.requested_units > 0]
            except BlockingIOError:
                pass
        return queries

    def wait_for_queries(self, customers: set[int]) -> list[tuple[socket.socket, CustomerUsage]]:
        """Waits for a query for each of the customers."""
        query_by_customer, end = {}, time.monotonic() + TIMEOUT_S
        while len(query_by_customer) < len(customers):
            assert time.monotonic() < end, "no relay received a query"
            query_by_customer |= {usage.customer: (sock, usage) for sock, usage in self.received_queries()}
        return list(query_by_customer.values())

    def grant(self, harness: GatewayHarness, sock: socket.socket, query: CustomerUsage) -> None:
        usage = CustomerUsage(
            query.customer,
            query.plan,
            0.0,
            0.0,
            0,
            query.requested_units,
            query.query_id,
            True,
        )
        for message in gossip_codec.encode_gossip(SendGossip(0, 5, [usage])):
            sock.sendto(message, harness.peer_address)


@pytest.fixture
def relayed(tmp_path):
    relays = Relays()
    peers = [f"{LOOPBACK_ADDRESS}:1", *map(address_of, relays.sockets)]
    harness = GatewayHarness(tmp_path, {"peers": peers, "settings": {"balancers": GATEWAYS}})
    harness.run(READY)
    yield harness, relays
    harness.tear_down()
    for sock in relays.sockets:
        sock.close()


def customers_with_remote_relay(burst: int, count: int) -> list[int]:
    """Returns customers whose relay is another gateway than this one, the first of the set."""
    numbers = itertools.count(100 * burst)
    return list(itertools.islice((n for n in numbers if hash_id(n) % GATEWAYS), count))


def send_request(harness: GatewayHarness, client: str, customer: int) -> None:
    """Sends a request that the gateway may forward only after a relay's grant."""
    words = call_command("look", customer, "t=small", f"units={UNITS:g}", f"spread={GATEWAYS}")
    words[1] = f"{customer:016x}"
    harness.connection(client).sock.sendall(encode_command(words))


def test_a_request_is_forwarded_once_its_relay_grants_it(relayed):
    """Counterpart of the next test: a grant leads to an attempt if the client stays.

    Repeated with another customer if the grant arrived too late.
    """
    harness, relays = relayed
    for customer in customers_with_remote_relay(1, 100):
        before = harness.counters()
        send_request(harness, "c1", customer)
        relays.grant(harness, *relays.wait_for_queries({customer})[0])
        if wait_for_counters(harness, before, ("attempts", "rejected"), 1)["attempts"]:
            break
        harness.run("expect c1 -BUSY*")
    assert harness.connection("a1").read_message()[2] == b"%016x" % customer


@pytest.mark.parametrize("order", ["grant later", "disconnect before grant", "grant before disconnect"])
def test_requests_of_clients_that_disconnect_during_a_relay_query_are_not_forwarded(relayed, order):
    """All requests wait for the relay when their clients disconnect.

    The grants follow later, or grants and disconnects arrive in one batch. A burst for which the policy
    stopped waiting before the disconnects proves nothing and is repeated.
    """
    harness, relays = relayed
    for burst in range(1, 100):
        before = harness.counters()
        burst_customers = customers_with_remote_relay(burst, len(BURST))
        clients = [f"c{customer}" for customer in burst_customers]
        for client, customer in zip(clients, burst_customers, strict=True):
            send_request(harness, client, customer)
        queries = relays.wait_for_queries(set(burst_customers))
        steps = [
            lambda clients=clients: [harness.close(client) for client in clients],
            lambda queries=queries: [relays.grant(harness, *one) for one in queries],
        ]
        if order == "grant later":
            steps[0]()
            wait_for_counters(harness, before, END_COUNTERS, len(BURST))
            steps[1]()
        else:
            harness.run("freeze gw")
            for step in steps if order == "disconnect before grant" else reversed(steps):
                step()
            harness.run("thaw gw")
        counters = wait_for_counters(harness, before, END_COUNTERS, len(BURST))
        wait_for_counters(harness, before, ("messages_in",), len(BURST))
        assert harness.counters()["attempts"] == 0
        if counters["abandoned"] - before["abandoned"] == len(BURST):
            return
    raise AssertionError("in no burst all clients disconnected during the relay query")


def wait_for_counters(
    harness: GatewayHarness, before: dict[str, int], names: tuple[str, ...], count: int
) -> dict[str, int]:
    """Returns the counters once the named ones have grown by `count` in total."""
    end = time.monotonic() + TIMEOUT_S
    while sum((counters := harness.counters())[name] - before[name] for name in names) < count:
        assert time.monotonic() < end, counters
    return counters


# ---- further attempts


@pytest.mark.parametrize("cancel", [True, False])
def test_retries_that_wait_for_connections_are_not_sent_after_clients_disconnect(tmp_path, cancel):
    """The first attempts are cancelled as their server drains. The retries wait for connections to the next
    server, which accepts them only after the clients have disconnected."""
    classes = [c | {"aim_ns": FOREVER_NS, "deadline_ns": FOREVER_NS} for c in settings()["classes"]]
    limits = NO_CONNECT_TIMEOUT | {"cancel": cancel}
    run_scenario(
        tmp_path,
        READY
        + "fill_backlog a\nfill_backlog b\n"
        + for_each_client("send c{0} look {0} d=900000")
        + f"wait gw connects={len(BURST)}\n"
        + f"send d1 change a=Terminating b=Ready\nwait gw connects={2 * len(BURST)}\n"
        + for_each_client("close c{0}")
        + f"""
        wait gw abandoned={len(BURST)}
        clear_backlog b
        open b1
        wait gw attempts=0
        send gw TERM
        expect gw exit 0
        expect b1 end""",
        settings={"limits": limits, "classes": classes, "balancers": 1},
    )


@pytest.mark.parametrize("order", [0, 1])
def test_a_retry_that_becomes_due_as_its_client_disconnects_is_not_sent(tmp_path, order):
    """In one batch, the first attempt is reset and its client disconnects.

    A connection to the next server is idle, so that the retry could be sent at once.
    """
    both = ["reset a1", "close c1"]
    run_scenario(
        tmp_path,
        READY
        + f"""
        send c1 look 1
        expect a1 look 1
        send d1 change a=Terminating b=Ready
        wait gw tables=2
        send c2 look 2
        serve c2 look 2 b1 hello
        freeze gw
        {both[order]}
        {both[1 - order]}
        thaw gw
        wait gw abandoned=1
        send c2 look 3
        serve c2 look 3 b1 still
        wait gw attempts=3""",
    )


def test_no_hedged_request_is_sent_for_a_client_that_has_disconnected(tmp_path):
    """The later request, whose client stays, is hedged; so the first one would have been hedged before."""
    run_scenario(
        tmp_path,
        READY
        + """
        send c1 look 1
        expect a1 look 1
        send c2 look 2
        expect a2 look 2
        send d1 change b=Ready
        wait gw tables=2
        close c1
        wait gw abandoned=1
        expect b1 look 2
        wait gw attempts=3""",
    )
