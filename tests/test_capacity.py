"""Capacity tables: worked out from slopes whose laws are known, and the page held to the command's output."""

from __future__ import annotations

import heapq
import importlib
import itertools
import math
import random
import re
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from zincstile.cli.commands import run
from zincstile.decisions.messages import (
    AttemptOutcome,
    AttemptResult,
    CustomerUsage,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointState,
    ForwardRequest,
    GossipReceived,
    Request,
    SendGossip,
    SetTimer,
    Started,
    TimerFired,
)
from zincstile.decisions.policy import Policy
from zincstile.decisions.settings import CustomerPlan, Idempotency, RequestClass, Settings
from zincstile.net.http import HttpError, LineReader
from zincstile.net.limits import Limits
from zincstile.scale import (
    agreement,
    capacity_answers,
    capacity_costs,
    capacity_events,
    capacity_gateway,
    capacity_load,
    capacity_messages,
    capacity_page,
    capacity_roles,
    records,
    topology,
)
from zincstile.scale.capacity import Amount, Measured, Row, Unit, Verdict, exact, total
from zincstile.scale.fits import Estimate
from zincstile.scale.records import Dimension, Figure, Kind, Machine, Sample, SlopeResult
from zincstile.simulator import gossip_codec

ROOT = Path(__file__).parent.parent
TARGET = ROOT / "deploy/scale/target.yaml"
PAGE = ROOT / "docs/CAPACITY.md"
SIZES = {
    Dimension.BACKENDS: (320, 1000, 3200, 10000, 32000),
    Dimension.GATEWAYS: (21, 66, 210, 660, 2100),
    Dimension.TENANTS: (12, 40, 120, 400, 1200),
    Dimension.REQUESTS_PER_S: (2, 7, 20, 66, 200),
    Dimension.TABLE_CHANGES_PER_S: (0.2, 0.6, 2, 6, 20),
    Dimension.CONFIG_CHANGES_PER_S: (0.05, 0.2, 0.5, 2, 5),
}
HELD = {"gateways": 21.0, "tenants": 12.0, "backends": 320.0}
# of made-up programs: what a figure is at a size
LAWS = {
    Dimension.BACKENDS: {
        Figure.MEMORY_BYTES: lambda n: 21e6 + 1700 * n,
        Figure.CPU_REST_SHARE: lambda n: 0.003 + 6e-6 * n,
        Figure.CPU_PER_CHANGE_S: lambda n: 1e-4 + 1e-6 * n,
        Figure.READY_S: lambda n: 0.3,
        Figure.MASS_FAILURE_IN_FORCE_S: lambda n: 2e-7 * n**2,
    },
    Dimension.GATEWAYS: {
        Figure.MEMORY_BYTES: lambda n: 21e6 + 100 * n,
        Figure.CPU_REST_SHARE: lambda n: 0.003,
        Figure.CPU_PER_MESSAGE_S: lambda n: 1e-4,
    },
    Dimension.TENANTS: {
        Figure.MEMORY_BYTES: lambda n: 21e6 + 900 * n,
        Figure.CPU_REST_SHARE: lambda n: 0.003,
    },
    Dimension.REQUESTS_PER_S: {Figure.CPU_PER_REQUEST_S: lambda n: 3e-4},
    Dimension.TABLE_CHANGES_PER_S: {Figure.IN_FORCE_LAST_S: lambda n: 0.05 + 0.01 * math.log(n + 1)},
    Dimension.CONFIG_CHANGES_PER_S: {Figure.CPU_PER_CHANGE_S: lambda n: 2e-3},
}


def slopes(program="before", leave_out=(), kind=Kind.REAL, scale=1.0, repeats=2):
    samples = [
        Sample(
            dimension,
            size,
            kind,
            repeat,
            program,
            0,
            3.0,
            {figure.value: scale * law(size) for figure, law in LAWS[dimension].items()},
        )
        for dimension in Dimension
        if dimension not in leave_out
        for size in SIZES[dimension]
        for repeat in range(repeats)
    ]
    machine = Machine(8, 16 << 30, "3.11.7", "6.1")
    return SlopeResult({program: "0123abc"}, machine, 0.0, 1, {d.value: HELD for d in Dimension}, samples)


@pytest.fixture(scope="module")
def fleet():
    return topology.load(TARGET)


