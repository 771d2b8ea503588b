"""Scale measurements: topology files, records, the order of points, and small runs of both kinds.

Verdicts rest on counts and orders, never on a time that a busy machine may miss.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import time
from fractions import Fraction
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zincstile.cli import scale_slopes
from zincstile.scale import charts, load, records, slopes, tables, topology
from zincstile.scale.emulators import EndpointTable
from zincstile.scale.pending_reloads import PendingReloads
from zincstile.scale.records import Dimension, Figure, Kind
from zincstile.serialization.errors import FileError

ROOT = Path(__file__).parent.parent
TARGET = ROOT / "deploy" / "scale" / "target.yaml"
FLEET = topology.load(TARGET)


def scale(*words, **more):
    return subprocess.run(
        [sys.executable, "-m", "zincstile", "scale", *words],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=120,
        **more,
    )


# ---- topology


def test_the_target_is_the_expected_fleet_and_its_services_have_all_backends():
    assert (FLEET.gateways, FLEET.backends, FLEET.tenants.count, len(FLEET.zones)) == (2100, 32000, 64000, 5)
    sizes = FLEET.service_sizes()
    assert len(sizes) == 920 and sum(sizes) == 32000 and min(sizes) >= 1
    small = topology.with_sizes(topology.scaled(FLEET, Fraction(1, 16)), backends=8000, tenants=None)
    assert (small.gateways, small.backends, small.tenants.count) == (131, 8000, 4000)
    assert small.budgets == FLEET.budgets and small.zones == FLEET.zones


@given(st.integers(1, 3000), st.integers(1, 400), st.floats(0, 3))
def test_shares_sum_up_and_fall(total, parts, zipf):
    if parts > total:
        with pytest.raises(topology.TopologyError):
            topology.shares(total, parts, zipf)
        return
    found = topology.shares(total, parts, zipf)
    assert sum(found) == total and len(found) == parts and min(found) >= 1
    assert found == sorted(found, reverse=True)


@given(st.fractions(Fraction(1, 5000), 1))
def test_every_factor_gives_a_fleet_that_fits(factor):
    small = topology.scaled(FLEET, factor)
    topology.check(small)
    assert all(1 <= spread <= small.gateways for spread in small.tenant_sets())


@pytest.mark.parametrize(
    ("old", "new", "line", "reason"),
    [
        ("gateways: 2100", "gateways: many", 9, "$.gateways: Expected `int`, got `str`"),
        ("gateways: 2100", "", 4, "missing required field `gateways`"),
        ("zipf: 0.8", "zipf: 0.8, sort: 1", 13, "$.services: Object contains unknown field `sort`"),
        ("count: 920", "count: 40000", 0, "$.services.count: 40000 services, but 32000 backends"),
        ("zone-04, zone-05", "zone-04, zone-01", 0, "$.regions: zone zone-01 is there twice"),
        ("gateways_most: 420", "gateways_most: 4200", 0, "$.tenants.gateways_most: 4200, but 2100 gateways"),
        ("regions:", "regions: [", 0, "not YAML"),
    ],
)
def test_a_bad_topology_is_told_by_file_place_and_reason(old, new, line, reason, tmp_path):
    path = tmp_path / "fleet.yaml"
    text = TARGET.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(FileError) as told:
        topology.load(path)
    assert reason in str(told.value) and str(told.value).startswith(f"{path}:{line}:" if line else str(path))


@pytest.mark.parametrize(
    "words",
    [
        ("topology", "nowhere.yaml"),
        ("topology", str(TARGET), "--factor", "2"),
        ("topology", str(TARGET), "--backends", "100"),
        ("slopes", "--out", "/nowhere/x.json"),
        ("slopes", "--out", os.devnull, "--dimension", "routes"),
        ("slopes", "--out", os.devnull, "--dimension", "backends", "--sizes", "1.5"),
        ("slopes", "--out", os.devnull, "--sizes", "10"),
        ("slopes", "--out", os.devnull, "--hold", "backends=0"),
        ("slopes", "--out", os.devnull, "--program", "a=/nowhere"),
        ("slopes", "--out", os.devnull, "--feature", "subset=nowhere.yaml"),
    ],
)
def test_bad_words_are_told_in_one_line(words):
    done = scale(*words)
    assert done.returncode == 2 and not done.stdout
    assert done.stderr.startswith("zincstile: ") and done.stderr.count("\n") == 1


# ---- emulated fleet


def test_replacements_keep_the_table_as_large_as_it_was_and_every_address_unique():
    fleet = topology.with_sizes(FLEET, backends=50, services=7)
    table = EndpointTable(fleet, 4711)
    assert len(table.entries) == 50 and len({e.zone for e in table.entries.values()}) == 5
    told = []
    for _ in range(300):
        entry = table.next_change()
        told.append((entry.name, entry.status))
        addresses = [e.address for e in table.entries.values()]
        assert len(set(addresses)) == len(addresses) and len(addresses) in (49, 50)
    assert [status for _, status in told[:6]] == ["Terminating", "Gone", "Ready"] * 2
    assert table.index == 301 and len({name for name, status in told if status == "Ready"}) == 100


@given(st.integers(1, 500))
def test_tenants_of_a_gateway_have_it_in_their_sets(count):
    tenants = load.tenants_of_gateway(topology.scaled(FLEET, Fraction(1, 100)), count, 1)
    assert len(tenants) == count
    assert all(0 in {(t.first + k) % 21 for k in range(t.spread)} for t in tenants)


# ---- records and the order of points


def settings(**more):
    tree = slopes.this_tree().tree
    programs = [slopes.Program("before", tree), slopes.Program("after", tree)]
    sizes = {dimension: list(slopes.SIZES[dimension]) for dimension in Dimension}
    return slopes.Settings(FLEET, list(Dimension), sizes, programs, **more)


def test_points_are_complete_shuffled_by_the_seed_and_alternate_programs():
    points = slopes.points(settings())
    assert [p.order for p in points] == list(range(len(points)))
    keys = [(p.dimension, p.size, p.kind, p.repeat, p.program) for p in points]
    assert len(set(keys)) == len(keys) == (6 * 2 - 1) * 5 * 3 * 2
    assert not [p for p in points if p.dimension is Dimension.REQUESTS_PER_S and p.kind is Kind.HOLLOW]
    assert all(a[:4] == b[:4] and a[4] != b[4] for a, b in zip(keys[::2], keys[1::2], strict=True))
    assert {k[4] for k in keys[::2]} == {"before", "after"}  # neither is always the first
    assert points == slopes.points(settings()) != slopes.points(settings(seed=2))
    assert all(p.sizes[d] == slopes.HELD[d] for p in points for d in Dimension if d is not p.dimension)


def test_a_feature_may_be_for_one_program(tmp_path):
    chosen = settings()
    chosen.features = [slopes.feature("after:start=deploy/start.yaml", chosen.programs)]
    assert {(p.program, *p.features) for p in slopes.points(chosen)} == {("before",), ("after", "start")}
    with pytest.raises(FileError, match="no program is called other"):
        slopes.feature("other:start=deploy/start.yaml", chosen.programs)


def test_a_result_that_is_none_is_told_by_place(tmp_path):
    path = tmp_path / "r.json"
    path.write_text('{"commits": 1}')
    with pytest.raises(FileError, match=r"r\.json: \$\.commits: Expected `object`"):
        records.read(path)
    path.write_text("{")
    with pytest.raises(FileError, match="not JSON"):
        records.read(path)


# ---- small runs


@pytest.mark.parametrize(("option", "chosen"), [("--mass-failure", True), ("--stroke", True), (None, False)])
def test_a_mass_failure_is_chosen_by_the_option_or_its_former_name(option, chosen):
    words = ["--out", os.devnull, *([option] if option else [])]
    options = scale_slopes.command.make_context("slopes", words).params
    del options["out"], options["charts"]
    assert scale_slopes.read_settings(**options).mass_failure is chosen


@pytest.fixture(scope="module")
def small():
    """All dimensions at small sizes, one real gateway and a few hollow ones."""
    sizes = {dimension: [5.0] for dimension in Dimension}
    sizes |= {Dimension.BACKENDS: [10.0, 20.0], Dimension.TENANTS: [40.0]}
    held = slopes.HELD | {Dimension.BACKENDS: 10.0, Dimension.GATEWAYS: 6.0, Dimension.TENANTS: 20.0}
    chosen = slopes.Settings(
        FLEET,
        list(Dimension),
        sizes,
        [slopes.this_tree()],
        held=held,
        repeats=1,
        jobs=3,
        window_s=0.4,
        mass_failure=True,
    )
    result, progress = slopes.describe(chosen), []
    slopes.run(chosen, result, lambda done, of: progress.append((done, of)))
    return result, progress


def test_a_small_run_has_every_sample_in_its_order(small):
    """A sample is given only where the gateway counted each line of the list and no fault or bad message."""
    result, progress = small
    assert result.failures == [] and result.complete
    assert [s.order for s in result.samples] == list(range(13)) and progress == [
        (k, 13) for k in range(1, 14)
    ]
    for kind, count in ((Kind.REAL, 7), (Kind.HOLLOW, 6)):
        found = [s for s in result.samples if s.kind is kind]
        assert len(found) == count
        for sample in found:
            assert sample.figure(Figure.MEMORY_BYTES) > 0 and sample.figure(Figure.CPU_REST_SHARE) > 0
            assert (sample.figure(Figure.READY_S) is not None) == (kind is Kind.REAL)
    ten, twenty = result.chosen(Dimension.BACKENDS, Kind.HOLLOW, "this")
    assert ten.figure(Figure.LIST_BYTES) < twenty.figure(Figure.LIST_BYTES)
    for sample in result.samples:  # each line of the mass failure is counted by the gateway too
        struck = sample.dimension is Dimension.BACKENDS and sample.kind is Kind.REAL
        assert (sample.figure(Figure.MASS_FAILURE_IN_FORCE_S) is not None) == struck


def test_a_gateway_that_finds_two_changes_of_its_configuration_at_once_has_nothing_to_follow():
    """Guards against a measurement that fails where a gateway got no processor time for one interval."""
    pending = PendingReloads(0)
    pending.configured(7, 1, 1.0)
    assert len(pending) == 1
    pending.configured(7, 0, 1.2)
    assert len(pending) == 0
    pending.configured(7, 1, 1.4)
    assert pending.watch_opened(7, 0, 1, 1.5) is None
    assert len(pending) == 1
    assert pending.watch_opened(7, 1, 1, 1.9) == 0.5
    assert len(pending) == 0
    pending.configured(7, 0, 2.0)
    assert len(pending) == 1


FORCED = {Dimension.BACKENDS, Dimension.TABLE_CHANGES_PER_S, Dimension.CONFIG_CHANGES_PER_S}


def test_each_dimension_has_its_own_figures(small):
    for sample in small[0].samples:
        forced = [sample.figure(f) for f in (Figure.IN_FORCE_P50_S, Figure.IN_FORCE_LAST_S)]
        assert all(x is not None and x > 0 for x in forced) == (sample.dimension in FORCED)
        changed = sample.figure(Figure.CPU_PER_CHANGE_S) is not None
        assert changed == (sample.dimension in FORCED)
        messages = sample.figure(Figure.CPU_PER_MESSAGE_S) is not None
        assert messages == (sample.dimension in (Dimension.GATEWAYS, Dimension.TENANTS))
        if sample.dimension is Dimension.REQUESTS_PER_S:
            assert sample.figure(Figure.CPU_PER_REQUEST_S) is not None
            assert sample.figure(Figure.DATAGRAMS_OUT_PER_S) > 0  # its tenants' peers are told


def test_a_result_is_written_read_tabled_and_drawn(small, tmp_path):
    result, _ = small
    records.write(result, tmp_path / "r.json")
    assert records.read(tmp_path / "r.json") == result
    table = tables.samples(result, Dimension.BACKENDS, "this")
    assert "hollow" in table and "…" not in table  # no figure is cut short
    assert tables.laws(result, "this") == ""  # too few sizes to carry a fit
    written = charts.draw(result, tmp_path / "charts")
    assert tmp_path / "charts" / "backends-memory_bytes.svg" in written
    assert all(path.read_text().startswith("<svg") for path in written)


def start(folder, *words):
    return subprocess.Popen(
        [sys.executable, "-m", "zincstile", "scale", "slopes", "--out", str(folder / "r.json"), *words],
        cwd=ROOT,
        env=os.environ | {"TMPDIR": str(folder)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def until(condition, run=None, seconds=60):
    by = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < by and (run is None or run.poll() is None)
        time.sleep(0.05)


def test_interrupted_it_ends_all_it_started_and_keeps_what_it_measured(tmp_path):
    words = ["--dimension", "backends", "--sizes", "10,12,14,16,18,20", "--jobs", "2"]
    run, out = start(tmp_path, *words, "--window", "0.2", "--hold", "gateways=3"), tmp_path / "r.json"
    try:
        until(lambda: out.exists() and out.read_bytes() and records.read(out).samples, run)
        run.send_signal(signal.SIGINT)
        said, told = run.communicate(timeout=60)
    finally:
        run.kill()
    until(lambda: not _processes(tmp_path))
    result = records.read(out)
    assert 1 <= len(result.samples) < 36 and not result.complete
    assert run.returncode == 130 and told == "zincstile: interrupted\n"  # and no progress in a pipe
    assert f"samples={len(result.samples)} failed=0 complete=no" in said
    assert not list(tmp_path.glob("zincstile-scale-*"))


def test_killed_it_leaves_no_process_that_it_started(tmp_path):
    run = start(tmp_path, "--dimension", "requests_per_s", "--sizes", "5", "--repeats", "1", "--window", "60")
    try:
        until(lambda: _processes(tmp_path), run)
    finally:
        run.kill()
        run.wait()  # not for its pipes: workers hold them too
    until(lambda: not _processes(tmp_path), seconds=30)  # a window ends after 60
    run.communicate()


def _processes(folder: Path) -> list[str]:
    """Processes that work in the folder, by their numbers."""
    found = []
    for process in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            if str(folder) in os.readlink(process / "cwd"):
                found.append(process.name)
    return found


POOL = """
import multiprocessing, time
from zincstile.scale import slopes

def task(number):
    time.sleep(0.05 * (number % 3))

if __name__ == "__main__":
    for _ in range(3):
        context = multiprocessing.get_context("spawn")
        with context.Pool(3, slopes._as_worker, maxtasksperchild=2) as pool:
            list(pool.imap_unordered(task, range(9)))
"""


def test_workers_that_others_took_the_place_of_do_not_keep_the_driver_from_its_end(tmp_path):
    """They are started by a thread of the pool, which ends before them."""
    script = tmp_path / "pool.py"
    script.write_text(POOL)
    done = subprocess.run([sys.executable, script], env=os.environ | {"PYTHONPATH": ROOT}, timeout=60)
    assert done.returncode == 0
