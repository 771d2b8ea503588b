"""Compares incrementally updated state (endpoints, connection pool, endpoint table) with a simple model.

The model recomputes everything from the complete list. The work for a change or a tick is independent of the
size of the list.
"""

from __future__ import annotations

import json
import math
import sys
from dataclasses import replace
from types import SimpleNamespace

import pytest
from conftest import MS, SECOND, PolicyHarness, backend
from endpoint_lists import delta, endpoint, full_list, stub_dispatcher
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st

from zincstile.decisions.endpoints import NEUTRAL_RATIO_TOLERANCE, peer_hash
from zincstile.decisions.messages import EndpointListKind, EndpointState, RequestAbandoned
from zincstile.decisions.outlier_detection import (
    BASELINE_RANK,
    NEGLIGIBLE_SCORE,
    OUTLIER_SCORE,
    SCORE_DECAY_S,
)
from zincstile.net import config
from zincstile.net.backends.connection import BackendConnection
from zincstile.net.backends.pool import ConnectionPool
from zincstile.net.discovery.messages import ListedEndpoint, endpoint_id
from zincstile.net.discovery.reader import EndpointReader
from zincstile.net.discovery.table import EndpointTable
from zincstile.net.json_objects import JsonObjectParser
from zincstile.net.lifecycle import apply_initial_list
from zincstile.simulation import traffic
from zincstile.simulation.plan import Plan

COLD = {"slow_start_share": 0.25, "slow_start_ns": 20 * SECOND, "slow_start_overload_multiple": 2.0}
IDS = (1, 2, 3, 4, 50550, 101099, 50551)  # peer hash collisions: 1 with two others, 2 with one
STARTS = (0, 40 * SECOND, 85 * SECOND, 95 * SECOND, 105 * SECOND)  # the first ones are warm or unknown
ENTRIES = st.lists(
    st.builds(
        backend,
        st.sampled_from(IDS),
        st.integers(0, 2),
        st.sampled_from(EndpointState),
        st.sampled_from(STARTS),
    ),
    max_size=8,
)
LISTS = st.tuples(
    st.sampled_from([EndpointListKind.FULL, EndpointListKind.DELTA, EndpointListKind.DELTA]), ENTRIES
)
ERROR_SAMPLE = st.tuples(st.sampled_from(IDS), st.integers(0, 2), st.floats(0, 1))
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("lists"), st.lists(LISTS, min_size=1, max_size=3)),  # all before the next event
        st.tuples(st.just("error sample"), ERROR_SAMPLE),
        st.tuples(st.just("slow"), st.tuples(st.sampled_from(IDS), st.floats(0.1, 4))),
        st.tuples(st.just("tick"), st.integers(1, 6000)),
    ),
    max_size=25,
)


class EndpointModel:
    """Recomputes all state from the list. `known`: by id the entry, latency ratio and error scores."""

    def __init__(self):
        self.known, self.ready = {}, []  # ids of ready endpoints, in the order in which they became ready
        self.baseline = [0.0] * 6

    def apply(self, kind, entries):
        if kind is EndpointListKind.FULL:
            self.known = {k: x for k, x in self.known.items() if k in {b.id for b in entries}}
        for b in entries:
            known = self.known.get(b.id)
            if known and known[0].started_ns == b.started_ns:
                known[0] = b
            else:
                self.known[b.id] = [b, 1.0, {}]
                self.ready = [k for k in self.ready if k != b.id]
        self.known = {k: x for k, x in self.known.items() if x[0].state is not EndpointState.REMOVED}
        ready = [k for k, x in self.known.items() if x[0].state is EndpointState.READY]
        self.ready = [k for k in self.ready if k in ready] + [
            b.id for n, b in enumerate(entries) if b.id in ready and b.id not in self.ready
            and b.id not in [c.id for c in entries[:n]]
        ]  # fmt: skip

    def decay(self, factor):
        scores = [[] for _ in self.baseline]
        for x in [self.known[k] for k in self.ready]:
            x[1] += (1 - factor) * (1 - x[1])
            x[2] = {g: bad * factor for g, bad in x[2].items() if bad > NEGLIGIBLE_SCORE}
            for g, bad in x[2].items():
                scores[g].append(bad)
        n = len(self.ready)
        for g, bads in enumerate(scores):
            everyone = sorted([0.0] * (n - len(bads)) + bads)
            self.baseline[g] = everyone[int(n * BASELINE_RANK)] if n else 0.0

    def healthy_endpoints(self, warmth):
        weights = [
            warmth(x) * sum(x[2].get(g, 0.0) - self.baseline[g] < OUTLIER_SCORE for g in range(3)) / 3
            for x in [self.known[k] for k in self.ready]
        ]
        return max(1.0, sum(weights))


