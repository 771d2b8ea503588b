"""Scale runs: the plan file, the verdicts against plain models, and a small day with deliberate faults."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from math import inf
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zincstile.cli.scale_run import prepare
from zincstile.scale import day, estimate, outcome, plan, report, topology
from zincstile.scale.outcome import Check
from zincstile.scale.records import Kind
from zincstile.scale.verdicts import (
    Change,
    ColdBudgets,
    Incarnation,
    Seen,
    Use,
    cold_allowance,
    in_force,
    peak,
)

ROOT = Path(__file__).parent.parent
TARGET = ROOT / "deploy" / "scale" / "target.yaml"
GATEWAYS = 8  # 0 and 1 are real
CUT, AGAIN = 6, 4  # hollow ones: the watch of one is cut off, that of the other falls silent

FLEET = """
regions: [{name: region-1, zones: [zone-01, zone-02]}]
racks_per_zone: 2
gateways: 8
backends: 20
services: {count: 3, zipf: 0.8}
routes: {count: 0}
tenants: {count: 10, zipf: 1.0, gateways_least: 2, gateways_most: 4}
requests_per_s: 320
churn_per_day: {backend_replacements: 10, configuration_changes: 0, machine_failures: 0}
budgets: {in_force_s: 4, control_core_share: 100, memory_mb: 1, control_bytes_per_s: 0.01, added_p99_ms: 100,
          control_machines: 1}
"""
DAY = """
lasts_s: 12.5
sample_s: 0.3
tenants: 6
real: {loaded: 1, unloaded: 1}
churn: {replacements_per_s: 2}
moments:
  - {kind: rollout, at_s: 0.2, service: 0, over_s: 1, drain_s: 0.3}
  - {kind: zone_lost, at_s: 2, zone: zone-02, for_s: 1.5, noticed_s: 0.2, over_s: 0.2}
  - {kind: gateways_restarted, at_s: 4.5, zone: zone-01}
"""


def scale_run(*words, **more):
    return [sys.executable, "-m", "zincstile", "scale", "run", *map(str, words)], {
        "cwd": ROOT,
        "text": True,
    } | more


@pytest.fixture
def files(tmp_path):
    (tmp_path / "fleet.yaml").write_text(FLEET)
    (tmp_path / "day.yaml").write_text(DAY)
    return tmp_path


class Mute:
    """A connection whose bytes are lost on their way."""

    def __init__(self, transport):
        self.transport = transport

    def write(self, data):
        pass

    def __getattr__(self, name):
        return getattr(self.transport, name)


class SmallDay(day.Day):
    """A day in which the watch of one gateway, back from its restart, falls silent, so that it opens another
    beside it. Lines that were written to the first are lost."""

    async def _play_day(self):
        self.muted = self.loop.create_task(self.mute())
        await super()._play_day()

    async def mute(self):
        member = self.gateways.members[AGAIN]
        while not (member.starts == 2 and member.ready):
            await asyncio.sleep(0.02)
        for watch in [w for w in self.discovery.watches if w.gateway == AGAIN]:
            watch.transport = Mute(watch.transport)
        for entry in list(self.discovery.table.entries.values())[:2]:
            self.discovery.put(entry)

    async def _finish(self):
        async with asyncio.timeout(60):
            await self.muted
            while self.discovery.watches_opened[AGAIN] < 2:
                await asyncio.sleep(0.02)
        await super()._finish()


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """A small day. One hollow gateway's watch is cut off; memory and bytes have budgets that all exceed."""
    folder = tmp_path_factory.mktemp("day")
    (folder / "fleet.yaml").write_text(FLEET)
    (folder / "day.yaml").write_text(DAY)
    fleet = topology.load(folder / "fleet.yaml")
    chosen, result = prepare(fleet, "fleet.yaml", str(folder / "day.yaml"), "1")
    one = SmallDay(fleet, chosen, folder, result, cut=frozenset({CUT}))
    assert day.play(one)
    return one, result


def verdict(result, check):
    return next(v for v in result.verdicts if v.check is check)


def test_a_watch_that_is_cut_off_is_named_and_no_other_lacks_a_change(played):
    one, result = played
    found = verdict(result, Check.IN_FORCE)
    assert found.kept is False and found.worst[0].startswith(f"g{CUT} (hollow")
    assert [row.name for row in result.gateways if row.never] == [f"g{CUT}"]
    last = one.discovery.changes[-1].index
    others = [m for m in one.gateways.members if m.number != CUT]
    assert all(m.incarnations[-1].seen[-1].index == last for m in others)
    assert result.complete and not result.ok and result.changes > 3 * 8 + 2 * 10


def test_after_a_second_watch_what_a_gateway_has_in_force_is_still_known(played):
    one, result = played
    assert one.discovery.watches_opened[AGAIN] > 1
    incarnation = one.gateways.members[AGAIN].incarnations[-1]
    assert incarnation.seen[-1].index == one.discovery.changes[-1].index
    assert next(row for row in result.gateways if row.name == f"g{AGAIN}").never == 0


