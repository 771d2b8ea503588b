"""Codec of the wire's frames: the only place that knows its dialect."""

from __future__ import annotations

import json
import math
import struct
import zlib
from collections.abc import Callable
from typing import Any

from ..decisions.messages import (
    Action,
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    CounterAnswer,
    CustomerUsage,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointState,
    ErrorSample,
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
from ..decisions.settings import CustomerPlan, DeduplicationScope, Idempotency, RequestClass, Settings

HEADER = struct.Struct("<QIII")
REPLY = struct.Struct("<III")
ENTRY = struct.Struct("<6sBHHBfQ")
HEAD, FIGURE, DOUBT = struct.Struct("<BIHBB"), struct.Struct("<e"), struct.Struct("<HBB")
SHARE = struct.Struct("<IBBIhBhH")
MAGIC, LARGEST, GRAIN, ANSWER, MOST = 0xB9, 256, 16.0, 0x80, 60000.0
EFFECTS = {"free": Idempotency.ALWAYS, "guarded": Idempotency.BY_KEY, "single_shot": Idempotency.NEVER}
RESULTS = {
    0: AttemptResult.OK,
    5: AttemptResult.ERROR,
    11: AttemptResult.REJECTED,
    110: AttemptResult.TIMEOUT,
    111: AttemptResult.CONNECT_FAILED,
    104: AttemptResult.RESET,
    125: AttemptResult.CANCELLED,
    114: AttemptResult.NOT_SENT,
}
FIELD_NAMES = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}


class WireError(ValueError):
    """A frame, a record or the settings can't be understood."""


class Open:
    """A new instance: its seed and settings."""

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: Settings) -> None:
        self.seed, self.settings = seed, settings


class Stop:
    """The instance is dead."""

    __slots__ = ()


def _backend(raw: bytes) -> int:
    return int.from_bytes(raw, "little")


def _need(table: dict[str, Any], key: str) -> Any:
    if not isinstance(table, dict) or key not in table:
        raise WireError(f"settings: key '{key}' is missing")
    return table[key]


def read_settings(text: bytes) -> Settings:
    try:
        table = json.loads(text)
    except (ValueError, RecursionError):
        raise WireError("settings: not JSON") from None
    try:
        return _settings(table)
    except WireError:
        raise
    except (ValueError, TypeError, KeyError, OverflowError, AttributeError) as err:
        raise WireError(f"settings: {err}") from None


def _settings(t: dict[str, Any]) -> Settings:
    classes = []
    for c in _need(t, "classes"):
        effect = _need(c, "effect")
        if effect not in EFFECTS:
            raise WireError(f"settings: unknown effect '{effect}'")
        classes.append(
            RequestClass(
                name=str(_need(c, "name")),
                latency_objective_ns=int(_need(c, "aim_ns")),
                deadline_ns=int(_need(c, "deadline_ns")),
                idempotency=EFFECTS[effect],
                priority_weight=float(_need(c, "gain")),
                late_weight=float(c.get("late_worth", 0)),
                deduplication_scope=DeduplicationScope(c.get("group", "all")),
                deduplication_window_ns=int(c.get("window_ns", 0)),
                streaming=bool(c.get("stream", False)),
            )
        )
    plans = []
    for p in _need(t, "plans"):
        plans.append(
            CustomerPlan(
                name=str(p.get("name", "")),
                price=float(_need(p, "price")),
                rate=float(_need(p, "refill")),
                burst=float(_need(p, "burst")),
                max_in_flight=int(_need(p, "concurrency")),
                over_quota_weight=float(_need(p, "over_worth")),
                over_quota_cost=float(_need(p, "beyond_costs")),
                ceiling_rate=float(_need(p, "never_over_rate")),
                ceiling_burst=float(_need(p, "hard_burst")),
                ceiling_slack=float(_need(p, "tolerance")),
            )
        )
    discovery = _need(t, "discovery")
    if discovery not in ("pushed", "on_request"):
        raise WireError(f"settings: unknown discovery '{discovery}'")
    limits, rules = _need(t, "limits"), _need(t, "obligations")
    domain = t.get("domain") or {}
    return Settings(
        gateway_index=int(_need(t, "ordinal")),
        gateway_count=int(_need(t, "balancers")),
        classes=classes,
        plans=plans,
        zone=int(_need(t, "zone")),
        polls_endpoint_list=discovery == "on_request",
        gossips=bool(_need(limits, "peers")),
        probes=bool(_need(limits, "probes")),
        cancels_attempts=bool(_need(limits, "cancel")),
        hedges=bool(_need(limits, "may_duplicate")),
        retry_after=bool(_need(limits, "retry_after")),
        max_attempts=int(_need(limits, "send_cap")),
        max_retry_after_ns=int(limits.get("max_retry_after_ns", 0)),
        gossip_in_per_s=float(domain.get("peer_intake", 0)),
        max_request_units=float(domain.get("units_top", 1)),
        settles_actual_units=bool(domain.get("cost_after", False)),
        drain_grace_ns=int(_need(rules, "drain_grace_ns")),
        slow_start_share=float(_need(rules, "start_capacity")),
        slow_start_ns=int(_need(rules, "warm_up_ns")),
        slow_start_overload_multiple=float(_need(rules, "overload_factor")),
        slow_start_window_ns=int(_need(rules, "fall_ns")),
        cross_zone_price=float((t.get("prices") or {}).get("cross_zone", 0)),
        load_report_fields=[FIELD_NAMES.get(f, str(f)) for f in (t.get("telemetry") or {}).get("fields", [])],
    )