@effort(max_examples=150, deadline=None, derandomize=True, database=None)
@given(STEPS)
def test_endpoints_match_a_model_that_is_recomputed_from_the_complete_list(steps):
    g, model = PolicyHarness(COLD, backends=0, now=100 * SECOND), EndpointModel()
    policy = g.policy
    healthy = policy.parts.capacity.healthy_endpoints
    for kind_of_step, argument in steps:
        if kind_of_step == "lists":
            for kind, entries in argument:
                g.update_endpoints(entries, kind)
                model.apply(kind, entries)
        elif kind_of_step == "tick":
            factor = math.exp(-argument * MS / SECOND / SCORE_DECAY_S)
            g.now += argument * MS
            policy.ticker.ticked_ns = g.now - argument * MS
            g.tick(0)
            model.decay(factor)
        elif argument[0] in model.known and kind_of_step == "error sample":
            where, group, bad = argument
            policy.parts.detector.apply_sample(policy.parts.endpoints.by_id[where], group, bad, 0.5)
            scores = model.known[where][2]
            if bad or group in scores:
                scores[group] = scores.get(group, 0.0) * 0.5 + 0.5 * bad
        elif argument[0] in model.known:
            policy.parts.endpoints.track(
                policy.parts.endpoints.by_id[argument[0]]
            ).latency_ratio = model.known[argument[0]][1] = argument[1]
        g.feed(RequestAbandoned(-1))  # the next event is decided with the changed list
        ready = [model.known[k] for k in model.ready]
        assert policy.parts.endpoints.by_id.keys() == model.known.keys() and len(
            policy.parts.endpoints.ready
        ) == len(ready)
        assert {s.entry.id: s.entry for s in policy.parts.endpoints.ready} == {x[0].id: x[0] for x in ready}
        assert {n: s.entry.id for n, s in policy.parts.endpoints.by_hash.items()} == {
            peer_hash(k): k for k in model.ready
        }
        assert len(policy.parts.slow_start.cumulative_shares) == len(policy.parts.endpoints.warming) and all(
            s.started_ns for s in [c.entry for c in policy.parts.endpoints.warming]
        )
        for s in policy.parts.endpoints.by_id.values():
            known = model.known[s.entry.id]
            assert (
                s.error_scores == pytest.approx(known[2])
                and abs(s.latency_ratio - known[1]) <= NEUTRAL_RATIO_TOLERANCE
            )
            assert s.entry.id in policy.parts.endpoints.tracked or (
                not s.error_scores and s.latency_ratio == 1.0
            )
            assert (s.ready_list is not None) == (s.entry.state is EndpointState.READY)
            assert s.ready_list is None or s.ready_list[s.ready_index] is s
        assert all(
            policy.parts.endpoints.by_id.get(k) is s for k, s in policy.parts.endpoints.tracked.items()
        )
        if kind_of_step == "lists":  # an empty change must not cause a recomputation
            changed = any(
                kind in (EndpointListKind.FULL, EndpointListKind.CACHED) or entries
                for kind, entries in argument
            )
            assert changed or policy.parts.capacity.healthy_endpoints == healthy
        healthy_is_new = kind_of_step == "tick" or (kind_of_step == "lists" and changed)
        healthy = policy.parts.capacity.healthy_endpoints
        if healthy_is_new:

            def warmth(x):
                return policy.parts.capacity.warmth(g.now, SimpleNamespace(entry=x[0]))

            assert {s.entry.id for s in policy.parts.endpoints.warm} == {
                x[0].id for x in ready if warmth(x) >= 1
            }
            assert policy.parts.detector.baseline == pytest.approx(model.baseline)
            assert policy.parts.capacity.healthy_endpoints == pytest.approx(model.healthy_endpoints(warmth))
    for _ in range(20):
        g.tick(5 * SECOND)
    # All scores have decayed.
    assert not [s for s in policy.parts.endpoints.tracked.values() if s.ready_list is not None]


