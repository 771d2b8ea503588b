"""Every order of a small case of the agreement on a table: gateways that call terms, give their voices and
propose, with words delivered in any order, lost and doubled, processes that crash and start anew, and
processes that are stopped and wake with their old time. No clock, no chance; equal states once.

After each step: no two processes hold a term by what their own running clocks say, who holds one was
given the voices of more than half, no two tables of one generation differ, and nobody goes back to an
older one. A run in which all is heard again ends in one table (`settles`).
"""

from __future__ import annotations

import multiprocessing
import pickle
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..zone_failover.leader_terms import Candidacy, LeaderTerms
from ..zone_failover.messages import Generation, VoteReply
from ..zone_failover.settings import MS, ZoneFailoverSettings
from .search import ConstantRandom, InvariantError

SETTINGS = ZoneFailoverSettings(term_ns=400 * MS, heartbeat_interval_ns=100 * MS, table_lifetime_ns=800 * MS)
STEP_NS = 200 * MS  # two of them end a term
FLIGHT = 3
SETTLED = 30  # ticks in which all has to end in one table
CASES = {"2 zones of 2": 4, "3 zones of 1": 3}


class Quiet(ConstantRandom):
    """In place of chance, without any spread."""

    def randrange(self, most: int) -> int:
        return 0


@dataclass(slots=True)
class State:
    now: int = 0
    seats: list[LeaderTerms] = field(default_factory=list)
    clocks: list[int] = field(default_factory=list)
    messages: list[tuple[int, int, object]] = field(default_factory=list)  # from, to, word
    made: dict[Generation, tuple] = field(default_factory=dict)
    newest: list[Generation | None] = field(default_factory=list)
    given: dict[tuple[int, int], dict[int, None]] = field(default_factory=dict)  # term, process: who promised
    crashes: int = 0
    path: tuple[str, ...] = ()


@dataclass(slots=True)
class SearchResult:
    case: str
    depth: int
    states: int = 0
    steps: int = 0
    tables: int = 0
    violation: str = ""


def initial_state(count: int) -> State:
    """All have run for long: they may give their voices."""
    state = State(now=10 * SETTINGS.term_ns)
    for me in range(count):
        state.seats.append(LeaderTerms(SETTINGS, me, count, me + 1, 0, Quiet(me)))  # type: ignore[arg-type]
        state.clocks.append(state.now)
        state.newest.append(None)
    return state


def possible_actions(state: State) -> list[str]:
    """All that can happen next."""
    found, seen = [], []
    for g in range(len(state.seats)):
        found += [f"look {g}"]
        if state.seats[g].is_leader(state.clocks[g]):
            found.append(f"propose {g}")
        if state.crashes < 1:
            found.append(f"crash {g}")
    for k, one in enumerate(state.messages):
        if repr(one) not in seen:
            seen.append(repr(one))
            found += [f"deliver {k}", f"lose {k}"]
            if len(state.messages) < FLIGHT:
                found.append(f"double {k}")
    asleep = [g for g, at in enumerate(state.clocks) if at < state.now]
    return [*found, "tick", *(f"sleep {g}" for g in asleep or range(len(state.seats)))]


def apply_action(state: State, action: str) -> None:
    """Carries it out."""
    what, *args = action.split()
    g = int(args[0]) if args else -1
    state.path = (*state.path, action)
    if what == "look":
        state.seats[g].update(state.clocks[g], set(range(len(state.seats))))
        _flush(state, g)
    elif what == "propose":
        _propose(state, g)
    elif what == "deliver":
        sender, to, word = state.messages.pop(g)
        state.seats[to].receive(state.clocks[to], sender, word)  # type: ignore[arg-type]
        _flush(state, to)
    elif what == "lose":
        state.messages.pop(g)
    elif what == "double":
        state.messages.append(state.messages[g])
    elif what == "crash":
        state.crashes += 1
        state.clocks[g] = state.now
        state.seats[g] = LeaderTerms(SETTINGS, g, len(state.seats), 100 + g, state.now, Quiet(g))  # type: ignore
        state.newest[g] = None
    else:
        state.now += STEP_NS
        for k in range(len(state.seats)):
            if k != g:
                state.clocks[k] = state.now
    _check(state)


def _propose(state: State, g: int) -> None:
    """What it proposes differs each time and for each process: a generation that is used twice shows."""
    seat = state.seats[g]
    row = (seat.process, len(state.made) % 200)
    table = seat.propose(state.clocks[g], (row,), (0,))
    if table is None:
        raise InvariantError(f"gateway {g} holds a term and may not propose")
    before = state.made.setdefault(table.generation, table.weights)
    if before != table.weights:
        raise InvariantError(f"two tables of generation {table.generation}")
    for to in range(len(state.seats)):
        if to != g:
            _put(state, (g, to, table))
    _flush(state, g)


def _flush(state: State, g: int) -> None:
    for to, word in state.seats[g].take_messages():
        if isinstance(word, VoteReply) and word.granted:
            state.given.setdefault((word.term, word.process), {})[g] = None
        _put(state, (g, to, word))


def _put(state: State, one: tuple[int, int, object]) -> None:
    if len(state.messages) < FLIGHT:
        state.messages.append(one)