class _Reader:
    """Walks one frame's records."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, form: struct.Struct) -> tuple[Any, ...]:
        return form.unpack(self.raw(form.size))

    def raw(self, size: int) -> bytes:
        end = self.at + size
        if end > len(self.data):
            raise WireError("frame: a record is cut short")
        self.at = end
        return self.data[end - size : end]


U8, U16, U32 = struct.Struct("<B"), struct.Struct("<H"), struct.Struct("<I")
OPEN, LIST = struct.Struct("<QI"), struct.Struct("<BQI")
REQUEST = struct.Struct("<IHIQQfffB")
PEER = struct.Struct("<HH")
OUTCOME = struct.Struct("<IB6sBQBHH")
STREAM = struct.Struct("<IQB6s")
PROBED = struct.Struct("<6sBQ")
COUNTED = struct.Struct("<QBfQ")
TIMER = struct.Struct("<Q")


def _result(code: int) -> AttemptResult:
    if code not in RESULTS:
        raise WireError(f"frame: unknown outcome {code}")
    return RESULTS[code]


def _report(r: _Reader) -> list[float]:
    count = r.take(U8)[0]
    return list(r.take(struct.Struct(f"<{count}f")))


def _open(r: _Reader) -> Open:
    seed, size = r.take(OPEN)
    return Open(seed, read_settings(r.raw(size)))


def _list(r: _Reader) -> EndpointList:
    kind, version, count = r.take(LIST)
    if kind > 3:
        raise WireError(f"frame: unknown list mode {kind}")
    entries = []
    for _ in range(count):
        raw, zone, machine, cell, mode, weight, started = r.take(ENTRY)
        if mode > 2:
            raise WireError(f"frame: unknown backend mode {mode}")
        entries.append(
            EndpointEntry(_backend(raw), zone, machine, cell, EndpointState(mode), weight, started)
        )
    return EndpointList(EndpointListKind(kind), version, entries)


def _request(r: _Reader) -> Request:
    rid, cls, plan, customer, give_up, units, spread, first, bits = r.take(REQUEST)
    if not (math.isfinite(units) and math.isfinite(spread) and math.isfinite(first)):
        raise WireError("frame: a request's figures are not numbers")
    return Request(rid, cls, plan, customer, give_up, units, int(spread), int(first), bool(bits & 2))


def _peer(r: _Reader) -> GossipReceived | None:
    sender, size = r.take(PEER)
    return unpack_tell(sender, r.raw(size))


def _short(units: float) -> int:
    return max(-32768, min(32767, round(units * GRAIN)))


def pack_tell(tell: SendGossip) -> list[bytes]:
    """Messages between gateways, 256 bytes at most each; units travel in sixteenths, totals modulo 2^32.
    Where the settings have many classes and plans, the figures of the last groups are left out, and doubts of
    groups past a byte: guards against a message that has no room for any share, and so against none or one
    too long."""
    doubts = [d for d in tell.error_samples if d.group <= 255]
    room = LARGEST - HEAD.size - SHARE.size * bool(tell.usages) - DOUBT.size * len(doubts)
    figures = tell.figures[: max(0, room // FIGURE.size)]
    extra = b"".join(FIGURE.pack(min(MOST, max(0.0, x))) for x in figures)
    extra += b"".join(DOUBT.pack(d.endpoint_hash, d.group, int(d.error * 255)) for d in doubts)
    counts, messages, at = (len(figures), len(doubts)), [], 0
    while not messages or at < len(tell.usages):
        end = at + (LARGEST - HEAD.size - len(extra)) // SHARE.size
        body = extra + b"".join(
            SHARE.pack(
                s.customer % 2**32,
                s.customer >> 32 | ANSWER * s.is_answer,
                s.plan,
                round(s.total * GRAIN) % 2**32,
                _short(s.level),
                max(0, min(255, s.in_flight)),
                _short(s.want),
                s.query_id,
            )
            for s in tell.usages[at:end]
        )
        check = zlib.crc32(body, tell.incarnation) & 0xFFFF
        messages.append(HEAD.pack(MAGIC, tell.incarnation, check, *counts) + body)
        extra, counts, at = b"", (0, 0), end
    return messages


def unpack_tell(sender: int, data: bytes) -> GossipReceived | None:
    """None for a message that is damaged or of another layout."""
    if len(data) < HEAD.size:
        return None
    magic, start, check, figures, doubts = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    after = figures * FIGURE.size
    first = after + doubts * DOUBT.size
    if magic != MAGIC or check != zlib.crc32(body, start) & 0xFFFF:
        return None
    if len(body) < first or (len(body) - first) % SHARE.size:
        return None
    shares = [
        CustomerUsage(
            low | (high % ANSWER) << 32,
            plan,
            total / GRAIN,
            level / GRAIN,
            out,
            want / GRAIN,
            mark,
            high >= ANSWER,
        )
        for low, high, plan, total, level, out, want, mark in SHARE.iter_unpack(body[first:])
    ]
    return GossipReceived(
        sender,
        start,
        shares,
        [x for (x,) in FIGURE.iter_unpack(body[:after])],
        [ErrorSample(b, g, v / 255) for b, g, v in DOUBT.iter_unpack(body[after:first])],
    )


def _outcome(r: _Reader) -> AttemptOutcome:
    rid, attempt, raw, code, latency, finished, used, cost = r.take(OUTCOME)
    return AttemptOutcome(
        rid, attempt, _backend(raw), _result(code), latency, bool(finished), used, float(cost), _report(r)
    )


def _stream(r: _Reader) -> StreamStarted:
    rid, latency, attempt, raw = r.take(STREAM)
    return StreamStarted(rid, attempt, _backend(raw), latency)


def _probed(r: _Reader) -> HealthCheckResult:
    raw, code, latency = r.take(PROBED)
    return HealthCheckResult(_backend(raw), _result(code), latency, _report(r))


def _counted(r: _Reader) -> CounterAnswer:
    name, code, total, latency = r.take(COUNTED)
    return CounterAnswer(name, _result(code), total, latency)


READERS: dict[int, Callable[[_Reader], Any]] = {
    50: _open,
    70: _list,
    30: _request,
    120: _peer,
    110: lambda r: Stop(),
    40: _outcome,
    100: _stream,
    80: _probed,
    10: _counted,
    20: lambda r: RequestAbandoned(r.take(U32)[0]),
    60: lambda r: TimerFired(r.take(TIMER)[0]),
}


def read_records(data: bytes, count: int) -> list[tuple[int, Any]]:
    """The events of one frame's body, each with its instance."""
    r, events, instance = _Reader(data), [], -1
    for _ in range(count):
        code = r.take(U8)[0]
        if code == 90:
            instance = r.take(U16)[0]
            continue
        if code not in READERS:
            raise WireError(f"frame: unknown record code {code}")
        if instance < 0:
            raise WireError("frame: a record before any instance was named")
        event = READERS[code](r)
        if event is not None:
            events.append((instance, event))
    if r.at != len(data):
        raise WireError("frame: bytes left over after the last record")
    return events


