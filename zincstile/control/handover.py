"""What one process of a gateway leaves for the next, and for the one beside it during an upgrade: the backend
servers under maintenance. No I/O: the bytes of the file, and their reading.

The file is JSON, written whole under another name and renamed, so that it is read whole or not at all:

    {"form": 1, "gateway": "n3", "version": 7, "written_ns": 1796152608043000000, "banned": ["s-5be2a07c"],
     "ready_by": "8c1f30d27a5be964", "back": {"s-0c4419f2": 1796152599000000000}}

`ready_by` names the process that said last that it takes clients (by its seed, new with each start), so
that an old one on SIGTERM knows whether a new one has taken over the socket they share.

`back`: those put back from maintenance that discovery has not told a later start of, and when they were, in
Unix time: they are cold since then, to a new process too.

`written_ns` is Unix time; a file that no process has written for `stale_ns` is stale: its writers are gone
long ago, and the operators' word in it may be forgotten by them as well. Each living process writes it anew
well within that time (`net/control`).
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

FORM = 1


class HandoverError(ValueError):
    """A file that is spoilt, of another gateway, or stale; the text says which, and where."""


@dataclass(frozen=True, slots=True)
class Handover:
    gateway: str
    version: int
    written_ns: int
    banned: frozenset[str]
    ready_by: str = ""
    back: dict[str, int] = field(default_factory=dict)


def pack(h: Handover) -> bytes:
    return json.dumps(
        {
            "form": FORM,
            "gateway": h.gateway,
            "version": h.version,
            "written_ns": h.written_ns,
            "banned": sorted(h.banned),
            "ready_by": h.ready_by,
            "back": h.back,
        }
    ).encode()


def unpack(data: bytes, gateway: str, now_ns: int, stale_ns: int) -> Handover:
    """HandoverError where it can't be trusted."""
    try:
        t = json.loads(data)
    except (ValueError, RecursionError):
        raise HandoverError("not JSON") from None
    if not isinstance(t, dict) or t.get("form") != FORM:
        raise HandoverError("key form: not 1")
    for key, kind in (("gateway", str), ("version", int), ("written_ns", int), ("banned", list)):
        if not isinstance(t.get(key), kind) or isinstance(t.get(key), bool):
            raise HandoverError(f"key {key}: missing or not a {kind.__name__}")
    if t["gateway"] != gateway:
        raise HandoverError(f"key gateway: {t['gateway']!r} is another gateway's")
    if t["version"] < 0 or not all(
        isinstance(n, str) and n and not any(c.isspace() for c in n) for n in t["banned"]
    ):
        raise HandoverError("key banned: not a list of names")
    if now_ns - t["written_ns"] > stale_ns:
        raise HandoverError(f"key written_ns: stale, {(now_ns - t['written_ns']) / 1e9:.0f} s old")
    if not isinstance(t.get("ready_by", ""), str):
        raise HandoverError("key ready_by: not a string")
    back = t.get("back", {})
    if not isinstance(back, dict) or not all(type(at) is int and 0 <= at <= now_ns for at in back.values()):
        raise HandoverError("key back: not names and times that are over")
    return Handover(
        t["gateway"], t["version"], t["written_ns"], frozenset(t["banned"]), t.get("ready_by", ""), back
    )
