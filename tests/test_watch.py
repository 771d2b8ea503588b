"""Truncated, malformed and fragmented endpoint lists and watches on real sockets: see docs/crossings.md."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from types import SimpleNamespace

import pytest
from scenario import TIMEOUT_S, GatewayHarness, settings
from test_scenarios import READY, run_scenario

from zincstile.net.counters import Counters
from zincstile.net.discovery.reader import EndpointReader
from zincstile.net.discovery.table import EndpointTable
from zincstile.net.discovery.watcher import EndpointWatcher
from zincstile.net.dispatcher import Dispatcher
from zincstile.net.host import HOST
from zincstile.net.limits import MS, Limits
from zincstile.net.log import Log

NEVER_NS = 10**12


def chunk(text):
    data = text.encode()
    return (b"%x\r\n%b\r\n" % (len(data), data)).decode()


def test_indented_fragmented_and_concatenated_lists_are_parsed(tmp_path):
    harness = GatewayHarness(tmp_path)
    try:
        line = harness.connection("d1")
        harness.run("expect d1 request")
        first = json.dumps(
            {"index": 1, "snapshot": True, "endpoints": [harness.endpoint_entry("a=Ready")]}, indent=2
        )
        second = json.dumps(
            {"index": 2, "snapshot": False, "endpoints": [harness.endpoint_entry("b=Ready")]}, indent=4
        )
        third = json.dumps(
            {"index": 3, "snapshot": False, "endpoints": [harness.endpoint_entry("a=Terminating")]}
        )
        line.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for part in [first[:40], first[40:], "\n\n", second + "\n" + third, "\n"]:
            line.sock.sendall(chunk(part).encode())
        harness.run("""
            wait gw tables=3
            send c1 look 1
            expect b1 look 1
            send b1 ok hello
            expect c1 ok hello
            wait gw watches=1""")
    finally:
        harness.tear_down()


def test_a_complete_list_of_32000_endpoints_in_one_line_is_accepted(tmp_path):
    """4.6 MB, as discovery writes it. An earlier limit of 4 MiB per line rejected it."""
    entries = [
        {
            "name": f"s-{number:08x}",
            "address": f"127.0.{number >> 8}.{number & 255}:6379",
            "zone": "abcde"[number % 5],
            "type": f"m{number % 920}",
            "group": number % 64,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": 1_790_000_000_000 + number,
        }
        for number in range(32_000)
    ]
    table = json.dumps({"index": 1, "snapshot": True, "endpoints": entries}) + "\n"
    assert len(table) > 4 << 20
    harness = GatewayHarness(tmp_path, {"limits": {"memory_mb": 64}})
    try:
        line = harness.connection("d1")
        harness.run("expect d1 request")
        line.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for start in range(0, len(table), 65_536):
            line.sock.sendall(chunk(table[start : start + 65_536]).encode())
        harness.run("expect gw ready with 32000 backend servers, from discovery\nwait gw tables=1")
        assert harness.counters()["faults"] == 0
    finally:
        harness.tear_down()


def test_a_truncated_list_is_ignored(tmp_path):
    """The latest list stays in use, and a new watch is opened."""
    run_scenario(
        tmp_path,
        READY
        + """
        send d1 line {"index": 9, "snapshot": true, "endpoints": [
        close d1
        send d2 change
        send c1 look 1
        expect a1 look 1
        send a1 ok hello
        expect c1 ok hello
        wait gw watches=2""",
    )


@pytest.mark.parametrize(
    "malformed",
    [
        "[1, 2]",
        "}",
        '{"index": Infinity, "snapshot": true, "endpoints": []}',
        "nonsense",
        '{"index": 1} tail',
        "[" * 3000 + "]" * 3000,
    ],
    ids=["array", "closed twice", "infinite", "nonsense", "tail", "deep"],
)
def test_a_malformed_line_closes_only_the_watch(tmp_path, malformed):
    run_scenario(
        tmp_path,
        READY
        + f"""
        send d1 line {malformed}
        expect d1 end
        send d2 full b=Ready
        send c1 look 1
        expect b1 look 1
        send b1 ok hello
        expect c1 ok hello""",
    )


# ---- silence

SHORT_SILENCE = {"table_silence_ns": 200 * MS, "table_answer_ns": 200 * MS}


class Clock:
    """A host with a manual clock, so that tests do not wait for a silence timeout."""

    def __init__(self):
        self.time_ns = HOST.monotonic_ns()
        self.unix_ns, self.readable, self.peer_has_ended = HOST.unix_ns, HOST.readable, HOST.peer_has_ended
        self.unacknowledged_bytes = HOST.unacknowledged_bytes

    def monotonic_ns(self):
        return self.time_ns


async def send_list(sock, entries, index, first=True):
    loop = asyncio.get_running_loop()
    body = json.dumps({"index": index, "snapshot": first, "endpoints": entries}) + "\n"
    head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" if first else ""
    await loop.sock_sendall(sock, (head + chunk(body)).encode())


def test_a_silent_watch_stays_open_until_its_replacement_connects():
    """A change that discovery sends when it recovers has to arrive at once, so a call is always pending.

    Here the connect of the replacement hangs, and the silent watch is answered.
    """

    async def run(listening):
        loop, clock, limits = asyncio.get_running_loop(), Clock(), Limits()
        dispatcher = Dispatcher(
            loop, SimpleNamespace(handle=lambda now, event: []), limits, Counters(), Log("n0"), clock
        )
        reader = EndpointReader(["z"], ["k"], clock)
        table = EndpointTable(dispatcher, reader, lambda endpoints, *, complete: None)
        watcher = EndpointWatcher(dispatcher, table, listening.getsockname(), lambda: None, random.Random(1))
        watcher.open()
        first, _ = await loop.sock_accept(listening)
        ready = {"name": "s-a", "address": "127.0.0.1:1", "status": "Ready"}
        await send_list(first, [ready], 1)
        while not watcher.has_discovery_list:
            await asyncio.sleep(0)
        clock.time_ns += limits.watch_silence_timeout_ns
        dispatcher.wake()
        second, _ = await loop.sock_accept(listening)
        await loop.sock_recv(second, 4096)
        connects = []

        async def hangs(*_):
            connects.append(1)
            await asyncio.Event().wait()

        loop.create_connection = hangs
        clock.time_ns += limits.watch_answer_timeout_ns
        dispatcher.wake()
        while not connects:
            await asyncio.sleep(0)
        await send_list(second, [ready | {"status": "Terminating"}], 2)
        while table.version < 2:
            await asyncio.sleep(0)
        first.close()
        second.close()
        return dispatcher.counters.tables

    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.setblocking(False)
        assert asyncio.run(asyncio.wait_for(run(listening), TIMEOUT_S)) == 2


def test_the_old_watch_is_read_while_the_new_address_is_unreachable(tmp_path):
    """A reload changes the address of discovery to one that refuses connections."""
    run_scenario(
        tmp_path,
        READY
        + """
        refuse e
        send gw reload e
        expect gw watch lost*
        send d1 change a=Terminating b=Ready
        wait gw tables=2
        send c1 look 1
        expect b1 look 1""",
    )


def test_a_silent_watch_that_resumes_is_read_until_its_replacement_is_answered(tmp_path):
    run_scenario(
        tmp_path,
        """
        send d1 full a=Ready b=Ready
        expect gw ready*from discovery
        expect d2 request
        send d1 change a=Terminating
        wait gw tables=2
        send d2 change b=Terminating a=Ready
        wait gw tables=3
        expect d1 end
        send c1 look 1
        expect a1 look 1""",
        limits=SHORT_SILENCE | {"table_answer_ns": NEVER_NS},
    )


def test_the_replacement_of_an_unanswered_watch_gets_the_list(tmp_path):
    """The first watch is silent before any list. It is closed once the second one has sent the list."""
    run_scenario(
        tmp_path,
        """
        expect d1 request
        expect d2 request
        send d2 full a=Ready
        expect gw ready*from discovery
        expect d1 end
        send c1 look 1
        expect a1 look 1
        send a1 ok hello
        expect c1 ok hello""",
        limits=SHORT_SILENCE | {"table_silence_ns": NEVER_NS},
    )


def test_a_reload_during_a_silent_watch_closes_both_watches_of_the_old_address(tmp_path):
    run_scenario(
        tmp_path,
        """
        send d1 full a=Ready
        expect gw ready*from discovery
        expect d2 request
        send gw reload e
        expect gw reload discovery at*
        send e1 full b=Ready
        wait gw tables=2
        expect d1 end
        expect d2 end
        send c1 look 1
        expect b1 look 1""",
        limits=SHORT_SILENCE | {"table_answer_ns": NEVER_NS},
    )


def test_a_list_without_a_length_is_complete_at_end_of_file(tmp_path):
    """The list is indented and has no final line feed."""
    harness = GatewayHarness(tmp_path)
    try:
        harness.run("expect d1 request")
        body = json.dumps(
            {"index": 1, "snapshot": True, "endpoints": [harness.endpoint_entry("a=Ready")]}, indent=2
        )
        harness.connection("d1").sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + body.encode())
        harness.run("""
            half_close d1
            expect gw ready*from discovery
            wait gw tables=1
            send c1 look 1
            expect a1 look 1""")
    finally:
        harness.tear_down()


def test_a_list_without_a_length_is_ignored_after_a_reset(tmp_path):
    """Unlike end-of-file, a reset does not complete a list."""
    harness = GatewayHarness(tmp_path)
    try:
        harness.run("expect d1 request")
        body = json.dumps({"index": 1, "snapshot": True, "endpoints": [harness.endpoint_entry("a=Ready")]})
        harness.connection("d1").sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + body[:-2].encode())
        harness.run("""
            reset d1
            send d2 full b=Ready
            expect gw ready*from discovery
            send c1 look 1
            expect b1 look 1
            wait gw tables=1""")
    finally:
        harness.tear_down()


@pytest.mark.parametrize("later", ["start", "end"])
def test_the_later_of_two_entries_for_one_endpoint_in_a_list_applies(tmp_path, later):
    """It applies to the policy and to the connection pool."""
    harness = GatewayHarness(tmp_path)
    try:
        harness.run("""
            send d1 full a=Ready b=Terminating
            expect gw ready*from discovery
            send c1 look 1
            expect a1 look 1
            send a1 ok hello
            expect c1 ok hello""")
        end, start = {"name": "s-a", "status": "Gone"}, harness.endpoint_entry("a=Ready@1000")
        entries = [end, start] if later == "start" else [start, end, harness.endpoint_entry("b=Ready")]
        harness.send("d1", "line", json.dumps({"index": 9, "snapshot": False, "endpoints": entries}))
        harness.run(
            "wait gw tables=2\nexpect a1 end\nsend c1 look 2\n"
            + ("expect a2 look 2" if later == "start" else "expect b1 look 2")
        )
    finally:
        harness.tear_down()


def test_a_list_with_a_lower_index_is_applied(tmp_path):
    """A restarted service counts from the beginning. The next call sends the new index."""
    run_scenario(
        tmp_path,
        READY
        + """
        send d1 line {"index": 900, "snapshot": false, "endpoints": []}
        send d1 line {"index": 3, "snapshot": true, "endpoints": []}
        wait gw tables=3
        close d1
        expect d2 request
        send d2 full b=Ready
        wait gw tables=4
        send c1 look 1
        expect b1 look 1""",
    )


def test_attempts_queued_at_backends_that_drain_together_move_directly_to_a_ready_one(tmp_path):
    """A change after a reset of the watch drains two backends while attempts wait for connections to them.

    The policy has to decide with the new list: with the old one it would send withdrawn attempts to the other
    draining backend. Few requests with long deadlines, so that none is rejected or hedged for its wait.
    """
    count, classes = 24, [c | {"aim_ns": NEVER_NS, "deadline_ns": NEVER_NS} for c in settings()["classes"]]
    harness = GatewayHarness(
        tmp_path,
        {"settings": {"limits": {"connect_timeout_ns": NEVER_NS}, "classes": classes, "balancers": 1}},
    )
    try:
        harness.run(
            "send d1 full a=Ready b=Ready c=Ready\nexpect gw ready*from discovery\n"
            "fill_backlog a\nfill_backlog b\nfill_backlog c\n"
            + "".join(f"send c{k} look {k} d=900000\n" for k in range(1, count + 1))
            + f"""
                   wait gw connects={count}
                   reset d1
                   send d2 change a=Terminating b=Terminating
                   wait gw tables=2"""
        )
        counters = harness.counters()
        assert counters["connect_failed"] > 0
        assert (counters["not_sent"], counters["connects"]) == (0, count + counters["connect_failed"])
    finally:
        harness.tear_down()