class Reply:
    """Gathers the actions that answer one batch."""

    def __init__(self, number: int) -> None:
        self.number, self.parts, self.count, self.instance = number, [], 0, -1

    def _put(self, data: bytes) -> None:
        self.parts.append(data)
        self.count += 1

    def _for(self, instance: int) -> None:
        if instance != self.instance:
            self._put(struct.pack("<BH", 80, instance))
            self.instance = instance

    def fault(self, instance: int, text: str) -> None:
        self._for(instance)
        words = text.encode()[:60000]
        self._put(struct.pack("<BH", 30, len(words)) + words)

    def add(self, instance: int, action: Action) -> None:
        self._for(instance)
        if isinstance(action, ForwardRequest):
            data = struct.pack("<BIQ", 10, action.request, max(0, action.until_ns))
            data += action.endpoint.to_bytes(6, "little")
        elif isinstance(action, SetTimer):
            data = struct.pack("<BQQ", 50, max(0, action.at_ns), action.token)
        elif isinstance(action, RejectRequest):
            data = struct.pack("<BIQ", 120, action.request, action.retry_after_ns)
        elif isinstance(action, FailRequest):
            data = struct.pack("<BI", 110, action.request)
        elif isinstance(action, CancelAttempt):
            data = struct.pack("<BIB", 40, action.request, action.attempt)
        elif isinstance(action, SendGossip):
            for message in pack_tell(action):
                self._put(struct.pack("<BIH", 70, action.peer, len(message)) + message)
            return
        elif isinstance(action, CheckHealth):
            data = b"\x82" + action.endpoint.to_bytes(6, "little")
        elif isinstance(action, CloseIdleConnections):
            data = b"\x3c" + action.endpoint.to_bytes(6, "little")
        elif isinstance(action, WatchEndpoints):
            data = struct.pack("<BB", 20, 1)
        elif isinstance(action, LogMessage):
            words = action.text.encode()[:1000]
            data = struct.pack("<BH", 100, len(words)) + words
        else:
            raise TypeError(f"no such action: {action!r}")
        self._put(data)

    def data(self) -> bytes:
        body = b"".join(self.parts)
        return REPLY.pack(len(body), self.count, self.number) + body
