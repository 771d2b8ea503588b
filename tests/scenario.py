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
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

from test_wire import SETTINGS

# An address of its own for each process that plays tests: what a gateway of one still dials after a listener
# has gone may be another's by then.
LOOPBACK_ADDRESS = f"127.0.0.{1 + int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0')[2:])}"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TIMEOUT_S = 20  # seconds until something expected counts as missing; nothing waits for it when all is well
POLL_INTERVAL_S = 0.01  # seconds between two looks at the counters
SECOND = 10**9
CUSTOMER = "00000000b4d65521"
EFFECT_BY_CLASS = {"look": "free", "book": "single_shot", "put": "guarded"}

FOREVER_NS = 10**12  # ns: a time that no test lives to see
NO_CONNECT_TIMEOUT = {
    "connect_timeout_ns": FOREVER_NS
}  # settings by which an attempt waits for its connection

# Texts that many scenarios share: a PING, the first list of servers, a call that is answered.
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


def encode_command(words):
    words = [w.encode() if isinstance(w, str) else w for w in words]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


def call_command(name, number, *over, body=None):
    fields = {"c": name, "t": "team", "d": "20000", "units": "1", "spread": "1", "first": "0"}
    if EFFECT_BY_CLASS.get(name) == "guarded":
        fields["k"] = "5c0f6e1a2b3d4c59"
    for part in over:
        key, _, value = part.partition("=")
        if key == "body":
            body = value.encode() if not value.isdigit() else b"x" * int(value)
        else:
            fields[key] = value
    verb = "CALL.GET" if EFFECT_BY_CLASS.get(name, "free") == "free" else "CALL.POST"
    words = [verb, CUSTOMER, f"{int(number):016x}", ",".join(f"{k}={v}" for k, v in fields.items() if v)]
    return words + ([body] if body else [])


