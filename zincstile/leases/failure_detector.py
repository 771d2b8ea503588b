"""Judgements on backend servers: evidence with origin and age in place of a sum of words.

* Own samples go first: what was tried here lately is not overruled by anybody. * What was only told
needs witnesses that do not fail together: so many zones have to say it. A zone that is cut off sees all
others' servers dead, and all of its gateways say so. * Words alone never rule out more than a stated
part of the servers, however many say it. * Evidence ends `told` after it was made, wherever it travels:
its age goes with it, and only grows. * A gateway that sees most servers dead, while those it hears do
not, knows that it is itself the trouble: it keeps that to itself, and goes on trying.

Merging is commutative and idempotent: of one origin on one server and group, the youngest evidence holds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .settings import SharedSettings

BAD, GOOD = 0.3, 0.1  # an evidence accuses from here on; is none any more below
OWN_NS = 3_000_000_000  # own samples count for so long
ENOUGH = 2  # own samples by which what was told is left aside
RELAYED, FAN = 6, 8  # evidences of others, and of one's own, in one message at most
MOST_DEAD = 0.5  # a gateway that sees more of the servers it tried lately dead looks at itself
EVERY = 255  # a group: all classes


@dataclass(slots=True)
class Evidence:
    """A word: how bad attempts of a group went at a server (a hash of its name), by who tried."""

    server: int
    group: int
    bad: float
    origin: int
    zone: int
    age_ns: int


@dataclass(slots=True)
class Told:
    """Of one origin on one server and group."""

    bad: float
    zone: int
    made_ns: int  # by this gateway's clock


@dataclass(slots=True)
class Own:
    """This gateway's own samples of one server and group."""

    bad: float = 0.0
    at_ns: int = -(10**18)
    samples: int = 0
    dead: bool = False  # the last one found no connection, or no answer


@dataclass(slots=True)
class Judges:
    """What one gateway knows of all servers, by itself and by others."""

    settings: SharedSettings
    me: int
    zone: int
    own: dict[tuple[int, int], Own] = field(default_factory=dict)
    told: dict[tuple[int, int], dict[int, Told]] = field(default_factory=dict)
    heard: dict[int, tuple[int, int]] = field(default_factory=dict)  # gateway: its zone, when last heard
    trouble: bool = False  # this gateway is cut off from the back end

    # ---- what is learnt

    def sampled(
        self, now: int, server: int, group: int, bad: float, weight: float, dead: bool = False
    ) -> None:
        """An own attempt has ended, well or badly."""
        found = self.own.setdefault((server, group), Own())
        if now - found.at_ns > OWN_NS:
            found.samples = 0
        found.bad += weight * (bad - found.bad)
        found.at_ns, found.samples, found.dead = now, found.samples + 1, dead

    def hear(self, now: int, sender: int, zone: int) -> None:
        """Another gateway was heard of, and in which zone it is."""
        self.heard[sender] = zone, now

    def merge(self, now: int, word: Evidence) -> bool:
        """Another's evidence; False where it says nothing new. Own evidence that comes back is nothing."""
        made = now - word.age_ns
        if word.origin == self.me or word.age_ns >= self.settings.told_ns:
            return False
        by = self.told.setdefault((word.server, word.group), {})
        known = by.get(word.origin)
        if known is not None and known.made_ns >= made:
            return False
        by[word.origin] = Told(word.bad, word.zone, made)
        return True

    # ---- what it comes to

    def needed(self, now: int) -> int:
        """Zones that have to agree: never more than there are others to be heard, and at least one."""
        zones = {zone for zone, at in self.heard.values() if now - at < self.settings.told_ns}
        return max(1, min(self.settings.witnesses, len(zones | {self.zone})))

    def word(self, now: int, server: int, group: int) -> float:
        """How bad a server is by what was told alone, 0 to 1: what the last of the zones needed says at
        least, less the older it is."""
        by = self.told.get((server, group))
        if not by:
            return 0.0
        zones: dict[int, float] = {}
        for told in by.values():
            left = 1 - (now - told.made_ns) / self.settings.told_ns
            if left > 0:
                zones[told.zone] = max(zones.get(told.zone, 0.0), told.bad * left)
        needed = self.needed(now)
        if len(zones) < needed:
            return 0.0
        return sorted(zones.values(), reverse=True)[needed - 1]

    def lately(self, now: int, server: int, group: int) -> Own | None:
        """Own samples that are worth more than words; None where there are too few."""
        found = self.own.get((server, group))
        return found if found and found.samples >= ENOUGH and now - found.at_ns < OWN_NS else None

    def doubts(self, now: int, servers: Iterable[int], groups: Iterable[int]) -> dict[int, dict[int, float]]:
        """By words alone: for each server and group, how bad it is where own samples don't say. No more
        servers than `least_good` leaves are accused by it: the worst ones."""
        chosen = list(servers)
        found: dict[int, dict[int, float]] = {}
        for server, group in self.told:
            if group in groups and self.lately(now, server, group) is None:
                bad = self.word(now, server, group)
                if bad >= GOOD:
                    found.setdefault(server, {})[group] = bad
        found = {s: found[s] for s in chosen if s in found}
        accused = sorted(
            (s for s, by in found.items() if max(by.values()) >= BAD), key=lambda s: -max(found[s].values())
        )
        most = int((1 - self.settings.least_good) * len(chosen))
        for server in accused[most:]:
            found[server] = {g: min(bad, BAD * 0.9) for g, bad in found[server].items()}
        return found

    def look(self, now: int, servers: Iterable[int]) -> None:
        """Once a beat: what is too old goes; is this gateway itself the trouble?"""
        limit = now - self.settings.told_ns
        for key, by in list(self.told.items()):
            for origin in [o for o, told in by.items() if told.made_ns <= limit]:
                del by[origin]
            if not by:
                del self.told[key]
        for key in [k for k, own in self.own.items() if now - own.at_ns > 10 * OWN_NS]:
            del self.own[key]
        known = set(servers)
        tried: dict[int, bool] = {}
        for (server, _), own in self.own.items():
            if server in known and now - own.at_ns < OWN_NS and own.samples >= ENOUGH:
                tried[server] = tried.get(server, False) or own.dead and own.bad >= BAD
        dead = [s for s, is_dead in tried.items() if is_dead]
        others = any(now - at < self.settings.told_ns for _, at in self.heard.values())
        agreed = sum(any(self.word(now, s, g) >= BAD for g in (*range(64), EVERY)) for s in dead)
        self.trouble = (
            len(tried) >= 3 and len(dead) > MOST_DEAD * len(tried) and others and agreed <= len(dead) / 2
        )

    def tell(self, now: int) -> list[Evidence]:
        """What to say: own evidence that accuses, unless this gateway is itself the trouble, and the youngest
        of the others'."""
        own = (
            [
                Evidence(server, group, own.bad, self.me, self.zone, now - own.at_ns)
                for (server, group), own in self.own.items()
                if own.bad >= BAD and now - own.at_ns < self.settings.told_ns
            ]
            if not self.trouble
            else []
        )
        others = [
            Evidence(server, group, told.bad, origin, told.zone, now - told.made_ns)
            for (server, group), by in self.told.items()
            for origin, told in by.items()
            if told.bad >= BAD
        ]
        own.sort(key=lambda e: e.age_ns)
        others.sort(key=lambda e: e.age_ns)
        return own[:FAN] + others[:RELAYED]
