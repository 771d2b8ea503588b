"""The memory of a request is returned as soon as it has ended, whatever ended it."""

from __future__ import annotations

import sys
import time

import pytest
from scenario import READY, GatewayHarness, RespConnection, call_command, encode_command
from threaded_backend import ThreadedBackend, encode_answer, request_number

REQUESTS = 300
VALUE_BYTES = 64_000  # the requests that are played hold 19 MB together
LARGE_VALUE_BYTES = 100_000
MAX_GROWTH_KB = 6_000
SMALL_CUSTOMER = "00000000000000ff"  # of the plan whose quota covers no request of four units
PROGRAM = "import gc, runpy; gc.disable(); runpy.run_module('zincstile', run_name='__main__')"


class UncollectedGateway(GatewayHarness):
    """A gateway without Python's cyclic collector: what is in a reference cycle stays in memory."""

    def command(self):
        """The command that starts the program."""
        return [sys.executable, "-c", PROGRAM]


def reply_to(ending: str, number: int) -> bytes:
    """Returns what the backend writes for a request."""
    if ending == "error":
        return b"-ERR failed\r\n"
    if ending == "rejected":
        return b"-BUSY\r\n"
    large = ending in ("forwarded", "buffered") and number % 2
    return encode_answer(b"v" * (LARGE_VALUE_BYTES if large else VALUE_BYTES))


def play(harness: GatewayHarness, ending: str, first: int, count: int) -> None:
    """Plays requests on one connection, two at a time for buffered values, otherwise one at a time."""
    client = harness.connection("c1")
    batch = 2 if ending == "buffered" else 1
    for number in range(first, first + count, batch):
        client.sock.sendall(b"".join(encode_request(ending, number + k) for k in range(batch)))
        for _ in range(batch):
            client.read_message()


def encode_request(ending: str, number: int) -> bytes:
    """A request with a body of 64,000 bytes where the answer has no value."""
    if ending in ("error", "rejected"):
        return encode_command(call_command("book", number, body=b"b" * VALUE_BYTES))
    return encode_command(call_command("look", number))


@pytest.mark.parametrize("ending", ["served", "error", "rejected", "forwarded", "buffered"])
def test_ended_requests_are_freed_without_the_cyclic_collector(tmp_path, ending):
    """Guards against answers and bodies that stay in memory until a collection (review case 1)."""
    with UncollectedGateway(tmp_path) as harness:

        def answer(connection: RespConnection, command: list[bytes]) -> bool:
            connection.sock.sendall(reply_to(ending, request_number(command)))
            return True

        ThreadedBackend(harness, answer)
        harness.run(READY)
        play(harness, ending, 1, 40)
        before_kb = harness.own_memory_kb()
        play(harness, ending, 101, REQUESTS)
        growth_kb = harness.own_memory_kb() - before_kb
        print(f"{ending}: {growth_kb} KB more after {REQUESTS} requests")
        assert growth_kb < MAX_GROWTH_KB


@pytest.mark.parametrize("ending", ["client left", "backend left"])
def test_requests_whose_connections_end_are_freed_without_the_cyclic_collector(tmp_path, ending):
    with UncollectedGateway(tmp_path) as harness:

        def leave(connection: RespConnection, command: list[bytes]) -> bool:
            if ending == "backend left":
                connection.close()
            else:
                connection.sock.recv(1)  # until the gateway gives up
            return False

        ThreadedBackend(harness, leave)
        harness.run(READY)
        before_kb = harness.own_memory_kb()
        for number in range(1, REQUESTS + 1):
            name = f"c{number}"
            client = harness.connection(name)
            client.sock.sendall(encode_request("error", number))
            if ending == "backend left":
                client.read_message()
            else:
                time.sleep(0.01)
            harness.close(name)
        if ending == "client left":
            harness.run(f"wait gw abandoned={REQUESTS}")
        growth_kb = harness.own_memory_kb() - before_kb
        print(f"{ending}: {growth_kb} KB more after {REQUESTS} requests")
        assert growth_kb < MAX_GROWTH_KB


def test_answered_requests_that_wait_for_an_earlier_answer_hold_no_body(tmp_path):
    """Guards against bodies in memory for as long as one slow request is ahead of them (issue 55, a)."""
    connections, commands = 20, 60  # 77 MB of bodies
    with GatewayHarness(tmp_path) as harness:
        harness.run(READY)
        before_kb = harness.own_memory_kb()
        number = 0
        for index in range(1, connections + 1):
            client = harness.connection(f"c{index}")
            number += 1
            client.sock.sendall(encode_command(call_command("book", number, "units=0.001")))
            harness.connection(f"a{index}").read_message()  # not answered
            for _ in range(commands):
                number += 1
                words = call_command("book", number, "t=small", "units=4", body=b"b" * VALUE_BYTES)
                words[1] = SMALL_CUSTOMER
                client.sock.sendall(encode_command(words))
        harness.wait("gw", f"rejected={connections * commands}")
        growth_kb = harness.own_memory_kb() - before_kb
        print(f"{growth_kb} KB more for {connections * commands} answered requests")
        assert growth_kb < 2 * MAX_GROWTH_KB
