"""A client that has gone is not sent on, wherever its request waits: bursts of leavers on real sockets.

Terms of the standing test: no attempt, first or further, begins later than 0.1 s after the close. Held here
is more, that none begins at all once the end of its client lies there; docs/crossings.md tells the rows.
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

BURST = range(1, 21)
GATEWAYS = 7  # a set of so many is wide: its relay is asked
UNITS = 2.0  # of plan `small`, whose stores never hold so much: nothing goes out but by a grant
GONE = ("abandoned", "rejected")


def each(line: str) -> str:
    return "".join(line.format(k) + "\n" for k in BURST)


class Relays:
    """The other gateways of a wide set, which answer when told to."""

    def __init__(self) -> None:
        self.sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(GATEWAYS - 1)]
        for sock in self.sockets:
            sock.bind((LOOPBACK_ADDRESS, 0))
            sock.setblocking(False)

    def asks(self) -> list[tuple[socket.socket, CustomerUsage]]:
        """What has been asked since, and of whom."""
        found = []
        for sock in self.sockets:
            try:
                while True:
                    message = gossip_codec.decode_gossip(0, sock.recv(4096))
                    found += [(sock, share) for share in message.usages if share.requested_units > 0]
            except BlockingIOError:
                pass
        return found

    def asked_by(self, customers: set[int]) -> list[tuple[socket.socket, CustomerUsage]]:
        """One ask of each of them."""
        found, end = {}, time.monotonic() + TIMEOUT_S
        while len(found) < len(customers):
            assert time.monotonic() < end, "no relay was asked"
            found |= {share.customer: (sock, share) for sock, share in self.asks()}
        return list(found.values())

    def grant(self, harness: GatewayHarness, sock: socket.socket, ask: CustomerUsage) -> None:
        share = CustomerUsage(ask.customer, ask.plan, 0.0, 0.0, 0, ask.requested_units, ask.query_id, True)
        for message in gossip_codec.encode_gossip(SendGossip(0, 5, [share])):
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


def customers(burst: int, count: int) -> list[int]:
    """Some of whom this gateway, the first of the set, is not the relay itself."""
    numbers = itertools.count(100 * burst)
    return list(itertools.islice((n for n in numbers if hash_id(n) % GATEWAYS), count))


def ask(harness: GatewayHarness, client: str, customer: int) -> None:
    """A request that its gateway may only send on by a relay's grant."""
    words = call_command("look", customer, "t=small", f"units={UNITS:g}", f"spread={GATEWAYS}")
    words[1] = f"{customer:016x}"
    harness.connection(client).sock.sendall(encode_command(words))


def test_a_request_is_sent_on_once_its_relay_grants_it(relayed):
    """The other side of the next test: a grant counts, for who stays. Asked again where it came too late."""
    harness, relays = relayed
    for customer in customers(1, 100):
        before = harness.counters()
        ask(harness, "c1", customer)
        relays.grant(harness, *relays.asked_by({customer})[0])
        if settled(harness, before, ("attempts", "rejected"), 1)["attempts"]:
            break
        harness.run("expect c1 -BUSY*")
    assert harness.connection("a1").read_message()[2] == b"%016x" % customer


@pytest.mark.parametrize("order", ["gone, then granted", "granted behind its end", "granted before its end"])
def test_a_burst_of_clients_that_leave_while_a_relay_is_asked_is_not_sent_on(relayed, order):
    """All wait in the policy for the relay, and leave; then each is granted, or both come in one batch.
    A burst that the policy gave up waiting for in between proves nothing, and is asked again."""
    harness, relays = relayed
    for burst in range(1, 100):
        before = harness.counters()
        chosen = customers(burst, len(BURST))
        clients = [f"c{customer}" for customer in chosen]
        for client, customer in zip(clients, chosen, strict=True):
            ask(harness, client, customer)
        asked = relays.asked_by(set(chosen))
        steps = [
            lambda clients=clients: [harness.close(client) for client in clients],
            lambda asked=asked: [relays.grant(harness, *one) for one in asked],
        ]
        if order == "gone, then granted":
            steps[0]()
            settled(harness, before, GONE, len(BURST))
            steps[1]()
        else:
            harness.run("freeze gw")
            for step in steps if order == "granted behind its end" else reversed(steps):
                step()
            harness.run("thaw gw")
        found = settled(harness, before, GONE, len(BURST))
        settled(harness, before, ("messages_in",), len(BURST))
        assert harness.counters()["attempts"] == 0
        if found["abandoned"] - before["abandoned"] == len(BURST):
            return
    raise AssertionError("no burst left while its relay was asked")


def settled(
    harness: GatewayHarness, before: dict[str, int], names: tuple[str, ...], count: int
) -> dict[str, int]:
    """The counters once these have grown by so much together."""
    end = time.monotonic() + TIMEOUT_S
    while sum((found := harness.counters())[name] - before[name] for name in names) < count:
        assert time.monotonic() < end, found
    return found


# ---- a further attempt


@pytest.mark.parametrize("cancel", [True, False])
def test_a_burst_of_clients_that_leave_while_further_attempts_wait_is_not_sent_on(tmp_path, cancel):
    """The first attempts are withdrawn from a server that drains, and the further ones wait for connections
    to the next, which come up once the clients have left."""
    classes = [c | {"aim_ns": FOREVER_NS, "deadline_ns": FOREVER_NS} for c in settings()["classes"]]
    limits = NO_CONNECT_TIMEOUT | {"cancel": cancel}
    run_scenario(
        tmp_path,
        READY
        + "fill_backlog a\nfill_backlog b\n"
        + each("send c{0} look {0} d=900000")
        + f"wait gw connects={len(BURST)}\n"
        + f"send d1 change a=Terminating b=Ready\nwait gw connects={2 * len(BURST)}\n"
        + each("close c{0}")
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
def test_a_further_attempt_that_becomes_due_as_its_client_ends_is_not_made(tmp_path, order):
    """In one batch: the attempt before breaks, its client ends, and a connection rests at the next server."""
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


def test_no_second_copy_is_made_for_a_client_that_has_left(tmp_path):
    """Who asked later, and stayed, gets one: its time came after that of the one that left."""
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
