"""Runs of real processes with faults: the plans that CI plays, and the parts of the testbed."""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import pytest

from zincstile.simulation import plan, traffic
from zincstile.simulation.run import Run
from zincstile.testbed import places, report, result, sweep
from zincstile.testbed import run as testbed_run
from zincstile.testbed.fault_proxy import FaultProxy
from zincstile.virtual.network_faults import NO_FAULT, NetworkFaults, PathFault, paths_between

ROOT = Path(__file__).parent.parent
PLANS = sorted((Path(__file__).parent / "plans" / "field").glob("*.yaml"))


def run_testbed(*arguments, **more):
    return subprocess.run(
        [sys.executable, "-m", "zincstile", "testbed", *arguments],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=120,
        **more,
    )


def play(job):
    path, folder = job
    Path(folder).mkdir()
    return sweep.play_plan(plan.load(path), Path(folder), Path(path).stem, {})


def test_the_connections_of_the_clients_are_closed_at_the_end_of_a_run():
    """Guards against a clean-up that asks for the load balancer by another name than it has."""
    closed = []
    testbed = SimpleNamespace(
        nodes=[],
        backends={},
        quota_services={},
        load_balancer=SimpleNamespace(close=lambda: closed.append("clients")),
        cancel_tasks=lambda: closed.append("tasks"),
    )
    testbed_run.Run.clean_up(testbed)
    assert closed == ["clients", "tasks"]


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Results of all plans, three played in parallel: verdicts rest on bounds and counts, not on speed."""
    folder = tmp_path_factory.mktemp("field")
    with multiprocessing.get_context("spawn").Pool(3) as pool:
        done = pool.map(play, [(p, str(folder / p.stem)) for p in PLANS], chunksize=1)
    return dict(zip((p.stem for p in PLANS), done, strict=True))


@pytest.mark.parametrize("name", [p.stem for p in PLANS])
def test_real_processes_keep_every_rule_and_bound(name, results, tmp_path):
    found = results[name]
    assert found.ok, found.breaches[:1]
    assert found.tally["served"] > 30 and found.requests > 150
    assert all(p.worst <= p.bound for p in found.plans if p.bound)
    assert name != "throng" or 0 < found.nearest["cold_calls"] <= 1
    assert {r.name for r in found.rows} == set(found.ready_s) and all(r.datagrams for r in found.rows)
    result.write(found, tmp_path / "r.json")
    assert result.read(tmp_path / "r.json") == found
    report.write([("a", found), ("b", found)], tmp_path / "r.html")
    assert (tmp_path / "r.html").read_text().count("<svg") >= 16


@pytest.mark.parametrize("path", [p for p in PLANS if "upgrade" not in p.stem], ids=lambda p: p.stem)
def test_the_same_plan_plays_on_virtual_time(path):
    found = Run(plan.load(path)).play()
    assert found.breach is None, found.breach.text


def test_a_rule_that_real_processes_break_is_named(tmp_path, monkeypatch):
    """Gossip shares exceed a quota bound of 0.1 units while the zones are partitioned."""
    bounds = {n: (p[1], p[1] * p[2], 0.1) for n, p in traffic.PLANS.items()}
    monkeypatch.setattr(traffic, "quotas", lambda: bounds)
    plan_without_leases = plan.load(PLANS[[p.stem for p in PLANS].index("halves")])
    plan_without_leases.share = False
    found = sweep.play_plan(plan_without_leases, tmp_path, "bare", {})
    assert not found.ok and found.breaches[0].rule == "quota" and found.breaches[0].history
    assert "quota" in report.page([("x", found)])


def test_no_process_is_left_when_the_testbed_is_killed(tmp_path):
    command = [sys.executable, "-m", "zincstile", "testbed", "run", str(PLANS[0]), "--keep", str(tmp_path)]
    run = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    until = time.monotonic() + 30
    while not (tmp_path / "g0" / "log").exists() and time.monotonic() < until:
        time.sleep(0.05)
    time.sleep(0.5)
    gateway_pids = [p for p in _child_pids(run.pid) if p != run.pid]
    assert gateway_pids
    run.send_signal(signal.SIGKILL)
    run.wait()
    until = time.monotonic() + 10
    while any(_is_alive(p) for p in gateway_pids) and time.monotonic() < until:
        time.sleep(0.05)
    assert not any(_is_alive(p) for p in gateway_pids)


def _child_pids(pid):
    pids = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                parent = int((entry / "stat").read_text().rpartition(")")[2].split()[1])
            except OSError:
                continue
            if parent == pid:
                pids.append(int(entry.name))
    return pids


def _is_alive(pid):
    try:
        return (Path("/proc") / str(pid) / "stat").read_text().rpartition(")")[2].split()[0] not in ("Z", "X")
    except OSError:
        return False


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["run", "none.yaml"], "none.yaml: No such file"),
        (["report", "none.json", "--out", "x"], "none.json"),
        (["sweep", "--seeds", "3:1"], "not a range"),
        (["sweep", "--seeds", "1:2", "--kind", "rain"], "no such failure"),
        (["run", str(PLANS[0]), "--feature", "shared=none.yaml"], "not NAME=FILE"),
    ],
)
def test_invalid_arguments_are_reported_in_one_line(arguments, expected):
    done = run_testbed(*arguments)
    assert done.returncode == 2 and expected in done.stderr and done.stderr.count("\n") == 1


def test_errors_of_invalid_plans_and_results_name_the_file_and_position(tmp_path):
    path = tmp_path / "p.yaml"
    path.write_text("seed: 1\nboxes: 100\ngateways: 251\n")
    assert "p.yaml:3: $.gateways" in run_testbed("run", str(path)).stderr
    (tmp_path / "r.json").write_text("{}")
    assert "r.json: not a result" in run_testbed("report", str(tmp_path / "r.json"), "--out", "x").stderr


def test_path_faults_add_up_and_removing_one_twice_has_no_further_effect():
    faults = NetworkFaults(random.Random(1))
    changed = []
    faults.on_change.append(changed.append)
    remove_first = faults.inject(
        paths_between(["a"], ["b", "a"], "out"), PathFault(loss_ratio=0.5, delay_s=0.1)
    )
    remove_second = faults.inject(
        paths_between(["a"], ["b"]), PathFault(loss_ratio=0.5, delay_s=0.2, datagrams_per_s=2.0)
    )
    both = faults.fault_on("a", "b")
    assert both.loss_ratio == 0.75 and both.delay_s == pytest.approx(0.3)
    assert faults.fault_on("b", "a").loss_ratio == 0.5
    remove_first()
    remove_first()
    assert faults.fault_on("a", "b").loss_ratio == 0.5 and faults.fault_on("a", "c") is NO_FAULT
    passed = sum(bool(faults.copy_delays_s("a", "b", 1.0)) for _ in range(200))
    assert passed <= 2  # a rate of two a second
    remove_second()
    assert faults.copy_delays_s("a", "b", 1.0) == [0.0] and len(changed) == 4
    with pytest.raises(ValueError, match="duplicate_ratio must be from 0 to 1"):
        PathFault(loss_ratio=1.5)


def test_addresses_identify_both_ends_and_a_black_hole_establishes_no_connection():
    assert places.parse_address(places.address_for_gateway(places.BACKEND, 199, 7)) == (
        places.BACKEND,
        199,
        7,
    )
    with places.reserve_block() as one, places.reserve_block() as other:
        assert one != other

    async def play():
        sock = places.loopback_socket(1, reuse=True)  # SOCK_STREAM
        server = await asyncio.get_running_loop().create_server(asyncio.Protocol, sock=sock)
        port = sock.getsockname()[1]
        hole = places.BlackHole("127.102.9.1", port)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await asyncio.open_connection("127.102.9.1", port)
        _, unaffected = await asyncio.open_connection("127.102.9.2", port)
        hole.close()
        _, restored = await asyncio.open_connection("127.102.9.1", port)
        unaffected.close()
        restored.close()
        server.close()

    asyncio.run(play())


def test_the_shim_reports_a_missing_configuration_as_the_program_does(tmp_path):
    env = os.environ | {"PYTHONPATH": str(ROOT), "RELAY_CONFIG": str(tmp_path / "none")}
    command = [sys.executable, "-m", "zincstile.testbed.shim", str(tmp_path / "control")]
    done = subprocess.run(command, env=env, capture_output=True, text=True)
    assert done.returncode == 2 and "none" in done.stderr


def test_a_connection_meant_for_another_service_that_used_the_port_before_is_closed():
    """A gateway of another run reconnects to its closed discovery, whose port a fake backend now uses."""

    async def play():
        connected_gateways = []

        class Emulator(asyncio.Protocol):
            def connection_made(self, transport):
                connected_gateways.append(transport.gateway)

        loop = asyncio.get_running_loop()
        proxy = FaultProxy(loop, NetworkFaults(random.Random(1)), "s-01", places.BACKEND, 0, ["g0"])
        server = await proxy.create_server(Emulator)
        host = places.address_for_gateway(places.DISCOVERY, 0, 0)
        reader, _ = await asyncio.open_connection(host, proxy.port)
        assert await reader.read() == b""
        own, _, port = proxy.address(0).partition(":")
        await asyncio.open_connection(own, int(port))
        while not connected_gateways:
            await asyncio.sleep(0)
        server.close()
        return connected_gateways

    assert asyncio.run(asyncio.wait_for(play(), 20)) == ["g0"]
