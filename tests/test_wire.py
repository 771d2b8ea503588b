from __future__ import annotations

import json
import os
import struct
import subprocess
import sys

import pytest

from zincstile.decisions.messages import (
    CloseIdleConnections,
    CustomerUsage,
    ErrorSample,
    ForwardRequest,
    SendGossip,
)
from zincstile.decisions.settings import CustomerPlan, RequestClass, Settings
from zincstile.simulator import codec, gossip_codec, settings_codec

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SETTINGS = {
    "balancers": 3,
    "ordinal": 1,
    "zone": 0,
    "discovery": "pushed",
    "an_unknown_key": 5,
    "classes": [{"name": "a", "aim_ns": 10**9, "deadline_ns": 4 * 10**9, "effect": "free", "gain": 1.0}],
    "plans": [
        {
            "name": "p",
            "price": 1.0,
            "refill": 2.0,
            "burst": 9.0,
            "concurrency": 0,
            "over_worth": 0.0,
            "beyond_costs": 0.5,
            "never_over_rate": 0.0,
            "hard_burst": 0.0,
            "tolerance": 0.0,
        }
    ],
    "limits": {
        "peers": True,
        "probes": True,
        "cancel": True,
        "may_duplicate": True,
        "retry_after": True,
        "send_cap": 3,
    },
    "obligations": {
        "drain_grace_ns": 1,
        "start_capacity": 0.2,
        "warm_up_ns": 1,
        "overload_factor": 2,
        "fall_ns": 1,
    },
    "domain": {"peer_intake": 60.0, "units_top": 4},
}
BACKEND = bytes([10, 18, 74, 7]) + struct.pack("<H", 7003)


def frame(*records, now=10**9, number=1):
    body = b"".join(records)
    return struct.pack("<QIII", now, len(body), len(records), number) + body


def opening(settings=None):
    text = json.dumps(SETTINGS if settings is None else settings).encode()
    entry = BACKEND + struct.pack("<BHHBfQ", 0, 0, 0, 1, 1.0, 0)
    return [
        struct.pack("<BH", 90, 3),
        struct.pack("<BQI", 50, 7, len(text)) + text,
        struct.pack("<BBQI", 70, 2, 1, 1) + entry,
    ]


def knock(rid=9, plan=0):
    return struct.pack("<BIHIQQfffB", 30, rid, 0, plan, 77, 5 * 10**9, 2.0, 2.0, 0.0, 1)


def run(data):
    command = [sys.executable, "-m", "zincstile.simulator.adapter"]
    return subprocess.run(command, input=data, capture_output=True, cwd=ROOT, timeout=60)


def bad(data):
    done = run(data)
    text = done.stderr.decode()
    assert done.returncode != 0 and len(text.splitlines()) == 1 and "Traceback" not in text
    return text


def test_end_of_input_is_a_clean_exit():
    done = run(b"")
    assert done.returncode == 0 and done.stdout == b"" and done.stderr == b""


def test_an_empty_batch_gets_an_empty_reply():
    done = run(frame(number=5))
    assert done.returncode == 0 and done.stdout == struct.pack("<III", 0, 0, 5)


def test_a_request_is_sent_on():
    done = run(frame(*opening(), knock()))
    assert done.returncode == 0
    assert struct.pack("<BI", 10, 9) in done.stdout and BACKEND in done.stdout


def test_malformed_frames_end_the_adapter():
    whole = frame(*opening(), knock())
    assert "header" in bad(whole[:7])
    assert "body" in bad(whole[:-3])
    assert "unknown record code 99" in bad(frame(struct.pack("<BH", 90, 3), b"\x63"))
    assert "cut short" in bad(frame(struct.pack("<BH", 90, 3), b"\x1e\x01"))
    assert "instance" in bad(frame(knock()))


@pytest.mark.parametrize("key", ["balancers", "classes", "plans", "limits", "obligations", "discovery"])
def test_settings_that_lack_a_key_end_the_adapter(key):
    assert key in bad(frame(*opening({k: v for k, v in SETTINGS.items() if k != key})))


