"""Settings of any customer, drawn and played: by the module, in its datagrams, by the program."""

from __future__ import annotations

import heapq
import json
import os
import random
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import settings as pace
from hypothesis import strategies as st
from scenario import ROOT, GatewayHarness, call_command, encode_command

from zincstile.decisions.messages import (
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    CustomerUsage,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointState,
    ErrorSample,
    FailRequest,
    ForwardRequest,
    RejectRequest,
    Request,
    RequestAbandoned,
    SendGossip,
    SetTimer,
    Started,
    TimerFired,
)
from zincstile.decisions.policy import Policy
from zincstile.decisions.settings import Idempotency
from zincstile.net.config import read
from zincstile.net.limits import MS, SECOND
from zincstile.simulator import gossip_codec, settings_codec

NAMES = st.text("abcdefghijklmnopqrstuvwxyz0123456789-", min_size=1, max_size=12)
SPAN = st.sampled_from([20, 50, 80, 300, 1500, 3000, 60_000, 3_600_000])  # deadlines in ms
COST = st.sampled_from([0.0, 0.01, 0.3, 1.0, 7.5, 1000.0])


@st.composite
def classes(draw):
    found = []
    for name in draw(st.lists(NAMES, min_size=1, max_size=9, unique=True)):
        deadline = draw(SPAN)
        found.append(
            {
                "name": name,
                "deadline_ns": deadline * MS,
                "aim_ns": max(1, deadline * MS // draw(st.integers(1, 6))),
                "effect": draw(st.sampled_from(["free", "guarded", "single_shot"])),
                "gain": draw(COST),
                "late_worth": draw(st.sampled_from([0, 0.1, 1.0])),
                "group": draw(st.sampled_from(["all", "zone", "cell"])),
                "window_ns": draw(st.sampled_from([0, 1, 200 * MS, 90 * SECOND])),
            }
        )
    return found


@st.composite
def plans(draw):
    found = []
    for name in draw(st.lists(NAMES, min_size=1, max_size=16, unique=True)):
        rate = draw(st.sampled_from([0.0, 0.02, 1.0, 70.0, 5000.0]))
        over = draw(st.booleans())
        found.append(
            {
                "name": name,
                "price": draw(COST),
                "refill": rate,
                "burst": rate * draw(st.sampled_from([0.5, 3.0, 60.0])),
                "concurrency": draw(st.sampled_from([0, 0, 1, 30])),
                "over_worth": draw(COST),
                "beyond_costs": draw(COST),
                "never_over_rate": rate * 2.5 if over else 0.0,
                "hard_burst": rate * 4 if over else 0.0,
                "tolerance": draw(st.sampled_from([0.0, 2.0])),
            }
        )
    return found


@st.composite
def tables(draw):
    gateways = draw(st.sampled_from([1, 2, 3, 7, 200]))
    zones = draw(st.lists(NAMES, max_size=5, unique=True))
    return {
        "balancers": gateways,
        "ordinal": draw(st.integers(0, gateways - 1)),
        "zones": zones,
        "skus": [],
        "zone": draw(st.integers(0, max(0, len(zones) - 1))),
        "discovery": draw(st.sampled_from(["pushed", "on_request"])),
        "classes": draw(classes()),
        "plans": draw(plans()),
        "limits": {
            "peers": draw(st.booleans()),
            "probes": draw(st.booleans()),
            "cancel": draw(st.booleans()),
            "may_duplicate": draw(st.booleans()),
            "retry_after": draw(st.booleans()),
            "send_cap": draw(st.sampled_from([1, 2, 6])),
            "max_retry_after_ns": draw(st.sampled_from([0, SECOND])),
            "connect_timeout_ns": draw(st.sampled_from([20 * MS, 250 * MS, 2 * SECOND])),
            "idle_close_ns": draw(st.sampled_from([SECOND, 30 * SECOND])),
            "max_open": draw(st.sampled_from([1, 5000])),
        },
        "obligations": {
            "drain_grace_ns": draw(st.sampled_from([0, 250 * MS])),
            "start_capacity": draw(st.sampled_from([0.01, 1.0])),
            "warm_up_ns": draw(st.sampled_from([0, 18 * SECOND])),
            "overload_factor": draw(st.sampled_from([1, 2.5])),
            "fall_ns": draw(st.sampled_from([0, 3 * SECOND])),
        },
        "domain": {
            "peer_intake": draw(st.sampled_from([0.0, 3.0, 60.0])),
            "units_top": draw(st.sampled_from([1, 6, 40])),
            "cost_after": draw(st.booleans()),
        },
    }


def decoded(table):
    return settings_codec.read_settings(json.dumps(table).encode())


# ---- the module alone

NEVER_RAN = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
RESULTS = [*[AttemptResult.OK] * 6, *(r for r in AttemptResult if r is not AttemptResult.CANCELLED)]


class Life:
    """One module, fed with requests of each class and plan until all is answered; the rules are looked at by
    what it does."""

    def __init__(self, settings, seed):
        self.set, self.rng, self.module = settings, random.Random(seed), Policy(settings, seed)
        self.now, self.heap, self.number = 10 * SECOND, [], 0
        self.asked, self.final, self.sends, self.out = {}, {}, {}, {}
        self.feed(Started())
        self.feed(
            EndpointList(
                EndpointListKind.FULL,
                1,
                [
                    EndpointEntry(
                        k, k % 3, 0, k % 2, EndpointState.READY, 1.0, self.now - SECOND if k == 4 else 0
                    )
                    for k in range(1, 6)
                ],
            )
        )

    def later(self, at, event):
        self.number += 1
        heapq.heappush(self.heap, (at, self.number, event))

    def feed(self, event):
        for action in self.module.handle(self.now, event):
            carry_out = self.carried_out.get(type(action))
            if carry_out is not None:
                carry_out(self, action)

    def set_timer(self, a):
        self.later(max(self.now, a.at_ns), TimerFired(a.token))

    def reject(self, a):
        self.end(a.request, "refused")

    def end(self, request, how):
        assert request not in self.final, "two final answers"
        assert self.now <= self.asked[request].deadline_ns, "a final answer after its time"
        self.final[request] = how

    def cancel(self, a):
        self.out.pop((a.request, a.attempt), None)

    def send_gossip(self, a):
        for data in gossip_codec.encode_gossip(a):
            assert len(data) <= gossip_codec.MAX_DATAGRAM_BYTES
            heard = gossip_codec.decode_gossip(
                (self.set.gateway_index + 1) % max(2, self.set.gateway_count), data
            )
            assert heard is not None
            if self.rng.random() < 0.5:
                self.later(self.now + 3 * MS, heard)

    def forward(self, a):
        ask = self.asked[a.request]
        spec, before = self.set.classes[ask.class_index], self.sends.setdefault(a.request, [])
        assert a.request not in self.final and len(before) < self.set.max_attempts
        may_have_run = [s for s in before if s["result"] not in NEVER_RAN]
        if spec.idempotency is Idempotency.NEVER:
            assert not may_have_run, "sent again, though it may have run"
        elif spec.idempotency is Idempotency.BY_KEY and may_have_run:
            assert (
                0 < a.write_deadline_ns <= may_have_run[0]["at"] + spec.deduplication_window_ns
                and self.now < a.write_deadline_ns
            )
        assert len(may_have_run) < 2 or spec.idempotency is not Idempotency.NEVER
        sent = {"at": self.now, "result": None}
        self.out[a.request, len(before)] = sent
        result = self.rng.choice(RESULTS)
        took = self.rng.randint(1, max(2, int(spec.latency_objective_ns / 3)))
        if result is AttemptResult.TIMEOUT or self.now + took > a.give_up_ns:
            result, took = AttemptResult.TIMEOUT, max(0, a.give_up_ns - self.now)
        self.later(self.now + took, (a.request, len(before), a.endpoint, result, took))
        before.append(sent)

    carried_out = {
        SetTimer: set_timer,
        RejectRequest: reject,
        FailRequest: reject,
        CancelAttempt: cancel,
        SendGossip: send_gossip,
        ForwardRequest: forward,
    }

    def step(self):
        self.now, _, event = heapq.heappop(self.heap)
        if not isinstance(event, tuple):
            self.feed(event)
            return
        request, number, backend, result, took = event
        sent = self.out.pop((request, number), None)
        if sent is None:  # cancelled meanwhile
            result = AttemptResult.CANCELLED
        elif result is AttemptResult.OK and request not in self.final:
            self.end(request, "served")
        done = request in self.final
        self.sends[request][number]["result"] = result
        self.feed(
            AttemptOutcome(
                request, number, backend, result, took, done, actual_units=self.asked[request].units
            )
        )

    def play(self, requests=40):
        for number in range(1, requests + 1):
            cls, plan = (self.rng.randrange(len(x)) for x in (self.set.classes, self.set.plans))
            wait_ns = self.set.classes[cls].deadline_ns
            self.asked[number] = Request(
                number,
                cls,
                plan,
                self.rng.randrange(4),
                self.now + wait_ns - min(2 * MS, wait_ns // 2),
                self.rng.uniform(0.05, self.set.max_request_units),
                self.rng.randint(1, self.set.gateway_count),
                self.rng.randrange(self.set.gateway_count),
            )
            self.feed(self.asked[number])
            until = self.now + self.rng.randint(0, 30 * MS)
            while self.heap and self.heap[0][0] <= until:
                self.step()
            self.now = max(self.now, until)
            if self.rng.random() < 0.05 and number not in self.final:
                self.final[number] = "left"
                self.feed(RequestAbandoned(number))
        last = max(ask.deadline_ns for ask in self.asked.values())
        while set(self.final) != set(self.asked) and self.heap and self.heap[0][0] <= last:
            self.step()
        assert set(self.final) == set(self.asked), "no final answer"


@pace(derandomize=True, max_examples=25, deadline=None)
@given(tables(), st.integers(0, 10**6))
def test_the_module_keeps_the_rules_at_any_settings(table, seed):
    Life(decoded(table), seed).play()


def test_what_is_told_of_many_classes_and_plans_fits_a_datagram():
    """The figures of the groups alone would be longer; what is left out is their end."""
    settings = decoded(
        json.loads(
            json.dumps(
                TABLE
                | {
                    "balancers": 3,
                    "classes": [TABLE["classes"][0] | {"name": f"c{k}"} for k in range(12)],
                    "plans": [TABLE["plans"][0] | {"name": f"p{k}"} for k in range(20)],
                }
            )
        )
    )
    module = Policy(settings, 1)
    module.parts.limit.limit = 3.0
    for leaf in module.parts.budget.groups:
        leaf.admission_rate, leaf.arrival_rate = 0.5, 2.0
    shares = [CustomerUsage(k, 1, 3.0, 2.0, 0) for k in range(9)]
    doubts = [ErrorSample(1, group, 0.5) for group in (0, 11, 250, 251, 255)]
    messages = gossip_codec.encode_gossip(
        SendGossip(1, 7, shares, module.parts.estimates.own_values(), doubts)
    )
    assert max(map(len, messages)) <= gossip_codec.MAX_DATAGRAM_BYTES
    heard = [gossip_codec.decode_gossip(1, data) for data in messages]
    assert [s.customer for m in heard for s in m.usages] == list(range(9))
    assert [d.group for m in heard for d in m.error_samples] == [0, 11, 250, 251, 255]
    told = heard[0].estimates
    assert told[8] == 3.0 and len(told) > 9 + len(settings.classes)
    other = Policy(settings, 2)
    for leaf in other.parts.budget.groups:
        leaf.admission_rate = 0.5
    other.handle(SECOND, heard[0])
    assert (
        other.parts.budget.groups[0].arrival_rate == 1.0 and other.parts.budget.groups[-1].arrival_rate == 0.0
    )


# ---- the network code and the program

TABLE = {
    "balancers": 1,
    "ordinal": 0,
    "zones": [],
    "skus": [],
    "zone": 0,
    "discovery": "pushed",
    "classes": [
        {
            "name": "only",
            "deadline_ns": 20 * SECOND,
            "aim_ns": 20 * SECOND,
            "effect": "single_shot",
            "gain": 1.0,
        }
    ],
    "plans": [
        {
            "name": "p",
            "price": 1.0,
            "refill": 70.0,
            "burst": 200.0,
            "concurrency": 0,
            "over_worth": 0.0,
            "beyond_costs": 0.5,
            "never_over_rate": 0.0,
            "hard_burst": 0.0,
            "tolerance": 0.0,
        }
    ],
    "limits": {
        "peers": False,
        "probes": False,
        "cancel": False,
        "may_duplicate": False,
        "retry_after": False,
        "send_cap": 1,
    },
    "obligations": {
        "drain_grace_ns": 250 * MS,
        "start_capacity": 0.3,
        "warm_up_ns": SECOND,
        "overload_factor": 2,
        "fall_ns": SECOND,
    },
    "domain": {"peer_intake": 0.0, "units_top": 1},
}


@pace(derandomize=True, max_examples=200, deadline=None)
@given(tables(), st.sampled_from([(64, 8), (256, 64), (1024, 192)]))
def test_limits_fit_together_at_any_settings(table, machine):
    limits = read(
        {
            "name": "n",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "1",
            "settings": table,
            "limits": {"sockets": machine[0], "memory_mb": machine[1]},
        },
        {},
    ).limits
    longest = min(max(c["deadline_ns"] for c in table["classes"]), 3 * SECOND)
    assert all(getattr(limits, name) > 0 or name == "list_call_timeout_ns" for name in limits.__slots__)
    assert limits.frontend_connections + limits.backend_connections + limits.reserved <= machine[0]
    assert 400 * MS < limits.drain_ns <= limits.shutdown_ns - limits.drain_margin_ns
    assert limits.shutdown_ns < longest + 700 * MS
    assert limits.backend_idle_timeout_ns * 9 / 8 < table["limits"]["idle_close_ns"]
    if table["discovery"] == "pushed":
        assert limits.watch_silence_timeout_ns + limits.max_backoff_ns < 6 * SECOND


@pytest.mark.parametrize(
    ("name", "over"),
    [
        ("one class, unsafe to repeat, nothing allowed", {}),
        (
            "many classes and plans",
            {
                "classes": [
                    {
                        "name": f"c-{k}",
                        "deadline_ns": (k + 1) * 7 * SECOND,
                        "aim_ns": 7 * SECOND,
                        "effect": effect,
                        "gain": 0.0,
                        "window_ns": SECOND,
                    }
                    for k, effect in enumerate(["guarded", "single_shot", "free"] * 4)
                ],
                "plans": [
                    TABLE["plans"][0] | {"name": f"p{k}", "refill": 0.0, "burst": 0.0} for k in range(20)
                ],
            },
        ),
        (
            "a day to answer",
            {"classes": [TABLE["classes"][0] | {"deadline_ns": 86400 * SECOND, "aim_ns": 86400 * SECOND}]},
        ),
        (
            "odd costs and small limits",
            {
                "plans": [
                    TABLE["plans"][0]
                    | {
                        "price": 1e-9,
                        "beyond_costs": 1e9,
                        "refill": 0.7,
                        "burst": 1.0,
                        "concurrency": 1,
                        "never_over_rate": 0.8,
                        "hard_burst": 4.0,
                    }
                ],
                "limits": TABLE["limits"]
                | {"max_open": 1, "idle_close_ns": SECOND, "connect_timeout_ns": 20 * SECOND},
            },
        ),
        ("a list that has to be asked for", {"discovery": "on_request"}),
    ],
)
def test_the_program_serves_at_any_settings(tmp_path, name, over):
    """A call of each class and plan goes to its backend server and comes back."""
    settings = TABLE | over
    harness = GatewayHarness(tmp_path, {"peer_listen": None, "peers": []}, settings)
    try:
        harness.run("send d1 full a=Ready\nexpect gw ready*from discovery")
        for number, c in enumerate(settings["classes"], 1):
            plan = settings["plans"][number % len(settings["plans"])]["name"]
            free = c["effect"] == "free"
            key = [] if c["effect"] != "guarded" else ["k=5c0f6e1a2b3d4c59"]
            words = call_command("look", number, f"c={c['name']}", f"t={plan}", "units=0.5", *key)
            harness.connection("c1").sock.sendall(
                encode_command([words[0] if free else "CALL.POST", *words[1:]])
            )
            found = harness.connection("a1").read_message()
            assert found[0] == (b"CALL.GET" if free else b"CALL.POST"), found
            harness.run("send a1 ok hello\nexpect c1 ok hello")
        assert harness.counters()["faults"] == 0
    finally:
        harness.tear_down()


SPOILT = [
    ({"classes": []}, "classes: none given"),
    ({"plans": []}, "plans: none given"),
    ({"balancers": 0}, "gateways: must be at least 1"),
    ({"ordinal": 1}, "me: must be at least 0 and below the gateway count"),
    ({"classes": [TABLE["classes"][0] | {"effect": "twice"}]}, "unknown effect 'twice'"),
    ({"classes": [TABLE["classes"][0] | {"group": "planet"}]}, "planet"),
    (
        {"classes": [TABLE["classes"][0] | {"deadline_ns": 0}]},
        "classes[only]: aim_ns and deadline_ns must be above 0",
    ),
    ({"classes": [TABLE["classes"][0] | {"gain": float("nan")}]}, "classes[only].worth: must be finite"),
    ({"classes": [1]}, "settings:"),
    ({"classes": 7}, "settings:"),
    ({"limits": []}, "settings:"),
    ({"plans": [TABLE["plans"][0] | {"refill": -1}]}, "plans[p].rate: must be finite and not negative"),
    ({"plans": [TABLE["plans"][0] | {"refill": "many"}]}, "settings:"),
    ({"limits": TABLE["limits"] | {"send_cap": 0}}, "max_attempts: must be finite and at least 1"),
    ({"discovery": "by post"}, "unknown discovery 'by post'"),
    ({"obligations": TABLE["obligations"] | {"start_capacity": 0}}, "cold_share: must be above 0"),
    ({"obligations": {}}, "key 'drain_grace_ns' is missing"),
    ({"zone": None}, "settings:"),
]


@pytest.mark.parametrize(("over", "why"), SPOILT, ids=[why for _, why in SPOILT])
def test_settings_that_cant_be_used_are_told_in_one_line(tmp_path, over, why):
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "seed": "1",
                "settings": TABLE | over,
            }
        )
    )
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")} | {"RELAY_CONFIG": str(path)}
    done = subprocess.run(
        [sys.executable, "-m", "zincstile"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 2, done.stderr
    assert len(done.stderr.splitlines()) == 1 and str(path) in done.stderr and why in done.stderr, done.stderr
