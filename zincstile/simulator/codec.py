"""Codec of the simulator's frames: the only place that knows their record codes.

A frame holds records for many instances of the decisions: events on the way in, actions on the way out.
Numbers are little-endian; endpoints have 6 bytes.
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

HEADER: Final = struct.Struct("<QIII")  # of a frame: time, bytes of the body, records, number of the frame
REPLY: Final = struct.Struct("<III")  # bytes of the body, records, number of the frame
ENTRY: Final = struct.Struct("<6sBHHBfQ")  # of an endpoint list
U8: Final = struct.Struct("<B")
U16: Final = struct.Struct("<H")
U32: Final = struct.Struct("<I")
OPEN: Final = struct.Struct("<QI")
LIST: Final = struct.Struct("<BQI")
REQUEST: Final = struct.Struct("<IHIQQfffB")
PEER: Final = struct.Struct("<HH")
OUTCOME: Final = struct.Struct("<IB6sBQBHH")
STREAM: Final = struct.Struct("<IQB6s")
HEALTH_CHECK: Final = struct.Struct("<6sBQ")
COUNTED: Final = struct.Struct("<QBfQ")
TIMER: Final = struct.Struct("<Q")

INSTANCE_RECORD: Final = 90  # names the instance of the records behind it
INSTANCE_REPLY: Final = 80
FAULT_REPLY: Final = 30
IS_RETRY_BIT: Final = 2  # of a request's flags
ENDPOINT_BYTES: Final = 6
MAX_FAULT_BYTES: Final = 60000
MAX_LOG_BYTES: Final = 1000
MAX_LIST_KIND: Final = 3
MAX_ENDPOINT_STATE: Final = 2

RESULTS: Final = {
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
    """A new instance: its seed and settings."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """The instance is dead."""


def _endpoint(raw: bytes) -> int:
    return int.from_bytes(raw, "little")


class _RecordReader:
    """Walks one frame's records."""

    def __init__(self, data: bytes) -> None:
        """`data`: the body of the frame."""
        self.data = data
        self.at = 0

    def take(self, form: struct.Struct) -> tuple[Any, ...]:
        """The next values of this form."""
        return form.unpack(self.raw(form.size))

    def raw(self, size: int) -> bytes:
        """The next bytes; WireError where there are not so many."""
        end = self.at + size
        if end > len(self.data):
            raise WireError("frame: a record is cut short")
        self.at = end
        return self.data[end - size : end]


def _result(code: int) -> AttemptResult:
    if code not in RESULTS:
        raise WireError(f"frame: unknown outcome {code}")
    return RESULTS[code]


def _report(reader: _RecordReader) -> list[float]:
    count = reader.take(U8)[0]
    return list(reader.take(struct.Struct(f"<{count}f")))


def _open(reader: _RecordReader) -> InstanceOpened:
    seed, size = reader.take(OPEN)
    return InstanceOpened(seed, read_settings(reader.raw(size)))


def _list(reader: _RecordReader) -> EndpointList:
    kind, version, count = reader.take(LIST)
    if kind > MAX_LIST_KIND:
        raise WireError(f"frame: unknown list mode {kind}")
    entries = []
    for _ in range(count):
        raw, zone, machine, cell, mode, weight, started = reader.take(ENTRY)
        if mode > MAX_ENDPOINT_STATE:
            raise WireError(f"frame: unknown backend mode {mode}")
        entries.append(
            EndpointEntry(_endpoint(raw), zone, machine, cell, EndpointState(mode), weight, started)
        )
    return EndpointList(EndpointListKind(kind), version, entries)


def _request(reader: _RecordReader) -> Request:
    number, class_index, plan, customer, deadline_ns, units, spread, first, bits = reader.take(REQUEST)
    if not (math.isfinite(units) and math.isfinite(spread) and math.isfinite(first)):
        raise WireError("frame: a request's figures are not numbers")
    return Request(
        number,
        class_index,
        plan,
        customer,
        deadline_ns,
        units,
        int(spread),
        int(first),
        bool(bits & IS_RETRY_BIT),
    )


def _peer(reader: _RecordReader) -> GossipReceived | None:
    sender, size = reader.take(PEER)
    return decode_gossip(sender, reader.raw(size))


