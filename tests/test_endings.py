"""How client connections are closed while input still arrives; docs/crossings.md lists the cases."""

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
    LOOPBACK_ADDRESS,
    NO_CONNECT_TIMEOUT,
    PING,
    READY,
    ROOT,
    TIMEOUT_S,
    GatewayHarness,
    address_of,
    call_command,
    encode_command,
    reserve_address,
    run_scenario,
)

from zincstile.net.acceptor import Acceptor, AcceptResult
from zincstile.net.clients.connection import ClientConnection
from zincstile.net.clients.listener import ClientListener
from zincstile.net.host import HOST
from zincstile.net.limits import MS, SECOND, Limits, Machine

NO_QUIET_PERIOD = {"drain_quiet_ns": 1}


def test_a_disconnect_is_noticed_while_reading_is_paused(tmp_path):
    """The third request is unread while two are unanswered; the client's FIN follows it."""
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


def test_unread_input_at_shutdown_causes_no_reset_that_drops_answers(tmp_path):
    """The third command is unread when the gateway writes the last answers and closes the connection."""
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
        limits=NO_QUIET_PERIOD | {"pipelined": 1},
    )


def test_a_request_sent_while_an_idle_connection_is_closed_is_not_reset(tmp_path):
    """The client reads the FIN and sends the request elsewhere; the gateway does not count it."""
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


def test_a_command_half_received_at_shutdown_is_completed_and_answered(tmp_path):
    command = encode_command(call_command("look", 1)).decode()
    with GatewayHarness(tmp_path, {"limits": NO_QUIET_PERIOD}) as harness:
        harness.run(READY)
        harness.sent_calls["1"] = call_command("look", 1)
        harness.send("c1", "raw", PING[4:] + command[:30])
        harness.run("expect c1 +PONG\nsend gw TERM\nexpect gw not_listening")
        harness.send("c1", "raw", command[30:])
        harness.run("""
            serve c1 look 1 a1 hello
            finish c1""")


def test_a_connection_accepted_just_before_the_listener_closes_may_send_a_request(tmp_path):
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
        limits=NO_QUIET_PERIOD | {"newcomer_ns": FOREVER_NS},
    )


def test_a_second_sigterm_and_a_reload_during_shutdown_have_no_effect(tmp_path):
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
        limits=NO_QUIET_PERIOD,
    )


def test_all_queued_connections_are_accepted_before_the_listener_closes(tmp_path):
    """More connections than one batch accepts; all sent a request before the signal was handled."""
    numbers = range(1, 401)
    run_scenario(
        tmp_path,
        READY
        + "freeze gw\n"
        + "".join(f"send c{k} look {k} c=none\n" for k in numbers)
        + "send gw TERM\nthaw gw\n"
        + "".join(f"expect c{k} -ERR*\nexpect c{k} eof\nclose c{k}\n" for k in numbers)
        + "expect gw exit 0",
        limits=NO_QUIET_PERIOD,
    )


def test_a_request_completed_after_the_last_answers_of_a_shutdown_is_rejected(tmp_path):
    """After the last answers, too little time is left before the process ends to forward a request."""
    command = encode_command(call_command("look", 1)).decode()
    limits = NO_QUIET_PERIOD | {"drain_most_ns": FOREVER_NS, "drain_margin_ns": FOREVER_NS - 1}
    with GatewayHarness(tmp_path, {"limits": limits}) as harness:
        harness.run(READY)
        harness.send("c1", "raw", PING[4:] + command[:30])
        harness.run("""
            expect c1 +PONG
            send c2 look 2
            expect a1 look 2
            send gw TERM
            expect c2 -ERR failed""")
        harness.send("c1", "raw", command[30:])
        harness.run("""
            expect c1 -BUSY*
            expect c1 eof
            close c1
            close c2
            expect gw counters*"attempts": 1*
            expect gw exit 0""")


@pytest.mark.parametrize("client_reads", ["during the stream", "after the stream"])
def test_a_value_half_streamed_at_shutdown_is_completed(tmp_path, client_reads):
    """400 KB, which the client reads after the whole value has arrived, or during the stream."""
    size = 400_000
    with GatewayHarness(tmp_path, {"limits": NO_QUIET_PERIOD | {"drain_most_ns": FOREVER_NS}}) as harness:
        harness.run(READY + "send c1 look 1\nexpect a1 look 1")
        data = harness._payload("ok", [str(size)])
        harness.connection("a1").sock.sendall(data[:200_000])
        harness.run("wait gw streamed=1\nsend gw TERM\nexpect gw not_listening")
        if client_reads == "during the stream":
            assert len(harness.connection("c1").file.read(100_000)) == 100_000
        harness.connection("a1").sock.sendall(data[200_000:])
        remaining_bytes = len(b"$%d\r\n" % size) + size + 2 - 100_000 * (client_reads == "during the stream")
        assert len(harness.connection("c1").file.read(remaining_bytes)) == remaining_bytes
        harness.run("finish c1")


