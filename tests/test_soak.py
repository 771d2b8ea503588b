"""The fault soak: its plans, its shim, and that what it has to find is named where it is put in."""

from __future__ import annotations

import errno
import os
import random
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from zincstile.cli import testbed as testbed_command
from zincstile.simulation import plan, soak
from zincstile.simulation.plan import Fault, Plan
from zincstile.testbed import sweep
from zincstile.testbed.shim_control import Knob, ShimControl

ROOT = Path(__file__).parent.parent
MOST_TOGETHER_MS = 5000  # troubles that begin within this of each other overlap or follow on


@pytest.mark.parametrize("seed", range(30))
def test_a_soak_is_two_or_three_groups_of_trouble_around_one_instant(seed, tmp_path):
    drawn = soak.draw(seed, 10)
    assert 2 <= len(set(soak.groups(seed))) <= 3
    assert soak.draw(seed, 10) == drawn != soak.draw(seed + 1, 10)
    began = [f.at_ms for f in drawn.faults if f.kind != "maintenance"]
    assert max(began) - min(began) < MOST_TOGETHER_MS
    assert sum(f.kind == "maintenance" for f in drawn.faults) == 2
    (tmp_path / "plan.yaml").write_text(plan.dump(drawn))
    assert plan.load(tmp_path / "plan.yaml") == drawn


def test_a_soak_without_a_seed_is_that_of_seed_1_and_seed_0_is_its_own():
    assert testbed_command._plan(None, None, 10) == soak.draw(1, 10)
    assert testbed_command._plan(None, 0, 10) == soak.draw(0, 10)


def test_every_group_and_every_fault_of_a_machine_is_drawn():
    seeds = range(200)
    assert {name for seed in seeds for name in soak.groups(seed)} == set(soak.GROUPS)
    kinds = {f.kind for seed in seeds for f in soak.draw(seed, 10).faults}
    assert kinds >= {
        *plan.REAL_PROCESS_KINDS,
        "crash",
        "roll",
        "drain",
        "deploy",
        "hang",
        "rude",
        "leave",
        "peers_cut",
    }


# ---- the shim, in a process of its own

PROBE = """
import errno, os, socket, sys, time
from pathlib import Path
from zincstile.testbed.shim import Shim
from zincstile.testbed.shim_control import Knob, ShimControl
control = ShimControl(Path(sys.argv[1]))
before = time.time_ns()
Shim(control, os.environ["TMPDIR"]).install()
def tried(act):
    try:
        return act()
    except OSError as err:
        return errno.errorcode[err.errno]
"""


def probe(tmp_path, text: str, **knobs: float) -> subprocess.CompletedProcess:
    """Runs lines of Python under the shim, with these values set."""
    (tmp_path / "folder").mkdir(exist_ok=True)
    control = ShimControl(tmp_path / "control")
    for name, value in knobs.items():
        control.set(Knob[name], value)
    env = os.environ | {"PYTHONPATH": str(ROOT), "TMPDIR": str(tmp_path / "folder")}
    words = [sys.executable, "-c", PROBE + text, str(tmp_path / "control")]
    return subprocess.run(words, env=env, text=True, capture_output=True, timeout=20)


def test_the_shim_disturbs_nothing_unless_it_is_told_to(tmp_path):
    text = """
a, b = socket.socketpair()
print(a.send(b"x" * 4096), b.recv_into(bytearray(8192)))
s = socket.create_server(("127.0.0.1", 0)); c = socket.create_connection(s.getsockname()); s.accept()
p = os.environ["TMPDIR"] + "/f"
with open(p + ".1", "wb") as f: f.write(b"whole")
os.replace(p + ".1", p); print(open(p, "rb").read(), abs(time.time_ns() - before) < 10**9)
"""
    assert probe(tmp_path, text).stdout == "4096 4096\nb'whole' True\n"


def test_the_shim_steps_the_wall_clock_alone(tmp_path):
    text = """
mono = time.monotonic_ns(); wall = time.time_ns()
control.set(Knob.WALL_OFFSET_S, -3600)
print(round((time.time_ns() - wall) / 1e9), round((time.monotonic_ns() - mono) / 1e9))
"""
    assert probe(tmp_path, text).stdout == "-3600 0\n"


@pytest.mark.parametrize(
    ("knob", "act", "found"),
    [
        ("SOCKET_SHARE", "socket.socket().close()", {"ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"}),
        ("ACCEPT_SHARE", "s.accept()", {"ECONNABORTED", "ENFILE", "EPERM", "EPROTO", "ENETDOWN"}),
        ("CONNECT_SHARE", "c.connect(s.getsockname())", {"EADDRNOTAVAIL", "ENETUNREACH", "ETIMEDOUT"}),
        ("BROKEN_SHARE", "d.recv_into(bytearray(9))", {"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"}),
        ("WRITE_SHARE", "open(p, 'wb').write(b'four')", {"ENOSPC", "EIO"}),
        ("WRITE_SHARE", "os.replace(p, p)", {"ENOSPC", "EIO"}),
        ("WRITE_SHARE", "os.fsync(2)", {"ENOSPC", "EIO"}),
        ("READ_SHARE", "open(p, 'rb')", {"EIO", "ENFILE", "EMFILE"}),
    ],
)
def test_calls_fail_with_errors_that_are_documented_for_them(tmp_path, knob, act, found):
    text = f"""
s = socket.create_server(("127.0.0.1", 0)); c = socket.socket()
d = socket.create_connection(s.getsockname()); p = os.environ["TMPDIR"] + "/f"
control.set(Knob.{knob}, 1.0)
print(*[tried(lambda: {act}) for _ in range(60)])
"""
    said = probe(tmp_path, text)
    assert set(said.stdout.split()) >= found, said.stderr