def _outcome(reader: _RecordReader) -> AttemptOutcome:
    request, attempt, raw, code, latency_ns, finished, used, cost = reader.take(OUTCOME)
    return AttemptOutcome(
        request,
        attempt,
        _endpoint(raw),
        _result(code),
        latency_ns,
        bool(finished),
        used,
        float(cost),
        _report(reader),
    )


def _stream(reader: _RecordReader) -> StreamStarted:
    request, latency_ns, attempt, raw = reader.take(STREAM)
    return StreamStarted(request, attempt, _endpoint(raw), latency_ns)


def _health_check(reader: _RecordReader) -> HealthCheckResult:
    raw, code, latency_ns = reader.take(HEALTH_CHECK)
    return HealthCheckResult(_endpoint(raw), _result(code), latency_ns, _report(reader))


def _counted(reader: _RecordReader) -> CounterAnswer:
    name, code, total, latency_ns = reader.take(COUNTED)
    return CounterAnswer(name, _result(code), total, latency_ns)


READERS: Final[dict[int, Callable[[_RecordReader], Any]]] = {
    50: _open,
    70: _list,
    30: _request,
    120: _peer,
    110: lambda _: InstanceStopped(),
    40: _outcome,
    100: _stream,
    80: _health_check,
    10: _counted,
    20: lambda reader: RequestAbandoned(reader.take(U32)[0]),
    60: lambda reader: TimerFired(reader.take(TIMER)[0]),
}


def read_records(data: bytes, count: int) -> list[tuple[int, Any]]:
    """The events of one frame's body, each with its instance."""
    reader = _RecordReader(data)
    events: list[tuple[int, Any]] = []
    instance = -1
    for _ in range(count):
        code = reader.take(U8)[0]
        if code == INSTANCE_RECORD:
            instance = reader.take(U16)[0]
            continue
        if code not in READERS:
            raise WireError(f"frame: unknown record code {code}")
        if instance < 0:
            raise WireError("frame: a record before any instance was named")
        event = READERS[code](reader)
        if event is not None:
            events.append((instance, event))
    if reader.at != len(data):
        raise WireError("frame: bytes left over after the last record")
    return events


def _encode_endpoint(endpoint: int) -> bytes:
    return endpoint.to_bytes(ENDPOINT_BYTES, "little")


def _encode_forward(action: ForwardRequest) -> bytes:
    head = struct.pack("<BIQ", 10, action.request, max(0, action.give_up_ns))
    return head + _encode_endpoint(action.endpoint)


def _encode_log(action: LogMessage) -> bytes:
    text = action.text.encode()[:MAX_LOG_BYTES]
    return struct.pack("<BH", 100, len(text)) + text


ENCODERS: Final[dict[type, Callable[[Any], bytes]]] = {
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
    """Gathers the actions that answer one batch."""

    def __init__(self, number: int) -> None:
        """`number`: of the frame that is answered."""
        self.number = number
        self.parts: list[bytes] = []
        self.count = 0
        self.instance = -1

    def add_fault(self, instance: int, text: str) -> None:
        """An event of this instance could not be handled."""
        self._for(instance)
        data = text.encode()[:MAX_FAULT_BYTES]
        self._put(struct.pack("<BH", FAULT_REPLY, len(data)) + data)

    def add_action(self, instance: int, action: Action) -> None:
        """An action of this instance; TypeError for one that the simulator doesn't know."""
        self._for(instance)
        if isinstance(action, SendGossip):
            for message in encode_gossip(action):
                self._put(struct.pack("<BIH", 70, action.peer, len(message)) + message)
            return
        encode = ENCODERS.get(type(action))
        if encode is None:
            raise TypeError(f"no such action: {action!r}")
        self._put(encode(action))

    def encode(self) -> bytes:
        """The frame of the reply."""
        body = b"".join(self.parts)
        return REPLY.pack(len(body), self.count, self.number) + body

    def _put(self, data: bytes) -> None:
        self.parts.append(data)
        self.count += 1

    def _for(self, instance: int) -> None:
        if instance != self.instance:
            self._put(struct.pack("<BH", INSTANCE_REPLY, instance))
            self.instance = instance