@pytest.fixture(scope="module")
def at_target(fleet):
    return capacity_load.load(fleet)


def rows(found):
    return {row.entry: row for row in found}


def written(tmp_path, result, name="slopes.json"):
    path = tmp_path / name
    records.write(result, path)
    return str(path)


# ---- the page


def test_the_page_holds_what_its_own_command_prints(capsys, monkeypatch):
    monkeypatch.chdir(ROOT)
    page = PAGE.read_text("utf-8")
    words = re.search(r"python -m zincstile (scale capacity .+) --write docs/CAPACITY.md", page)[1].split()
    if not Path(words[2]).exists():  # nothing was measured yet, and so nothing stands there
        assert capacity_page.between(page, str(PAGE)).strip() == ""
        return
    assert run(words) == 0
    assert capacity_page.between(page, str(PAGE)) == capsys.readouterr().out


def test_the_command_writes_between_the_markers_alone_and_always_the_same(tmp_path, capsys):
    page, path = tmp_path / "page.md", written(tmp_path, slopes())
    page.write_text(f"above\n{capacity_page.BEGIN}\nwas here\n{capacity_page.END}\nbelow\n")
    for _ in range(2):
        assert run(["scale", "capacity", path, str(TARGET), "--write", str(page)]) == 0
    assert run(["scale", "capacity", path, str(TARGET)]) == 0
    text = page.read_text()
    assert capacity_page.between(text, "page.md") == capsys.readouterr().out
    assert text.startswith("above\n") and text.endswith("\nbelow\n") and "was here" not in text


def test_two_programs_stand_side_by_side_in_the_order_that_is_asked_for(tmp_path, capsys):
    first, second = written(tmp_path, slopes()), written(tmp_path, slopes(scale=0.1), "second.json")
    assert run(["scale", "capacity", first, str(TARGET), "--also", second]) == 2
    assert "duplicate program before; give it another label: --also LABEL=" in capsys.readouterr().err
    words = ["scale", "capacity", first, str(TARGET), "--also", f"after={second}"]
    assert run([*words, "--program", "after", "--program", "before"]) == 0
    lines = [x for x in capsys.readouterr().out.splitlines() if x.startswith("| endpoint table |")]
    assert [x.split(" | ")[1] for x in lines] == ["after", "before"]
    both = slopes("zeta")  # measured in a shuffled order; told in the order of the commits
    both.samples = slopes("alpha", scale=0.5).samples + both.samples
    both.commits["alpha"] = "4567def"
    assert run(["scale", "capacity", written(tmp_path, both, "both.json"), str(TARGET)]) == 0
    lines = [x for x in capsys.readouterr().out.splitlines() if x.startswith("| endpoint table |")]
    assert [x.split(" | ")[1] for x in lines] == ["zeta", "alpha"]
    assert run([*words, "--program", "never"]) == 2
    assert "--program never: no such program; there are before, after" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("slopes_text", "topology_text", "page_text", "why"),
    [
        ("{", None, None, "slopes.json: not JSON"),
        ('{"commits": 1}', None, None, r"slopes.json: $.commits: Expected `object`"),
        (None, "regions: []\n", None, "topology.yaml:1: $.regions: "),
        (None, None, "no markers\n", "page.md: the lines <!-- scale capacity: begin --> and"),
        (None, None, "", "page.md: the lines"),
    ],
)
def test_bad_input_is_told_in_one_line(tmp_path, capsys, slopes_text, topology_text, page_text, why):
    good = written(tmp_path, slopes())
    words = ["scale", "capacity", good, str(TARGET)]
    for at, name, text in ((2, "slopes.json", slopes_text), (3, "topology.yaml", topology_text)):
        if text is not None:
            (tmp_path / name).write_text(text)
            words[at] = str(tmp_path / name)
    if page_text is not None:
        (tmp_path / "page.md").write_text(page_text)
        words += ["--write", str(tmp_path / "page.md")]
    assert run(words) == 2
    told = capsys.readouterr()
    assert told.out == "" and told.err.count("\n") == 1 and why in told.err


