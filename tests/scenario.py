"""A small language for scenarios that run the real program and talk to it over sockets.

Each line is a command, a participant and the command's arguments. Participants:

    c1, c2 ...  clients; each connects when a line first names it
    a1, a2 ...  connections that the gateway opened to backend a (likewise b, c), in accept order
    d1, d2 ...  watches that the gateway opened to discovery; e1 ... to discovery's address after a reload
    p1          the other gateway
    gw          the program itself

Commands:

    send c1 look 1 d=900        sends a call of class look with id 1; `key=value` replaces a default field
    send c1 raw PING\\r\\n        sends these bytes; `send c1 slowly look 1` sends a call byte by byte
    send a1 ok hello            replies with this value; `send a1 -BUSY` replies with any other line
    send d1 full a=Ready        sends a complete list; `change`: a delta; `line`: the text as it stands
    send p1 raw hello           sends a datagram to the gateway
    send gw TERM                sends a signal; `send gw reload e` moves discovery to e and sends SIGHUP;
                                `send gw reload TEXT` writes TEXT as the configuration and sends SIGHUP
    expect c1 ok hello          the next reply is this value; a line such as `-ERR*` may contain * and ?
    expect c1 end               the connection has been closed; `eof`: closed without a reset
    expect c1 not_reset         the connection has not been reset
    expect a1 look 1            the next command is this call, with a timeout no longer than the client's
    expect gw ready*            a log line matches this pattern; `expect gw exit 0`; `expect gw stopped`
                                (by SIGSTOP); `expect gw not_listening` (it refuses new connections)
    expect d2 request           the watch has sent its request; it is left unanswered
    expect p1 message           a datagram arrives
    close c1                    closes the connection; `close a` closes the listening socket of a
    reset c1                    closes with a reset; `half_close c1` closes the sending direction only
    open c1                     connects and sends nothing; `open a1` accepts the next connection there
    refuse a                    connections to a are refused; `listen a`: they are accepted again
    fill_backlog a              further connections to a hang in connect; `clear_backlog a` completes them
    wait gw abandoned=1         polls the counters until this one has this value
    serve c1 look 1 a1 hello    the call of c1 arrives at a1, which replies with this value, and c1 gets it
    freeze gw                   stops the program with SIGSTOP; `thaw gw` resumes it with SIGCONT
    finish c1                   c1 reads the end of its connection and closes; the program exits with code 0
"""

from __future__ import annotations

import contextlib
import fnmatch
import json
import os
import queue
import re
import selectors
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

from ports import reserve_port
from test_wire import SETTINGS

# Each test process uses its own loopback address. A gateway may still connect to the port of a closed
# listener, which on a shared address could by then belong to another test process.
LOOPBACK_ADDRESS = f"127.0.0.{1 + int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0')[2:])}"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# An expected event that has not come by then fails the test. Tests that pass do not wait this long.
TIMEOUT_S = 20
POLL_INTERVAL_S = 0.01  # between two reads of the counters
SECOND = 10**9
CUSTOMER = "00000000b4d65521"
EFFECT_BY_CLASS = {"look": "free", "book": "single_shot", "put": "guarded"}

FOREVER_NS = 10**12  # longer than any test runs
# `limits` of settings with which an attempt waits for its connection until its own deadline.
NO_CONNECT_TIMEOUT = {"connect_timeout_ns": FOREVER_NS}

# Shared by many scenarios: the arguments of `send` for a PING, the lines that deliver the first endpoint
# list, and the lines of an answered call.
PING = r"raw *1\r\n$4\r\nPING\r\n"
READY = "send d1 full a=Ready\nexpect gw ready*from discovery\n"
ANSWERED_CALL = "send c9 look 99\nexpect a1 look 99\nsend a1 ok still\nexpect c9 ok still\n"


