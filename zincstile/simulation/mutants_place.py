"""Mutants: deliberate faults in cold starts and zone failover. Each must be detected by its checker."""

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


def _count_repeated_votes() -> Undo:
    """A vote that is received twice counts as two."""
    old = leader_terms.LeaderTerms._count_vote

    def count_vote(self, sender, reply):
        previous = [dict(one.votes) if one else None for one in (self.candidacy, self.renewal)]
        old(self, sender, reply)
        for candidacy, previous_votes in zip((self.candidacy, self.renewal), previous, strict=True):
            if (
                candidacy is not None
                and previous_votes is not None
                and reply.granted
                and sender in previous_votes
            ):
                candidacy.votes[1000 + len(candidacy.votes)] = None
        self._complete_renewal()

    return replace_attribute(leader_terms.LeaderTerms, "_count_vote", count_vote)


def _keep_terms_forever() -> Undo:
    """A leader's term does not end."""
    return replace_attribute(
        leader_terms.LeaderTerms,
        "is_leader",
        lambda self, now: self.candidacy is not None and len(self.candidacy.votes) >= self.majority,
    )


def _vote_right_after_start() -> Undo:
    """An elector votes right after a restart, though its previous process may have voted."""
    old = leader_terms.LeaderTerms.__init__

    def init(self, *args):
        old(self, *args)
        self.no_vote_before_ns = 0

    return replace_attribute(leader_terms.LeaderTerms, "__init__", init)


def _vote_for_any_candidate() -> Undo:
    """An elector votes for any candidate of a later term, though its last vote is still binding."""
    return replace_attribute(
        leader_terms.LeaderTerms,
        "_may_grant",
        lambda self, now, proposer, process, term: self.granted_vote is None or term > self.granted_vote.term,
    )


def _skip_hysteresis() -> Undo:
    """A single observation is enough to change a zone's state."""
    return replace_attribute(
        ZoneTracker, "_contradicted_for", lambda self, now, contradicts, span_ns: contradicts
    )


def _return_at_full_ratio() -> Undo:
    """A returning zone gets its full traffic at once."""
    old = ZoneTracker.usable_ratio

    def usable_ratio(self, now):
        return 1.0 if self.state is ZoneState.RETURNING else old(self, now)

    return replace_attribute(ZoneTracker, "usable_ratio", usable_ratio)


def _use_fixed_timeout() -> Undo:
    """A call times out after a fixed time, no matter how long the service's queue is."""
    return replace_attribute(list_polling.ListPolling, "timeout_ns", lambda self: 2600 * MS)


def _retry_in_step() -> Undo:
    """All gateways retry failed calls after the same delay, without jitter."""
    return replace_attribute(
        list_polling.ListPolling, "record_failure", lambda self, *_: self.first_backoff_ns
    )


def _ignore_gateway_count() -> Undo:
    """Each gateway ramps up as if it were the only one."""
    return replace_attribute(
        admission_ramp.AdmissionRamp,
        "pace",
        lambda self, endpoints: self.settings.initial_units_per_s * endpoints + self.earned_units_per_s,
    )


def _keep_peer_search() -> Undo:
    """The search for a list among peers continues after discovery has sent one."""
    return replace_attribute(list_search.ListSearch, "stop", lambda self: None)


def _relay_peer_lists() -> Undo:
    """A list from a peer is relayed to other peers."""
    old = peer_lists.PeerLists.take_result

    def take_result(self):
        result = old(self)
        if result is not None:
            self.copy.replace(0, result.version, Provenance.CACHED, result.entries)
        return result

    return replace_attribute(peer_lists.PeerLists, "take_result", take_result)


def _forget_unreachable() -> Undo:
    """A gateway that no longer tries a zone counts as one that reaches it."""
    old = zone_view.ZoneView._update_unreachable

    def update_unreachable(self, now, tries):
        self.unreachable.clear()
        old(self, now, tries)

    return replace_attribute(zone_view.ZoneView, "_update_unreachable", update_unreachable)


# ---- checkers


def check_by_search() -> str:
    """Searches from every opening, to small depths first."""
    for depth in range(1, DEPTH + 1):
        for case in place_search.CASES:
            for name in place_search.OPENINGS:
                result = place_search.search(case, depth, name, states_to_settle=20 * (depth == DEPTH))
                if result.violation:
                    return f"search: {result.violation}"
    return ""


