"""Real processes on machines that fail: clocks that are stepped, calls that fail for a moment, folders that
take no writes; each beside a stop, a restart or an upgrade, the crossing forced by events."""

from __future__ import annotations

import contextlib
import json
import os
import re
import selectors
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from scenario import (
    LOOPBACK_ADDRESS,
    ROOT,
    SECOND,
    GatewayHarness,
    RespConnection,
    call_command,
    encode_command,
)

from zincstile.testbed.shim_control import Knob, ShimControl

CALLS = 20  # each goes to the one server that takes calls, unless that is out
QUIET_S = (
    1.5  # after SIGTERM, how long no call comes until the listener shuts: longer than a busy machine sleeps
)
YES, NO = 200, 503
PATIENT = {
    "table_answer_ns": 60 * SECOND,
    "table_silence_ns": 60 * SECOND,
}  # one watch a process, however slow


def free_port() -> int:
    with socket.create_server((LOOPBACK_ADDRESS, 0)) as sock:
        return sock.getsockname()[1]


class Machine(GatewayHarness):
    """A gateway under the shim, with a control endpoint."""

    def __init__(self, folder, listening=None, **config):
        """listening: the clients' socket, held by the platform."""
        self.shim, self.listening = ShimControl(folder / "shim"), listening
        self.control = (LOOPBACK_ADDRESS, free_port())
        super().__init__(folder, {"control": "{}:{}".format(*self.control)} | config)

    def command(self):
        return [sys.executable, "-m", "zincstile.testbed.shim", str(self.config_path.parent / "shim")]

    def extra_environment(self):
        return {} if self.listening is None else {"RELAY_SOCKET_FD": str(self.listening.fileno())}

    def inherited_descriptors(self):
        return () if self.listening is None else (self.listening.fileno(),)

    def tmpdir(self):
        folder = self.config_path.parent / "tmp"
        folder.mkdir(exist_ok=True)
        return folder

    def ask_operator(self, path: str, name: str, within_s: float = 5.0) -> int:
        """The status of the answer."""
        body = name.encode()
        with socket.create_connection(self.control, timeout=within_s) as sock:
            head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode() + body)
            return int(sock.makefile("rb").readline().split()[1])

    def take_out(self, name: str) -> int:
        return self.ask_operator("/maintenance/enter", name)

    def put_back(self, name: str) -> int:
        return self.ask_operator("/maintenance/exit", name)

    def again(self, how: int = signal.SIGKILL) -> None:
        """Ended and started again in the same folder."""
        self.program.send_signal(how)
        self.program.wait()
        self.launch()
        self.wait_for_log("ready *")

    def tear_down(self):
        super().tear_down()
        self.shim.close()


@contextlib.contextmanager
def machine(folder, **config):
    folder.mkdir(exist_ok=True)
    made = Machine(folder, known_servers="ab", **config)
    try:
        made.wait_for_log("ready *")
        yield made
    finally:
        made.tear_down()