def settings():
    classes = [
        {
            "name": name,
            "aim_ns": 4 * SECOND,
            "deadline_ns": 30 * SECOND,
            "effect": effect,
            "gain": 1.0,
            "late_worth": 0.2,
            "group": "all",
            "window_ns": 6 * SECOND,
        }
        for name, effect in EFFECT_BY_CLASS.items()
    ]
    plan = SETTINGS["plans"][0] | {"name": "team", "refill": 1000.0, "burst": 2000.0}
    small = plan | {"name": "small", "refill": 0.001, "burst": 1.0}
    return SETTINGS | {
        "balancers": 2,
        "ordinal": 0,
        "classes": classes,
        "plans": [plan, small],
        "zones": ["z"],
        "skus": ["k"],
        "limits": SETTINGS["limits"] | {"max_retry_after_ns": 7 * 10**8},
    }


def merge(config, overrides):
    return {
        k: merge(config[k], v) if isinstance(v, dict) and isinstance(config.get(k), dict) else v
        for k, v in (config | overrides).items()
    }


def open_listener():
    sock = socket.create_server((LOOPBACK_ADDRESS, 0))
    sock.settimeout(TIMEOUT_S)
    return sock


def address_of(sock):
    return "{}:{}".format(*sock.getsockname()[:2])


def reserve_address():
    """HOST:PORT of a TCP port that only a gateway can listen on, for `control` in a configuration."""
    return f"{LOOPBACK_ADDRESS}:{reserve_port(LOOPBACK_ADDRESS)}"


def encode_command(words):
    words = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def call_command(name, number, *field_overrides, body=None):
    fields = {"c": name, "t": "team", "d": "20000", "units": "1", "spread": "1", "first": "0"}
    if EFFECT_BY_CLASS.get(name) == "guarded":
        fields["k"] = "5c0f6e1a2b3d4c59"
    for override in field_overrides:
        key, _, value = override.partition("=")
        if key == "body":
            body = value.encode() if not value.isdigit() else b"x" * int(value)
        else:
            fields[key] = value
    verb = "CALL.GET" if EFFECT_BY_CLASS.get(name, "free") == "free" else "CALL.POST"
    words = [verb, CUSTOMER, f"{int(number):016x}", ",".join(f"{k}={v}" for k, v in fields.items() if v)]
    return words + ([body] if body else [])


class RespConnection:
    """One side of a TCP connection, read as complete RESP messages."""

    def __init__(self, sock):
        self.sock, self.file = sock, sock.makefile("rb")
        sock.settimeout(TIMEOUT_S)

    def read_message(self):
        line = self.file.readline()
        if line[:1] == b"$" and line != b"$-1\r\n":
            return self.file.read(int(line[1:]) + 2)[:-2]
        if line[:1] == b"*":
            return [self.read_message() for _ in range(int(line[1:]))]
        return line.decode().rstrip("\r\n")

    def close(self):
        self.file.close()
        self.sock.close()


