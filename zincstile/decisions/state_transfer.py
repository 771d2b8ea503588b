"""What a new version of a gateway takes over of the old one's memory, as a table for JSON. No I/O, no clock.

A new process that starts from nothing under load learns again what the old one knew: the times of the fleet,
the level of the budget, what cold backend servers may be sent, and, of every customer, what was sent by this
gateway and heard from the others. `leave` writes it down, `check` tells a table that can't be trusted, `take`
fills a memory that has seen no event yet. Times are ages at the moment of writing, in seconds.

A customer's running totals and the start they count from go along, so that peers hear one gateway: what the
old process sends after `leave` is brought by `spent`, once it has ended. Not taken over: attempts and
requests, which stay with the process that has them.
"""

from __future__ import annotations

import math
from typing import Any

Memory = Customer = Any  # of `state`, which stands on this module

FORM = 1
SECOND = 1_000_000_000
PLAIN = (
    "late",
    "answers",
    "silence",
    "silences",
    "done_rate",
    "seen_rate",
    "strain",
    "stale",
    "mean_units",
    "credit",
)  # numbers that are kept as they are
LEVELS = ("level", "brim")  # numbers that may be infinite
OF_LEAF = ("arrivals", "sent", "earned", "rate")
OF_CUSTOMER = ("level", "ceiling", "mine", "theirs", "untold", "total", "word")
OF_WORD = ("start", "total", "open", "mark", "granted")
SAME_START_S = 1.0  # two processes put discovery's times on the clock with a difference far below this


class TableError(ValueError):
    """A table that is not trusted; the text names the key."""


def leave(m: Memory, now: int, most_customers: int) -> dict[str, Any]:
    """The memory as a table; of the customers the last used where there are more."""

    def age(at: float) -> float:
        return min(1e9, max(0.0, (now - at) / SECOND))

    def customer(c: Customer) -> dict[str, Any]:
        t = {key: getattr(c, key) for key in OF_CUSTOMER}
        return t | {
            "key": c.key,
            "plan": c.plan,
            "spread": c.spread,
            "known": c.known,
            "wide": c.wide,
            "told": c.told,
            "mark": c.mark,
            "filled_s": age(c.filled_ns),
            "used_s": age(c.used_ns),
            "word_s": age(c.word_ns),
            "peers": [
                {"peer": p, "told_s": age(w.told_ns), "granted_s": age(w.granted_ns)}
                | {key: getattr(w, key) for key in OF_WORD}
                for p, w in c.peers.items()
            ],
        }

    last = sorted(m.customers.values(), key=lambda c: c.filled_ns)[-most_customers:]
    return {
        "form": FORM,
        "start": m.start,
        "begun": m.begun,
        "rose": m.rose,
        "met": m.met,
        "cut_s": age(m.cut_ns),
        "plain": [getattr(m, key) for key in PLAIN],
        "levels": [getattr(m, key) for key in LEVELS],
        "unit_ns": m.unit_ns,
        "calm_ns": m.calm_ns,
        "seen": m.seen,
        "broken": m.broken,
        "leaves": [[getattr(x, key) for key in OF_LEAF] for x in m.leaves],
        "servers": [
            {
                "id": s.info.id,
                "started_s": age(s.info.started_ns) if s.info.started_ns else 0.0,
                "slowness": s.slowness,
                "doubt": sorted(s.doubt.items()),
            }
            for s in m.servers.values()
            if s.doubt or s.slowness != 1.0
        ],
        "heard": [[p, start, age(at)] for p, (start, at) in m.heard.items()],
        "customers": [customer(c) for c in last],
    }


def spent(m: Memory) -> dict[str, Any]:
    """How far each customer's running total has come, for what was sent after `leave`."""
    return {"form": FORM, "start": m.start, "totals": [[c.key, c.total] for c in m.customers.values()]}


