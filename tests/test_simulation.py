"""Scenarios by seed: a seed is one scenario, plans survive the way to a file, faults are named."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from zincstile.serialization import typed_yaml
from zincstile.serialization.errors import FileError
from zincstile.simulation import mutants, plan, shrink, sweep
from zincstile.simulation.plan import Fault, Plan
from zincstile.simulation.run import Run

HERE = Path(__file__).parent
ROOT = HERE.parent


def command(*words, **env):
    return subprocess.run(
        [sys.executable, "-m", "zincstile", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=300,
        env=os.environ | env,
    )


def test_a_sweep_keeps_the_rules():
    results = list(sweep.play_all(range(100_000, 100_120), 4))
    broken = [
        f"{r.line()}: {r.breach.text}; replay: python -m zincstile sim run --seed {r.seed}"
        for r in results
        if r.breach
    ]
    assert not broken, "\n".join(broken)
    assert sum(r.requests for r in results) / len(results) >= 150
    assert sum(r.faults for r in results) / len(results) >= 3
    for kind in ("served", "denied", "failed"):
        assert sum(r.tally.get(kind, 0) > 0 for r in results) > 0.9 * len(results) or kind == "failed"


def test_a_seed_gives_the_same_trace_under_any_hash_seed(tmp_path):
    traces = []
    for number, hashes in enumerate(("0", "1", "4242")):
        path = tmp_path / str(number)
        done = command("sim", "run", "--seed", "11", "--trace", str(path), PYTHONHASHSEED=hashes)
        assert done.returncode == 0, done.stdout + done.stderr
        traces.append((path.read_bytes(), done.stdout.splitlines()[-1]))
    assert traces[0] == traces[1] == traces[2] and traces[0][0].count(b"\n") > 1000
    assert traces[0][1].startswith("seed 11 ok steps=")


def test_a_sweep_is_the_same_however_it_is_shared_out():
    lines = [
        command("sim", "sweep", "--seeds", "5:13", "--jobs", jobs, PYTHONHASHSEED=hashes).stdout.splitlines()
        for jobs, hashes in (("1", "7"), ("3", "8"))
    ]
    assert lines[0][-1].split("digest=")[1] == lines[1][-1].split("digest=")[1]
    assert lines[0][-1].startswith("sweep seeds=8 ok=8 broken=0 seconds=")


def test_two_seeds_are_two_scenarios():
    one, other = (Run(plan.draw(seed)).play() for seed in (21, 22))
    assert one.digest != other.digest


@pytest.mark.parametrize("seed", range(40))
def test_a_plan_survives_the_way_to_a_file(seed, tmp_path):
    drawn = plan.draw(seed)
    (tmp_path / "plan.yaml").write_text(plan.dump(drawn))
    assert plan.load(tmp_path / "plan.yaml") == drawn


def test_drawn_plans_hold_every_kind_of_fault():
    drawn = [plan.draw(seed) for seed in range(300)]
    beside = (*plan.SHARED_STATE_KINDS, *plan.REAL_PROCESS_KINDS)
    assert {f.kind for p in drawn for f in p.faults} == {
        k for k in plan.Kind.__args__ if "keeper" not in k and k not in beside
    }
    assert sum(len(p.faults) for p in drawn) / len(drawn) >= 3


@pytest.mark.parametrize(
    ("text", "place"),
    [
        (
            "seed: 1\nfaults:\n- kind: crash\n  at_ms: 5\n- kind: melt\n  at_ms: 5\n",
            "p.yaml:5: $.faults[1].kind",
        ),
        ("seed: 1\nboxes: 0\n", "p.yaml:2: $.boxes"),
        ("seed: x\n", "p.yaml:1: $.seed"),
        ("seed: 1\nfaults: [\n", "p.yaml:3: not YAML"),
        ("- 1\n", "p.yaml:1: $"),
        ("", "p.yaml:1: $"),
        ("seed: 1\ncolour: red\n", "p.yaml:1: $"),
        ("seed: 1\nsplit: 2.0\n", "p.yaml:2: $.split"),
    ],
)
def test_a_plan_that_cannot_be_used_is_named_by_file_and_place(text, place):
    with pytest.raises(FileError) as err:
        typed_yaml.parse(text, "p.yaml", Plan)
    assert str(err.value).startswith(place) and "\n" not in str(err.value)


@pytest.mark.parametrize("path", sorted((HERE / "plans").glob("*.yaml")), ids=lambda p: p.stem)
def test_a_stored_plan_that_once_broke_a_rule_breaks_none(path):
    """Shrunk plans of faults that the sweeps found; each broke a rule before its mending."""
    result = Run(plan.load(path)).play()
    assert result.breach is None, f"{result.line()}: {result.breach.text}"


QUICK = [
    "drain-unseen",
    "answers-out-of-order",
    "key-to-any-rack",
    "copies-all",
    "cold-unlimited",
    "ceiling-ignored",
    "give-up-one-off",
    "deadlines-off",
    "never-rests",
    "kept-after-timeout",
    "stop-at-once",
    "read-after-end-sent-on",
    "ids-leak",
    "connections-leak",
    "key-lost",
    "outcome-not-borne",
    "sent-on-for-nobody",
    "time-not-counted",
    "checked-send",
    "checked-repeat",
    "checked-close",
    "checked-end",
    "checked-start",
]


# Where another rule names the fault first in the one seed of the first twenty that shows it.
FIRST_SEEDS = {"checked-send": 21}


@pytest.mark.parametrize("name", QUICK)
def test_a_deliberate_fault_is_named_by_its_rule(name):
    row = mutants.find_violation(name, 20, FIRST_SEEDS.get(name, 1))
    assert row.seeds is not None and row.rule in mutants.MUTANTS[name].rules
    assert Run(plan.draw(row.seed)).play().breach is None  # and what it changed is put back


def test_shrinking_keeps_the_rule_and_drops_what_does_not_matter():
    undo = mutants.MUTANTS["drain-unseen"].inject()
    try:
        big = plan.draw(1)
        assert any(f.kind in ("deploy", "drain") for f in big.faults)
        found = shrink.shrink_plan(big, 250, lambda text: None)
        assert found.result.breach.rule == "drain" and len(found.plan.faults) == 1
        assert len(found.plan.only) <= 15  # of 175
        assert Run(found.plan).play().breach.rule == "drain"
    finally:
        undo()
    assert shrink.shrink_plan(big, 10, lambda text: None) is None


def test_a_plan_by_hand_is_played_as_it_stands():
    calm = Run(Plan(seed=3, requests=60, last_ms=2000, udp_loss=0.0)).play()
    assert calm.breach is None and calm.tally["served"] > 30 and "unreached" not in calm.tally
    crash = Run(
        Plan(
            seed=3,
            requests=60,
            last_ms=2000,
            faults=[
                Fault("crash", 300, 1500, [0]),
                Fault("crash", 300, 1500, [1]),
                Fault("crash", 300, 1500, [2]),
            ],
        )
    ).play()
    assert crash.breach is None and crash.tally["unreached"] > 0
    assert crash.tally["served"] < calm.tally["served"]


def test_requests_that_cross_the_end_of_their_connection_are_nobodys_fault():
    """Each end that a gateway sends while it stops meets a request on its way."""
    faults = [Fault("roll", 600, 500, [k]) for k in range(3)]
    runs = [Run(Plan(seed=3, requests=60, last_ms=2000, faults=faults, crossing=c)) for c in (0.0, 1.0)]
    calm, crossed = (run.play() for run in runs)
    assert calm.breach is None and crossed.breach is None
    assert crossed.tally["unreached"] >= calm.tally.get("unreached", 0) + 3


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (("sim", "run"), "give --seed N or --plan FILE"),
        (("sim", "run", "--seed", "x"), "'x' is not a valid"),
        (("sim", "run", "--plan", "/nonexistent.yaml"), "/nonexistent.yaml: No such file"),
        (("sim", "sweep", "--seeds", "9:3"), "not a range of seeds"),
        (("sim", "sweep", "--seeds", "a"), "not a range"),
        (("sim", "run", "--seed", "1", "--rule", "calm"), "no such rule"),
        (("sim", "mutants", "--only", "nothing"), "no such mutant"),
        (("frobnicate",), "No such command"),
        (("sim", "shrink", "--seed", "3", "--out", "/nonexistent/x"), "nothing to shrink"),
    ],
)
def test_bad_input_is_one_line_and_exit_2(words, said):
    done = command(*words)
    assert done.returncode == 2 and said in done.stderr
    assert len([x for x in done.stderr.splitlines() if x.startswith("zincstile:")]) == 1
    assert "Traceback" not in done.stderr


def test_the_demo_serves_and_keeps_the_rules():
    done = command("demo", "--seconds", "2")
    assert done.returncode == 0, done.stdout + done.stderr
    assert "every rule held" in done.stdout and "premium" in done.stdout


def test_the_gateway_without_words_loads_the_standard_library_only():
    code = (
        "import sys, zincstile.__main__\n"
        "import zincstile.net.gateway, zincstile.net.admin_endpoint, zincstile.admin.operator_state\n"
        "foreign = {m.split('.')[0] for m in sys.modules} - set(sys.stdlib_module_names)\n"
        "own = [m for m in sys.modules if m.startswith(('zincstile.cli', 'zincstile.virtual', "
        "'zincstile.simulation', 'zincstile.emulators', 'zincstile.checkers'))]\n"
        "foreign -= {'zincstile', 'sitecustomize'}\n"
        "print(sorted(m for m in foreign if m[0] != '_'), own)"
    )
    done = subprocess.run(
        [sys.executable, "-S", "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.stdout.strip() == "[] []", done.stdout + done.stderr