@contextlib.contextmanager
def shutdown_with_unread_answer(tmp_path, **limits):
    """A gateway that shuts down while its client does not read an answer larger than the system's buffers;
    yields the harness and the length of the answer."""
    size = 24_000_000
    large = {"stream_bytes": 2 * size, "answer_bytes": 2 * size, "written_bytes": 2 * size}
    with GatewayHarness(
        tmp_path, {"limits": NO_QUIET_PERIOD | large | {"drain_most_ns": FOREVER_NS} | limits}
    ) as harness:
        harness.run(READY + "send c1 look 1\nexpect a1 look 1\nsend gw TERM\nexpect gw not_listening")
        harness.send("a1", "ok", str(size))
        harness.run("wait gw served=1")
        yield harness, len(b"$%d\r\n" % size) + size + 2


def test_a_request_received_while_the_last_answer_is_written_is_answered(tmp_path):
    with shutdown_with_unread_answer(tmp_path, silent_ns=FOREVER_NS, answer_ns=FOREVER_NS) as (harness, size):
        harness.run("send c1 look 2")
        assert len(harness.connection("c1").file.read(size)) == size
        harness.run("""
            serve c1 look 2 a1 hello
            finish c1""")


def test_a_client_that_does_not_read_its_last_answer_does_not_delay_shutdown(tmp_path):
    with shutdown_with_unread_answer(tmp_path, silent_ns=200 * MS) as (harness, _):
        harness.run("expect gw exit 0")


def test_an_attempt_that_waits_for_a_connection_at_shutdown_is_still_sent(tmp_path):
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
        limits=NO_QUIET_PERIOD,
        settings={"limits": NO_CONNECT_TIMEOUT},
    )


def test_a_retry_due_at_shutdown_is_still_sent(tmp_path):
    """The first attempt is reset in the batch that handles SIGTERM."""
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
        limits=NO_QUIET_PERIOD,
    )


