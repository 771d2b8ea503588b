"""What one process of a gateway leaves for the next, and for the one beside it during an upgrade: the backend
servers under maintenance. No I/O: the bytes of the file, and their reading.

The file is JSON, written whole under another name and renamed, so that it is read whole or not at all:

    {"form": 1, "gateway": "n3", "version": 7, "written_ns": 1796152608043000000, "banned": ["s-5be2a07c"],
     "ready_by": "8c1f30d27a5be964", "back": {"s-0c4419f2": 1796152599000000000},
     "boot": "0f5b...", "written_monotonic_ns": 91834000000000,
     "back_age_ns": {"s-0c4419f2": 9043000000}, "apart_ns": -1796060774043000000}

`ready_by` names the process that said last that it takes clients (by its seed, new with each start), so
that an old one on SIGTERM knows whether a new one has taken over the socket they share.

`back_age_ns`: those put back from maintenance that discovery has not told a later start of, and how long
before the writing that was: they are cold since then, to a new process too. `apart_ns`: what the writer
adds to discovery's times to have them on its monotonic clock. `back` says the same as `back_age_ns` in Unix
time, and `written_ns` the time of writing, for versions that know no more.

A file that no process has written for `stale_ns` is stale: its writers are gone long ago, and the operators'
word in it may be forgotten by them as well. Each living process writes it anew well within that time
(`net/handover_file`). Ages go by the monotonic clock: a step of the wall clock is no time that has passed.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from .timestamp import Moment

FORM = 1


class HandoverError(ValueError):
    """A file that is spoilt, of another gateway, or stale; the text says which, and where."""


@dataclass(frozen=True, slots=True)
class Handover:
    """The file's content. `back_age_ns` is as of the writing."""

    gateway: str
    version: int
    written: Moment
    banned: frozenset[str]
    ready_by: str = ""
    back_age_ns: dict[str, int] = field(default_factory=dict)
    apart_ns: int | None = None  # comparable where the machine was not started anew since


def pack(h: Handover) -> bytes:
    """The bytes of the file."""
    return json.dumps(
        {
            "form": FORM,
            "gateway": h.gateway,
            "version": h.version,
            "written_ns": h.written.unix_ns,
            "banned": sorted(h.banned),
            "ready_by": h.ready_by,
            "back": {name: h.written.unix_ns - age_ns for name, age_ns in h.back_age_ns.items()},
            "boot": h.written.boot,
            "written_monotonic_ns": h.written.monotonic_ns,
            "back_age_ns": h.back_age_ns,
            "apart_ns": h.apart_ns,
        }
    ).encode()


def unpack(data: bytes, gateway: str, now: Moment, stale_ns: int, dated_ns: int = 0) -> Handover:
    """HandoverError where it can't be trusted. `dated_ns`: the file's own date; where it lies between the
    writing and now on the monotonic clock, a living process put it there (`Host.touch`)."""
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
    written = _written(t)
    age_ns = now.since_ns(written)
    if now.same_boot(written) and written.monotonic_ns <= dated_ns <= now.monotonic_ns:
        age_ns = now.monotonic_ns - dated_ns
    if age_ns > stale_ns:
        raise HandoverError(f"key written_ns: stale, {age_ns / 1e9:.0f} s old")
    if not isinstance(t.get("ready_by", ""), str):
        raise HandoverError("key ready_by: not a string")
    apart_ns = t.get("apart_ns")
    if apart_ns is not None and type(apart_ns) is not int:
        raise HandoverError("key apart_ns: not a whole number")
    return Handover(
        t["gateway"],
        t["version"],
        written,
        frozenset(t["banned"]),
        t.get("ready_by", ""),
        _back_age_ns(t),
        apart_ns if now.same_boot(written) else None,
    )


def _written(t: dict[str, Any]) -> Moment:
    """When the file was written; by the wall clock alone where a version of before wrote it."""
    boot, monotonic_ns = t.get("boot", ""), t.get("written_monotonic_ns", 0)
    if not isinstance(boot, str):
        raise HandoverError("key boot: not a string")
    if type(monotonic_ns) is not int:
        raise HandoverError("key written_monotonic_ns: not a whole number")
    return Moment(monotonic_ns, t["written_ns"], boot)


def _back_age_ns(t: dict[str, Any]) -> dict[str, int]:
    """Ages; of a version of before, times by the wall clock that wrote the file. One that lies behind the
    writing by a step of that clock was just now."""
    back = t.get("back", {})
    if not isinstance(back, dict) or not all(type(at) is int and at >= 0 for at in back.values()):
        raise HandoverError("key back: not names and times")
    ages = t.get("back_age_ns")
    if ages is None:
        return {name: max(0, t["written_ns"] - at) for name, at in back.items()}
    if not isinstance(ages, dict) or not all(type(age) is int and age >= 0 for age in ages.values()):
        raise HandoverError("key back_age_ns: not names and ages")
    return ages