def _check(state: State) -> None:
    holders = [
        g for g, seat in enumerate(state.seats) if state.clocks[g] == state.now and seat.is_leader(state.now)
    ]
    if len(holders) > 1:
        raise InvariantError(f"gateways {holders} hold a term at once")
    for g in holders:
        seat = state.seats[g]
        promised = len(state.given.get((seat.candidacy.term, seat.process), {})) + (g in seat.candidacy.votes)
        if promised < seat.majority:
            raise InvariantError(f"gateway {g} holds a term by {promised} voices of {seat.majority}")
    for g, seat in enumerate(state.seats):
        have = seat.table.generation if seat.table is not None else None
        before = state.newest[g]
        if before is not None and (have is None or have < before):
            raise InvariantError(f"gateway {g} went back from {before} to {have}")
        if seat.table is not None and state.made.get(have) != seat.table.weights:
            raise InvariantError(f"gateway {g} has a table that nobody made")
        state.newest[g] = have


def settles(state: State) -> str:
    """All is heard from here on, and waits are drawn as they are: it ends in one table for all. What is
    wrong, or nothing."""
    state.messages = []
    for g, seat in enumerate(state.seats):
        seat.rng = random.Random(g)
    for _ in range(SETTLED):
        apply_action(state, "tick")
        for g in range(len(state.seats)):
            apply_action(state, f"look {g}")
            while state.messages:
                apply_action(state, "deliver 0")
            if state.seats[g].is_leader(state.now):
                table = state.seats[g].propose(state.now, ((state.seats[g].process, 0),), (0,))
                state.made.setdefault(table.generation, table.weights)
                for to in range(len(state.seats)):
                    if to != g:
                        state.seats[to].receive(state.now, g, table)
                _check(state)
    found = {
        seat.current_table(state.now) and seat.current_table(state.now).generation for seat in state.seats
    }
    return "" if len(found) == 1 and None not in found else f"it ends in {found}"


def _candidacy_key(candidacy: Candidacy | None, now: int) -> tuple | None:
    if candidacy is None:
        return None
    age_ns = max(-SETTINGS.term_ns, candidacy.requested_ns - now)
    return candidacy.term, age_ns, sorted(candidacy.votes), candidacy.proposed_tables


def _state_key(state: State) -> bytes:
    now, seats = state.now, []
    for g, seat in enumerate(state.seats):
        granted, candidacy, renewal = seat.granted_vote, seat.candidacy, seat.renewal
        seats.append(
            (
                state.clocks[g] - now,
                seat.process,
                seat.latest_term,
                max(0, seat.no_vote_before_ns - now),
                granted
                and (
                    granted.term,
                    granted.candidate,
                    granted.process,
                    max(-1, granted.binding_until_ns - now),
                ),
                _candidacy_key(candidacy, now),
                _candidacy_key(renewal, now),
                seat.table and seat.table.generation,
                max(-SETTINGS.table_lifetime_ns, seat.table_renewed_ns - now),
                max(0, seat.next_request_ns - now),
            )
        )
    return pickle.dumps((seats, sorted(map(repr, state.messages)), sorted(state.made.items()), state.crashes))


OPENINGS = {
    "nothing": (),
    "a call on its way": ("look 0",),
    "a voice on its way": ("look 0", "deliver 0"),
    "a voice on its way alone": ("look 0", "deliver 0", "lose 0", "lose 0"),
    "two calls at once": ("look 0", "lose 0", "look 1"),
    "a term is held": None,
    "a table is on its way": None,
    "the holder is stopped": None,
    "the holder crashes": None,
}


def opened(case: str, opening: str) -> State:
    """A state to begin with. Whoever is first elector calls; the rest of an opening is found by its kind."""
    state = initial_state(CASES[case])
    first = state.seats[0].electors[0]
    if OPENINGS[opening] is not None:
        for action in OPENINGS[opening]:
            if action.startswith("look 0"):
                action = f"look {first}"
            if action.split()[0] in ("deliver", "lose") and not state.messages:
                continue
            apply_action(state, action)
        return state
    apply_action(state, f"look {first}")
    while state.messages and not state.seats[first].is_leader(state.now):
        apply_action(state, "deliver 0")
    state.messages = []
    if opening != "a term is held":
        apply_action(state, f"propose {first}")
    if opening == "the holder is stopped":
        apply_action(state, f"sleep {first}")
    elif opening == "the holder crashes":
        apply_action(state, f"crash {first}")
    return state


def search(case: str, depth: int, opening: str, settle: int = 200) -> SearchResult:
    """All paths of so many steps after an opening; it ends at the first that breaks. `settle`: of so many
    states at the end it is looked whether all settle."""
    found = SearchResult(f"{case}: {opening}", depth)
    try:
        state = opened(case, opening)
    except InvariantError as broken:
        found.violation = str(broken)
        return found
    level, known = [pickle.dumps(state)], {_state_key(state): None}
    generations: dict[Generation, None] = {}
    for _ in range(depth):
        following = []
        for packed in level:
            for action in possible_actions(pickle.loads(packed)):
                state = pickle.loads(packed)
                found.steps += 1
                try:
                    apply_action(state, action)
                except InvariantError as broken:
                    found.violation = f"{broken}: {'; '.join(state.path)}"
                    return found
                generations.update(dict.fromkeys(state.made))
                key = _state_key(state)
                if key not in known:
                    known[key] = None
                    following.append(pickle.dumps(state))
        level = following
    for packed in level[:: max(1, len(level) // settle)] if settle else ():
        state = pickle.loads(packed)
        try:
            why = settles(state)
        except InvariantError as broken:
            why = str(broken)
        if why:
            found.violation = f"{why}: {'; '.join(state.path[:depth + 12])}"
            return found
    found.states, found.tables = len(known), len(generations)
    return found


def _search(job: tuple[str, int, str]) -> SearchResult:
    return search(*job)


def search_all(depth: int, jobs: int) -> Iterator[SearchResult]:
    chosen = [(case, depth, opening) for case in CASES for opening in OPENINGS]
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(chosen))) as pool:
        yield from pool.imap_unordered(_search, chosen)