def test_events_reach_both_kinds_of_gateways_and_budgets_exceeded_are_named(played):
    one, result = played
    assert len(one.gateways.processes) == 4 and all(row.starts == 2 for row in result.gateways)
    assert {d.kind for d in result.delays} == set(Kind) and len({d.event for d in result.delays}) >= 3
    for check in (Check.CONTROL_MEMORY, Check.CONTROL_BYTES):
        found = verdict(result, check)
        assert found.kept is False and found.worst and found.figure > found.limit
        assert set(found.given_by) == set(Kind)
    assert verdict(result, Check.CONTROL_CPU).kept
    assert not any("g0 " in w for w in verdict(result, Check.CONTROL_CPU).worst)  # its requests cost too


def test_the_rules_are_watched_at_the_loaded_real_gateway(played):
    one, result = played
    assert result.requests["served"] > 50 and result.attempts >= result.requests["served"]
    for check in (Check.PROCESSES, Check.QUOTA):
        found = verdict(result, check)
        assert found.kept, (found.text, found.worst)
    late = (" ms late", "no answer before the deadline")  # may be due to a busy machine
    assert not [b.text for b in one.checker.violations if not b.text.endswith(late)]
    assert verdict(result, Check.RULES).kept == (not one.checker.violations)
    assert {case.gateway for case in one.checker.histories.values()} == {"g0"}
    assert not any(process.alive for process in one.gateways.processes)


def test_the_result_goes_to_json_and_back_and_every_verdict_says_who_gave_it(played, tmp_path):
    _, result = played
    outcome.write(result, tmp_path / "r.json")
    assert outcome.read(tmp_path / "r.json") == result
    text = report.text(result)
    assert (
        f"BROKEN in_force: g{CUT} (hollow" in text and "broken=in_force,control_memory,control_bytes" in text
    )
    assert [v.check for v in result.verdicts] == list(Check) and all(v.given_by for v in result.verdicts)


def test_sigint_ends_all_that_was_started_and_keeps_what_was_measured(files):
    keep = files / "keep"
    words, more = scale_run(
        files / "fleet.yaml", "--plan", files / "day.yaml", "--out", files / "r.json", "--keep", keep
    )
    process = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE, **more)
    logs = [keep / name / "gateway.log" for name in ("real-0", "real-1", "hollow-2", "hollow-3")]
    until = time.monotonic() + 100
    while not all(log.exists() and b" counters " in log.read_bytes() for log in logs):
        assert process.poll() is None and time.monotonic() < until
        time.sleep(0.05)
    assert {log.parent for log in logs} == started_in(keep)
    process.send_signal(signal.SIGINT)
    out, err = process.communicate(timeout=60)
    assert process.returncode == 130 and err == "zincstile: interrupted\n"  # and no progress in a pipe
    assert not started_in(keep)
    result = outcome.read(files / "r.json")
    assert not result.complete and len(result.gateways) == GATEWAYS and "complete=no" in out
    assert len(result.verdicts) == len(Check) and any(row.window_s for row in result.gateways)


def started_in(folder: Path) -> set[Path]:
    """Folders below it that a process works in."""
    found = set()
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                place = Path(os.readlink(entry / "cwd"))
            except OSError:
                continue
            if folder in place.parents:
                found.add(place)
    return found


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ("lasts_s: 12.5", "lasts_s: 541", "day.yaml:2: $.lasts_s: Expected `float` <= 540.0"),
        ("kind: rollout", "kind: rack_lost", "day.yaml:8: $.moments[0].kind: Invalid value 'rack_lost'"),
        (
            "zone: zone-02",
            "zone: zone-09",
            "day.yaml:9: $.moments[1].zone: zone-09: there are zone-01, zone-02",
        ),
        ("service: 0", "service: 3", "day.yaml:8: $.moments[0].service: 3: there are 3"),
        ("at_s: 4.5", "at_s: 9", "day.yaml:10: $.moments[2].at_s: ends at 9 s; 6.2 s is the latest"),
        (
            "zone: zone-01",
            "zone: zone-02, x: 1",
            "day.yaml:10: $.moments[2]: Object contains unknown field `x`",
        ),
        (
            "at_s: 4.5, zone: zone-01",
            "at_s: 3, zone: zone-02",
            "day.yaml:10: $.moments[2].zone: zone-02: an earlier",
        ),
        ("for_s: 1.5", "for_s: 0.3", "day.yaml:9: $.moments[1].for_s: the zone is back before"),
        ("unloaded: 1", "unloaded: 8", "day.yaml:5: $.real: 9 real gateways, but 8 in all"),
    ],
)
def test_a_plan_that_can_not_be_used_is_told_in_one_line(files, old, new, told):
    (files / "day.yaml").write_text(DAY.replace(old, new))
    words, more = scale_run(files / "fleet.yaml", "--plan", files / "day.yaml")
    done = subprocess.run(words, capture_output=True, timeout=60, **more)
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and told in done.stderr, done.stderr


