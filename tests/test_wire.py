"""The adapter to the simulator: its frames, its settings and its gossip datagrams."""

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


def frame(*records, now=10**9, frame_number=1):
    body = b"".join(records)
    return struct.pack("<QIII", now, len(body), len(records), frame_number) + body


def opening_records(settings=None):
    text = json.dumps(SETTINGS if settings is None else settings).encode()
    entry = BACKEND + struct.pack("<BHHBfQ", 0, 0, 0, 1, 1.0, 0)
    return [
        struct.pack("<BH", 90, 3),
        struct.pack("<BQI", 50, 7, len(text)) + text,
        struct.pack("<BBQI", 70, 2, 1, 1) + entry,
    ]


def request_record(request_id=9, plan=0):
    return struct.pack("<BIHIQQfffB", 30, request_id, 0, plan, 77, 5 * 10**9, 2.0, 2.0, 0.0, 1)


def run_adapter(data):
    command = [sys.executable, "-m", "zincstile.simulator.adapter"]
    return subprocess.run(command, input=data, capture_output=True, cwd=ROOT, timeout=60)


def run_expecting_error(data):
    result = run_adapter(data)
    text = result.stderr.decode()
    assert result.returncode != 0 and len(text.splitlines()) == 1 and "Traceback" not in text
    return text


def test_end_of_file_gives_exit_code_0():
    result = run_adapter(b"")
    assert result.returncode == 0 and result.stdout == b"" and result.stderr == b""


def test_empty_frame_gets_an_empty_reply():
    result = run_adapter(frame(frame_number=5))
    assert result.returncode == 0 and result.stdout == struct.pack("<III", 0, 0, 5)


def test_request_is_forwarded():
    result = run_adapter(frame(*opening_records(), request_record()))
    assert result.returncode == 0
    assert struct.pack("<BI", 10, 9) in result.stdout and BACKEND in result.stdout


def test_malformed_frame_ends_the_adapter_with_one_error_line():
    frame_bytes = frame(*opening_records(), request_record())
    assert "header" in run_expecting_error(frame_bytes[:7])
    assert "body" in run_expecting_error(frame_bytes[:-3])
    assert "unknown record code 99" in run_expecting_error(frame(struct.pack("<BH", 90, 3), b"\x63"))
    assert "truncated record" in run_expecting_error(frame(struct.pack("<BH", 90, 3), b"\x1e\x01"))
    assert "instance" in run_expecting_error(frame(request_record()))


@pytest.mark.parametrize("key", ["balancers", "classes", "plans", "limits", "obligations", "discovery"])
def test_settings_without_a_required_key_end_the_adapter(key):
    assert key in run_expecting_error(
        frame(*opening_records({k: v for k, v in SETTINGS.items() if k != key}))
    )


def test_invalid_settings_end_the_adapter():
    assert "settings" in run_expecting_error(frame(*opening_records(SETTINGS | {"ordinal": "x"})))
    assert "me" in run_expecting_error(frame(*opening_records(SETTINGS | {"ordinal": 7})))
    with pytest.raises(settings_codec.WireError):
        settings_codec.read_settings(b"{")
    with pytest.raises(settings_codec.WireError):
        settings_codec.read_settings(b"[1]")


def test_exception_in_the_policy_becomes_a_fault_record():
    result = run_adapter(frame(*opening_records(), request_record(plan=44)))
    assert result.returncode == 0 and b"IndexError" in result.stdout


def test_gossip_round_trips_and_a_damaged_datagram_is_dropped():
    usages = [
        CustomerUsage(
            2**33 - k, 0, 12.5 + k, -1.25, k, requested_units=-2.5, query_id=65535 - k, is_answer=k % 2 == 0
        )
        for k in range(40)
    ]
    estimates, samples = [0.5, 2.0, 1024.0], [ErrorSample(2**16 - 1, 5, 1.0), ErrorSample(7, 0, 0.0)]
    datagrams = gossip_codec.encode_gossip(SendGossip(2, 4_000_000_000, usages, estimates, samples))
    assert all(len(d) <= 256 for d in datagrams)
    decoded = [gossip_codec.decode_gossip(2, d) for d in datagrams]
    assert [usage for message in decoded for usage in message.usages] == usages
    assert [estimate for message in decoded for estimate in message.estimates] == estimates and [
        sample for message in decoded for sample in message.error_samples
    ] == samples
    for offset in range(len(datagrams[0])):
        damaged = bytearray(datagrams[0])
        damaged[offset] ^= 0x41
        result = gossip_codec.decode_gossip(2, bytes(damaged))
        assert result is None
    assert (
        gossip_codec.decode_gossip(2, b"") is None
        and gossip_codec.decode_gossip(2, datagrams[0][:-1]) is None
    )
    older_layout = struct.pack("<BIH", 0xB7, 1, 0)
    assert gossip_codec.decode_gossip(2, older_layout) is None


def test_invalid_settings_error_names_the_field():
    valid = settings_codec.read_settings(json.dumps(SETTINGS).encode())
    with pytest.raises(ValueError, match="classes"):
        Settings(gateway_index=0, gateway_count=1, classes=[], plans=valid.plans)
    with pytest.raises(ValueError, match="me"):
        Settings(gateway_index=3, gateway_count=3, classes=valid.classes, plans=valid.plans)
    with pytest.raises(ValueError, match="rate"):
        Settings(
            gateway_index=0, gateway_count=1, classes=valid.classes, plans=[CustomerPlan("p", rate=-1.0)]
        )


@pytest.mark.parametrize("invalid_number", [float("nan"), float("inf"), -1.0])
def test_settings_reject_nan_infinite_and_negative_numbers(invalid_number):
    valid = settings_codec.read_settings(json.dumps(SETTINGS).encode())
    fields = field_values(valid.classes[0])
    # The errors name a field as it was called in earlier versions.
    for name, key in (
        ("latency_objective_ns", "aim_ns"),
        ("priority_weight", "worth"),
        ("late_weight", "late_worth"),
    ):
        with pytest.raises(ValueError, match=key):
            classes = [RequestClass(**(fields | {name: invalid_number}))]
            Settings(gateway_index=0, gateway_count=1, plans=valid.plans, classes=classes)
    for name, key in (
        ("gossip_in_per_s", "peer_in_per_s"),
        ("max_request_units", "largest_units"),
        ("slow_start_ns", "cold_ns"),
        ("slow_start_overload_multiple", "cold_multiple"),
        ("slow_start_share", "cold_share"),
        ("max_attempts", "max_attempts"),
    ):
        with pytest.raises(ValueError, match=key):
            Settings(
                gateway_index=0,
                gateway_count=1,
                plans=valid.plans,
                classes=valid.classes,
                **{name: invalid_number},
            )


def field_values(record):
    return {key: getattr(record, key) for key in record.__dataclass_fields__}


def test_reply_keeps_the_order_of_actions():
    reply, endpoint = codec.Reply(4), int.from_bytes(BACKEND, "little")
    reply.add_action(3, CloseIdleConnections(endpoint))
    reply.add_action(3, ForwardRequest(9, endpoint, 77))
    size, count, frame_number = struct.unpack_from("<III", reply.encode())
    assert (count, frame_number) == (3, 4)
    body = reply.encode()[12:]
    assert len(body) == size
    assert body == b"\x50\x03\x00" + b"\x3c" + BACKEND + struct.pack("<BIQ", 10, 9, 77) + BACKEND