def test_unusable_settings_end_the_adapter():
    assert "settings" in bad(frame(*opening(SETTINGS | {"ordinal": "x"})))
    assert "me" in bad(frame(*opening(SETTINGS | {"ordinal": 7})))
    with pytest.raises(settings_codec.WireError):
        settings_codec.read_settings(b"{")
    with pytest.raises(settings_codec.WireError):
        settings_codec.read_settings(b"[1]")


def test_an_exception_in_the_module_becomes_a_fault_record():
    done = run(frame(*opening(), knock(plan=44)))
    assert done.returncode == 0 and b"IndexError" in done.stdout


def test_peer_messages_survive_the_trip_and_damage_is_dropped():
    shares = [
        CustomerUsage(
            2**33 - k, 0, 12.5 + k, -1.25, k, requested_units=-2.5, query_id=65535 - k, is_answer=k % 2 == 0
        )
        for k in range(40)
    ]
    figures, doubts = [0.5, 2.0, 1024.0], [ErrorSample(2**16 - 1, 5, 1.0), ErrorSample(7, 0, 0.0)]
    messages = gossip_codec.encode_gossip(SendGossip(2, 4_000_000_000, shares, figures, doubts))
    assert all(len(m) <= 256 for m in messages)
    back = [gossip_codec.decode_gossip(2, m) for m in messages]
    assert [s for b in back for s in b.usages] == shares
    assert [x for b in back for x in b.estimates] == figures and [
        d for b in back for d in b.error_samples
    ] == doubts
    for at in range(len(messages[0])):
        hurt = bytearray(messages[0])
        hurt[at] ^= 0x41
        told = gossip_codec.decode_gossip(2, bytes(hurt))
        assert told is None
    assert (
        gossip_codec.decode_gossip(2, b"") is None and gossip_codec.decode_gossip(2, messages[0][:-1]) is None
    )
    old = struct.pack("<BIH", 0xB7, 1, 0)
    assert gossip_codec.decode_gossip(2, old) is None


def test_settings_name_the_field_that_cannot_work():
    ok = settings_codec.read_settings(json.dumps(SETTINGS).encode())
    with pytest.raises(ValueError, match="classes"):
        Settings(gateway_index=0, gateway_count=1, classes=[], plans=ok.plans)
    with pytest.raises(ValueError, match="me"):
        Settings(gateway_index=3, gateway_count=3, classes=ok.classes, plans=ok.plans)
    with pytest.raises(ValueError, match="rate"):
        Settings(gateway_index=0, gateway_count=1, classes=ok.classes, plans=[CustomerPlan("p", rate=-1.0)])


@pytest.mark.parametrize("figure", [float("nan"), float("inf"), -1.0])
def test_settings_refuse_figures_that_are_none(figure):
    ok = settings_codec.read_settings(json.dumps(SETTINGS).encode())
    spec = vars_of(ok.classes[0])
    for name, key in (
        ("latency_objective_ns", "aim_ns"),
        ("priority_weight", "worth"),
        ("late_weight", "late_worth"),
    ):  # errors have the names of before
        with pytest.raises(ValueError, match=key):
            classes = [RequestClass(**(spec | {name: figure}))]
            Settings(gateway_index=0, gateway_count=1, plans=ok.plans, classes=classes)
    for name, key in (
        ("gossip_in_per_s", "peer_in_per_s"),
        ("max_request_units", "largest_units"),
        ("slow_start_ns", "cold_ns"),
        ("slow_start_overload_multiple", "cold_multiple"),
        ("slow_start_share", "cold_share"),
        ("max_attempts", "max_attempts"),
    ):
        with pytest.raises(ValueError, match=key):
            Settings(gateway_index=0, gateway_count=1, plans=ok.plans, classes=ok.classes, **{name: figure})


def vars_of(record):
    return {key: getattr(record, key) for key in record.__dataclass_fields__}


def test_a_close_goes_out_before_the_send_after_it():
    reply, number = codec.Reply(4), int.from_bytes(BACKEND, "little")
    reply.add_action(3, CloseIdleConnections(number))
    reply.add_action(3, ForwardRequest(9, number, 77))
    size, count, batch = struct.unpack_from("<III", reply.encode())
    assert (count, batch) == (3, 4)
    body = reply.encode()[12:]
    assert len(body) == size
    assert body == b"\x50\x03\x00" + b"\x3c" + BACKEND + struct.pack("<BIQ", 10, 9, 77) + BACKEND