def test_files_that_are_not_there_and_empty_slopes_are_told(tmp_path, capsys):
    empty = written(tmp_path, msgspec.structs.replace(slopes(), samples=[]))
    good = written(tmp_path, slopes(), "good.json")
    for words, why in (
        ([empty, str(TARGET)], "$.samples: must not be empty"),
        (["never.json", str(TARGET)], "never.json: No such file"),
        ([good, "never.yaml"], "never.yaml: No such file"),
        ([good, str(TARGET), "--write", str(tmp_path / "never.md")], "never.md: No such file"),
    ):
        assert run(["scale", "capacity", *words]) == 2
        told = capsys.readouterr()
        assert told.out == "" and told.err.count("\n") == 1 and why in told.err


# ---- what was not measured


@pytest.mark.parametrize("dimension", list(Dimension))
def test_a_dimension_that_was_not_measured_is_told_and_not_invented(fleet, dimension):
    text = capacity_page.tables([Measured(slopes(leave_out=(dimension,)), "before")], fleet)
    whole = capacity_page.tables([Measured(slopes(), "before")], fleet)
    fitted = re.compile(rf"(real|hollow), [a-z ]+ over {dimension.value}\b")
    assert fitted.search(whole) and not fitted.search(text)
    assert text.count("not measured") > whole.count("not measured")


def test_a_sum_without_a_part_says_so_and_is_no_proof_that_it_is_within(fleet, at_target):
    small = topology.with_sizes(fleet, backends=1000)
    measured = Measured(slopes(leave_out=(Dimension.TENANTS,)), "before")
    found = rows(capacity_gateway.memory(measured, capacity_load.load(small)))
    whole = found["**in all**"]
    assert found["tenants"].amount is None and found["tenants"].verdict is Verdict.NOT_MEASURED
    assert whole.amount.lacking == ("tenants",) and whole.verdict is Verdict.OPEN
    over = rows(capacity_gateway.memory(measured, at_target))["**in all**"]
    assert over.verdict is Verdict.OVER  # what is missing can't make it less


def test_too_few_samples_carry_no_amount(fleet):
    measured = Measured(slopes(repeats=1), "before")
    text = capacity_page.tables([measured], fleet)
    assert "5 samples at 5 sizes; a fit needs" in text and "real, linear" not in text


# ---- what is worked out


def test_memory_is_the_sum_of_what_each_dimension_adds(fleet, at_target):
    found = rows(capacity_gateway.memory(Measured(slopes(), "before"), at_target))
    want = 21e6 + 1700 * 32000 + 100 * (2100 - 21) + 900 * at_target.tenants
    assert found["**in all**"].amount.value == pytest.approx(want, rel=1e-6)
    assert found["**in all**"].verdict is Verdict.OVER and found["**in all**"].missing
    assert found["endpoint table"].amount.value == pytest.approx(1700 * (32000 - 320), rel=1e-6)


def test_a_figure_past_what_was_measured_says_from_where_to_where(fleet):
    cut = slopes()
    cut.samples = [s for s in cut.samples if s.size < 32000]
    amount = Measured(cut, "before").predict(Dimension.BACKENDS, Figure.MEMORY_BYTES, 32000)
    assert "**extrapolated from 10,000 to 32,000**" in amount.basis[0]
    measured = Measured(slopes(), "before").predict(Dimension.BACKENDS, Figure.MEMORY_BYTES, 32000)
    assert "extrapolated" not in measured.basis[0]


def test_real_gateways_go_before_hollow_ones_and_the_table_says_which(fleet):
    both = slopes()
    both.samples += slopes(kind=Kind.HOLLOW, scale=5.0).samples
    amount = Measured(both, "before").predict(Dimension.BACKENDS, Figure.MEMORY_BYTES, 1000)
    assert amount.value == pytest.approx(22.7e6) and amount.basis == ("real, linear over backends",)
    hollow = Measured(slopes(kind=Kind.HOLLOW), "before")
    assert hollow.predict(Dimension.BACKENDS, Figure.MEMORY_BYTES, 1000).basis[0].startswith("hollow")


def test_the_bad_events_follow_from_the_cost_of_a_change(fleet):
    measured = Measured(slopes(), "before")
    one = capacity_costs.change_cost(measured, fleet).value
    assert one == pytest.approx(1e-4 + 1e-6 * 32000)
    lost = rows(capacity_events.zone_lost(measured, fleet))
    assert lost["processor time of one gateway, one change at a time"].amount.value == pytest.approx(
        6400 * one
    )
    measured_one = lost["the last change in force"]
    assert measured_one.amount.value == pytest.approx(2e-7 * 32000**2)
    assert measured_one.amount.basis == ("real, worse than linear over backends",) and measured_one.missing
    burst = rows(capacity_events.rollout(measured, fleet))["the same, over its minute"]
    assert burst.amount.value == pytest.approx(3 * fleet.service_sizes()[0] * one / 60)


