"""Files that an earlier version stored are read with the same meaning, and are written with the same keys.

tests/data/stored holds what that version wrote; its README.md says by which commands.
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
    EMPTIED,
    HALF_USED,
    HANDOVER,
    MEMORY,
    NEW_SEED,
    OLD_SEED,
    QUOTA_UNITS,
    ROOT,
    SPENT,
    USED_LATER,
    fleet,
    until,
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

DATA = Path(__file__).parent / "data" / "stored"
CONFIG = json.loads((DATA / stored_gateway.CONFIG).read_text())
TARGET = "deploy/scale/target.yaml"
SECOND = 10**9
NOW_NS = 1000 * SECOND  # of the process that takes over, on its own clock
BOOT = Path("/proc/sys/kernel/random/boot_id")
FIELD_RESULTS = ("field-result.json", "field-result-broken.json")


def stored(name):
    return json.loads((DATA / name).read_text())


def program(*words):
    """The finished command."""
    return subprocess.run(
        [sys.executable, "-m", "zincstile", *map(str, words)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=120,
    )


def keys(value, place="$"):
    """The places of all keys of a stored value; the items of a list are taken together."""
    if isinstance(value, list):
        return {found for inner in value for found in keys(inner, f"{place}[]")}
    if not isinstance(value, dict):
        return set()
    places = {f"{place}.{key}": inner for key, inner in value.items()}
    return set(places).union(*(keys(inner, at) for at, inner in places.items()))


# ---- hand-over


def written_just_now(table):
    """A stored hand-over file as if it had been written at this instant of this machine."""
    now_ns, age_ns = time.time_ns(), table["back_age_ns"]["s-b"]
    return table | {
        "written_ns": now_ns,
        "written_monotonic_ns": time.monotonic_ns(),
        "boot": BOOT.read_text().strip(),
        "back": {"s-b": now_ns - age_ns},
        "apart_ns": now_ns - time.monotonic_ns(),
    }


def test_the_stored_handover_is_read_and_written_as_it_was():
    data, table = (DATA / HANDOVER).read_bytes(), stored(HANDOVER)
    now = Timestamp(table["written_monotonic_ns"] + SECOND, table["written_ns"] + SECOND, table["boot"])
    found = decode(data, "n0", now, 60 * SECOND)
    assert encode(found) == data
    assert (table["banned"], table["version"], table["ready_by"]) == (["s-a"], 3, OLD_SEED)
    assert list(table["back_age_ns"]) == list(table["back"]) == ["s-b"]


def test_a_process_takes_over_who_is_under_maintenance_and_who_came_back(tmp_path):
    (tmp_path / HANDOVER).write_text(json.dumps(written_just_now(stored(HANDOVER))))
    with fleet(tmp_path) as made:
        new = made.start(0, NEW_SEED)
        assert new.said("handover: 1 under maintenance, version 3")
        assert new.call("GET", "/status") == (200, "active; maintenance: s-a")
        assert [new.ask(EMPTIED, number, "team") for number in range(20)] == ["$2"] * 20
        assert made.backends["s-a"].calls == 0 and made.backends["s-c"].calls > 0
        again = json.loads((tmp_path / HANDOVER).read_text())
        assert (again["banned"], again["version"], again["ready_by"]) == (["s-a"], 3, NEW_SEED)
        assert again["back_age_ns"]["s-b"] > stored(HANDOVER)["back_age_ns"]["s-b"]
        assert new.call("POST", "/maintenance/exit", b"s-a")[0] == 200
        assert new.call("GET", "/status") == (200, "active")


# ---- inherited memory


def new_policy(memory):
    """Of a process that has taken a stored memory over."""
    policy = Policy(read_config(CONFIG, {}).settings, 1)
    validate(memory, policy.parts)
    restore(policy.parts, NOW_NS, memory)
    return policy


def customers(table):
    return {customer["key"]: customer for customer in table["customers"]}


def test_the_stored_memory_is_taken_and_left_as_it_was():
    memory = stored(MEMORY)["memory"]
    policy = new_policy(memory)
    left = snapshot(policy.parts, NOW_NS, 100)
    assert keys(left) == {place for place in keys(memory) if "servers[]" not in place}  # come with the list
    for key in memory.keys() - {"servers", "customers", "heard", "cut_s"}:
        assert left[key] == memory[key], key
    assert left["cut_s"] == pytest.approx(memory["cut_s"])
    assert [h[:2] for h in left["heard"]] == [h[:2] for h in memory["heard"]] != []
    assert customers(left).keys() == customers(memory).keys() == {EMPTIED, HALF_USED, USED_LATER}
    for key, customer in customers(memory).items():
        found, peers = dict(customers(left)[key]), customer["peers"]
        assert found.pop("peers") == [pytest.approx(peer) for peer in peers]
        assert found == pytest.approx({k: v for k, v in customer.items() if k != "peers"})


def test_levels_and_totals_are_those_that_the_old_process_had():
    found = customers(snapshot(new_policy(stored(MEMORY)["memory"]).parts, NOW_NS, 100))
    levels = {key: round(customer["level"], 3) for key, customer in found.items()}
    assert levels == {EMPTIED: 0.0, HALF_USED: 7.0, USED_LATER: 9.0}
    assert {key: c["total"] for key, c in found.items()} == {EMPTIED: 12.0, HALF_USED: 4.0, USED_LATER: 3.0}
    [peer] = found[HALF_USED]["peers"]
    assert (peer["peer"], peer["total"], peer["open"], peer["granted"]) == (1, 2.0, 0, 0.0)


def test_evidence_about_servers_is_taken_once_they_are_listed():
    memory = stored(MEMORY)["memory"]
    policy = Policy(read_config(CONFIG, {}).settings, 1)
    listed = [
        EndpointEntry(server["id"], 0, 0, 0, EndpointState.READY, 1.0, 0) for server in memory["servers"]
    ]
    for event in (StateInherited(memory), Started(), EndpointList(EndpointListKind.FULL, 1, listed)):
        policy.handle(NOW_NS, event)
    left = json.loads(json.dumps(snapshot(policy.parts, NOW_NS, 100)))
    assert left["servers"] == memory["servers"]
    assert max(server["doubt"] for server in memory["servers"])[0][1] > 0.3  # s-c closed connections
    assert min(server["slowness"] for server in memory["servers"]) < 1


def test_what_was_sent_until_the_end_is_added_by_the_stored_totals():
    memory, table = stored(MEMORY)["memory"], stored(SPENT)["spent"]
    policy = new_policy(memory)
    taken_over = {key: customer["total"] for key, customer in customers(memory).items()}
    assert apply_totals(policy.parts, table, taken_over, TOTAL_MODULUS) == 1
    found = customers(snapshot(policy.parts, NOW_NS, 100))
    assert round(found[USED_LATER]["level"], 3) == 5.0 and found[USED_LATER]["total"] == 7.0
    assert round(found[HALF_USED]["level"], 3) == 7.0 and found[HALF_USED]["total"] == 4.0
    again = running_totals(policy.parts)
    assert again.keys() == table.keys() and sorted(again["totals"]) == sorted(table["totals"])
    assert (again["form"], again["start"]) == (table["form"], table["start"])


@pytest.mark.parametrize(("ended", "left_units"), [(False, 9), (True, 5)])
def test_a_process_goes_on_with_the_stored_quotas(ended, left_units, tmp_path):
    """With the old process still alive, and once it has ended. HALF_USED is refused the last of the 7 units
    in its level: a part of it counts as sent by the other gateway and not told yet."""

    def served(customer):
        return sum(process.ask(customer, customer + number) == "$2" for number in range(QUOTA_UNITS))

    (tmp_path / HANDOVER).write_text(json.dumps(written_just_now(stored(HANDOVER))))
    shutil.copy(DATA / MEMORY, tmp_path / MEMORY)
    with fleet(tmp_path) as made:
        made.start(1, stored_gateway.PEER_SEED)  # a silent peer would count as one that sends
        process = made.start(0, NEW_SEED)
        assert process.said("memory: 3 customers, 2 servers, ")
        if ended:
            shutil.copy(DATA / SPENT, tmp_path / SPENT)
            until(lambda: process.said("the old process ended; it had sent for 1 customers meanwhile"))
        assert served(EMPTIED) == 0
        assert served(HALF_USED) == 6
        assert served(USED_LATER) == left_units


def test_a_process_stores_for_the_next_what_was_stored(tmp_path):
    """The same fleet played anew: each file has the keys of the recorded one, and no other."""
    stored_gateway.record(tmp_path)
    for name in stored_gateway.STORED:
        assert keys(json.loads((tmp_path / name).read_text())) == keys(stored(name)), name


# ---- testbed


@pytest.mark.parametrize("name", ["field-plan.yaml", "field-plan-soak.yaml"])
def test_a_stored_plan_is_read_and_written_as_it_was(name):
    assert plan.dump(plan.load(DATA / name)) == (DATA / name).read_text()


def test_stored_plans_are_the_ones_that_are_played_today():
    assert plan.dump(soak.draw(1, 4)) == (DATA / "field-plan-soak.yaml").read_text()
    assert plan.load(DATA / "field-plan.yaml") == plan.load(
        Path(__file__).parent / "plans/field/upgrade.yaml"
    )


@pytest.mark.parametrize("name", FIELD_RESULTS)
def test_a_stored_field_result_is_read_and_written_as_it_was(name, tmp_path):
    field_result.write(field_result.read(DATA / name), tmp_path / name)
    assert json.loads((tmp_path / name).read_text()) == stored(name)


def test_values_of_stored_field_results():
    whole, broken = (field_result.read(DATA / name) for name in FIELD_RESULTS)
    assert whole.line() == "field seed=16 ok=yes requests=300 goodput=1.014 nearest_bound=0.00"
    assert broken.line() == "field seed=11 ok=no requests=277 goodput=1.007 nearest_bound=32.95 broken=quota"


def test_a_page_of_stored_field_results(tmp_path):
    page = tmp_path / "page.html"
    done = program("testbed", "report", *(DATA / name for name in FIELD_RESULTS), "--out", page)
    assert (done.returncode, done.stdout) == (0, f"2 results in {page}\n"), done.stderr
    text = page.read_text()
    assert "customer 0000000058e71409 of premium is 0.74 units past the stated bound" in text
    assert "277 requests, 181 attempts, 100.7% of what one all-seeing store would let in" in text
    assert "upgrade 1 for 0 ms" in text


def test_the_stored_plan_is_played_and_gives_a_result_of_the_stored_keys(tmp_path):
    out = tmp_path / "field-plan.json"
    done = program("testbed", "run", DATA / "field-plan.yaml", "--out", out)
    assert done.returncode == 0, done.stdout + done.stderr
    fresh, recorded = json.loads(out.read_text()), stored("field-result.json")
    assert fresh["faults"] == recorded["faults"] and fresh["gateways"] == 3
    for table in (fresh, recorded):
        assert table.pop("tally").keys() <= {"served", "denied", "failed", "unreached"}
    assert keys(fresh) == keys(recorded)


# ---- scale


def test_a_stored_scale_result_is_read_and_written_as_it_was(tmp_path):
    path = tmp_path / "slopes.json"
    records.write(records.read(DATA / "scale-slopes.json"), path)
    assert json.loads(path.read_text()) == stored("scale-slopes.json")


def test_values_of_the_stored_scale_result():
    found = records.read(DATA / "scale-slopes.json")
    for kind in Kind:
        samples = found.chosen(Dimension.BACKENDS, kind, "this")
        assert [s.size for s in samples] == [10.0, 10.0, 20.0, 20.0, 40.0, 40.0, 80.0, 80.0, 160.0, 160.0]
    listed = [s.figure(Figure.LIST_BYTES) for s in found.chosen(Dimension.BACKENDS, Kind.REAL, "this")]
    assert listed == [n for n in (1410.0, 2788.0, 5544.0, 11062.0, 22152.0) for _ in range(2)]


def test_the_capacity_page_is_worked_out_from_the_stored_scale_result():
    done = program("scale", "capacity", DATA / "scale-slopes.json", TARGET)
    assert done.returncode == 0, done.stderr
    rows = done.stdout.splitlines()
    assert "| this | dd73a93 | start: deploy/start.yaml | 10 cores, 25.3 GB, Python 3.11.7 | 20 |" in rows
    law = "linear | 1.41 kB | 22.1 kB | 138 B × size | 138 B to 138 B | 10 to 160 | 10"
    assert f"| backends | list_bytes | this | real | {law} |" in rows


def test_a_measurement_gives_a_result_of_the_stored_keys(tmp_path):
    out = tmp_path / "slopes.json"
    held = ["--hold", "gateways=6", "--hold", "tenants=20", "--feature", "start=deploy/start.yaml"]
    short = ["--sizes", "10", "--repeats", "1", "--window", "0.4", "--jobs", "1"]
    done = program("scale", "slopes", "--dimension", "backends", *short, *held, "--out", out)
    assert done.returncode == 0, done.stdout + done.stderr
    assert keys(json.loads(out.read_text())) == keys(stored("scale-slopes.json"))