@pytest.mark.parametrize("signal_name", ["HUP", "USR1"])
def test_a_signal_received_before_the_program_listens_does_not_end_it(tmp_path, signal_name):
    """The configuration is a pipe without data yet, so that the start blocks there, as it may in imports."""
    path, new_config = tmp_path / "pipe", tmp_path / "later"
    os.mkfifo(path)
    harness = GatewayHarness(tmp_path)
    new_config.write_text(json.dumps(harness.config))
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    program = subprocess.Popen(
        [sys.executable, "-m", "zincstile"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env=env | {"RELAY_CONFIG": str(path)},
    )
    kill_timer = threading.Timer(TIMEOUT_S, program.kill)
    kill_timer.start()
    try:
        with open(path, "w") as pipe:  # returns once the program has opened it
            program.send_signal(getattr(signal, f"SIG{signal_name}"))
            os.replace(new_config, path)  # a reload reads a newer file than the start
            pipe.write(json.dumps(harness.config | {"discovery": address_of(harness.listeners["e"])}))
        log_lines = []
        while not any("start listening" in line for line in log_lines):
            log_lines.append(program.stderr.readline())
            assert log_lines[-1], log_lines
        address = harness.config["discovery"]
        assert any(f"reload discovery at {address}" in line for line in log_lines) == (
            signal_name == "HUP"
        ), log_lines
        program.terminate()
        assert program.wait(TIMEOUT_S) == 0
    finally:
        kill_timer.cancel()
        program.kill()
        program.wait()
        program.stderr.close()
        harness.tear_down()


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
def test_no_signal_ends_the_program_before_its_first_statement(number):
    """The command line `run` ignores both signals until the program handles them."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as text:
        run = tomllib.load(text)["run"]
    program = f"{sys.executable} -c 'import signal; print(signal.getsignal({int(number)}) is signal.SIG_IGN)'"
    assert run.endswith("exec .venv/bin/python -m zincstile")
    line = run.replace(".venv/bin/python -m zincstile", program)
    assert subprocess.run(["/bin/sh", "-c", line], capture_output=True, text=True).stdout == "True\n"


def test_standby_keeps_new_connections_for_a_first_request(tmp_path):
    """Its first request may be in transit, as at shutdown. It is answered; then the connection is closed."""
    limits = {"newcomer_ns": FOREVER_NS, "standby_rest_ns": FOREVER_NS}
    with GatewayHarness(tmp_path, {"control": reserve_address(), "limits": limits}) as harness:
        harness.run(READY + "open c1\nwait gw clients=1")
        harness.post("/standby")
        harness.run("""
            send c1 look 1
            serve c1 look 1 a1 hello
            expect c1 eof""")


def test_half_closed_connections_are_evicted_first(tmp_path):
    """The client does not close its side; the connection is evicted early when another client waits."""
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


@pytest.mark.parametrize("longest_request_ms", [50, 150, 300, 500, 900, 1500, 3000, 6000, 60000])
def test_shutdown_accepts_clients_while_the_front_balancer_sends_them(longest_request_ms):
    """For 0.4 s even with short deadlines; the last request has its deadline or 0.6 s before the end."""
    limits = Limits.for_gateway(Machine(512, 88, 100, 250 * MS, 30 * SECOND, longest_request_ms * MS), {})
    longest_request_ns = min(longest_request_ms, 3000) * MS
    assert 400 * MS < limits.drain_ns < limits.shutdown_ns - limits.drain_margin_ns + 1
    assert limits.shutdown_ns <= longest_request_ns + 700 * MS - 100 * MS
    assert limits.shutdown_ns - limits.drain_ns >= min(600 * MS, longest_request_ns)


def test_accepted_connections_have_tcp_nodelay():
    """On a listening socket of the gateway, and on an inherited one without that option."""

    async def run(listening):
        nodelay_values = []
        dispatcher = SimpleNamespace(loop=asyncio.get_running_loop())

        class RecordingProtocol(asyncio.Protocol):
            def connection_made(self, transport):
                nodelay_values.append(
                    transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                )

        acceptor = Acceptor(dispatcher, RecordingProtocol)
        with socket.create_connection(listening.getsockname(), TIMEOUT_S):
            while acceptor.accept(listening) is not AcceptResult.ACCEPTED:
                await asyncio.sleep(0)
            while not nodelay_values:
                await asyncio.sleep(0)
        return nodelay_values

    listening_socket = HOST.listen(("127.0.0.1", 0), 8)
    platform_socket = socket.create_server(("127.0.0.1", 0))
    inherited_socket = HOST.inherit_socket(platform_socket.detach())
    for listening in (listening_socket, inherited_socket):
        assert asyncio.run(asyncio.wait_for(run(listening), TIMEOUT_S)) != [0]
        listening.close()


def test_connections_that_were_queued_while_the_process_was_held_up_may_have_waited():
    """Guards against taking the first command for new, however late the queue is accepted."""

    async def connect(listener):
        connected = len(listener.clients)
        client = socket.create_connection(listener.address.rsplit(":", 1), TIMEOUT_S)
        while len(listener.clients) == connected:
            await asyncio.sleep(0)
        accepted = list(listener.clients)[-1]
        return client, accepted.reading.input_age.may_have_waited

    async def run():
        clock_ns = [SECOND]
        dispatcher = make_dispatcher(None)
        dispatcher.now_ns = lambda: clock_ns[0]
        listener = ClientListener(dispatcher, module_settings(), memoryview(bytearray(64)), HOST)
        listener.listen((LOOPBACK_ADDRESS, 0))
        clock_ns[0] += 400 * MS  # between the start of accepting and the first accept
        first, first_waited = await connect(listener)
        clock_ns[0] += SECOND
        later, later_waited = await connect(listener)
        for client in (first, later):
            client.close()
        listener.shut_down()
        return first_waited, later_waited

    assert asyncio.run(run()) == (True, False)


def test_a_reset_before_the_fin_does_not_stop_other_connections_from_closing(tmp_path):
    """shutdown(2) fails with ENOTCONN: that connection is aborted, and the others get their FIN."""

    class FakeTransport:
        def __init__(self, is_reset):
            self.is_reset, self.eof_sent, self.aborted = is_reset, False, False

        def is_closing(self):
            return self.aborted

        def get_write_buffer_size(self):
            return 0

        def set_write_buffer_limits(self, high):
            pass

        def write_eof(self):
            if self.is_reset:
                raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))
            self.eof_sent = True

        def abort(self):
            self.aborted = True

    async def run():
        dispatcher = make_dispatcher(None)
        dispatcher.readable = dispatcher.closed_by_peer = lambda transport: False
        listener = ClientListener(dispatcher, module_settings(), memoryview(bytearray(64)), HOST)
        transports = [FakeTransport(is_reset=k == 0) for k in range(3)]
        for transport in transports:
            client = ClientConnection(listener)
            client.connection_made(transport)
            client.command_count = 1
        listener.shut_down()
        return transports

    transports = asyncio.run(run())
    assert transports[0].aborted and [one.eof_sent for one in transports[1:]] == [True, True]