# ---- the connection pool and the endpoint table


class StubTransport:
    """A transport that only records that it was closed."""

    closed = False

    def close(self):
        self.closed = True

    def is_closing(self):
        return self.closed


def dispatcher_at_100_s():
    return stub_dispatcher(now_ns=lambda: 100 * SECOND)


def open_idle(pool, backend_id):
    """Adds an open idle connection to a backend; None if the backend accepts no attempts."""
    backend_ = pool.ready_backend(backend_id)
    if backend_ is not None:
        connection = BackendConnection(SimpleNamespace(dispatcher=pool.dispatcher), backend_, None)
        connection.transport = StubTransport()
        pool.add(connection)
        pool.add_idle(connection, unused=True)
        return connection
    return None


def address_of(entry, moved):
    return f"10.0.{moved}.{entry.id % 200}", 6379


@effort(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.lists(st.tuples(LISTS, st.integers(0, 1), st.sampled_from(IDS)), max_size=15))
def test_the_pool_connects_only_to_the_backends_that_are_listed_as_ready(steps):
    pool, listed, opened = ConnectionPool(dispatcher_at_100_s()), {}, []
    for (kind, entries), moved, used in steps:
        complete = kind is EndpointListKind.FULL
        received = [ListedEndpoint(entry, address_of(entry, moved)) for entry in entries]
        pool.update(received, complete=complete)
        before = {} if complete else listed
        latest = before | {one.entry.id: one for one in received}
        listed = {k: one for k, one in latest.items() if one.entry.state is not EndpointState.REMOVED}
        ready = {k: one for k, one in listed.items() if one.entry.state is EndpointState.READY}
        assert pool.listed == listed
        for connection in [c for c in opened if not c.transport.closed]:
            actual, expected = connection.backend, ready.get(connection.backend.id)
            assert expected
            assert (actual.address, actual.started_ns) == (expected.address, expected.entry.started_ns)
        for connection in [c for c in opened if c.transport.closed]:
            pool.on_connection_lost(connection)
        opened = [c for c in opened if not c.transport.closed]
        assert list(pool.idle) == opened and pool.connections == set(opened)
        # There is no record of a backend without a connection.
        assert pool.backends == {c.backend.id: c.backend for c in opened}
        connection = open_idle(pool, used)
        assert (connection is not None) == (used in ready)
        opened += [connection] if connection else []
    while pool.close_oldest_idle():
        assert [c.transport.closed for c in opened] == sorted(
            (c.transport.closed for c in opened), reverse=True
        )
    assert all(c.transport.closed for c in opened) and not pool.idle


def endpoints(names, status="Ready"):
    return [endpoint(name, status, since_ms=1) for name in names]


def table_at_0_s(update=lambda endpoints, *, complete: None):
    """A table whose reader's clocks are stopped at 0."""
    dispatcher = dispatcher_at_100_s()
    clocks = SimpleNamespace(unix_ns=lambda: 0, monotonic_ns=lambda: 0)
    return EndpointTable(dispatcher, EndpointReader([], [], clocks), update)


def receive(table, endpoints_, kind=EndpointListKind.DELTA):
    table.apply_message(delta(1, *endpoints_), kind)


def test_removed_endpoints_are_bounded_and_recent_ones_accept_maintenance():
    table = table_at_0_s()
    for k in range(5000):
        receive(table, endpoints([f"s-{k}"]) + endpoints([f"s-{k - 10}"], "Gone"))
    receive(table, endpoints(["s-4999"]), EndpointListKind.FULL)  # removes all others
    assert list(table.endpoints) == [endpoint_id("s-4999")] and len(table.removed) == 1024
    # s-17 was removed long ago.
    assert table.set_maintenance("s-4990", enter=True) and not table.set_maintenance("s-17", enter=True)
    receive(table, endpoints(["s-4990"]))
    listed = table.endpoints[endpoint_id("s-4990")]
    assert table.maintenance.apply(listed).entry.state is EndpointState.DRAINING


