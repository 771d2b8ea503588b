"""Files stored by an earlier version are read with the same meaning and written with the same keys.

tests/data/stored holds these files; its README.md names the commands that wrote them.
"""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
import time
from pathlib import Path

import pytest
import stored_gateway
from stored_gateway import (
    COUNTERS_SINCE_STORED,
    EXHAUSTED_CUSTOMER,
    HALF_USED_CUSTOMER,
    HANDOVER_FILE,
    LATE_USE_CUSTOMER,
    MEMORY_FILE,
    NEW_PROCESS_SEED,
    OLD_PROCESS_SEED,
    QUOTA_UNITS,
    ROOT,
    SPENT_FILE,
    running_fleet,
    wait_until,
)

from zincstile.admin.handover import decode, encode
from zincstile.admin.timestamp import Timestamp
from zincstile.decisions.gossip import TOTAL_MODULUS
from zincstile.decisions.messages import (
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Started,
    StateInherited,
)
from zincstile.decisions.policy import Policy
from zincstile.decisions.state_transfer import apply_totals, restore, running_totals, snapshot
from zincstile.decisions.state_validation import validate
from zincstile.net.config import read as read_config
from zincstile.scale import records
from zincstile.scale.records import Dimension, Figure, Kind
from zincstile.simulation import plan, soak
from zincstile.testbed import result as field_result

DATA_FOLDER = Path(__file__).parent / "data" / "stored"
CONFIG = json.loads((DATA_FOLDER / stored_gateway.CONFIG_FILE).read_text())
TARGET = "deploy/scale/target.yaml"
SECOND = 10**9
NOW_NS = 1000 * SECOND  # monotonic clock of the process that takes over
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
FIELD_RESULT_FILES = ("field-result.json", "field-result-broken.json")


def load_stored(name):
    return json.loads((DATA_FOLDER / name).read_text())