def calls_at(harness, calls: int = CALLS) -> int:
    """Of so many calls, each on a connection of its own, how many come to server a, while b refuses all: what
    may go to a does. Each is answered."""
    harness.refuse("b")
    harness.listeners["a"].setblocking(False)
    came, servers = 0, []
    selector = selectors.DefaultSelector()
    selector.register(harness.listeners["a"], selectors.EVENT_READ, "listener")
    for number in range(calls):
        client = RespConnection(socket.create_connection(harness.address, 5))
        client.sock.sendall(encode_command(call_command("look", 1000 + number)))
        selector.register(client.sock, selectors.EVENT_READ, "client")
        answered = False
        until = time.monotonic() + 10
        while not answered and time.monotonic() < until:
            for key, _ in selector.select(0.1):
                if key.data == "client":
                    answered = True
                elif key.data == "listener":
                    servers.append(key.fileobj.accept()[0])
                    selector.register(servers[-1], selectors.EVENT_READ, "server")
                elif key.fileobj.recv(4096):
                    came += 1
                    key.fileobj.sendall(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
                else:
                    selector.unregister(key.fileobj)
        assert answered
        selector.unregister(client.sock)
        client.close()
    selector.close()
    for sock in servers:
        sock.close()
    return came


# ---- maintenance


def test_maintenance_holds_over_a_restart_whatever_the_wall_clock_does(tmp_path):
    """Stepped while no process runs, both ways, by seconds and by an hour; another server was put back
    before, which the file tells too."""
    found = {}
    for step_s in (0, 7, -7, 3600, -3600):
        with machine(tmp_path / f"step{step_s}") as harness:
            assert harness.take_out("s-b") == harness.put_back("s-b") == harness.take_out("s-a") == YES
            harness.program.kill()
            harness.program.wait()
            harness.shim.set(Knob.WALL_OFFSET_S, step_s)
            harness.launch()
            harness.wait_for_log("ready *")
            found[step_s] = calls_at(harness)
    assert found == dict.fromkeys(found, 0)


def test_a_yes_to_maintenance_is_kept_where_the_folder_takes_no_writes(tmp_path):
    """Either it is no yes, or it holds after a kill; and the folder is tried again at once when it takes
    writes."""
    with machine(tmp_path / "m") as harness:
        harness.shim.set(Knob.WRITE_SHARE, 1.0)
        began = time.monotonic()
        first = harness.take_out("s-a")
        assert time.monotonic() - began < 1.0
        assert calls_at(harness) == 0  # from the call on, whatever is said of the next process
        harness.shim.set(Knob.WRITE_SHARE, 0.0)
        time.sleep(0.3)
        harness.again()
        assert first == NO and calls_at(harness) == 0


def test_a_yes_comes_where_the_folder_takes_writes_again_in_time(tmp_path):
    with machine(tmp_path / "m") as harness:
        harness.shim.set(Knob.WRITE_SHARE, 1.0)
        with socket.create_connection(harness.control, timeout=5) as sock:
            sock.sendall(b"POST /maintenance/enter HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\ns-a")
            harness.wait_for_log("handover can't write *")
            harness.shim.set(Knob.WRITE_SHARE, 0.0)
            assert int(sock.makefile("rb").readline().split()[1]) == YES
        harness.again()
        assert calls_at(harness) == 0


def test_a_yes_outlasts_a_folder_that_takes_no_writes_for_longer_than_a_file_is_trusted(tmp_path):
    """The process lives on and can say so, though not in the file; then it is killed."""
    limits = {"handover_stale_ns": 2 * SECOND, "handover_keep_ns": SECOND // 4}
    with machine(tmp_path / "m", limits=limits) as harness:
        assert harness.take_out("s-a") == YES
        harness.shim.set(Knob.WRITE_SHARE, 1.0)
        time.sleep(3.0)
        harness.again()
        assert calls_at(harness) == 0


def test_a_start_reads_what_was_kept_though_the_first_reads_fail(tmp_path):
    with machine(tmp_path / "m") as harness:
        assert harness.take_out("s-a") == YES
        harness.program.kill()
        harness.program.wait()
        harness.shim.set(Knob.READ_SHARE, 1.0)
        threading.Timer(0.7, harness.shim.set, (Knob.READ_SHARE, 0.0)).start()
        harness.launch()
        harness.wait_for_log("ready *")
        time.sleep(0.2)
        assert calls_at(harness) == 0
        harness.again()
        assert calls_at(harness) == 0


def test_a_write_that_a_kill_leaves_half_done_spoils_nothing_and_is_taken_away(tmp_path):
    with machine(tmp_path / "m") as harness:
        assert harness.take_out("s-a") == YES
        harness.shim.set(Knob.KILL_IN_WRITE, 1.0)
        with contextlib.suppress(OSError, IndexError, ValueError):
            harness.take_out("s-b")
        harness.program.wait()
        harness.launch()
        harness.wait_for_log("ready *")
        assert calls_at(harness) == 0
        left = [n for n in os.listdir(harness.tmpdir()) if n.startswith("zincstile-n0.handover")]
        assert left == ["zincstile-n0.handover"]


def test_a_new_version_that_says_it_is_ready_undoes_no_call_to_the_old_one(tmp_path):
    """The old process takes the call while the new one, which has read the file before, is held up; what
    discovery tells lets the new one write before it looks at the file again."""
    with machine(tmp_path / "m", limits=PATIENT) as harness:
        harness.expect("d1", "request")
        old, old_control = harness.program, harness.control
        harness.control = (LOOPBACK_ADDRESS, free_port())
        table = harness.config | {"control": "{}:{}".format(*harness.control), "seed": "77"}
        harness.config_path.write_text(json.dumps(table | {"known": {}}))
        harness.launch()
        try:
            harness.expect("d2", "request")
            harness.program.send_signal(signal.SIGSTOP)
            os.waitpid(harness.program.pid, os.WUNTRACED)
            harness.control, new_control = old_control, harness.control
            assert harness.take_out("s-a") == YES
            harness.send("d2", "full", "a=Ready", "b=Ready")
            harness.program.send_signal(signal.SIGCONT)
            harness.wait_for_log("ready *from discovery")
            old.send_signal(signal.SIGTERM)
            assert old.wait(20) == 0
            harness.control = new_control
            assert calls_at(harness) == 0
        finally:
            old.kill()
            old.wait()


# ---- starts, stops and the queue of connections


def test_a_stop_takes_all_that_wait_in_the_queue_though_accept_fails_for_some(tmp_path):
    """Both are due in one turn: the listener shuts, and twenty have come with their requests."""
    with machine(tmp_path / "m", limits={"drain_quiet_ns": int(QUIET_S * SECOND)}) as harness:
        harness.send("gw", "TERM")
        harness.wait_for_log("stop *")
        harness.program.send_signal(signal.SIGSTOP)
        os.waitpid(harness.program.pid, os.WUNTRACED)
        time.sleep(QUIET_S + 0.1)
        harness.shim.set(Knob.ACCEPT_SHARE, 0.5)
        clients = [RespConnection(socket.create_connection(harness.address, 5)) for _ in range(20)]
        for client in clients:
            client.sock.sendall(encode_command(["PING"]))
        harness.program.send_signal(signal.SIGCONT)
        answers = []
        for client in clients:
            try:
                answers.append(client.read_message())
            except OSError as err:
                answers.append(type(err).__name__)
            client.close()
        assert answers == ["+PONG"] * 20
        assert harness.program.wait(20) == 0


def test_a_lack_of_descriptors_at_accept_costs_no_processor_time(tmp_path):
    with machine(tmp_path / "m") as harness:
        harness.shim.set(Knob.ACCEPT_SHARE, 1.0)
        client = RespConnection(socket.create_connection(harness.address, 5))
        client.sock.sendall(encode_command(["PING"]))
        before = harness.counters()["cpu_ms"]
        time.sleep(1.0)
        spent_ms = harness.counters()["cpu_ms"] - before
        harness.shim.set(Knob.ACCEPT_SHARE, 0.0)
        assert client.read_message() == "+PONG"
        client.close()
        assert spent_ms < 300


def test_a_start_outlasts_sockets_that_can_not_be_had_for_a_moment(tmp_path):
    with machine(tmp_path / "m") as harness:
        harness.program.kill()
        harness.program.wait()
        harness.shim.set(Knob.SOCKET_SHARE, 0.7)
        for _ in range(4):
            harness.launch()
            harness.wait_for_log("ready *")
            harness.program.kill()
            harness.program.wait()


def test_a_request_that_waited_in_the_queue_is_told_for_no_longer_than_its_client_waits(tmp_path):
    """The platform holds the listening socket: what comes while no process runs waits for the next."""
    waited_ms, wait_ms, slack_ms = 1200, 3000, 150
    with (
        socket.create_server((LOOPBACK_ADDRESS, 0)) as listening,
        machine(tmp_path / "m", listening=listening) as harness,
    ):
        harness.program.kill()
        harness.program.wait()
        client = RespConnection(socket.create_connection(listening.getsockname(), 5))
        client.sock.sendall(encode_command(call_command("look", 1, f"d={wait_ms}")))
        came = time.monotonic()
        time.sleep(waited_ms / 1000)
        harness.refuse("b")
        harness.launch()
        server = RespConnection(harness.listeners["a"].accept()[0])
        told_ms = int(re.search(rb"(?:^|,)d=(\d+)", server.read_message()[3]).group(1))
        left_ms = wait_ms - (time.monotonic() - came) * 1000
        assert told_ms <= left_ms + slack_ms
        server.close()
        client.close()


def test_what_waited_in_the_queue_before_others_is_refused_as_nobody_knows_for_how_long(tmp_path):
    """Two requests on one connection, 1.2 s apart: the machine tells only when the last came."""
    with (
        socket.create_server((LOOPBACK_ADDRESS, 0)) as listening,
        machine(tmp_path / "m", listening=listening) as harness,
    ):
        harness.program.kill()
        harness.program.wait()
        client = RespConnection(socket.create_connection(listening.getsockname(), 5))
        client.sock.sendall(encode_command(call_command("look", 1, "d=3000")))
        time.sleep(1.2)
        client.sock.sendall(encode_command(call_command("look", 2, "d=3000")))
        came = time.monotonic()
        harness.refuse("b")
        harness.launch()
        server = RespConnection(harness.listeners["a"].accept()[0])
        words = server.read_message()
        told_ms = int(re.search(rb"(?:^|,)d=(\d+)", words[3]).group(1))
        assert int(words[2], 16) == 2 and told_ms <= 3000 - (time.monotonic() - came) * 1000 + 150
        server.sock.sendall(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
        assert client.read_message().startswith("-BUSY")
        assert client.read_message() == b"ok"
        server.close()
        client.close()


def test_a_client_that_asked_and_stops_in_the_middle_of_a_request_is_told_within_3_s(tmp_path):
    with machine(tmp_path / "m") as harness:
        client = RespConnection(socket.create_connection(harness.address, 5))
        client.sock.sendall(encode_command(["PING"]))
        assert client.read_message() == "+PONG"
        began = time.monotonic()
        client.sock.sendall(encode_command(call_command("look", 1))[:20])
        assert client.read_message().startswith("-ERR ")
        assert time.monotonic() - began < 3.0
        client.close()


def test_a_client_that_writes_slowly_and_goes_on_is_served(tmp_path):
    """A byte every 50 ms, for more than 3 s."""
    with machine(tmp_path / "m") as harness:
        client = RespConnection(socket.create_connection(harness.address, 5))
        client.sock.sendall(encode_command(["PING"]))
        assert client.read_message() == "+PONG"
        data = encode_command(call_command("look", 1))
        began = time.monotonic()
        for k in range(len(data)):
            client.sock.sendall(data[k : k + 1])
            time.sleep(0.05 if k < 64 else 0)
        assert time.monotonic() - began > 3.0
        harness.refuse("b")
        server = RespConnection(harness.listeners["a"].accept()[0])
        server.read_message()
        server.sock.sendall(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
        assert client.read_message() == b"ok"
        server.close()
        client.close()


# ---- servers that are cold


def shares(harness, calls: int) -> dict[str, int]:
    """Of so many calls, how many came to each server; each is answered."""
    selector, came, servers = selectors.DefaultSelector(), {"a": 0, "b": 0}, {}
    for name in came:
        harness.listeners[name].setblocking(False)
        selector.register(harness.listeners[name], selectors.EVENT_READ, name)
    client = RespConnection(socket.create_connection(harness.address, 5))
    selector.register(client.sock, selectors.EVENT_READ, "client")
    for number in range(calls):
        client.sock.sendall(encode_command(call_command("look", 1000 + number)))
        answered = False
        while not answered:
            ready = selector.select(10)
            assert ready
            for key, _ in ready:
                if key.data == "client":
                    client.read_message()
                    answered = True
                elif key.data in came:
                    sock = key.fileobj.accept()[0]
                    servers[sock] = key.data
                    selector.register(sock, selectors.EVENT_READ, "server")
                elif key.fileobj.recv(4096):
                    came[servers[key.fileobj]] += 1
                    key.fileobj.sendall(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
                else:
                    selector.unregister(key.fileobj)
    selector.close()
    for sock in servers:
        sock.close()
    client.close()
    return came


COLD = {"obligations": {"start_capacity": 0.05, "warm_up_ns": 60 * SECOND, "fall_ns": 3 * SECOND}}


@pytest.mark.parametrize("step_s", [0, 3600, -3600])
def test_a_server_that_starts_while_the_wall_clock_is_wrong_is_cold(tmp_path, step_s):
    """The clock is off when the process starts; discovery then tells that one of two servers has started."""
    with machine(tmp_path / "m", settings=COLD, limits=PATIENT) as harness:
        harness.expect("d1", "request")
        harness.program.kill()
        harness.program.wait()
        harness.shim.set(Knob.WALL_OFFSET_S, step_s)
        harness.launch()
        harness.expect("d2", "request")
        harness.send("d2", "full", "a=Ready", "b=Ready")
        harness.wait_for_log("ready *")
        harness.send("d2", "change", f"a=Ready@{int(time.time() * 1000)}")
        harness.wait("gw", "tables=3")
        came = shares(harness, 100)
        assert came["b"] and came["a"] < 30  # half, where it is taken for a warm one


def test_servers_of_long_ago_are_warm_again_soon_where_the_wall_clock_is_an_hour_behind(tmp_path):
    """Their starts lie in the future by this clock: they count as started now, and not for an hour."""
    settings = {"obligations": COLD["obligations"] | {"warm_up_ns": SECOND // 2}}
    with machine(tmp_path / "m", settings=settings, limits=PATIENT) as harness:
        harness.expect("d1", "request")
        harness.program.kill()
        harness.program.wait()
        harness.shim.set(Knob.WALL_OFFSET_S, -3600)
        harness.launch()
        harness.expect("d2", "request")
        long_ago_ms = int((time.time() - 600) * 1000)
        harness.send("d2", "full", f"a=Ready@{long_ago_ms}", f"b=Ready@{long_ago_ms + 30_000}")
        harness.wait_for_log("ready *")
        time.sleep(0.7)  # as long as a warm-up, and some
        harness.counters()
        state = json.loads(harness.wait_for_log("state *").split(" ", 1)[1])
        assert state["good"] == 2.0  # in warm ones


# ---- whose fault it is


def test_a_lack_of_sockets_here_is_no_fault_of_a_server(tmp_path):
    """No doubt is kept, and none told to peers, of servers that were never asked."""
    with machine(tmp_path / "m") as harness:
        harness.shim.set(Knob.SOCKET_SHARE, 1.0)
        client = RespConnection(socket.create_connection(harness.address, 5))
        for number in range(6):
            client.sock.sendall(encode_command(call_command("look", number)))
            assert client.read_message().startswith("-BUSY")
        counted = harness.counters()
        state = json.loads(harness.wait_for_log("state *").split(" ", 1)[1])
        client.close()
        assert counted["connect_failed"] == 0 < counted["not_sent"]
        assert state["doubted"] == 0


def test_a_stop_in_the_middle_of_a_start_ends_it_at_once(tmp_path):
    """While it waits for an older process's memory: it never takes a connection that nobody would serve."""
    with machine(tmp_path / "m", limits={"inherit_wait_ns": 3 * SECOND}) as harness:
        harness.program.kill()
        harness.program.wait()
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env |= {"RELAY_CONFIG": str(harness.config_path), "TMPDIR": str(harness.tmpdir())}
        program = subprocess.Popen(harness.command(), env=env, cwd=ROOT, stderr=subprocess.PIPE, text=True)
        try:
            while " handover: " not in program.stderr.readline():
                pass
            time.sleep(0.1)
            program.send_signal(signal.SIGTERM)
            began = time.monotonic()
            assert program.wait(20) == 0
            assert time.monotonic() - began < 1.0
            assert "start listening" not in program.stderr.read()
        finally:
            program.kill()
            program.wait()


class MachineWithFileInTmpdir(Machine):
    """Its configuration lies where the shim has reads fail."""

    def tmpdir(self):
        return self.config_path.parent


def test_a_reload_is_carried_out_though_its_file_can_not_be_read_for_a_moment(tmp_path):
    """The signal comes once; discovery that has moved would never be learnt of."""
    harness = MachineWithFileInTmpdir(tmp_path, known_servers="ab")
    try:
        harness.wait_for_log("ready *")
        harness.shim.set(Knob.READ_SHARE, 1.0)
        harness.send("gw", "reload", "e")
        time.sleep(0.4)
        harness.shim.set(Knob.READ_SHARE, 0.0)
        harness.wait_for_log("reload discovery at *")
        harness.expect("e1", "request")
    finally:
        harness.tear_down()
