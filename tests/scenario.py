"""A small language for scenarios played against the real program over sockets: send, expect, close, wait.

Who takes part is named in the second word of a line:

    c1, c2 ...  clients; each connects when it is first named
    a1, a2 ...  connections that the gateway opened to backend server a (b, c ...), in their order
    d1, d2 ...  watches that the gateway opened at discovery; e1 ... where discovery is found after a reload
    p1          the other gateway
    gw          the program itself

    send c1 look 1 d=900        a call of class look under id 1, with other values than the usual ones
    send c1 raw PING\\r\\n        bytes as they stand; `send c1 slowly look 1` sends them one by one
    send a1 ok hello            an answer with that value; `send a1 -BUSY` any other line
    send d1 full a=Ready        the whole server table; `change`: what changed in it; `say`: a line as it is
    send p1 raw hello           a datagram to the gateway
    send gw TERM                a signal; `send gw reload e`: discovery moves to e, `reload TEXT`: that file
    expect c1 ok hello          the next answer; a line may hold * and ?
    expect c1 end               the connection is closed; `eof`: by its end, not by a reset
    expect c1 unbroken          no reset has come on it
    expect a1 look 1            the next command there is that call, its time no longer than the client's
    expect gw ready*            a log line like it comes; `expect gw exit 0`, `stopped` (by SIGSTOP),
                                `shut` (it takes no more connections)
    expect d2 asked             a watch asks for its list, and nothing is told yet
    expect p1 message           a datagram comes in
    close c1                    `close a` closes the listening socket of a
    reset c1                    closed by a reset; `half c1` ends the sending side alone
    open c1                     connects without a word; `open a1`: the next connection there is taken
    refuse a                    connections to a are refused; `listen a`: they are taken again
    fill a                      connections to a do not come up any more; `free a`: those on their way do
    wait gw abandoned=1         until the counters say so
    serve c1 look 1 a1 hello    the call of c1 comes at a1, which answers with that value, and c1 gets it
    freeze gw                   stops the program by SIGSTOP; `thaw gw`: it goes on
    finish c1                   c1 reads its end and closes, and the program exits as after a stop
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
HOME = f"127.0.0.{1 + int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0')[2:])}"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PATIENCE = 20  # seconds until something expected counts as missing; nothing waits for it when all is well
PACE = 0.01  # seconds between two looks at the counters
SECOND = 10**9
CUSTOMER = "00000000b4d65521"
EFFECTS = {"look": "free", "book": "single_shot", "put": "guarded"}

NEVER = 10**12  # ns: a time that no test lives to see
LONG_DIAL = {"connect_timeout_ns": NEVER}  # settings by which an attempt waits for its connection

# Texts that many scenarios share: a PING, the first list of servers, a call that is answered.
PING = r"raw *1\r\n$4\r\nPING\r\n"
READY = "send d1 full a=Ready\nexpect gw ready*from discovery\n"
SERVES = "send c9 look 99\nexpect a1 look 99\nsend a1 ok still\nexpect c9 ok still\n"


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
        for name, effect in EFFECTS.items()
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


def merge(table, over):
    return {
        k: merge(table[k], v) if isinstance(v, dict) and isinstance(table.get(k), dict) else v
        for k, v in (table | over).items()
    }


def listener():
    sock = socket.create_server((HOME, 0))
    sock.settimeout(PATIENCE)
    return sock


def where(sock):
    return "{}:{}".format(*sock.getsockname()[:2])


def encode(words):
    words = [w.encode() if isinstance(w, str) else w for w in words]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


def call(name, number, *over, body=None):
    fields = {"c": name, "t": "team", "d": "20000", "units": "1", "spread": "1", "first": "0"}
    if EFFECTS.get(name) == "guarded":
        fields["k"] = "5c0f6e1a2b3d4c59"
    for part in over:
        key, _, value = part.partition("=")
        if key == "body":
            body = value.encode() if not value.isdigit() else b"x" * int(value)
        else:
            fields[key] = value
    verb = "CALL.GET" if EFFECTS.get(name, "free") == "free" else "CALL.POST"
    words = [verb, CUSTOMER, f"{int(number):016x}", ",".join(f"{k}={v}" for k, v in fields.items() if v)]
    return words + ([body] if body else [])


class Line:
    """One side of a TCP connection, read in whole RESP messages."""

    def __init__(self, sock):
        self.sock, self.file = sock, sock.makefile("rb")
        sock.settimeout(PATIENCE)

    def message(self):
        line = self.file.readline()
        if line[:1] == b"$" and line != b"$-1\r\n":
            return self.file.read(int(line[1:]) + 2)[:-2]
        if line[:1] == b"*":
            return [self.message() for _ in range(int(line[1:]))]
        return line.decode().rstrip("\r\n")

    def close(self):
        self.file.close()
        self.sock.close()


class World:
    """The program and all that it speaks with, each on a port of its own that the system chose."""

    def __init__(self, folder, config=None, whole=None):
        """config: what is other than usual; whole: settings in place of the usual ones."""
        self.listeners = {name: listener() for name in "abcde"}
        self.lines, self.fills = {}, {}
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind((HOME, 0))
        self.peer.settimeout(PATIENCE)
        self.asked, self.index, self.said = {}, 0, []
        table = {
            "name": "n0",
            "listen": f"{HOME}:0",
            "discovery": where(self.listeners["d"]),
            "seed": "8c1f",
            "limits": {
                "cores": 1.0,
                "memory_mb": 192,
                "sockets": 1024,
                "answer_ns": 2 * SECOND,
                "settled_ns": 1,
            },  # taken again at once, where a test says no more
            "peer_listen": f"{HOME}:0",
            "peers": [f"{HOME}:1", where(self.peer)],
            "settings": whole or settings(),
            "known": {"index": 0, "snapshot": True, "endpoints": []},
        }
        for name in (config or {}).pop("known_servers", ""):
            table["known"]["endpoints"].append(self.entry(f"{name}=Ready"))
        self.path, self.table = folder / "config.json", merge(table, config or {})
        self.path.write_text(json.dumps(self.table))
        self.launch()

    def words(self):
        """The command by which the program is started."""
        return [sys.executable, "-m", "zincstile"]

    def environment(self):
        """Besides the usual."""
        return {}

    def descriptors(self):
        """That the program inherits."""
        return ()

    def tmpdir(self):
        """The folder that the program's processes share."""
        return self.path.parent

    def launch(self):
        """Starts the program, and waits until it listens; the old one has to have ended."""
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        self.program = subprocess.Popen(
            self.words(),
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env=env | {"RELAY_CONFIG": str(self.path), "TMPDIR": str(self.tmpdir())} | self.environment(),
            text=True,
            pass_fds=self.descriptors(),
        )
        self.log = queue.Queue()  # of this process alone
        threading.Thread(target=self._read_log, args=(self.program, self.log), daemon=True).start()
        addresses = re.findall(r"(127\S+):(\d+)", self.logged("start listening on *"))
        self.address, self.peer_address = ((host, int(port)) for host, port in [*addresses, ("", 0)][:2])

    @staticmethod
    def _read_log(program, log):
        for line in program.stderr:
            log.put(line.rstrip("\n").split(" ", 2)[-1])
        log.put(None)

    def logged(self, pattern):
        end = time.monotonic() + PATIENCE
        while (line := self.log.get(timeout=max(0.01, end - time.monotonic()))) is not None:
            self.said = [*self.said[-9:], line]
            if fnmatch.fnmatchcase(line, pattern):
                return line
        raise AssertionError(f"no log line like {pattern!r}: {self.said}")

    def line(self, name):
        while name not in self.lines:
            if name[0] == "c":
                self.lines[name] = Line(socket.create_connection(self.address, PATIENCE))
                continue
            number = sum(n[0] == name[0] for n in self.lines) + 1
            self.lines[f"{name[0]}{number}"] = Line(self.listeners[name[0]].accept()[0])
        return self.lines[name]

    def fill(self, name):
        """Takes all places in the line of a listener: what else would connect waits for one."""
        self.listeners[name].listen(0)
        self.fills[name] = [socket.create_connection(self.listeners[name].getsockname(), PATIENCE)]
        while True:  # until one is not let in; in a moment, where it is
            sock = socket.socket()
            self.fills[name].append(sock)
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
        sock.settimeout(PATIENCE)

    def listen(self, name):
        """Again, where it was refused."""
        self.listeners[name].listen()

    def free(self, name):
        fills = self.fills.pop(name)
        fills.pop().close()
        for sock in fills:
            self.listeners[name].accept()[0].close()
            sock.close()

    def open(self, who):
        self.line(who)

    def reset(self, who):
        line = self.line(who)
        line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        line.close()

    def half(self, who):
        self.line(who).sock.shutdown(socket.SHUT_WR)

    def entry(self, text):
        name, _, status = text.partition("=")
        status, _, since = status.partition("@")
        return {
            "name": f"s-{name}",
            "address": where(self.listeners[name]),
            "zone": "z",
            "type": "k",
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": int(since or 0),
        }

    def play(self, text):
        rows = [row for row in text.splitlines() if row.strip()]
        for number, row in enumerate(rows, 1):
            verb, who, *rest = row.split()
            try:
                getattr(self, verb)(who, *rest)
            except Exception as err:
                raise AssertionError(f"line {number}: {row.strip()}: {err!r}; log: {self.said}") from err

    def send(self, who, what, *rest):
        if who == "gw" and what == "reload":
            moved = rest[0] in self.listeners
            self.path.write_text(
                json.dumps(self.table | {"discovery": where(self.listeners[rest[0]])}) if moved else rest[0]
            )
            self.program.send_signal(signal.SIGHUP)
        elif who == "gw":
            self.program.send_signal(getattr(signal, f"SIG{what}"))
        elif who[0] == "p":
            self.peer.sendto(" ".join(rest).encode(), self.peer_address)
        elif who[0] in "de":
            self._tell(self.line(who), what, rest)
        else:
            sock, slowly = self.line(who).sock, what == "slowly"
            data = self._bytes(what, rest) if not slowly else self._bytes(rest[0], rest[1:])
            for part in [data[k : k + 1] for k in range(len(data))] if slowly else [data]:
                sock.sendall(part)

    def _refused(self):
        """Until nobody listens there any more; what is taken till then is closed."""
        end = time.monotonic() + PATIENCE
        with contextlib.suppress(ConnectionError):
            while time.monotonic() < end:
                socket.create_connection(self.address, PATIENCE).close()
            raise AssertionError("it still takes connections")

    def _bytes(self, what, rest):
        if what == "raw":
            return " ".join(rest).encode().decode("unicode_escape").encode("latin-1")
        if what == "ok":
            value = rest[0].encode() if not rest[0].isdigit() else b"v" * int(rest[0])
            return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$14\r\ninflight=7,q=2\r\n" % (len(value), value)
        if what[0] in "-+*$":
            return " ".join([what, *rest]).encode() + b"\r\n"
        self.asked[rest[0]] = call(what, *rest)
        return encode(self.asked[rest[0]])

    def _asked(self, line):
        if not hasattr(line, "head"):
            line.head = [line.file.readline() for _ in range(3)]
            assert line.head[0].startswith(b"GET /v1/endpoints?stream=1&index=")

    def _tell(self, line, what, rest):
        self._asked(line)
        if not hasattr(line, "begun"):
            line.begun = True
            line.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.index += 1
        body = (
            " ".join(rest)
            if what == "say"
            else json.dumps(
                {"index": self.index, "snapshot": what == "full", "endpoints": [self.entry(e) for e in rest]}
            )
        )
        data = body.encode() + b"\n"
        line.sock.sendall(b"%x\r\n%b\r\n" % (len(data), data))

    def expect(self, who, what, *rest):
        if who == "gw":
            if what == "exit":
                assert self.program.wait(PATIENCE) == int(rest[0])
            elif what == "shut":
                self._refused()
            elif what == "stopped":
                os.waitpid(self.program.pid, os.WUNTRACED)
            else:
                self.logged(" ".join([what, *rest]))
        elif who[0] == "p":
            assert len(self.peer.recv(4096)) <= 256
        elif what == "asked":
            self._asked(self.line(who))
        elif what == "end":
            with contextlib.suppress(ConnectionError):
                assert self.line(who).file.read() == b""
        elif what == "eof":
            assert self.line(who).file.read() == b""
        elif what == "unbroken":
            assert self.line(who).sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        elif what in EFFECTS:
            found = self.line(who).message()
            number = str(int(found[2], 16)) if rest[0] == "*" else rest[0]
            self._expect_call(found, self.asked[number])
        else:
            found = self.line(who).message()
            if what == "ok":
                value = rest[0].encode() if not rest[0].isdigit() else b"v" * int(rest[0])
                assert found == value, found[:99]
            else:
                pattern = " ".join([what, *rest])
                assert isinstance(found, str) and fnmatch.fnmatchcase(found, pattern), found

    @staticmethod
    def _expect_call(found, asked):
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
            self.line(who).close()

    def wait(self, who, until):
        name, _, value = until.partition("=")
        end = time.monotonic() + PATIENCE
        while (found := self.counters()[name]) != int(value):
            assert time.monotonic() < end, f"{name} is {found}"
            threading.Event().wait(PACE)

    def counters(self):
        self.program.send_signal(signal.SIGUSR1)
        return json.loads(self.logged("counters *").split(" ", 1)[1])

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
        self.end()

    def end(self):
        self.program.kill()
        self.program.wait()
        fills = [sock for socks in self.fills.values() for sock in socks]
        for thing in [*self.lines.values(), *self.listeners.values(), self.peer, *fills]:
            thing.close()


def smallest():
    """The least that a configuration has to say."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "settings": settings(),
    }


def run_to_end(path, env_over=None):
    """A gateway that is told of this file, until it ends by itself."""
    over = env_over or {}
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")} | {"RELAY_CONFIG": str(path)}
    return subprocess.run(
        [sys.executable, "-m", "zincstile"],
        cwd=ROOT,
        env=env | over,
        timeout=20,
        capture_output=True,
        text=True,
        pass_fds=tuple(int(v) for k, v in over.items() if k == "RELAY_SOCKET_FD" and v.isdigit()),
    )


def play(tmp_path, text, **config):
    """One scenario against a gateway of its own, which has to live to the end without a fault."""
    tmp_path.mkdir(exist_ok=True)
    with World(tmp_path, config) as world:
        world.play(text)
        assert world.program.poll() in (None, 0)
        if world.program.poll() is None:
            assert world.counters()["faults"] == 0