def run_program(*arguments):
    """Runs a command of the program and returns the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "zincstile", *map(str, arguments)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=120,
    )


def key_paths(value, prefix="$"):
    """The paths of all keys in a stored value. All items of a list share one path."""
    if isinstance(value, list):
        return {path for item in value for path in key_paths(item, f"{prefix}[]")}
    if not isinstance(value, dict):
        return set()
    paths = {f"{prefix}.{key}": inner for key, inner in value.items()}
    return set(paths).union(*(key_paths(inner, inner_path) for inner_path, inner in paths.items()))


# ---- handover file


def with_current_times(table):
    """The stored handover file with the current time and boot of this machine as the time of writing."""
    now_ns, age_ns = time.time_ns(), table["back_age_ns"]["s-b"]
    return table | {
        "written_ns": now_ns,
        "written_monotonic_ns": time.monotonic_ns(),
        "boot": BOOT_ID_PATH.read_text().strip(),
        "back": {"s-b": now_ns - age_ns},
        "apart_ns": now_ns - time.monotonic_ns(),
    }


def test_the_stored_handover_file_round_trips_unchanged():
    data, table = (DATA_FOLDER / HANDOVER_FILE).read_bytes(), load_stored(HANDOVER_FILE)
    now = Timestamp(table["written_monotonic_ns"] + SECOND, table["written_ns"] + SECOND, table["boot"])
    decoded = decode(data, "n0", now, 60 * SECOND)
    assert encode(decoded) == data
    assert (table["banned"], table["version"], table["ready_by"]) == (["s-a"], 3, OLD_PROCESS_SEED)
    assert list(table["back_age_ns"]) == list(table["back"]) == ["s-b"]


def test_a_new_process_takes_over_which_backends_are_under_maintenance_or_back_from_it(tmp_path):
    (tmp_path / HANDOVER_FILE).write_text(json.dumps(with_current_times(load_stored(HANDOVER_FILE))))
    with running_fleet(tmp_path) as started_fleet:
        new = started_fleet.start(0, NEW_PROCESS_SEED)
        assert new.has_logged("handover: 1 under maintenance, version 3")
        assert new.operator_call("GET", "/status") == (200, "active; maintenance: s-a")
        assert [new.request(EXHAUSTED_CUSTOMER, number, "team") for number in range(20)] == ["$2"] * 20
        assert started_fleet.backends["s-a"].calls == 0 and started_fleet.backends["s-c"].calls > 0
        rewritten = json.loads((tmp_path / HANDOVER_FILE).read_text())
        assert (rewritten["banned"], rewritten["version"], rewritten["ready_by"]) == (
            ["s-a"],
            3,
            NEW_PROCESS_SEED,
        )
        assert rewritten["back_age_ns"]["s-b"] > load_stored(HANDOVER_FILE)["back_age_ns"]["s-b"]
        assert new.operator_call("POST", "/maintenance/exit", b"s-a")[0] == 200
        assert new.operator_call("GET", "/status") == (200, "active")


# ---- inherited memory


def new_policy(memory):
    """The policy of a process that has restored a stored memory file."""
    policy = Policy(read_config(CONFIG, {}).settings, 1)
    validate(memory, policy.parts)
    restore(policy.parts, NOW_NS, memory)
    return policy


def customers_by_key(table):
    return {customer["key"]: customer for customer in table["customers"]}


def test_a_snapshot_after_restoring_the_stored_memory_equals_it():
    memory = load_stored(MEMORY_FILE)["memory"]
    policy = new_policy(memory)
    restored = snapshot(policy.parts, NOW_NS, 100)
    # servers are restored only once the endpoint list names them
    assert key_paths(restored) == {path for path in key_paths(memory) if "servers[]" not in path}
    for key in memory.keys() - {"servers", "customers", "heard", "cut_s"}:
        assert restored[key] == memory[key], key
    assert restored["cut_s"] == pytest.approx(memory["cut_s"])
    assert [entry[:2] for entry in restored["heard"]] == [entry[:2] for entry in memory["heard"]] != []
    assert (
        customers_by_key(restored).keys()
        == customers_by_key(memory).keys()
        == {EXHAUSTED_CUSTOMER, HALF_USED_CUSTOMER, LATE_USE_CUSTOMER}
    )
    for key, customer in customers_by_key(memory).items():
        customer_copy, peers = dict(customers_by_key(restored)[key]), customer["peers"]
        assert customer_copy.pop("peers") == [pytest.approx(peer) for peer in peers]
        assert customer_copy == pytest.approx({k: v for k, v in customer.items() if k != "peers"})


def test_restored_quota_levels_and_totals_equal_those_of_the_old_process():
    restored = customers_by_key(snapshot(new_policy(load_stored(MEMORY_FILE)["memory"]).parts, NOW_NS, 100))
    levels = {key: round(customer["level"], 3) for key, customer in restored.items()}
    assert levels == {EXHAUSTED_CUSTOMER: 0.0, HALF_USED_CUSTOMER: 7.0, LATE_USE_CUSTOMER: 9.0}
    assert {key: entry["total"] for key, entry in restored.items()} == {
        EXHAUSTED_CUSTOMER: 12.0,
        HALF_USED_CUSTOMER: 4.0,
        LATE_USE_CUSTOMER: 3.0,
    }
    [peer] = restored[HALF_USED_CUSTOMER]["peers"]
    assert (peer["peer"], peer["total"], peer["open"], peer["granted"]) == (1, 2.0, 0, 0.0)


def test_estimates_of_backends_are_restored_once_they_are_listed():
    memory = load_stored(MEMORY_FILE)["memory"]
    policy = Policy(read_config(CONFIG, {}).settings, 1)
    listed = [
        EndpointEntry(server["id"], 0, 0, 0, EndpointState.READY, 1.0, 0) for server in memory["servers"]
    ]
    for event in (StateInherited(memory), Started(), EndpointList(EndpointListKind.FULL, 1, listed)):
        policy.handle(NOW_NS, event)
    restored = json.loads(json.dumps(snapshot(policy.parts, NOW_NS, 100)))
    assert restored["servers"] == memory["servers"]
    assert max(server["doubt"] for server in memory["servers"])[0][1] > 0.3  # s-c closed connections
    assert min(server["slowness"] for server in memory["servers"]) < 1


def test_the_stored_totals_add_what_the_old_process_sent_before_it_ended():
    memory, stored_totals = load_stored(MEMORY_FILE)["memory"], load_stored(SPENT_FILE)["spent"]
    policy = new_policy(memory)
    restored_totals = {key: customer["total"] for key, customer in customers_by_key(memory).items()}
    assert apply_totals(policy.parts, stored_totals, restored_totals, TOTAL_MODULUS) == 1
    restored = customers_by_key(snapshot(policy.parts, NOW_NS, 100))
    assert (
        round(restored[LATE_USE_CUSTOMER]["level"], 3) == 5.0 and restored[LATE_USE_CUSTOMER]["total"] == 7.0
    )
    assert (
        round(restored[HALF_USED_CUSTOMER]["level"], 3) == 7.0
        and restored[HALF_USED_CUSTOMER]["total"] == 4.0
    )
    new_totals = running_totals(policy.parts)
    assert new_totals.keys() == stored_totals.keys() and sorted(new_totals["totals"]) == sorted(
        stored_totals["totals"]
    )
    assert (new_totals["form"], new_totals["start"]) == (stored_totals["form"], stored_totals["start"])


@pytest.mark.parametrize(("old_process_ended", "remaining_units"), [(False, 9), (True, 5)])
def test_a_new_process_continues_with_the_stored_quotas(old_process_ended, remaining_units, tmp_path):
    """Both while the old process still runs and after it has ended. HALF_USED_CUSTOMER has a level of 7 units
    but gets only 6: a part counts as sent by the other gateway and not yet reported."""

    def served_requests(customer):
        return sum(process.request(customer, customer + number) == "$2" for number in range(QUOTA_UNITS))

    (tmp_path / HANDOVER_FILE).write_text(json.dumps(with_current_times(load_stored(HANDOVER_FILE))))
    shutil.copy(DATA_FOLDER / MEMORY_FILE, tmp_path / MEMORY_FILE)
    with running_fleet(tmp_path) as started_fleet:
        # a peer that does not answer would be assumed to send units of its own
        started_fleet.start(1, stored_gateway.PEER_SEED)
        process = started_fleet.start(0, NEW_PROCESS_SEED)
        assert process.has_logged("memory: 3 customers, 2 servers, ")
        if old_process_ended:
            shutil.copy(DATA_FOLDER / SPENT_FILE, tmp_path / SPENT_FILE)
            wait_until(
                lambda: process.has_logged("the old process ended; it had sent for 1 customers meanwhile")
            )
        assert served_requests(EXHAUSTED_CUSTOMER) == 0
        assert served_requests(HALF_USED_CUSTOMER) == 6
        assert served_requests(LATE_USE_CUSTOMER) == remaining_units


def test_files_written_today_have_the_same_keys_as_the_stored_ones(tmp_path):
    """Runs the upgrade that recorded the stored files once more and compares the keys of each file."""
    stored_gateway.record(tmp_path)
    for name in stored_gateway.STORED_FILES:
        assert key_paths(json.loads((tmp_path / name).read_text())) == key_paths(load_stored(name)), name


# ---- testbed


@pytest.mark.parametrize("name", ["field-plan.yaml", "field-plan-soak.yaml"])
def test_a_stored_plan_round_trips_unchanged(name):
    assert plan.dump(plan.load(DATA_FOLDER / name)) == (DATA_FOLDER / name).read_text()


def test_stored_plans_equal_the_current_ones():
    assert plan.dump(soak.draw(1, 4)) == (DATA_FOLDER / "field-plan-soak.yaml").read_text()
    assert plan.load(DATA_FOLDER / "field-plan.yaml") == plan.load(
        Path(__file__).parent / "plans/field/upgrade.yaml"
    )


@pytest.mark.parametrize("name", FIELD_RESULT_FILES)
def test_a_stored_field_result_round_trips_unchanged(name, tmp_path):
    field_result.write(field_result.read(DATA_FOLDER / name), tmp_path / name)
    assert json.loads((tmp_path / name).read_text()) == load_stored(name)


def test_stored_field_results_give_the_same_summary_lines():
    unbroken, broken = (field_result.read(DATA_FOLDER / name) for name in FIELD_RESULT_FILES)
    assert unbroken.line() == "field seed=16 ok=yes requests=300 goodput=1.014 nearest_bound=0.00"
    assert broken.line() == "field seed=11 ok=no requests=277 goodput=1.007 nearest_bound=32.95 broken=quota"


def test_a_report_of_stored_field_results_shows_their_values(tmp_path):
    page = tmp_path / "page.html"
    done = run_program(
        "testbed", "report", *(DATA_FOLDER / name for name in FIELD_RESULT_FILES), "--out", page
    )
    assert (done.returncode, done.stdout) == (0, f"2 results in {page}\n"), done.stderr
    text = page.read_text()
    assert "customer 0000000058e71409 of premium is 0.74 units past the stated bound" in text
    assert "277 requests, 181 attempts, 100.7% of what one all-seeing store would let in" in text
    assert "upgrade 1 for 0 ms" in text


def test_a_run_of_the_stored_plan_gives_a_result_with_the_stored_keys(tmp_path):
    out = tmp_path / "field-plan.json"
    done = run_program("testbed", "run", DATA_FOLDER / "field-plan.yaml", "--out", out)
    assert done.returncode == 0, done.stdout + done.stderr
    current, recorded = json.loads(out.read_text()), load_stored("field-result.json")
    assert current["faults"] == recorded["faults"] and current["gateways"] == 3
    for result in (current, recorded):
        assert result.pop("tally").keys() <= {"served", "denied", "failed", "unreached"}
    new_keys = {f"$.rows[].counters.{name}" for name in COUNTERS_SINCE_STORED}
    assert key_paths(current) == key_paths(recorded) | new_keys


# ---- scale


def test_the_stored_scale_result_round_trips_unchanged(tmp_path):
    path = tmp_path / "slopes.json"
    records.write(records.read(DATA_FOLDER / "scale-slopes.json"), path)
    assert json.loads(path.read_text()) == load_stored("scale-slopes.json")


def test_the_stored_scale_result_keeps_its_sizes_and_list_bytes():
    result = records.read(DATA_FOLDER / "scale-slopes.json")
    for kind in Kind:
        samples = result.chosen(Dimension.BACKENDS, kind, "this")
        assert [s.size for s in samples] == [10.0, 10.0, 20.0, 20.0, 40.0, 40.0, 80.0, 80.0, 160.0, 160.0]
    list_bytes = [
        sample.figure(Figure.LIST_BYTES) for sample in result.chosen(Dimension.BACKENDS, Kind.REAL, "this")
    ]
    assert list_bytes == [size for size in (1410.0, 2788.0, 5544.0, 11062.0, 22152.0) for _ in range(2)]


def test_the_capacity_page_is_computed_from_the_stored_scale_result():
    done = run_program("scale", "capacity", DATA_FOLDER / "scale-slopes.json", TARGET)
    assert done.returncode == 0, done.stderr
    rows = done.stdout.splitlines()
    assert "| this | dd73a93 | start: deploy/start.yaml | 10 cores, 25.3 GB, Python 3.11.7 | 20 |" in rows
    fitted_law = "linear | 1.41 kB | 22.1 kB | 138 B × size | 138 B to 138 B | 10 to 160 | 10"
    assert f"| backends | list_bytes | this | real | {fitted_law} |" in rows


def test_a_new_measurement_gives_a_result_with_the_stored_keys(tmp_path):
    out = tmp_path / "slopes.json"
    fixed_options = ["--hold", "gateways=6", "--hold", "tenants=20", "--feature", "start=deploy/start.yaml"]
    short_options = ["--sizes", "10", "--repeats", "1", "--window", "0.4", "--jobs", "1"]
    done = run_program(
        "scale", "slopes", "--dimension", "backends", *short_options, *fixed_options, "--out", out
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert key_paths(json.loads(out.read_text())) == key_paths(load_stored("scale-slopes.json"))