def test_short_reads_and_writes_lose_nothing(tmp_path):
    text = """
a, b = socket.socketpair(); a.setblocking(False); b.setblocking(False)
sent, got, buffer = 0, bytearray(), bytearray(4096); data = bytes(range(256)) * 4
control.set(Knob.SHORT_SHARE, 0.9)
while len(got) < len(data):
    n = tried(lambda: a.send(data[sent:])) if sent < len(data) else 0
    sent += n if isinstance(n, int) else 0
    n = tried(lambda: b.recv_into(buffer))
    got += buffer[:n] if isinstance(n, int) else b""
print(bytes(got) == data)
"""
    assert probe(tmp_path, text).stdout == "True\n"


def test_a_kill_leaves_half_a_write(tmp_path):
    text = "\nwith open(os.environ['TMPDIR'] + '/f', 'wb') as f: f.write(b'12345678')\n"
    done = probe(tmp_path, text, KILL_IN_WRITE=1)
    assert done.returncode == -signal.SIGKILL
    assert (tmp_path / "folder" / "f").read_bytes() == b"1234"
    assert ShimControl(tmp_path / "control").get(Knob.KILL_IN_WRITE) == 0


def test_draws_of_the_shim_follow_its_seed():
    from zincstile.testbed.shim import Shim

    class Fixed:
        def get(self, knob: Knob) -> float:
            return 0.5

    drawn = []
    for seed in (1, 1, 2):
        shim = Shim.__new__(Shim)
        shim.control, shim.rng = Fixed(), random.Random(seed)
        row = []
        for _ in range(20):
            try:
                shim.fail(Knob.ACCEPT_SHARE, (errno.ENFILE, errno.EPERM))
                row.append(0)
            except OSError as err:
                row.append(err.errno)
        drawn.append(row)
    assert drawn[0] == drawn[1] != drawn[2]


# ---- runs

SMALL = {"gateways": 3, "boxes": 6, "requests": 200, "last_ms": 3000, "anchored": False}


def test_operators_machines_and_reloads_in_one_run_of_real_processes(tmp_path):
    """Short calls, failing accepts, half files and an operator beside a restart: every rule holds."""
    faults = [
        Fault("maintenance", 200, 0, [0]),
        Fault("bad_reload", 600, 0, [0, 1, 2], 5.0),
        Fault("syscalls", 700, 900, [0, 1, 2], 0.2),
        Fault("short_io", 700, 900, [0, 1, 2], 0.3),
        Fault("crash", 1200, 200, [1]),
    ]
    found = sweep.play_plan(Plan(seed=91, faults=faults, **SMALL), tmp_path, "small", {})
    assert found.ok, found.breaches[:1]
    assert sum(row.counters["reloads"] for row in found.rows) >= 6
    assert found.tally["served"] > 30


def test_maintenance_that_a_gateway_forgets_is_named(tmp_path, monkeypatch):
    """Its folder is emptied beneath it, as nothing that keeps the rule would bear."""
    from zincstile.testbed.run import Run

    real = Run.start_gateway

    def start(self, node):
        for path in (node.folder / "tmp").iterdir():
            path.unlink()
        real(self, node)

    monkeypatch.setattr(Run, "start_gateway", start)
    faults = [Fault("maintenance", 200, 0, [0, 1, 2]), Fault("crash", 900, 100, [1])]
    found = sweep.play_plan(Plan(seed=92, faults=faults, **SMALL | {"last_ms": 5000}), tmp_path, "small", {})
    assert [b.rule for b in found.breaches][:1] == ["maintenance"], found.breaches[:1]


def test_a_gateway_that_never_gets_ready_is_named(tmp_path, monkeypatch):
    """It is started again with no list and a discovery that says nothing."""
    from zincstile.testbed import run as runs

    monkeypatch.setattr(runs, "RESTART_S", 1.0)
    monkeypatch.setattr(
        runs.Run, "known_list", lambda self, node: {} if node.starts > 1 else node.agent.snapshot()
    )
    faults = [Fault("discovery_silent", 500, 20_000, [1]), Fault("crash", 900, 100, [1])]
    small = SMALL | {"last_ms": 1500, "requests": 90}
    monkeypatch.setattr(runs, "END_S", -18.0)  # the run ends while discovery is still silent
    found = sweep.play_plan(Plan(seed=93, faults=faults, **small), tmp_path, "small", {})
    assert "ready" in [b.rule for b in found.breaches], found.breaches[:1]


def test_a_testbed_that_is_held_up_blames_no_gateway(monkeypatch):
    """What it reads during its own delay, or while it catches up, counts as come before; else as come now."""
    from zincstile.testbed import probe as probes

    now = [0]
    monkeypatch.setattr(probes.time, "monotonic_ns", lambda: now[0])

    class Loop:
        def call_later(self, *planned):
            pass

    probe = probes.Probe(None, None, lambda: 0.0)
    for _ in range(3):
        now[0] += probes.TICK_NS
        probe.measure_loop_delay(Loop())
        assert probe.loop_delay_ns() == 0
    now[0] += 500_000_000
    assert probe.loop_delay_ns() == 500_000_000 - 2 * probes.TICK_NS
    probe.measure_loop_delay(Loop())
    now[0] += probes.CATCH_UP_NS - 1
    assert probe.loop_delay_ns() >= 500_000_000 - 2 * probes.TICK_NS
    for _ in range(2):
        now[0] += probes.TICK_NS
        probe.measure_loop_delay(Loop())
        now[0] += probes.CATCH_UP_NS
        probe.measure_loop_delay(Loop())
    for _ in range(probes.CATCH_UP_NS // probes.TICK_NS + 1):
        now[0] += probes.TICK_NS
        probe.measure_loop_delay(Loop())
    assert probe.loop_delay_ns() == 0