def test_a_run_that_does_not_fit_the_machine_is_refused_with_the_figure():
    words, more = scale_run(TARGET)
    done = subprocess.run(words, capture_output=True, timeout=60, **more)
    assert done.returncode == 2 and "GiB of memory, 12 GiB at most" in done.stderr
    chosen = plan.load(ROOT / "deploy" / "scale" / "day.yaml", fleet := topology.load(TARGET))
    wide = topology.with_sizes(fleet, backends=920, gateways=2100)
    assert estimate.refused(estimate.estimate(wide, chosen)) is None
    crowd = plan.Real(loaded=1, unloaded=250)
    wide = topology.with_sizes(wide, services=1, backends=1)
    many = plan.msgspec.structs.replace(chosen, real=crowd)
    assert "processes, 299 at most" in estimate.refused(estimate.estimate(wide, many))


# ---- the pure parts against plain models

GAPS = st.lists(st.floats(0.01, 5), min_size=0, max_size=12)


def sums(gaps, start=0.0):
    found = []
    for gap in gaps:
        start += gap
        found.append(start)
    return found


@given(GAPS, GAPS, st.data())
def test_delays_equal_what_each_change_by_itself_shows(change_gaps, seen_gaps, data):
    changes = [Change(k + 2, at) for k, at in enumerate(sums(change_gaps))]
    times = sums(seen_gaps)
    indexes = sorted(data.draw(st.lists(st.integers(1, 14), min_size=len(times), max_size=len(times))))
    split = data.draw(st.integers(0, len(times)))
    middle = times[split] if split < len(times) else 100.0
    seen = [Seen(at, index) for at, index in zip(times, indexes, strict=True)]
    incarnations = [Incarnation(0.0, middle, seen[:split]), Incarnation(middle, inf, seen[split:])]
    within_s, end_s = data.draw(st.floats(0.1, 10)), data.draw(st.floats(0, 60))
    found = in_force(changes, incarnations, within_s, end_s)
    delays, late, never, undecided = [], 0, 0, 0
    for incarnation in incarnations:
        before = [c for c in changes if c.at_s < incarnation.up_s][-1:]
        for change in before + [
            c for c in changes if incarnation.up_s <= c.at_s < min(incarnation.down_s, end_s)
        ]:
            if change.at_s >= min(incarnation.down_s, end_s):
                continue
            since_s = max(change.at_s, incarnation.up_s)
            first = next((s.at_s for s in incarnation.seen if s.index >= change.index), None)
            if first is not None:
                delays.append(max(0.0, first - since_s))
                late += delays[-1] > within_s
            elif min(incarnation.down_s, end_s) <= since_s + within_s:
                undecided += 1
            else:
                never += 1
    assert (found.delays_s, found.late, found.never, found.undecided) == (delays, late, never, undecided)
    assert (found.first_missing >= 0) == bool(late or never) and (found.worst_s == inf) == bool(never)


@given(GAPS, st.data())
def test_the_peak_is_that_of_the_worst_window_and_never_less_than_the_average(gaps, data):
    spent = st.lists(st.floats(0, 2), min_size=len(gaps), max_size=len(gaps))
    cpu = sums(data.draw(spent))
    times = sums(gaps)
    uses = [Use(at, c, round(1000 * c), 5.0 + k) for k, (at, c) in enumerate(zip(times, cpu, strict=True))]
    window_s = data.draw(st.floats(0.5, 20))
    found = peak([Incarnation(0.0, inf, [], uses)], window_s)
    if len(uses) < 2:
        assert found.cpu_share == found.seconds == 0
        return
    span = uses[-1].at_s - uses[0].at_s
    shares = [(uses[-1].cpu_s - uses[0].cpu_s) / span] if span < window_s else []
    for k, first in enumerate(uses):
        last = next((u for u in uses[k:] if u.at_s - first.at_s >= window_s), None)
        if last is not None:
            shares.append((last.cpu_s - first.cpu_s) / (last.at_s - first.at_s))
    assert found.cpu_share == max(shares) and found.seconds == min(span, window_s)
    assert found.memory_bytes == uses[-1].memory_bytes


@given(st.lists(st.floats(0, 0.2), max_size=120), st.floats(0, 12), st.floats(0.5, 3), st.floats(1, 9))
def test_cold_calls_are_counted_over_the_window_and_one_too_many_is_named(gaps, budget, window_s, warm_s):
    cold = ColdBudgets(window_s)
    cold.began("b", lambda at_s: budget if at_s < warm_s else None)
    times, over = sums(gaps), False
    for number, at_s in enumerate(times):
        recent = sum(t > at_s - window_s for t in times[: number + 1])
        over = over or (at_s < warm_s and recent > cold_allowance(budget))
        cold.take("b", at_s)
        cold.take("warm", at_s)
    assert ("b" in cold.over) == over and (cold.nearest > 1) == over
    assert cold.calls == sum(at_s < warm_s for at_s in times)
