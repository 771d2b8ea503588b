"""Codec of the simulator's frames; the record codes are defined here only.

A frame holds records for many policy instances: events in a request frame, actions in a reply frame. Numbers
are little-endian; an endpoint takes 6 bytes.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from ..decisions.messages import (
    Action,
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    CounterAnswer,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointState,
    FailRequest,
    ForwardRequest,
    GossipReceived,
    HealthCheckResult,
    LogMessage,
    RejectRequest,
    Request,
    RequestAbandoned,
    SendGossip,
    SetTimer,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)
from ..decisions.settings import Settings
from .gossip_codec import decode_gossip, encode_gossip
from .settings_codec import WireError, read_settings

FRAME_HEADER: Final = struct.Struct("<QIII")  # time, body size, record count, frame number
REPLY_HEADER: Final = struct.Struct("<III")  # body size, record count, frame number
LIST_ENTRY: Final = struct.Struct("<6sBHHBfQ")  # one entry of an endpoint list
U8: Final = struct.Struct("<B")
U16: Final = struct.Struct("<H")
U32: Final = struct.Struct("<I")
OPEN_HEADER: Final = struct.Struct("<QI")
LIST_HEADER: Final = struct.Struct("<BQI")
REQUEST: Final = struct.Struct("<IHIQQfffB")
GOSSIP_HEADER: Final = struct.Struct("<HH")
ATTEMPT_OUTCOME: Final = struct.Struct("<IB6sBQBHH")
STREAM_STARTED: Final = struct.Struct("<IQB6s")
HEALTH_CHECK: Final = struct.Struct("<6sBQ")
COUNTER_ANSWER: Final = struct.Struct("<QBfQ")
TIMER: Final = struct.Struct("<Q")

INSTANCE_RECORD: Final = 90  # names the instance of the records that follow
INSTANCE_REPLY_RECORD: Final = 80
FAULT_RECORD: Final = 30
IS_RETRY_BIT: Final = 2  # in the flags of a request
ENDPOINT_BYTES: Final = 6
MAX_FAULT_BYTES: Final = 60000
MAX_LOG_BYTES: Final = 1000
MAX_LIST_KIND: Final = 3
MAX_ENDPOINT_STATE: Final = 2

RESULTS_BY_CODE: Final = {
    0: AttemptResult.OK,
    5: AttemptResult.ERROR,
    11: AttemptResult.REJECTED,
    110: AttemptResult.TIMEOUT,
    111: AttemptResult.CONNECT_FAILED,
    104: AttemptResult.RESET,
    125: AttemptResult.CANCELLED,
    114: AttemptResult.NOT_SENT,
}


@dataclass(frozen=True, slots=True)
class InstanceOpened:
    """A new policy instance starts, with this seed and these settings."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """The policy instance has stopped."""


def _decode_endpoint(raw_endpoint: bytes) -> int:
    return int.from_bytes(raw_endpoint, "little")


class _RecordReader:
    """Reads the records in the body of a frame in sequence."""

    def __init__(self, data: bytes) -> None:
        """`data`: the body of a frame."""
        self.data = data
        self.offset = 0

    def read(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Reads the next values in this layout."""
        return layout.unpack(self.read_bytes(layout.size))

    def read_bytes(self, size: int) -> bytes:
        """Reads the next `size` bytes; raises WireError if fewer are left."""
        end = self.offset + size
        if end > len(self.data):
            raise WireError("frame: truncated record")
        self.offset = end
        return self.data[end - size : end]


def _decode_result(code: int) -> AttemptResult:
    if code not in RESULTS_BY_CODE:
        raise WireError(f"frame: unknown outcome code {code}")
    return RESULTS_BY_CODE[code]


def _read_load_report(reader: _RecordReader) -> list[float]:
    count = reader.read(U8)[0]
    return list(reader.read(struct.Struct(f"<{count}f")))


def _read_open(reader: _RecordReader) -> InstanceOpened:
    seed, size = reader.read(OPEN_HEADER)
    return InstanceOpened(seed, read_settings(reader.read_bytes(size)))


def _read_list(reader: _RecordReader) -> EndpointList:
    kind, version, count = reader.read(LIST_HEADER)
    if kind > MAX_LIST_KIND:
        raise WireError(f"frame: unknown list kind {kind}")
    entries = []
    for _ in range(count):
        raw_endpoint, zone, machine_type, cell, state, weight, started_ns = reader.read(LIST_ENTRY)
        if state > MAX_ENDPOINT_STATE:
            raise WireError(f"frame: unknown backend state {state}")
        entries.append(
            EndpointEntry(
                _decode_endpoint(raw_endpoint),
                zone,
                machine_type,
                cell,
                EndpointState(state),
                weight,
                started_ns,
            )
        )
    return EndpointList(EndpointListKind(kind), version, entries)


def _read_request(reader: _RecordReader) -> Request:
    request_id, class_index, plan, customer, deadline_ns, units, gateway_set_size, first_gateway, flags = (
        reader.read(REQUEST)
    )
    if not (math.isfinite(units) and math.isfinite(gateway_set_size) and math.isfinite(first_gateway)):
        raise WireError("frame: a request contains an infinite or NaN value")
    return Request(
        request_id,
        class_index,
        plan,
        customer,
        deadline_ns,
        units,
        int(gateway_set_size),
        int(first_gateway),
        bool(flags & IS_RETRY_BIT),
    )


def _read_gossip(reader: _RecordReader) -> GossipReceived | None:
    sender, size = reader.read(GOSSIP_HEADER)
    return decode_gossip(sender, reader.read_bytes(size))