def test_endpoints_are_parsed_during_decoding_and_known_ones_are_shared():
    """Other JSON objects stay as they are, and a malformed endpoint raises an error."""
    table = table_at_0_s()
    receive(table, endpoints(["s-a", "s-b"]), EndpointListKind.FULL)
    kept = dict(table.endpoints)
    extra = {"note": {"name": "s-z", "status": "no such"}}
    whole = full_list(7, *endpoints(["s-a", "s-c"]))
    whole["endpoints"][0] |= extra
    objects = JsonObjectParser(1 << 20, table.read_early)
    (read,) = objects.feed(json.dumps(whole).encode())
    assert read["endpoints"][0] is kept[endpoint_id("s-a")]
    table.apply_message(read, EndpointListKind.FULL)
    assert table.endpoints.keys() == {endpoint_id("s-a"), endpoint_id("s-c")}
    assert table.endpoints[endpoint_id("s-c")] == table.reader.read_endpoint(whole["endpoints"][1])
    (read,) = objects.feed(json.dumps(delta(8, extra["note"])).encode())
    with pytest.raises(KeyError):
        table.apply_message(read, EndpointListKind.DELTA)
    assert table.endpoints.keys() == {endpoint_id("s-a"), endpoint_id("s-c")}


def test_the_configured_list_is_read_at_the_start_but_not_by_a_reload(tmp_path):
    """As JSON it takes more memory than everything that is built from it."""
    table = traffic.configuration(
        Plan(seed=1, gateways=1), 0, "127.0.0.1:1", "127.0.0.1:2", ["127.0.0.1:3"], 1, {}
    )
    path, lists = tmp_path / "config.json", []
    path.write_text(json.dumps(table | {"known": {"index": 1, "endpoints": endpoints(["s-a", "s-b"])}}))
    started, reloaded = (read({"RELAY_CONFIG": str(path)}) for read in (config.load, config.reload))
    assert reloaded.initial_list == {"index": 1, "endpoints": [None, None]}
    assert replace(reloaded, initial_list=started.initial_list) == started
    assert apply_initial_list(started, SimpleNamespace(begin=lists.append)) and not started.initial_list
    assert [known["endpoints"] for known in lists] == [endpoints(["s-a", "s-b"])]


# ---- work


def count_instructions(action):
    """Counts the bytecode instructions of an action, without those in C code."""
    count = 0

    def trace(frame, event, _):
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(None)
    return count


def work(size):
    """Instructions for each kind of control work at a gateway with `size` backends, six of them in use."""
    g, pool = PolicyHarness(COLD, backends=0, now=100 * SECOND), ConnectionPool(dispatcher_at_100_s())
    table = table_at_0_s(pool.update)
    names = [f"s-{k}" for k in range(size)]
    receive(table, endpoints(names), EndpointListKind.FULL)
    known = [b for b, _ in pool.listed.values()]
    g.update_endpoints(known)
    for s in known[:6]:
        g.policy.parts.detector.apply_sample(g.policy.parts.endpoints.by_id[s.id], 0, 1.0, 0.5)
        open_idle(pool, s.id)
    g.tick()

    def change():
        g.update_endpoints([known[9]], EndpointListKind.DELTA)
        g.feed(RequestAbandoned(-1))

    return {
        "tick": count_instructions(g.tick),
        "change": count_instructions(change),
        "change received": count_instructions(lambda: receive(table, endpoints(["s-9"], "Terminating"))),
        "capacity": count_instructions(pool.close_oldest_idle),
        "expiry": count_instructions(pool.close_expired),
    }


def test_the_work_for_a_tick_or_a_change_is_independent_of_the_list_size():
    small, large = work(60), work(1200)
    assert all(large[name] <= 1.05 * count for name, count in small.items()), (small, large)
