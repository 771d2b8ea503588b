"""How connections of clients end, against what still comes on them; docs/crossings.md tells the rows."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import tomllib
from types import SimpleNamespace

import pytest
from conftest import settings as module_settings
from gateway_parts import make_dispatcher
from scenario import (
    FOREVER_NS,
    NO_CONNECT_TIMEOUT,
    PING,
    READY,
    ROOT,
    TIMEOUT_S,
    GatewayHarness,
    address_of,
    call_command,
    encode_command,
    run_scenario,
)

from zincstile.net.acceptor import Acceptor, AcceptResult
from zincstile.net.clients.connection import ClientConnection
from zincstile.net.clients.listener import ClientListener
from zincstile.net.host import HOST
from zincstile.net.limits import MS, SECOND, Limits, Machine

SHUT_AT_ONCE = {"drain_quiet_ns": 1}


def test_a_client_that_left_while_it_was_not_read_is_noticed(tmp_path):
    """One request lies unread behind two that wait: its client's end lies behind it."""
    run_scenario(
        tmp_path,
        READY
        + """
        send c1 look 1
        send c1 look 2
        expect a1 look *
        expect a2 look *
        send c1 look 3
        close c1
        wait gw abandoned=2
        expect a1 end
        expect a2 end
        wait gw requests=2""",
        limits={"pipelined": 1},
    )


# ---- shutdown


def test_an_answer_is_not_overtaken_by_a_reset_where_more_was_asked_behind_it(tmp_path):
    """The third command lies unread while the gateway, on its way out, writes the answers and ends."""
    run_scenario(
        tmp_path,
        READY
        + """
        send c1 look 1
        send c1 look 2
        expect a1 look *
        expect a2 look *
        send gw TERM
        expect gw not_listening
        send c1 look 3
        freeze gw
        send a1 ok same
        send a2 ok same
        thaw gw
        expect c1 ok same
        expect c1 ok same
        expect c1 eof
        close c1
        expect gw counters*"requests": 2*
        expect gw exit 0""",
        limits=SHUT_AT_ONCE | {"pipelined": 1},
    )


def test_a_request_that_crosses_the_end_of_a_resting_connection_meets_no_reset(tmp_path):
    """Its client reads the end, and sends it elsewhere; it is not read as a request here."""
    run_scenario(
        tmp_path,
        READY
        + f"""
        send c1 {PING}
        expect c1 +PONG
        expect c1 eof
        send c1 look 1
        expect c1 not_reset
        wait gw requests=0
        send c1 look 2
        expect c1 not_reset
        close c1""",
        limits={"rest_ns": 10 * MS, "tend_ns": 10 * MS, "drained_ns": FOREVER_NS},
    )


def test_what_a_stop_finds_half_written_is_read_to_its_end_and_answered(tmp_path):
    whole = encode_command(call_command("look", 1)).decode()
    with GatewayHarness(tmp_path, {"limits": SHUT_AT_ONCE}) as harness:
        harness.run(READY)
        harness.sent_calls["1"] = call_command("look", 1)
        harness.send("c1", "raw", PING[4:] + whole[:30])
        harness.run("expect c1 +PONG\nsend gw TERM\nexpect gw not_listening")
        harness.send("c1", "raw", whole[30:])
        harness.run("""
            serve c1 look 1 a1 hello
            finish c1""")


def test_who_connected_last_before_the_listener_closes_may_still_ask(tmp_path):
    run_scenario(
        tmp_path,
        READY
        + """
        open c1
        wait gw clients=1
        send gw TERM
        expect gw not_listening
        send c1 look 1
        serve c1 look 1 a1 hello
        finish c1""",
        limits=SHUT_AT_ONCE | {"newcomer_ns": FOREVER_NS},
    )