def _read_outcome(reader: _RecordReader) -> AttemptOutcome:
    request, attempt, raw_endpoint, code, latency_ns, finished, used, actual_units = reader.read(
        ATTEMPT_OUTCOME
    )
    return AttemptOutcome(
        request,
        attempt,
        _decode_endpoint(raw_endpoint),
        _decode_result(code),
        latency_ns,
        bool(finished),
        used,
        float(actual_units),
        _read_load_report(reader),
    )


def _read_stream_started(reader: _RecordReader) -> StreamStarted:
    request, latency_ns, attempt, raw_endpoint = reader.read(STREAM_STARTED)
    return StreamStarted(request, attempt, _decode_endpoint(raw_endpoint), latency_ns)


def _read_health_check(reader: _RecordReader) -> HealthCheckResult:
    raw_endpoint, code, latency_ns = reader.read(HEALTH_CHECK)
    return HealthCheckResult(
        _decode_endpoint(raw_endpoint), _decode_result(code), latency_ns, _read_load_report(reader)
    )


def _read_counter_answer(reader: _RecordReader) -> CounterAnswer:
    call_number, code, total, latency_ns = reader.read(COUNTER_ANSWER)
    return CounterAnswer(call_number, _decode_result(code), total, latency_ns)


RECORD_DECODERS: Final[dict[int, Callable[[_RecordReader], Any]]] = {
    50: _read_open,
    70: _read_list,
    30: _read_request,
    120: _read_gossip,
    110: lambda _: InstanceStopped(),
    40: _read_outcome,
    100: _read_stream_started,
    80: _read_health_check,
    10: _read_counter_answer,
    20: lambda reader: RequestAbandoned(reader.read(U32)[0]),
    60: lambda reader: TimerFired(reader.read(TIMER)[0]),
}


def read_records(data: bytes, count: int) -> list[tuple[int, Any]]:
    """Decodes the body of a frame into pairs of instance and event; raises WireError if it is malformed."""
    reader = _RecordReader(data)
    events: list[tuple[int, Any]] = []
    instance = -1
    for _ in range(count):
        code = reader.read(U8)[0]
        if code == INSTANCE_RECORD:
            instance = reader.read(U16)[0]
            continue
        if code not in RECORD_DECODERS:
            raise WireError(f"frame: unknown record code {code}")
        if instance < 0:
            raise WireError("frame: a record precedes the first instance record")
        event = RECORD_DECODERS[code](reader)
        if event is not None:
            events.append((instance, event))
    if reader.offset != len(data):
        raise WireError("frame: trailing bytes after the last record")
    return events


def _encode_endpoint(endpoint: int) -> bytes:
    return endpoint.to_bytes(ENDPOINT_BYTES, "little")


def _encode_forward(action: ForwardRequest) -> bytes:
    header = struct.pack("<BIQ", 10, action.request, max(0, action.give_up_ns))
    return header + _encode_endpoint(action.endpoint)


def _encode_log(action: LogMessage) -> bytes:
    text = action.text.encode()[:MAX_LOG_BYTES]
    return struct.pack("<BH", 100, len(text)) + text


ACTION_ENCODERS: Final[dict[type, Callable[[Any], bytes]]] = {
    ForwardRequest: _encode_forward,
    SetTimer: lambda action: struct.pack("<BQQ", 50, max(0, action.at_ns), action.token),
    RejectRequest: lambda action: struct.pack("<BIQ", 120, action.request, action.retry_after_ns),
    FailRequest: lambda action: struct.pack("<BI", 110, action.request),
    CancelAttempt: lambda action: struct.pack("<BIB", 40, action.request, action.attempt),
    CheckHealth: lambda action: b"\x82" + _encode_endpoint(action.endpoint),
    CloseIdleConnections: lambda action: b"\x3c" + _encode_endpoint(action.endpoint),
    WatchEndpoints: lambda _: struct.pack("<BB", 20, 1),
    LogMessage: _encode_log,
}


class Reply:
    """Collects the records of the reply to one frame."""

    def __init__(self, frame_number: int) -> None:
        """`frame_number`: the number of the frame that this replies to."""
        self.frame_number = frame_number
        self.records: list[bytes] = []
        self.count = 0
        self.instance = -1

    def add_fault(self, instance: int, text: str) -> None:
        """Adds a record for an event of this instance that raised an exception."""
        self._select_instance(instance)
        data = text.encode()[:MAX_FAULT_BYTES]
        self._append_record(struct.pack("<BH", FAULT_RECORD, len(data)) + data)

    def add_action(self, instance: int, action: Action) -> None:
        """Adds an action of this instance; raises TypeError if the simulator has no record for it."""
        self._select_instance(instance)
        if isinstance(action, SendGossip):
            for datagram in encode_gossip(action):
                self._append_record(struct.pack("<BIH", 70, action.peer, len(datagram)) + datagram)
            return
        encode = ACTION_ENCODERS.get(type(action))
        if encode is None:
            raise TypeError(f"no such action: {action!r}")
        self._append_record(encode(action))

    def encode(self) -> bytes:
        """Returns the complete reply frame."""
        body = b"".join(self.records)
        return REPLY_HEADER.pack(len(body), self.count, self.frame_number) + body

    def _append_record(self, data: bytes) -> None:
        self.records.append(data)
        self.count += 1

    def _select_instance(self, instance: int) -> None:
        if instance != self.instance:
            self._append_record(struct.pack("<BH", INSTANCE_REPLY_RECORD, instance))
            self.instance = instance
