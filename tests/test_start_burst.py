"""A burst at a gateway that has just started, over sockets: the requests after it are served."""

from __future__ import annotations

import time

import pytest
from scenario import GatewayHarness, RespConnection, call_command, encode_command, open_listener
from threaded_backend import ThreadedBackend, encode_answer

BACKENDS = "abfhijklmnoq"  # twelve names that stand for nothing else in the harness
SINGLE_REQUESTS = 40
SINGLE_PER_S = 20


@pytest.mark.parametrize(("clients", "commands", "work_s"), [(8, 36, 0.15), (8, 36, 0.25), (3, 61, 0.05)])
def test_single_requests_after_a_burst_at_the_start_are_served(tmp_path, clients, commands, work_s):
    """Guards against a gateway that rejects all after one burst, with idle backends (review case 6)."""

    def answer(connection: RespConnection, command: list[bytes]) -> bool:
        time.sleep(work_s)
        connection.sock.sendall(encode_answer(b"value"))
        return True

    with GatewayHarness(tmp_path) as harness:
        harness.listeners |= {name: open_listener() for name in BACKENDS if name not in harness.listeners}
        ThreadedBackend(harness, answer, BACKENDS)
        ready = " ".join(f"{name}=Ready" for name in BACKENDS)
        harness.run(f"send d1 full {ready}\nexpect gw ready*from discovery")
        connections = [harness.connection(f"c{number}") for number in range(1, clients + 1)]
        for first, connection in enumerate(connections):
            batch = [call_command("look", first * commands + number) for number in range(commands)]
            connection.sock.sendall(b"".join(encode_command(words) for words in batch))
        for connection in connections:
            for _ in range(commands):
                connection.read_message()
        time.sleep(1.0)
        served = 0
        for number in range(SINGLE_REQUESTS):
            connections[0].sock.sendall(encode_command(call_command("look", 10_000 + number)))
            served += connections[0].read_message() == b"value"
            time.sleep(1 / SINGLE_PER_S)
        assert served == SINGLE_REQUESTS
