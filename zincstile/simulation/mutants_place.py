"""Deliberate faults of the start and of the choice of zones: each must be named by one of its checkers."""

from __future__ import annotations

import multiprocessing
import random
from collections.abc import Callable, Iterator

from ..cold_start import admission_ramp, list_polling, list_search, peer_lists
from ..cold_start.messages import Provenance
from ..cold_start.settings import MS, ColdStartSettings
from ..zone_failover import leader_terms, messages, zone_states, zone_view
from ..zone_failover.settings import SECOND, ZoneFailoverSettings
from ..zone_failover.zone_states import ZoneState, ZoneTracker
from . import place_search, start_model
from .mutation import Undo, replace_attribute

DEPTH = 3
SETTINGS = ZoneFailoverSettings()


def _twice() -> Undo:
    """A voice that comes twice is two."""
    old = leader_terms.LeaderTerms._count_vote

    def count(self, sender, reply):
        before = [dict(one.votes) if one else None for one in (self.candidacy, self.renewal)]
        old(self, sender, reply)
        for candidacy, was in zip((self.candidacy, self.renewal), before, strict=True):
            if candidacy is not None and was is not None and reply.granted and sender in was:
                candidacy.votes[1000 + len(candidacy.votes)] = None
        self._complete_renewal()

    return replace_attribute(leader_terms.LeaderTerms, "_count_vote", count)


def _no_end() -> Undo:
    """A term does not end for who holds it."""
    return replace_attribute(
        leader_terms.LeaderTerms,
        "is_leader",
        lambda self, now: self.candidacy is not None and len(self.candidacy.votes) >= self.majority,
    )


def _speaks_at_once() -> Undo:
    """An elector that starts gives its voice, though it may have given it."""
    old = leader_terms.LeaderTerms.__init__

    def init(self, *args):
        old(self, *args)
        self.no_vote_before_ns = 0

    return replace_attribute(leader_terms.LeaderTerms, "__init__", init)


def _bound_to_none() -> Undo:
    """An elector gives its voice to whoever calls a later term."""
    return replace_attribute(
        leader_terms.LeaderTerms,
        "_may_grant",
        lambda self, now, proposer, process, term: self.granted_vote is None or term > self.granted_vote.term,
    )


def _no_hysteresis() -> Undo:
    """A zone is back as soon as one try says so."""
    return replace_attribute(
        ZoneTracker, "_contradicted_for", lambda self, now, contradicts, span_ns: contradicts
    )


def _full_return() -> Undo:
    """What returns gets its full part at once."""
    old = ZoneTracker.usable_ratio

    def ratio(self, now):
        return 1.0 if self.state is ZoneState.RETURNING else old(self, now)

    return replace_attribute(ZoneTracker, "usable_ratio", ratio)


def _fixed_give_up() -> Undo:
    """A call is given up after a fixed time, however long the line is."""
    return replace_attribute(list_polling.ListPolling, "timeout_ns", lambda self: 2600 * MS)


def _in_step() -> Undo:
    """Failed calls are made again after the whole span, by all."""
    return replace_attribute(
        list_polling.ListPolling, "record_failure", lambda self, *_: self.first_backoff_ns
    )


def _all_for_itself() -> Undo:
    """Each opens as if it were alone."""
    return replace_attribute(
        admission_ramp.AdmissionRamp,
        "pace",
        lambda self, endpoints: self.settings.initial_units_per_s * endpoints + self.earned_units_per_s,
    )


def _peers_outlive() -> Undo:
    """A list of peers' goes on being sought and taken after discovery has spoken."""
    return replace_attribute(list_search.ListSearch, "stop", lambda self: None)


def _tells_on() -> Undo:
    """What came from a peer is told on."""
    old = peer_lists.PeerLists.take_result

    def take(self):
        found = old(self)
        if found is not None:
            self.copy.replace(0, found.version, Provenance.CACHED, found.entries)
        return found

    return replace_attribute(peer_lists.PeerLists, "take_result", take)


def _reach_forgotten() -> Undo:
    """Who is sent elsewhere, and tries no more, counts as one that reaches a zone."""
    old = zone_view.ZoneView._update_unreachable

    def update(self, now, tries):
        self.unreachable.clear()
        old(self, now, tries)

    return replace_attribute(zone_view.ZoneView, "_update_unreachable", update)


# ---- checkers


def check_by_search() -> str:
    """Every order, to the depth; the short ways first."""
    for depth in range(1, DEPTH + 1):
        for case in place_search.CASES:
            for name in place_search.OPENINGS:
                found = place_search.search(case, depth, name, settle=20 * (depth == DEPTH))
                if found.violation:
                    return f"search: {found.violation}"
    return ""


