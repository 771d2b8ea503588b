"""A request id that comes again: a request that must not run twice is forwarded once."""

from __future__ import annotations

import signal
import socket
import threading
import time

import pytest
from scenario import (
    CUSTOMER,
    READY,
    GatewayHarness,
    RespConnection,
    call_command,
    encode_command,
    open_listener,
)
from test_operators import fleet
from threaded_backend import ThreadedBackend, encode_answer, request_number

WORK_S = 0.4
REFUSAL = "-ERR the id of a request that may have run"


def order(name: str, number: int) -> bytes:
    return encode_command(call_command(name, number))


@pytest.mark.parametrize("name", ["book", "put"])
@pytest.mark.parametrize("leaves_after_s", [0.1, 2 * WORK_S])
def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice(tmp_path, name, leaves_after_s):
    """Guards against forgetting the id of a request that may have run as soon as its client has left."""
    runs = []

    def answer(connection: RespConnection, command: list[bytes]) -> bool:
        runs.append(request_number(command))
        time.sleep(WORK_S)
        connection.sock.sendall(encode_answer(b"value"))
        return True

    with GatewayHarness(tmp_path) as harness:
        ThreadedBackend(harness, answer, "ab")
        harness.run("send d1 full a=Ready b=Ready\nexpect gw ready*from discovery")
        first = RespConnection(socket.create_connection(harness.address))
        first.sock.sendall(order(name, 1))
        time.sleep(leaves_after_s)
        first.close()
        again = harness.connection("c1")
        for _ in range(3):
            again.sock.sendall(order(name, 1))
            assert again.read_message() == REFUSAL
        again.sock.sendall(order(name, 2))
        assert again.read_message() == b"value"
        assert runs == [1, 2]


def test_an_id_that_never_ran_may_come_again(tmp_path):
    """A backend that rejects a request has not run it."""
    with GatewayHarness(tmp_path) as harness:
        harness.run(READY + "send c1 book 1\nexpect a1 book 1\nsend a1 -BUSY\nexpect c1 -BUSY*")
        harness.run("send c2 book 1\nexpect a1 book 1\nsend a1 ok value\nexpect c2 ok value")


def test_an_id_of_a_class_that_may_run_again_is_served_again(tmp_path):
    with GatewayHarness(tmp_path) as harness:
        harness.run(READY + "send c1 look 1\nexpect a1 look 1\nclose c1\nwait gw abandoned=1")
        harness.run("send c2 look 1\nexpect a2 look 1\nsend a2 ok value\nexpect c2 ok value")


def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_twice(tmp_path):
    """In both directions: a client of the old process at the new one, and the reverse."""
    runs = []
    listener = open_listener()

    class Counting:
        sock = listener

    def serve(connection: RespConnection) -> None:
        while command := connection.read_message():
            runs.append(request_number(command))
            time.sleep(WORK_S)
            connection.sock.sendall(encode_answer(b"value"))

    def accept() -> None:
        listener.settimeout(None)
        while True:
            try:
                connection = RespConnection(listener.accept()[0])
            except OSError:
                return
            threading.Thread(target=serve, args=(connection,), daemon=True).start()

    def book(number: int) -> bytes:
        fields = "c=book,t=team,d=2000,units=1,spread=1,first=0"
        return encode_command(["CALL.POST", CUSTOMER, f"{number:016x}", fields, "body"])

    threading.Thread(target=accept, daemon=True).start()
    with fleet(tmp_path, Counting, drain_quiet_ns=1) as (listening, start):
        old = start()
        old.wait_until_ready()

        def connect() -> RespConnection:
            return RespConnection(socket.create_connection(listening.getsockname(), timeout=5))

        at_old = connect()
        before_upgrade = connect()
        before_upgrade.sock.sendall(book(1))
        time.sleep(0.1)
        before_upgrade.close()
        new = start()
        new.wait_until_ready()
        old.program.send_signal(signal.SIGSTOP)  # so that the new process accepts
        at_new = connect()
        at_new.sock.sendall(encode_command(["PING"]))
        assert at_new.read_message() == "+PONG"
        old.program.send_signal(signal.SIGCONT)
        at_new.sock.sendall(book(1))
        assert at_new.read_message().startswith("-ERR the id of a request")
        at_old.sock.sendall(book(2))
        time.sleep(0.1)
        at_new.sock.sendall(book(2))
        assert at_new.read_message().startswith("-ERR the id of a request")
        assert at_old.read_message() == b"value"
        at_new.sock.sendall(book(3))
        assert at_new.read_message() == b"value"
        at_old.sock.sendall(book(3))
        assert at_old.read_message().startswith("-ERR the id of a request")
        assert sorted(runs) == [1, 2, 3]
    listener.close()