def check(t: Any, m: Memory) -> None:
    """TableError where the table doesn't fit a memory made from this process's settings. Guards against a
    file that is spoilt or was written under other settings: half of a memory is worse than none."""

    def number(x: Any, key: str, least: float = 0.0, whole: bool = False, endless: bool = False) -> None:
        if isinstance(x, bool) or not isinstance(x, int if whole else (int, float)):
            raise TableError(f"key {key}: not a number")
        if not least <= x or not (endless or math.isfinite(x)):
            raise TableError(f"key {key}: out of range")

    def row(x: Any, key: str, long: int, least: float = 0.0, endless: bool = False) -> None:
        if not isinstance(x, list) or len(x) != long:
            raise TableError(f"key {key}: not a list of {long}")
        for y in x:
            number(y, key, least, endless=endless)

    if not isinstance(t, dict) or t.get("form") != FORM:
        raise TableError("key form: not 1")
    far = -1e15  # a store may be below nothing
    try:
        for key in ("start", "met"):
            number(t[key], key, whole=True)
        number(t["cut_s"], "cut_s")
        for key in ("begun", "rose"):
            if not isinstance(t[key], bool):
                raise TableError(f"key {key}: not true or false")
        row(t["plain"], "plain", len(PLAIN))
        row(t["levels"], "levels", len(LEVELS), endless=True)
        row(t["unit_ns"], "unit_ns", len(m.unit_ns), 1.0)
        row(t["calm_ns"], "calm_ns", len(m.unit_ns), 1.0, endless=True)
        row(t["seen"], "seen", len(m.unit_ns))
        row(t["broken"], "broken", len(m.broken))
        if len(t["leaves"]) != len(m.leaves):
            raise TableError("key leaves: of other classes or plans")
        for x in t["leaves"]:
            row(x, "leaves", len(OF_LEAF))
        for s in t["servers"]:
            number(s["id"], "servers.id", whole=True)
            row([s["started_s"], s["slowness"]], "servers", 2)
            for group, bad in s["doubt"]:
                number(group, "servers.doubt", whole=True)
                number(bad, "servers.doubt")
        for peer, start, age_s in t["heard"]:
            number(peer, "heard", whole=True)
            number(start, "heard", whole=True)
            number(age_s, "heard")
        for c in t["customers"]:
            for key in ("key", "plan", "spread"):
                number(c[key], f"customers.{key}", whole=True)
            number(c["mark"], "customers.mark", far, whole=True)
            row([c[key] for key in OF_CUSTOMER], "customers", len(OF_CUSTOMER), far)
            row([c[key] for key in ("filled_s", "used_s", "word_s")], "customers", 3)
            if (
                c["plan"] >= len(m.leaves) // (2 * len(m.unit_ns))
                or not c["spread"]
                or not all(isinstance(c[key], bool) for key in ("known", "wide"))
            ):
                raise TableError("key customers: out of range")
            for p in c["told"]:
                number(p, "customers.told", whole=True)
            for w in c["peers"]:
                for key in ("peer", "start", "open"):
                    number(w[key], f"customers.peers.{key}", whole=True)
                number(w["mark"], "customers.peers.mark", -1, whole=True)
                row(
                    [w[key] for key in ("total", "granted", "told_s", "granted_s")], "customers.peers", 4, far
                )
    except (KeyError, TypeError, ValueError) as err:
        if isinstance(err, TableError):
            raise
        raise TableError(
            f"key {err}: missing" if isinstance(err, KeyError) else "a value of another kind"
        ) from None


def take(m: Memory, now: int, t: dict[str, Any]) -> None:
    """Fills a memory that has seen no event yet from a table that was checked."""

    def at(age_s: float) -> int:
        return now - int(age_s * SECOND)

    m.start, m.begun, m.rose, m.met, m.cut_ns = t["start"], t["begun"], t["rose"], t["met"], at(t["cut_s"])
    for key, x in zip(PLAIN + LEVELS, t["plain"] + t["levels"], strict=True):
        setattr(m, key, x)
    m.unit_ns, m.calm_ns = list(t["unit_ns"]), list(t["calm_ns"])  # type: ignore[attr-defined]
    m.seen, m.broken = [int(x) for x in t["seen"]], list(t["broken"])  # type: ignore[attr-defined]
    for leaf, row in zip(m.leaves, t["leaves"], strict=True):
        for key, x in zip(OF_LEAF, row, strict=True):
            setattr(leaf, key, x)
    m.evidence = {
        s["id"]: (
            at(s["started_s"]) if s["started_s"] else 0,
            s["slowness"],
            {group: bad for group, bad in s["doubt"]},
        )
        for s in t["servers"]
    }
    m.heard = {peer: (start, at(age_s)) for peer, start, age_s in t["heard"]}
    for row in t["customers"]:
        c = m.customer(row["key"], row["plan"], 0.0, at(row["filled_s"]))
        for key in OF_CUSTOMER:
            setattr(c, key, row[key])
        c.spread, c.known, c.wide, c.mark = row["spread"], row["known"], row["wide"], row["mark"]
        c.told, c.used_ns, c.word_ns = list(row["told"]), at(row["used_s"]), at(row["word_s"])
        for w in row["peers"]:
            word = m.word(c, w["peer"], w["start"], w["total"], w["open"], at(w["told_s"]))
            word.mark, word.granted, word.granted_ns = w["mark"], w["granted"], at(w["granted_s"])
        if not c.wide:
            m.near.update(dict.fromkeys(c.told, True))
        if c.untold:
            m.dirty[c.key] = c


def take_spent(m: Memory, t: dict[str, Any], left: dict[int, float], turn: float) -> int:
    """What the old process sent after `leave`, from `spent`; left: the totals that were taken over. Gives the
    number of customers that it concerns. TableError where the table is not one."""
    if not isinstance(t, dict) or t.get("form") != FORM or not isinstance(t.get("totals"), list):
        raise TableError("key form: not 1, or no totals")
    if t.get("start") != m.start:
        raise TableError("key start: of another process")
    count = 0
    for row in t["totals"]:
        try:
            key, total = row
            units = (float(total) - left[key] + turn / 2) % turn - turn / 2
        except (TypeError, ValueError):
            raise TableError("key totals: not a list of customers") from None
        except KeyError:
            continue  # met after `leave`: told to peers by the old process itself
        c = m.customers.get(key) if units > 0 and math.isfinite(units) else None
        if c is not None:
            c.level, c.ceiling, c.mine = c.level - units, c.ceiling - units, c.mine + units
            c.total = (c.total + units) % turn
            count += 1
    return count