class GatewayHarness:
    """The gateway process with its clients, backends, discovery and peer, each on a port of its own."""

    def __init__(self, folder, config=None, full_settings=None):
        """config: overrides of the default configuration; full_settings: replaces the default settings."""
        self.listeners = {name: open_listener() for name in "abcde"}
        self.connections, self.backlog_sockets = {}, {}
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind((LOOPBACK_ADDRESS, 0))
        self.peer.settimeout(TIMEOUT_S)
        self.sent_calls, self.list_index, self.recent_log = {}, 0, []
        base_config = {
            "name": "n0",
            "listen": f"{LOOPBACK_ADDRESS}:0",
            "discovery": address_of(self.listeners["d"]),
            "seed": "8c1f",
            "limits": {
                "cores": 1.0,
                "memory_mb": 192,
                "sockets": 1024,
                "answer_ns": 2 * SECOND,
                "settled_ns": 1,  # a connection may be reused right after an answer
            },
            "peer_listen": f"{LOOPBACK_ADDRESS}:0",
            "peers": [f"{LOOPBACK_ADDRESS}:1", address_of(self.peer)],
            "settings": full_settings or settings(),
            "known": {"index": 0, "snapshot": True, "endpoints": []},
        }
        for name in (config or {}).pop("known_servers", ""):
            base_config["known"]["endpoints"].append(self.endpoint_entry(f"{name}=Ready"))
        self.config_path, self.config = folder / "config.json", merge(base_config, config or {})
        self.config_path.write_text(json.dumps(self.config))
        self.launch()

    def command(self):
        """The command that starts the program."""
        return [sys.executable, "-m", "zincstile"]

    def extra_environment(self):
        """Environment variables that are set in addition to the default ones."""
        return {}

    def inherited_descriptors(self):
        """File descriptors that the program inherits."""
        return ()

    def tmpdir(self):
        """The folder for files that successive processes of the gateway share."""
        return self.config_path.parent

    def launch(self):
        """Starts the program and waits until it listens. The caller ends the previous process."""
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        self.program = subprocess.Popen(
            self.command(),
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env=env
            | {"RELAY_CONFIG": str(self.config_path), "TMPDIR": str(self.tmpdir())}
            | self.extra_environment(),
            text=True,
            pass_fds=self.inherited_descriptors(),
        )
        self.log = queue.Queue()  # lines of this process only
        threading.Thread(target=self._read_log, args=(self.program, self.log), daemon=True).start()
        addresses = re.findall(r"(127\S+):(\d+)", self.wait_for_log("start listening on *"))
        self.address, self.peer_address = ((host, int(port)) for host, port in [*addresses, ("", 0)][:2])

    @staticmethod
    def _read_log(program, log):
        for line in program.stderr:
            log.put(line.rstrip("\n").split(" ", 2)[-1])
        log.put(None)

    def wait_for_log(self, pattern):
        end = time.monotonic() + TIMEOUT_S
        while (line := self.log.get(timeout=max(0.01, end - time.monotonic()))) is not None:
            self.recent_log = [*self.recent_log[-9:], line]
            if fnmatch.fnmatchcase(line, pattern):
                return line
        raise AssertionError(f"no log line matches {pattern!r}; last lines: {self.recent_log}")

    def connection(self, name):
        while name not in self.connections:
            if name[0] == "c":
                self.connections[name] = RespConnection(socket.create_connection(self.address, TIMEOUT_S))
                continue
            number = sum(other[0] == name[0] for other in self.connections) + 1
            self.connections[f"{name[0]}{number}"] = RespConnection(self.listeners[name[0]].accept()[0])
        return self.connections[name]

    def read_next_calls(self, backend, count):
        """The next calls that reach this backend, on whichever of its connections they come."""
        calls = []
        with selectors.DefaultSelector() as selector:
            selector.register(self.listeners[backend], selectors.EVENT_READ)
            for name, connection in self.connections.items():
                if name[0] == backend:
                    selector.register(connection.sock, selectors.EVENT_READ, connection)
            while len(calls) < count:
                ready = selector.select(TIMEOUT_S)
                assert ready, f"{len(calls)} of {count} calls reached {backend}"
                for key, _ in ready:
                    if key.data is None:
                        number = 1 + sum(name[0] == backend for name in self.connections)
                        connection = self.connection(f"{backend}{number}")
                        selector.register(connection.sock, selectors.EVENT_READ, connection)
                    else:
                        calls.append(key.data.read_message())
        return calls

    def fill_backlog(self, name):
        """Fills the accept backlog of a listener, so that further connections to it hang in connect."""
        self.listeners[name].listen(0)
        self.backlog_sockets[name] = [socket.create_connection(self.listeners[name].getsockname(), TIMEOUT_S)]
        while True:  # until a connect times out: with room in the backlog it succeeds at once
            sock = socket.socket()
            self.backlog_sockets[name].append(sock)
            sock.settimeout(0.1)
            try:
                sock.connect(self.listeners[name].getsockname())
            except TimeoutError:
                return

    def refuse(self, name):
        """Closes a listener, so that connections are refused; a bound socket keeps its address reserved."""
        address = self.listeners[name].getsockname()
        self.listeners[name].close()
        self.listeners[name] = sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # earlier connections may still be open
        sock.bind(address)
        sock.settimeout(TIMEOUT_S)

    def listen(self, name):
        """Accepts connections again after `refuse`."""
        self.listeners[name].listen()

    def clear_backlog(self, name):
        fillers = self.backlog_sockets.pop(name)
        fillers.pop().close()
        for sock in fillers:
            self.listeners[name].accept()[0].close()
            sock.close()

    def open(self, participant):
        self.connection(participant)

    def reset(self, participant):
        connection = self.connection(participant)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()

    def half_close(self, participant):
        self.connection(participant).sock.shutdown(socket.SHUT_WR)

    def endpoint_entry(self, text):
        name, _, status = text.partition("=")
        status, _, since = status.partition("@")
        return {
            "name": f"s-{name}",
            "address": address_of(self.listeners[name]),
            "zone": "z",
            "type": "k",
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": int(since or 0),
        }

    def run(self, text):
        lines = [line for line in text.splitlines() if line.strip()]
        for number, line in enumerate(lines, 1):
            command, participant, *arguments = line.split()
            try:
                getattr(self, command)(participant, *arguments)
            except Exception as err:
                raise AssertionError(
                    f"line {number}: {line.strip()}: {err!r}; log: {self.recent_log}"
                ) from err

    def send(self, participant, kind, *arguments):
        if participant == "gw" and kind == "reload":
            moved = arguments[0] in self.listeners
            self.config_path.write_text(
                json.dumps(self.config | {"discovery": address_of(self.listeners[arguments[0]])})
                if moved
                else arguments[0]
            )
            self.program.send_signal(signal.SIGHUP)
        elif participant == "gw":
            self.program.send_signal(getattr(signal, f"SIG{kind}"))
        elif participant[0] == "p":
            self.peer.sendto(" ".join(arguments).encode(), self.peer_address)
        elif participant[0] in "de":
            self._send_endpoint_list(self.connection(participant), kind, arguments)
        else:
            sock, slowly = self.connection(participant).sock, kind == "slowly"
            data = (
                self._payload(kind, arguments) if not slowly else self._payload(arguments[0], arguments[1:])
            )
            for part in [data[k : k + 1] for k in range(len(data))] if slowly else [data]:
                sock.sendall(part)

    def post(self, path):
        """Calls the operators' endpoint, which must answer yes."""
        host, _, port = self.config["control"].rpartition(":")
        with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
            sock.sendall(b"POST %b HTTP/1.1\r\nContent-Length: 0\r\n\r\n" % path.encode())
            assert sock.recv(4096).startswith(b"HTTP/1.1 200")

    def _wait_until_refused(self):
        """Connects until the gateway refuses; connections that it still accepts are closed."""
        end = time.monotonic() + TIMEOUT_S
        with contextlib.suppress(ConnectionError):
            while time.monotonic() < end:
                socket.create_connection(self.address, TIMEOUT_S).close()
            raise AssertionError("the gateway still accepts connections")

    def _payload(self, kind, arguments):
        if kind == "raw":
            return " ".join(arguments).encode().decode("unicode_escape").encode("latin-1")
        if kind == "ok":
            value = arguments[0].encode() if not arguments[0].isdigit() else b"v" * int(arguments[0])
            return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$14\r\ninflight=7,q=2\r\n" % (len(value), value)
        if kind[0] in "-+*$":
            return " ".join([kind, *arguments]).encode() + b"\r\n"
        self.sent_calls[arguments[0]] = call_command(kind, *arguments)
        return encode_command(self.sent_calls[arguments[0]])

    def _read_watch_request(self, connection):
        if not hasattr(connection, "request_head"):
            connection.request_head = [connection.file.readline() for _ in range(3)]
            assert connection.request_head[0].startswith(b"GET /v1/endpoints?stream=1&index=")

    def _send_endpoint_list(self, connection, kind, arguments):
        self._read_watch_request(connection)
        if not hasattr(connection, "response_started"):
            connection.response_started = True
            connection.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.list_index += 1
        body = (
            " ".join(arguments)
            if kind == "line"
            else json.dumps(
                {
                    "index": self.list_index,
                    "snapshot": kind == "full",
                    "endpoints": [self.endpoint_entry(e) for e in arguments],
                }
            )
        )
        data = body.encode() + b"\n"
        connection.sock.sendall(b"%x\r\n%b\r\n" % (len(data), data))

    def expect(self, participant, kind, *arguments):
        if participant == "gw":
            if kind == "exit":
                assert self.program.wait(TIMEOUT_S) == int(arguments[0])
            elif kind == "not_listening":
                self._wait_until_refused()
            elif kind == "stopped":
                os.waitpid(self.program.pid, os.WUNTRACED)
            else:
                self.wait_for_log(" ".join([kind, *arguments]))
        elif participant[0] == "p":
            assert len(self.peer.recv(4096)) <= 256
        elif kind == "request":
            self._read_watch_request(self.connection(participant))
        elif kind == "end":
            with contextlib.suppress(ConnectionError):
                assert self.connection(participant).file.read() == b""
        elif kind == "eof":
            assert self.connection(participant).file.read() == b""
        elif kind == "not_reset":
            assert self.connection(participant).sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        elif kind in EFFECT_BY_CLASS:
            received = self.connection(participant).read_message()
            number = str(int(received[2], 16)) if arguments[0] == "*" else arguments[0]
            self._assert_same_call(received, self.sent_calls[number])
        else:
            received = self.connection(participant).read_message()
            if kind == "ok":
                value = arguments[0].encode() if not arguments[0].isdigit() else b"v" * int(arguments[0])
                assert received == value, received[:99]
            else:
                pattern = " ".join([kind, *arguments])
                assert isinstance(received, str) and fnmatch.fnmatchcase(received, pattern), received

    @staticmethod
    def _assert_same_call(received, sent):
        def timeout_ms(words):
            return int(re.search(r"(?:^|,)d=(\d+)", words[3]).group(1))

        received, sent = [
            [word if isinstance(word, str) else word.decode() for word in words] for words in (received, sent)
        ]
        assert 0 < timeout_ms(received) <= timeout_ms(sent)
        assert re.sub(r"d=\d+", "d=", received[3]) == re.sub(r"d=\d+", "d=", sent[3])
        assert received[:3] + received[4:] == sent[:3] + sent[4:]

    def close(self, participant):
        if len(participant) == 1:
            self.listeners.pop(participant).close()
        else:
            self.connection(participant).close()

    def wait(self, participant, condition):
        name, _, value = condition.partition("=")
        end = time.monotonic() + TIMEOUT_S
        while (current := self.counters()[name]) != int(value):
            assert time.monotonic() < end, f"counter {name} is {current}"
            threading.Event().wait(POLL_INTERVAL_S)

    def counters(self):
        self.program.send_signal(signal.SIGUSR1)
        return json.loads(self.wait_for_log("counters *").split(" ", 1)[1])

    def own_memory_kb(self):
        """The memory of the program in KB without the pages of files (proc(5), RssAnon)."""
        with open(f"/proc/{self.program.pid}/status", encoding="ascii") as status:
            return int(re.search(r"RssAnon:\s+(\d+)", status.read()).group(1))

    def serve(self, client, name, number, backend, value):
        self.expect(backend, name, number)
        self.send(backend, "ok", value)
        self.expect(client, "ok", value)

    def freeze(self, participant):
        self.send(participant, "STOP")
        self.expect(participant, "stopped")

    def thaw(self, participant):
        self.send(participant, "CONT")

    def finish(self, client):
        self.expect(client, "eof")
        self.close(client)
        self.expect("gw", "exit", "0")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.tear_down()

    def tear_down(self):
        self.program.kill()
        self.program.wait()
        fillers = [sock for socks in self.backlog_sockets.values() for sock in socks]
        for resource in [*self.connections.values(), *self.listeners.values(), self.peer, *fillers]:
            resource.close()


def minimal_config():
    """A configuration with the required keys only."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "settings": settings(),
    }


def run_until_exit(path, env_overrides=None):
    """Runs a gateway with this configuration file until it exits by itself."""
    overrides = env_overrides or {}
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")} | {"RELAY_CONFIG": str(path)}
    return subprocess.run(
        [sys.executable, "-m", "zincstile"],
        cwd=ROOT,
        env=env | overrides,
        timeout=20,
        capture_output=True,
        text=True,
        pass_fds=tuple(int(v) for k, v in overrides.items() if k == "RELAY_SOCKET_FD" and v.isdigit()),
    )


def run_scenario(tmp_path, text, **config):
    """Runs one scenario against a new gateway, which must exit with code 0 or still run without a fault."""
    tmp_path.mkdir(exist_ok=True)
    with GatewayHarness(tmp_path, config) as harness:
        harness.run(text)
        assert harness.program.poll() in (None, 0)
        if harness.program.poll() is None:
            assert harness.counters()["faults"] == 0