def test_a_reload_reads_the_list_again_and_a_request_pays_for_the_table(fleet, at_target):
    made = slopes()
    for sample in made.samples:
        if sample.dimension is Dimension.BACKENDS:
            sample.figures["ready_s"] = 0.1 + 1e-5 * sample.size
            sample.figures["cpu_per_request_s"] = 1e-4 + 1e-8 * sample.size
    measured, grown = Measured(made, "before"), 32000 - 320
    assert capacity_costs.reload_cost(measured, fleet).value == pytest.approx(2e-3 + 1e-5 * grown)
    sizes = capacity_costs.targets(at_target)
    assert capacity_costs.request_cost(measured, sizes).value == pytest.approx(3e-4 + 1e-8 * grown)
    without = Measured(slopes(leave_out=(Dimension.BACKENDS,)), "before")
    assert capacity_costs.reload_cost(without, fleet).lacking == ("the table's growth",)


def test_without_slopes_over_the_table_the_cost_of_a_change_says_at_which_table(fleet):
    made = slopes(leave_out=(Dimension.BACKENDS,))
    for sample in made.samples:
        sample.figures["cpu_per_change_s"] = 1e-3
    amount = capacity_costs.change_cost(Measured(made, "before"), fleet)
    assert amount.lacking == ("the table's growth",) and "with a table of 320" in amount.basis


def test_hollow_gateways_are_held_against_real_ones_at_common_sizes(fleet):
    both = slopes()
    both.samples += [s for s in slopes(kind=Kind.HOLLOW, scale=1.1).samples if s.size != 32000]
    found = {(a.dimension, a.figure): a for a in agreement.agreements(both, "before")}
    table = found[Dimension.BACKENDS, Figure.MEMORY_BYTES]
    assert table.ratio == pytest.approx(1.1) and table.verdict is agreement.Verdict.YES
    assert (table.smallest, table.largest) == (320, 10000)
    assert found[Dimension.GATEWAYS, Figure.CPU_REST_SHARE].ratio is None  # neither grows
    both.samples = slopes().samples + slopes(kind=Kind.HOLLOW, scale=1.2).samples
    apart = {a.figure: a for a in agreement.agreements(both, "before") if a.dimension is Dimension.BACKENDS}
    assert {a.verdict for a in apart.values()} == {agreement.Verdict.NO}
    wide = Estimate(10, 5, 15), Estimate(14, 10, 18)
    assert (
        agreement.Agreement(Dimension.TENANTS, Figure.CPU_REST_SHARE, 1, 9, True, *wide).verdict.value
        == "open"
    )
    assert "| **no** |" in capacity_page.tables([Measured(both, "before")], fleet)


# ---- the load and the messages