def test_a_second_term_and_a_reload_meanwhile_change_nothing(tmp_path):
    run_scenario(
        tmp_path,
        READY
        + """
        send c1 look 1
        expect a1 look 1
        send gw TERM
        expect gw not_listening
        send gw TERM
        send gw reload e
        expect gw reload discovery at*
        send e1 full b=Ready
        send a1 ok hello
        expect c1 ok hello
        finish c1""",
        limits=SHUT_AT_ONCE,
    )


def test_a_crowd_in_the_queue_is_accepted_before_the_listener_closes(tmp_path):
    """More than one batch accepts: all of them connected, and asked, before the signal was handled."""
    numbers = range(1, 401)
    run_scenario(
        tmp_path,
        READY
        + "freeze gw\n"
        + "".join(f"send c{k} look {k} c=none\n" for k in numbers)
        + "send gw TERM\nthaw gw\n"
        + "".join(f"expect c{k} -ERR*\nexpect c{k} eof\nclose c{k}\n" for k in numbers)
        + "expect gw exit 0",
        limits=SHUT_AT_ONCE,
    )


def test_a_request_that_is_whole_only_after_the_last_answers_is_refused_at_once(tmp_path):
    """Between the answers that a stop owes and the end there is time for no other: it is not sent on."""
    whole = encode_command(call_command("look", 1)).decode()
    limits = SHUT_AT_ONCE | {"drain_most_ns": FOREVER_NS, "drain_margin_ns": FOREVER_NS - 1}
    with GatewayHarness(tmp_path, {"limits": limits}) as harness:
        harness.run(READY)
        harness.send("c1", "raw", PING[4:] + whole[:30])
        harness.run("""
            expect c1 +PONG
            send c2 look 2
            expect a1 look 2
            send gw TERM
            expect c2 -ERR failed""")
        harness.send("c1", "raw", whole[30:])
        harness.run("""
            expect c1 -BUSY*
            expect c1 eof
            close c1
            close c2
            expect gw counters*"attempts": 1*
            expect gw exit 0""")


@pytest.mark.parametrize("taken", ["while it comes", "after it has come"])
def test_a_value_half_passed_on_at_a_stop_comes_whole(tmp_path, taken):
    """400 KB, of which the client reads nothing before the listener closes, or reads as it comes."""
    size = 400_000
    with GatewayHarness(tmp_path, {"limits": SHUT_AT_ONCE | {"drain_most_ns": FOREVER_NS}}) as harness:
        harness.run(READY + "send c1 look 1\nexpect a1 look 1")
        data = harness._payload("ok", [str(size)])
        harness.connection("a1").sock.sendall(data[:200_000])
        harness.run("wait gw streamed=1\nsend gw TERM\nexpect gw not_listening")
        if taken == "while it comes":
            assert len(harness.connection("c1").file.read(100_000)) == 100_000
        harness.connection("a1").sock.sendall(data[200_000:])
        left = len(b"$%d\r\n" % size) + size + 2 - 100_000 * (taken == "while it comes")
        assert len(harness.connection("c1").file.read(left)) == left
        harness.run("finish c1")


@contextlib.contextmanager
def stopped_under_an_answer(tmp_path, **limits):
    """A program that is told to end, and writes an answer that no system holds whole to a client that reads
    nothing; with the answer's length."""
    size = 24_000_000
    large = {"stream_bytes": 2 * size, "answer_bytes": 2 * size, "written_bytes": 2 * size}
    with GatewayHarness(
        tmp_path, {"limits": SHUT_AT_ONCE | large | {"drain_most_ns": FOREVER_NS} | limits}
    ) as harness:
        harness.run(READY + "send c1 look 1\nexpect a1 look 1\nsend gw TERM\nexpect gw not_listening")
        harness.send("a1", "ok", str(size))
        harness.run("wait gw served=1")
        yield harness, len(b"$%d\r\n" % size) + size + 2


def test_what_is_asked_while_the_last_answer_is_still_being_written_is_answered(tmp_path):
    with stopped_under_an_answer(tmp_path, silent_ns=FOREVER_NS, answer_ns=FOREVER_NS) as (harness, size):
        harness.run("send c1 look 2")
        assert len(harness.connection("c1").file.read(size)) == size
        harness.run("""
            serve c1 look 2 a1 hello
            finish c1""")