def check_flapping_zone() -> str:
    """Checks that hysteresis limits the state changes of a zone whose link fails and recovers every 3 s.

    When the zone returns, it must get about a tenth of its traffic at first.
    """
    zone, returned_ns = ZoneTracker(SETTINGS), -1
    for now in range(0, 120 * SECOND, 100 * MS):
        previous = zone.state
        reached = (now // (3 * SECOND)) % 2 == 0
        zone.update(now, reached=reached, short=False, relieved=True, draining=False)
        if zone.state is ZoneState.RETURNING and previous is not ZoneState.RETURNING:
            returned_ns = now
            if zone.usable_ratio(now) > 2 * zone_states.INITIAL_RATIO:
                return f"states: usable ratio {zone.usable_ratio(now):.2f} right after the return"
    if returned_ns < 0 or zone.state_changes > 12:
        return f"states: {zone.state_changes} changes for 40 link faults"
    return ""


def check_zone_view() -> str:
    """Checks when a zone counts as reachable again for a gateway that found it unreachable.

    The gateway first sends its requests elsewhere and does not try the zone. The zone must count as reachable
    only when attempts have succeeded for long enough.
    """
    view = zone_view.ZoneView(SETTINGS, 3, 2)
    zones = [ZoneTracker(SETTINGS) for _ in range(2)]
    for k in range(40):
        now = k * SETTINGS.heartbeat_interval_ns
        failure_ratio = 1.0 if k < 2 else -1.0 if k < 20 else 0.0
        reachable = messages.ZoneObservation(4, 4.0, 0.0, 1e9)
        view.record(
            now,
            messages.ZoneReport(
                0, 1, k + 1, 0, 5.0, (messages.ZoneObservation(4, 4.0, failure_ratio, 1e9), reachable)
            ),
        )
        view.record(now, messages.ZoneReport(1, 1, k + 1, 1, 5.0, (reachable, reachable)))
        result = view.evaluate(now, zones)[0].reachable_from[0]
        if result and 1 < k < 20 + SETTINGS.recovery_ns // SETTINGS.heartbeat_interval_ns:
            return (
                f"view: a zone counts as reachable after {k} heartbeats, without enough successful attempts"
            )
    return "" if result else "view: a zone never counts as reachable again"


def check_discovery_calls() -> str:
    """Checks that a call in a slow service's queue is not given up, and that a fleet's retries are spread."""
    polling = list_polling.ListPolling(random.Random(1), 200 * 50 * MS, 10 * SECOND, 50 * SECOND, 4500 * MS)
    if not polling.keeps_waiting(20 * SECOND):
        return "polling: a call timed out while the service may still handle it"
    calls = sorted(
        list_polling.ListPolling(
            random.Random(k), 10 * SECOND, 10 * SECOND, SECOND, 4500 * MS
        ).record_failure()
        for k in range(200)
    )
    busiest = max(sum(at <= c < at + 100 * MS for c in calls) for at in calls)
    return f"polling: {busiest} of 200 calls in a tenth of a second" if busiest > 20 else ""


def check_admission_ramp() -> str:
    """Checks that a fleet sends no more than the stated maximum during the ramp."""
    settings, fleet, sent = ColdStartSettings(), [], 0.0
    for k in range(200):
        fleet.append(admission_ramp.AdmissionRamp(settings, 200, 6.0, random.Random(k)))
        fleet[-1].start(0)
    for now in range(0, settings.ramp_time_constant_ns, 10 * MS):
        for ramp in fleet:
            if ramp.admits(now, 40.0):
                ramp.record_sent(2.0)
                sent += 2.0
        if sent > admission_ramp.max_sent_units(settings, 40.0, now + 10 * MS) + 130:
            return (
                f"admission ramp: {sent:.0f} units sent, above the stated "
                f"{admission_ramp.max_sent_units(settings, 40.0, now):.0f} units"
            )
    return ""


def check_peer_lists() -> str:
    """Checks that discovery's list ends the search among peers, and that lists from peers are not relayed."""
    model = start_model.Model(12, 3, 60, 1e-3, loss=0.0)
    late_gateway = model.gateways[-1]
    late_gateway.start()
    model.scheduler.run(60 * MS)
    late_gateway.lists.receive_discovery_list(model.now, 7, [], complete=True)
    for one in model.gateways[:3]:
        one.lists.receive_discovery_list(0, start_model.LIST_VERSION, model.entries, complete=True)
    model.scheduler.run(3 * SECOND)
    if late_gateway.lists.search.result is not None:
        return "lists: a peer's list was accepted after discovery's list"
    for one in model.gateways[3:-1]:
        one.start()
    model.scheduler.run(6 * SECOND)
    for one in model.gateways[3:-1]:
        if one.lists.search.result is None:
            return "lists: no list was received"
        if one.lists.copy.digest(model.now) is not None:
            return "lists: a peer's list is relayed"
    return ""


MUTANTS: dict[str, tuple[Callable[[], Undo], Callable[[], str]]] = {
    "voice-counted-twice": (_count_repeated_votes, check_by_search),
    "term-without-end": (_keep_terms_forever, check_by_search),
    "speaks-right-after-a-start": (_vote_right_after_start, check_by_search),
    "bound-to-nobody": (_vote_for_any_candidate, check_by_search),
    "no-hysteresis": (_skip_hysteresis, check_flapping_zone),
    "full-part-at-return": (_return_at_full_ratio, check_flapping_zone),
    "reach-forgotten": (_forget_unreachable, check_zone_view),
    "fixed-give-up": (_use_fixed_timeout, check_discovery_calls),
    "calls-in-step": (_retry_in_step, check_discovery_calls),
    "opens-as-if-alone": (_ignore_gateway_count, check_admission_ramp),
    "peers-list-outlives": (_keep_peer_search, check_peer_lists),
    "peers-list-told-on": (_relay_peer_lists, check_peer_lists),
}
CHECKERS = tuple(dict.fromkeys(check for _, check in MUTANTS.values()))


def find(name: str) -> tuple[str, str]:
    """Returns the mutant's name, and its checker's finding; empty if it found nothing."""
    inject, check = MUTANTS[name]
    undo = inject()
    try:
        return name, check()
    finally:
        undo()


def try_all(names: tuple[str, ...], jobs: int) -> Iterator[tuple[str, str]]:
    """Runs the checkers on each mutant in parallel; yields the findings in the order of `names`."""
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(names)), maxtasksperchild=1) as pool:
        yield from pool.imap(find, names, chunksize=1)