@given(
    count=st.integers(1, 3000),
    gateways=st.integers(5, 300),
    zipf=st.floats(0, 2),
    least=st.integers(1, 5),
    requests=st.floats(1, 1e5),
)
def test_the_load_of_the_mean_gateway_adds_up(count, gateways, zipf, least, requests):
    tenants = topology.Tenants(count, zipf, least, max(least, gateways // 3))
    made = msgspec.structs.replace(
        topology.load(TARGET), gateways=gateways, tenants=tenants, requests_per_s=requests
    )
    found = capacity_load.load(made)
    assert 0 <= found.wide_per_s <= found.requests_per_s * (1 + 1e-9)
    assert 0 <= found.neighbours <= min(gateways - 1, 8)
    assert found.updates.per_s <= 12 * 8 * (1 + 1e-9) and found.relay_updates.per_s <= found.wide_per_s * (
        1 + 1e-9
    )
    assert found.heartbeats.per_s == pytest.approx(found.neighbours)
    assert (found.wide_tenants == 0) == (max(made.tenant_sets()) <= 5)


def sent(fleet, seconds=10.0):
    """Messages and bytes a second that one gateway's decision module sends at the fleet's load, by kind."""
    rng = random.Random(1)
    queue = []
    numbers = itertools.count()
    found = {"queries": [0, 0], "others": [0, 0]}
    classes = [RequestClass(f"c{k}", 2 * 10**8, 10**9, Idempotency.ALWAYS, 1.0) for k in range(3)]
    plan = CustomerPlan("p", rate=1e5, burst=1e5, max_in_flight=1000)
    gateway = Policy(
        Settings(
            0, fleet.gateways, classes, [plan], gossips=True, gossip_in_per_s=capacity_load.PEER_IN_PER_S
        ),
        1,
    )
    tenants, reached = [], 0.0
    for rank, size in enumerate(fleet.tenant_sets(), 1):  # as many of each size as a gateway has on average
        reached += size / fleet.gateways
        if reached >= len(tenants) + 0.5:
            first = -rng.randrange(size) % fleet.gateways
            tenants.append((rng.getrandbits(33), size, first, rank**-fleet.tenants.zipf))

    def put(at_ns, event):
        heapq.heappush(queue, (at_ns, next(numbers), event))

    put(0, Started())
    backends = [EndpointEntry(k, 0, 0, 0, EndpointState.READY, 1.0, 0) for k in range(1, 101)]
    put(1, EndpointList(EndpointListKind.FULL, 1, backends))
    at_s, drawn = 0.0, 0
    while (at_s := at_s + rng.expovariate(fleet.requests_of_gateway())) < 1.5 * seconds:
        key, size, first, _ = rng.choices(tenants, [t[3] for t in tenants])[0]
        at_ns, drawn = int(at_s * 1e9), drawn + 1
        put(at_ns, Request(drawn, rng.randrange(3), 0, key, at_ns + 10**9, 1.0, size, first))
    while queue and queue[0][0] < 1.5e9 * seconds:
        now, _, event = heapq.heappop(queue)
        for action in gateway.handle(now, event):
            if isinstance(action, SetTimer):
                put(max(now, action.at_ns), TimerFired(action.token))
            elif isinstance(action, ForwardRequest):
                done = AttemptOutcome(action.request, 0, action.endpoint, AttemptResult.OK, 5 * 10**6, True)
                put(now + 5 * 10**6, done)
            elif isinstance(action, SendGossip):
                asked = [s for s in action.usages if s.requested_units > 0]
                for s in asked:
                    answer = CustomerUsage(s.customer, 0, 0.0, 1e4, 0, s.requested_units, s.query_id, True)
                    put(now + 10**6, GossipReceived(action.peer, 1, [answer]))
                if now >= 0.5e9 * seconds:
                    datagrams = gossip_codec.encode_gossip(action)
                    kind = found["queries" if asked else "others"]
                    kind[0] += len(datagrams) / seconds
                    kind[1] += sum(map(len, datagrams)) / seconds
    return found


@pytest.mark.parametrize("size", [4, 5, 40])
def test_the_load_is_what_the_decision_module_sends(fleet, size):
    made = msgspec.structs.replace(fleet, tenants=topology.Tenants(64_000, 0.5, size, size))
    load, found = capacity_load.load(made), sent(made)
    others = [load.heartbeats, load.updates, load.relay_updates]
    assert found["queries"] == pytest.approx([load.queries.per_s, load.queries.bytes_per_s], rel=0.15)
    want = [sum(flow.per_s for flow in others), sum(flow.bytes_per_s for flow in others)]
    assert found["others"] == pytest.approx(want, rel=0.15)


def test_sizes_of_messages_are_the_packers(fleet):
    head, share = gossip_codec.HEADER.size, gossip_codec.USAGE.size
    assert capacity_messages.gossip_bytes(0) == head
    assert capacity_messages.gossip_bytes(2.5) == pytest.approx(head + 2.5 * share)
    assert (
        capacity_messages.gossip_bytes(1, figures=True, error_samples=8)
        == head + share + 12 * gossip_codec.ESTIMATE.size + 8 * gossip_codec.ERROR_SAMPLE.size
    )
    assert capacity_messages.most_parts() == 65_535


def test_a_list_is_over_exactly_where_the_gateway_would_refuse_it(fleet):
    for backends in (32_000, 64_000):
        made = topology.with_sizes(fleet, backends=backends)
        found = rows(capacity_roles.list_service(made))
        line = found["a whole list, against the longest line that a gateway reads"]
        parts = found["lists from peers: datagrams of a bucket, against what their format counts"]
        reader = LineReader(Limits(table_bytes=Limits.table_line_bytes(int(fleet.budgets.memory_mb))))
        reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % line.amount.value)
        refused = False
        try:
            for _ in range(int(line.amount.value - 1) // 65536 + 1):
                reader.feed(b"x" * 65536)
        except HttpError:
            refused = True
        assert refused is (line.verdict is Verdict.OVER)
        told = capacity_messages.can_be_numbered(capacity_messages.bucket_lines(backends))
        assert told is (parts.verdict is Verdict.WITHIN)


def test_every_mechanism_is_in_the_program_by_its_name(fleet):
    measured = Measured(slopes(), "before")
    names = {
        name
        for s in capacity_page.sections(measured, fleet)
        for row in s.rows
        for name in row.carried.split(", ")
    }
    assert len(names) > 20
    for name in names - {""}:
        module, *path = name.split(".")
        found = importlib.import_module(f"zincstile.{module.replace('/', '.')}")
        for part in path:
            found = getattr(found, part) if hasattr(found, part) else found.__dataclass_fields__[part]


def test_a_subset_never_holds_more_than_there_is(fleet):
    every = capacity_answers.subset_size(fleet, len(fleet.zones))
    assert fleet.services.count <= every <= fleet.backends
    assert capacity_answers.subset_size(fleet, 1) <= every
    few = topology.with_sizes(fleet, gateways=5)  # each endpoint is kept by four of them
    assert capacity_answers.subset_size(few, 5) >= 4 / 5 * fleet.backends
    lone = topology.with_sizes(fleet, backends=920)
    assert capacity_answers.subset_size(lone, 5) == 920


# ---- verdicts and figures


@pytest.mark.parametrize(
    ("amount", "budget", "carried", "verdict", "missing"),
    [
        (exact(5), 10, "a", Verdict.WITHIN, False),
        (exact(5), 10, "", Verdict.WITHIN, True),
        (exact(50), 10, "a", Verdict.OVER, True),
        (Amount(9, 8, 11), 10, "a", Verdict.OPEN, False),
        (Amount(5, 4, 6, (), ("routes",)), 10, "a", Verdict.OPEN, False),
        (exact(5), None, "a", Verdict.NONE, False),
        (None, 10, "a", Verdict.NOT_MEASURED, False),
    ],
)
def test_a_verdict_rests_on_the_whole_interval(amount, budget, carried, verdict, missing):
    row = Row("entry", "", Unit.BYTES, amount, carried, budget)
    assert row.verdict is verdict and row.missing is missing


def test_a_feature_counts_for_its_program_alone(fleet, at_target):
    result = slopes()
    result.features = {"after:subset": "deploy/subset.yaml", "start": "deploy/start.yaml"}
    before, after = Measured(result, "before"), Measured(slopes("after"), "after")
    after.result.features = result.features
    assert before.features == {"start": "deploy/start.yaml"} and "subset" in after.features
    entry = "subsetting, all zones: endpoints of a gateway"
    assert rows(capacity_answers.answers(before, fleet, at_target))[entry].missing
    assert not rows(capacity_answers.answers(after, fleet, at_target))[entry].missing
    text = capacity_page.tables([before, after], fleet)
    assert f"| {entry} | before |" in text and f"| {entry} | after |" in text


def test_margins_of_a_sum_add_up_as_squares():
    found = total([Amount(10, 7, 13, ("a",)), Amount(20, 16, 24, ("b",)), exact(5)])
    assert (found.value, found.low, found.high, found.basis) == (35, 30, 40, ("a", "b"))


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [
        (64e6, Unit.BYTES, "64 MB"),
        (4_576_048, Unit.BYTES, "4.58 MB"),
        (5000, Unit.BYTES_PER_S, "5 kB/s"),
        (0.2, Unit.CORE, "20%"),
        (2.4e-7, Unit.CORE, "0.000024%"),
        (0.0017, Unit.SECONDS, "1.7 ms"),
        (0.0, Unit.SECONDS, "0 s"),
        (-31e-6, Unit.SECONDS, "-31 us"),
        (20611.7, Unit.PER_S, "20,612 /s"),
        (2, Unit.TIMES, "2 times"),
        (32000, Unit.COUNT, "32,000"),
    ],
)
def test_figures_are_written_with_three_digits(value, unit, text):
    assert capacity_page.written(value, unit) == text