class RespConnection:
    """One side of a TCP connection, read in whole RESP messages."""

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
    """The program and all that it speaks with, each on a port of its own that the system chose."""

    def __init__(self, folder, config=None, full_settings=None):
        """config: what is other than usual; full_settings: settings in place of the usual ones."""
        self.listeners = {name: open_listener() for name in "abcde"}
        self.connections, self.backlog_sockets = {}, {}
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind((LOOPBACK_ADDRESS, 0))
        self.peer.settimeout(TIMEOUT_S)
        self.sent_calls, self.list_index, self.recent_log = {}, 0, []
        table = {
            "name": "n0",
            "listen": f"{LOOPBACK_ADDRESS}:0",
            "discovery": address_of(self.listeners["d"]),
            "seed": "8c1f",
            "limits": {
                "cores": 1.0,
                "memory_mb": 192,
                "sockets": 1024,
                "answer_ns": 2 * SECOND,
                "settled_ns": 1,
            },  # taken again at once, where a test says no more
            "peer_listen": f"{LOOPBACK_ADDRESS}:0",
            "peers": [f"{LOOPBACK_ADDRESS}:1", address_of(self.peer)],
            "settings": full_settings or settings(),
            "known": {"index": 0, "snapshot": True, "endpoints": []},
        }
        for name in (config or {}).pop("known_servers", ""):
            table["known"]["endpoints"].append(self.endpoint_entry(f"{name}=Ready"))
        self.config_path, self.config = folder / "config.json", merge(table, config or {})
        self.config_path.write_text(json.dumps(self.config))
        self.launch()

    def command(self):
        """The command by which the program is started."""
        return [sys.executable, "-m", "zincstile"]

    def extra_environment(self):
        """Besides the usual."""
        return {}

    def inherited_descriptors(self):
        """That the program inherits."""
        return ()

    def tmpdir(self):
        """The folder that the program's processes share."""
        return self.config_path.parent

    def launch(self):
        """Starts the program, and waits until it listens; the old one has to have ended."""
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
        self.log = queue.Queue()  # of this process alone
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
        raise AssertionError(f"no log line like {pattern!r}: {self.recent_log}")

    def connection(self, name):
        while name not in self.connections:
            if name[0] == "c":
                self.connections[name] = RespConnection(socket.create_connection(self.address, TIMEOUT_S))
                continue
            number = sum(n[0] == name[0] for n in self.connections) + 1
            self.connections[f"{name[0]}{number}"] = RespConnection(self.listeners[name[0]].accept()[0])
        return self.connections[name]

    def fill_backlog(self, name):
        """Takes all places in the line of a listener: what else would connect waits for one."""
        self.listeners[name].listen(0)
        self.backlog_sockets[name] = [socket.create_connection(self.listeners[name].getsockname(), TIMEOUT_S)]
        while True:  # until one is not let in; in a moment, where it is
            sock = socket.socket()
            self.backlog_sockets[name].append(sock)
            sock.settimeout(0.1)
            try:
                sock.connect(self.listeners[name].getsockname())
            except TimeoutError:
                return

    def refuse(self, name):
        """Nobody listens at its address any more, which is still its own."""
        where_it_was = self.listeners[name].getsockname()
        self.listeners[name].close()
        self.listeners[name] = sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # connections of before may be open
        sock.bind(where_it_was)
        sock.settimeout(TIMEOUT_S)

    def listen(self, name):
        """Again, where it was refused."""
        self.listeners[name].listen()

    def clear_backlog(self, name):
        fills = self.backlog_sockets.pop(name)
        fills.pop().close()
        for sock in fills:
            self.listeners[name].accept()[0].close()
            sock.close()

    def open(self, who):
        self.connection(who)

    def reset(self, who):
        line = self.connection(who)
        line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        line.close()

    def half_close(self, who):
        self.connection(who).sock.shutdown(socket.SHUT_WR)

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
        rows = [row for row in text.splitlines() if row.strip()]
        for number, row in enumerate(rows, 1):
            verb, who, *rest = row.split()
            try:
                getattr(self, verb)(who, *rest)
            except Exception as err:
                raise AssertionError(
                    f"line {number}: {row.strip()}: {err!r}; log: {self.recent_log}"
                ) from err

    def send(self, who, what, *rest):
        if who == "gw" and what == "reload":
            moved = rest[0] in self.listeners
            self.config_path.write_text(
                json.dumps(self.config | {"discovery": address_of(self.listeners[rest[0]])})
                if moved
                else rest[0]
            )
            self.program.send_signal(signal.SIGHUP)
        elif who == "gw":
            self.program.send_signal(getattr(signal, f"SIG{what}"))
        elif who[0] == "p":
            self.peer.sendto(" ".join(rest).encode(), self.peer_address)
        elif who[0] in "de":
            self._send_endpoint_list(self.connection(who), what, rest)
        else:
            sock, slowly = self.connection(who).sock, what == "slowly"
            data = self._payload(what, rest) if not slowly else self._payload(rest[0], rest[1:])
            for part in [data[k : k + 1] for k in range(len(data))] if slowly else [data]:
                sock.sendall(part)

    def _wait_until_refused(self):
        """Until nobody listens there any more; what is taken till then is closed."""
        end = time.monotonic() + TIMEOUT_S
        with contextlib.suppress(ConnectionError):
            while time.monotonic() < end:
                socket.create_connection(self.address, TIMEOUT_S).close()
            raise AssertionError("it still takes connections")

    def _payload(self, what, rest):
        if what == "raw":
            return " ".join(rest).encode().decode("unicode_escape").encode("latin-1")
        if what == "ok":
            value = rest[0].encode() if not rest[0].isdigit() else b"v" * int(rest[0])
            return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$14\r\ninflight=7,q=2\r\n" % (len(value), value)
        if what[0] in "-+*$":
            return " ".join([what, *rest]).encode() + b"\r\n"
        self.sent_calls[rest[0]] = call_command(what, *rest)
        return encode_command(self.sent_calls[rest[0]])

    def _read_watch_request(self, line):
        if not hasattr(line, "request_head"):
            line.request_head = [line.file.readline() for _ in range(3)]
            assert line.request_head[0].startswith(b"GET /v1/endpoints?stream=1&index=")

    def _send_endpoint_list(self, line, what, rest):
        self._read_watch_request(line)
        if not hasattr(line, "response_started"):
            line.response_started = True
            line.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.list_index += 1
        body = (
            " ".join(rest)
            if what == "line"
            else json.dumps(
                {
                    "index": self.list_index,
                    "snapshot": what == "full",
                    "endpoints": [self.endpoint_entry(e) for e in rest],
                }
            )
        )
        data = body.encode() + b"\n"
        line.sock.sendall(b"%x\r\n%b\r\n" % (len(data), data))

    def expect(self, who, what, *rest):
        if who == "gw":
            if what == "exit":
                assert self.program.wait(TIMEOUT_S) == int(rest[0])
            elif what == "not_listening":
                self._wait_until_refused()
            elif what == "stopped":
                os.waitpid(self.program.pid, os.WUNTRACED)
            else:
                self.wait_for_log(" ".join([what, *rest]))
        elif who[0] == "p":
            assert len(self.peer.recv(4096)) <= 256
        elif what == "request":
            self._read_watch_request(self.connection(who))
        elif what == "end":
            with contextlib.suppress(ConnectionError):
                assert self.connection(who).file.read() == b""
        elif what == "eof":
            assert self.connection(who).file.read() == b""
        elif what == "not_reset":
            assert self.connection(who).sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        elif what in EFFECT_BY_CLASS:
            found = self.connection(who).read_message()
            number = str(int(found[2], 16)) if rest[0] == "*" else rest[0]
            self._assert_same_call(found, self.sent_calls[number])
        else:
            found = self.connection(who).read_message()
            if what == "ok":
                value = rest[0].encode() if not rest[0].isdigit() else b"v" * int(rest[0])
                assert found == value, found[:99]
            else:
                pattern = " ".join([what, *rest])
                assert isinstance(found, str) and fnmatch.fnmatchcase(found, pattern), found

    @staticmethod
    def _assert_same_call(found, asked):
        def wait(words):
            return int(re.search(r"(?:^|,)d=(\d+)", words[3]).group(1))

        found, asked = [[w if isinstance(w, str) else w.decode() for w in words] for words in (found, asked)]
        assert 0 < wait(found) <= wait(asked)
        assert re.sub(r"d=\d+", "d=", found[3]) == re.sub(r"d=\d+", "d=", asked[3])
        assert found[:3] + found[4:] == asked[:3] + asked[4:]

    def close(self, who):
        if len(who) == 1:
            self.listeners.pop(who).close()
        else:
            self.connection(who).close()

    def wait(self, who, until):
        name, _, value = until.partition("=")
        end = time.monotonic() + TIMEOUT_S
        while (found := self.counters()[name]) != int(value):
            assert time.monotonic() < end, f"{name} is {found}"
            threading.Event().wait(POLL_INTERVAL_S)

    def counters(self):
        self.program.send_signal(signal.SIGUSR1)
        return json.loads(self.wait_for_log("counters *").split(" ", 1)[1])

    def serve(self, client, name, number, backend, value):
        self.expect(backend, name, number)
        self.send(backend, "ok", value)
        self.expect(client, "ok", value)

    def freeze(self, who):
        self.send(who, "STOP")
        self.expect(who, "stopped")

    def thaw(self, who):
        self.send(who, "CONT")

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
        fills = [sock for socks in self.backlog_sockets.values() for sock in socks]
        for thing in [*self.connections.values(), *self.listeners.values(), self.peer, *fills]:
            thing.close()


def minimal_config():
    """The least that a configuration has to say."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "settings": settings(),
    }


def run_until_exit(path, env_overrides=None):
    """A gateway that is told of this file, until it ends by itself."""
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
    """One scenario against a gateway of its own, which has to live to the end without a fault."""
    tmp_path.mkdir(exist_ok=True)
    with GatewayHarness(tmp_path, config) as harness:
        harness.run(text)
        assert harness.program.poll() in (None, 0)
        if harness.program.poll() is None:
            assert harness.counters()["faults"] == 0