def test_who_takes_nothing_of_its_last_answer_does_not_keep_a_stop_waiting(tmp_path):
    with stopped_under_an_answer(tmp_path, silent_ns=200 * MS) as (harness, _):
        harness.run("expect gw exit 0")


def test_an_attempt_that_waits_for_its_connection_at_a_stop_is_still_made(tmp_path):
    run_scenario(
        tmp_path,
        READY
        + """
        fill_backlog a
        send c1 look 1
        wait gw connects=1
        send gw TERM
        expect gw not_listening
        clear_backlog a
        serve c1 look 1 a1 hello
        finish c1""",
        limits=SHUT_AT_ONCE,
        settings={"limits": NO_CONNECT_TIMEOUT},
    )


def test_a_repeat_that_becomes_due_at_a_stop_is_still_made(tmp_path):
    """The first attempt breaks in the batch in which the stop is heard."""
    run_scenario(
        tmp_path,
        READY
        + """
        send c1 look 1
        expect a1 look 1
        send d1 change b=Ready
        wait gw tables=2
        freeze gw
        reset a1
        send gw TERM
        thaw gw
        serve c1 look 1 b1 hello
        finish c1""",
        limits=SHUT_AT_ONCE,
    )


@pytest.mark.parametrize("number", ["HUP", "USR1"])
def test_a_signal_that_comes_before_the_program_listens_does_not_end_it(tmp_path, number):
    """The configuration is a pipe that nobody has written yet: the start waits there, as in its imports."""
    path, later = tmp_path / "pipe", tmp_path / "later"
    os.mkfifo(path)
    harness = GatewayHarness(tmp_path)
    later.write_text(json.dumps(harness.config))
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    program = subprocess.Popen(
        [sys.executable, "-m", "zincstile"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env=env | {"RELAY_CONFIG": str(path)},
    )
    guard = threading.Timer(TIMEOUT_S, program.kill)
    guard.start()
    try:
        with open(path, "w") as pipe:  # comes back once the program has opened it
            program.send_signal(getattr(signal, f"SIG{number}"))
            os.replace(later, path)  # what a reload finds is newer than what the start reads
            pipe.write(json.dumps(harness.config | {"discovery": address_of(harness.listeners["e"])}))
        said = []
        while not any("start listening" in line for line in said):
            said.append(program.stderr.readline())
            assert said[-1], said
        where_to = harness.config["discovery"]
        assert any(f"reload discovery at {where_to}" in line for line in said) == (number == "HUP"), said
        program.terminate()
        assert program.wait(TIMEOUT_S) == 0
    finally:
        guard.cancel()
        program.kill()
        program.wait()
        program.stderr.close()
        harness.tear_down()


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
def test_no_signal_ends_the_program_before_its_first_line(number):
    """The line `run` itself has the two passed over until the program hears them."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as text:
        run = tomllib.load(text)["run"]
    program = f"{sys.executable} -c 'import signal; print(signal.getsignal({int(number)}) is signal.SIG_IGN)'"
    assert run.endswith("exec .venv/bin/python -m zincstile")
    line = run.replace(".venv/bin/python -m zincstile", program)
    assert subprocess.run(["/bin/sh", "-c", line], capture_output=True, text=True).stdout == "True\n"


def test_standby_spares_who_has_just_come(tmp_path):
    """As a stop does: what it came for is on its way. It is answered, and then its connection is ended."""
    port = socket.create_server(("127.0.0.1", 0))
    operators = address_of(port)
    port.close()
    limits = {"newcomer_ns": FOREVER_NS, "standby_rest_ns": FOREVER_NS}
    with GatewayHarness(tmp_path, {"control": operators, "limits": limits}) as harness:
        harness.run(READY + "open c1\nwait gw clients=1")
        host, _, number = operators.rpartition(":")
        with socket.create_connection((host, int(number)), TIMEOUT_S) as operator:
            operator.sendall(b"POST /standby HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
            assert operator.recv(4096).startswith(b"HTTP/1.1 200")
        harness.run("""
            send c1 look 1
            serve c1 look 1 a1 hello
            expect c1 eof""")


def test_connections_that_were_ended_make_room_before_others(tmp_path):
    """Their clients don't end them: what is left of their time is nobody's loss, where a client waits."""
    run_scenario(
        tmp_path,
        READY
        + f"""
        send c1 {PING}
        expect c1 +PONG
        expect c1 eof
        send c2 look 2
        expect a1 look 2
        send c3 look 3
        expect a2 look 3
        send a1 ok two
        expect c2 ok two
        wait gw failed=0""",
        limits={
            "frontend_connections": 2,
            "rest_ns": 10 * MS,
            "tend_ns": 10 * MS,
            "drained_ns": FOREVER_NS,
            "newcomer_ns": MS,
            "spare_ns": FOREVER_NS,
        },
    )


@pytest.mark.parametrize("longest_ms", [50, 150, 300, 500, 900, 1500, 3000, 6000, 60000])
def test_after_a_stop_clients_may_come_for_as_long_as_the_front_sends_them(longest_ms):
    """Up to 0.4 s, however short the deadlines; and what comes last has its time before the end, or 0.6 s."""
    limits = Limits.for_gateway(Machine(512, 88, 100, 250 * MS, 30 * SECOND, longest_ms * MS), {})
    longest = min(longest_ms, 3000) * MS
    assert 400 * MS < limits.drain_ns < limits.shutdown_ns - limits.drain_margin_ns + 1
    assert limits.shutdown_ns <= longest + 700 * MS - 100 * MS
    assert limits.shutdown_ns - limits.drain_ns >= min(600 * MS, longest)


def test_accepted_connections_hold_no_small_answer_back():
    """On a socket of our own, and on one that the platform hands down, however that was made."""

    async def play(listening):
        made = []
        dispatcher = SimpleNamespace(loop=asyncio.get_running_loop())

        class Welcomed(asyncio.Protocol):
            def connection_made(self, transport):
                made.append(
                    transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                )

        acceptor = Acceptor(dispatcher, Welcomed)
        with socket.create_connection(listening.getsockname(), TIMEOUT_S):
            while acceptor.accept(listening) is not AcceptResult.ACCEPTED:
                await asyncio.sleep(0)
            while not made:
                await asyncio.sleep(0)
        return made

    own = HOST.listen(("127.0.0.1", 0), 8)
    platform = socket.create_server(("127.0.0.1", 0))
    inherited = HOST.inherit_socket(platform.detach())
    for listening in (own, inherited):
        assert asyncio.run(asyncio.wait_for(play(listening), TIMEOUT_S)) != [0]
        listening.close()


def test_a_client_that_resets_between_the_look_and_the_end_stops_no_other_ending(tmp_path):
    """shutdown(2) then fails with ENOTCONN: that one is gone, and the others are ended all the same."""

    class Wire:
        def __init__(self, gone):
            self.gone, self.ended, self.aborted = gone, False, False

        def is_closing(self):
            return self.aborted

        def get_write_buffer_size(self):
            return 0

        def set_write_buffer_limits(self, high):
            pass

        def write_eof(self):
            if self.gone:
                raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))
            self.ended = True

        def abort(self):
            self.aborted = True

    async def play():
        dispatcher = make_dispatcher(None)
        dispatcher.readable = dispatcher.has_ended = lambda transport: False
        listener = ClientListener(dispatcher, module_settings(), memoryview(bytearray(64)), HOST)
        wires = [Wire(gone=k == 0) for k in range(3)]
        for wire in wires:
            client = ClientConnection(listener)
            client.connection_made(wire)
            client.commands = 1
        listener.shut_down()
        return wires

    wires = asyncio.run(play())
    assert wires[0].aborted and [w.ended for w in wires[1:]] == [True, True]