def check_flapping_zone() -> str:
    """A zone whose link fails and heals each 3 s for two minutes goes and comes by hysteresis, and gets a
    tenth when it returns."""
    zone, first = ZoneTracker(SETTINGS), -1
    for now in range(0, 120 * SECOND, 100 * MS):
        before = zone.state
        reached = (now // (3 * SECOND)) % 2 == 0
        zone.update(now, reached=reached, short=False, relieved=True, draining=False)
        if zone.state is ZoneState.RETURNING and before is not ZoneState.RETURNING:
            first = now
            if zone.usable_ratio(now) > 2 * zone_states.INITIAL_RATIO:
                return f"states: a part of {zone.usable_ratio(now):.2f} at the return"
    if first < 0 or zone.state_changes > 12:
        return f"states: {zone.state_changes} changes of 40 faults"
    return ""


def check_zone_view() -> str:
    """A zone's own gateway finds it dead, then is sent elsewhere and says nothing of it: it is sent back only
    once tries have come up for long enough."""
    seen = zone_view.ZoneView(SETTINGS, 3, 2)
    zones = [ZoneTracker(SETTINGS) for _ in range(2)]
    for k in range(40):
        now = k * SETTINGS.heartbeat_interval_ns
        dead = 1.0 if k < 2 else -1.0 if k < 20 else 0.0
        well = messages.ZoneObservation(4, 4.0, 0.0, 1e9)
        seen.record(
            now, messages.ZoneReport(0, 1, k + 1, 0, 5.0, (messages.ZoneObservation(4, 4.0, dead, 1e9), well))
        )
        seen.record(now, messages.ZoneReport(1, 1, k + 1, 1, 5.0, (well, well)))
        found = seen.evaluate(now, zones)[0].reachable_from[0]
        if found and 1 < k < 20 + SETTINGS.recovery_ns // SETTINGS.heartbeat_interval_ns:
            return f"view: a zone counts as reached after {k} beats, without a try that came up for long"
    return "" if found else "view: a zone is never reached again"


def check_discovery_calls() -> str:
    """A call that a service works on is left out; a fleet that fails calls apart, at most as stated."""
    one = list_polling.ListPolling(random.Random(1), 200 * 50 * MS, 10 * SECOND, 50 * SECOND, 4500 * MS)
    if not one.keeps_waiting(20 * SECOND):
        return "asking: a call was given up while the service may work on it"
    calls = sorted(
        list_polling.ListPolling(
            random.Random(k), 10 * SECOND, 10 * SECOND, SECOND, 4500 * MS
        ).record_failure()
        for k in range(200)
    )
    most = max(sum(at <= c < at + 100 * MS for c in calls) for at in calls)
    return f"asking: {most} of 200 calls in a tenth of a second" if most > 20 else ""


def check_admission_ramp() -> str:
    """A fleet sends no more than is stated."""
    settings, fleet, sent = ColdStartSettings(), [], 0.0
    for k in range(200):
        fleet.append(admission_ramp.AdmissionRamp(settings, 200, 6.0, random.Random(k)))
        fleet[-1].start(0)
    for now in range(0, settings.ramp_time_constant_ns, 10 * MS):
        for one in fleet:
            if one.admits(now, 40.0):
                one.record_sent(2.0)
                sent += 2.0
        if sent > admission_ramp.max_sent_units(settings, 40.0, now + 10 * MS) + 130:
            return (
                f"opening: {sent:.0f} units sent, "
                f"{admission_ramp.max_sent_units(settings, 40.0, now):.0f} stated"
            )
    return ""


def check_peer_lists() -> str:
    """Discovery's word ends what peers tell, and only it is told on."""
    model = start_model.Model(12, 3, 60, 1e-3, loss=0.0)
    late = model.gateways[-1]
    late.start()
    model.scheduler.run(60 * MS)
    late.lists.receive_discovery_list(model.now, 7, [], complete=True)
    for one in model.gateways[:3]:
        one.lists.receive_discovery_list(0, start_model.LIST_VERSION, model.entries, complete=True)
    model.scheduler.run(3 * SECOND)
    if late.lists.search.result is not None:
        return "lists: a peer's list was taken after discovery's word"
    for one in model.gateways[3:-1]:
        one.start()
    model.scheduler.run(6 * SECOND)
    for one in model.gateways[3:-1]:
        if one.lists.search.result is None:
            return "lists: no list came"
        if one.lists.copy.digest(model.now) is not None:
            return "lists: a peer's list is told on"
    return ""


MUTANTS: dict[str, tuple[Callable[[], Undo], Callable[[], str]]] = {
    "voice-counted-twice": (_twice, check_by_search),
    "term-without-end": (_no_end, check_by_search),
    "speaks-right-after-a-start": (_speaks_at_once, check_by_search),
    "bound-to-nobody": (_bound_to_none, check_by_search),
    "no-hysteresis": (_no_hysteresis, check_flapping_zone),
    "full-part-at-return": (_full_return, check_flapping_zone),
    "reach-forgotten": (_reach_forgotten, check_zone_view),
    "fixed-give-up": (_fixed_give_up, check_discovery_calls),
    "calls-in-step": (_in_step, check_discovery_calls),
    "opens-as-if-alone": (_all_for_itself, check_admission_ramp),
    "peers-list-outlives": (_peers_outlive, check_peer_lists),
    "peers-list-told-on": (_tells_on, check_peer_lists),
}
CHECKERS = tuple(dict.fromkeys(check for _, check in MUTANTS.values()))


def find(name: str) -> tuple[str, str]:
    """The mutant's name, and what named it; empty: nothing did."""
    put, check = MUTANTS[name]
    undo = put()
    try:
        return name, check()
    finally:
        undo()


def try_all(names: tuple[str, ...], jobs: int) -> Iterator[tuple[str, str]]:
    """In the order of the names."""
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(names)), maxtasksperchild=1) as pool:
        yield from pool.imap(find, names, chunksize=1)
