"""Exhaustive search over a small model of the agreement on a routing table.

Gateways request votes, grant them and propose tables. Messages are delivered in any order, lost and
duplicated; processes crash and restart; processes are suspended and resume with their old time. There is
neither a clock nor randomness. Equal states are expanded once.

Invariants after each step: at most one process is the leader by its own running clock, every leader was
granted the votes of a majority, tables of one generation are equal, and no gateway returns to an older table.
From any state, once messages arrive again, all gateways agree on one table (`settling_error`).
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
STEP_NS = 200 * MS  # length of a tick: two ticks end a term
MAX_MESSAGES = 3
SETTLE_TICKS = 30  # ticks within which all gateways have to agree on one table
CASES = {"2 zones of 2": 4, "3 zones of 1": 3}


class ZeroRandom(ConstantRandom):
    """Replaces a random generator by constants, so that random delays are 0."""

    def randrange(self, stop: int) -> int:
        return 0


@dataclass(slots=True)
class State:
    now: int = 0
    terms: list[LeaderTerms] = field(default_factory=list)
    clocks: list[int] = field(default_factory=list)
    messages: list[tuple[int, int, object]] = field(default_factory=list)  # sender, recipient, message
    tables_by_generation: dict[Generation, tuple] = field(default_factory=dict)
    newest_generations: list[Generation | None] = field(default_factory=list)
    # By term and process of the candidate: the electors that granted their votes.
    granted_votes: dict[tuple[int, int], dict[int, None]] = field(default_factory=dict)
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
    """Returns a state in which all gateways have run for long enough to grant votes."""
    state = State(now=10 * SETTINGS.term_ns)
    for gateway in range(count):
        state.terms.append(LeaderTerms(SETTINGS, gateway, count, gateway + 1, 0, ZeroRandom(gateway)))  # type: ignore[arg-type]
        state.clocks.append(state.now)
        state.newest_generations.append(None)
    return state


def possible_actions(state: State) -> list[str]:
    """Returns all actions that are possible in a state."""
    actions, seen = [], []
    for gateway in range(len(state.terms)):
        actions += [f"look {gateway}"]
        if state.terms[gateway].is_leader(state.clocks[gateway]):
            actions.append(f"propose {gateway}")
        if state.crashes < 1:
            actions.append(f"crash {gateway}")
    for k, message in enumerate(state.messages):
        if repr(message) not in seen:
            seen.append(repr(message))
            actions += [f"deliver {k}", f"lose {k}"]
            if len(state.messages) < MAX_MESSAGES:
                actions.append(f"double {k}")
    suspended = [gateway for gateway, clock in enumerate(state.clocks) if clock < state.now]
    return [*actions, "tick", *(f"sleep {gateway}" for gateway in suspended or range(len(state.terms)))]


def apply_action(state: State, action: str) -> None:
    """Applies an action to the state. InvariantError if an invariant does not hold then."""
    kind, *arguments = action.split()
    argument = int(arguments[0]) if arguments else -1
    state.path = (*state.path, action)
    if kind == "look":
        state.terms[argument].update(state.clocks[argument], set(range(len(state.terms))))
        _flush(state, argument)
    elif kind == "propose":
        _propose(state, argument)
    elif kind == "deliver":
        sender, recipient, message = state.messages.pop(argument)
        state.terms[recipient].receive(state.clocks[recipient], sender, message)  # type: ignore[arg-type]
        _flush(state, recipient)
    elif kind == "lose":
        state.messages.pop(argument)
    elif kind == "double":
        state.messages.append(state.messages[argument])
    elif kind == "crash":
        state.crashes += 1
        state.clocks[argument] = state.now
        state.terms[argument] = LeaderTerms(
            SETTINGS,
            argument,
            len(state.terms),
            100 + argument,
            state.now,
            ZeroRandom(argument),  # type: ignore
        )
        state.newest_generations[argument] = None
    else:
        state.now += STEP_NS
        for k in range(len(state.terms)):
            if k != argument:
                state.clocks[k] = state.now
    _check(state)


def _propose(state: State, gateway: int) -> None:
    """Proposes a table that differs for each process and each time, to reveal a generation used twice."""
    terms = state.terms[gateway]
    weights = (terms.process, len(state.tables_by_generation) % 200)
    table = terms.propose(state.clocks[gateway], (weights,), (0,))
    if table is None:
        raise InvariantError(f"gateway {gateway} is the leader but may not propose")
    previous = state.tables_by_generation.setdefault(table.generation, table.weights)
    if previous != table.weights:
        raise InvariantError(f"two different tables of generation {table.generation}")
    for recipient in range(len(state.terms)):
        if recipient != gateway:
            _send(state, (gateway, recipient, table))
    _flush(state, gateway)


def _flush(state: State, gateway: int) -> None:
    for recipient, message in state.terms[gateway].take_messages():
        if isinstance(message, VoteReply) and message.granted:
            state.granted_votes.setdefault((message.term, message.process), {})[gateway] = None
        _send(state, (gateway, recipient, message))


def _send(state: State, message: tuple[int, int, object]) -> None:
    if len(state.messages) < MAX_MESSAGES:
        state.messages.append(message)


def _check(state: State) -> None:
    leaders = [
        gateway
        for gateway, terms in enumerate(state.terms)
        if state.clocks[gateway] == state.now and terms.is_leader(state.now)
    ]
    if len(leaders) > 1:
        raise InvariantError(f"gateways {leaders} are leaders at the same time")
    for gateway in leaders:
        terms = state.terms[gateway]
        granted_count = len(state.granted_votes.get((terms.candidacy.term, terms.process), {})) + (
            gateway in terms.candidacy.votes
        )
        if granted_count < terms.majority:
            raise InvariantError(
                f"gateway {gateway} is the leader with {granted_count} votes of {terms.majority}"
            )
    for gateway, terms in enumerate(state.terms):
        generation = terms.table.generation if terms.table is not None else None
        previous = state.newest_generations[gateway]
        if previous is not None and (generation is None or generation < previous):
            raise InvariantError(f"gateway {gateway} returned from generation {previous} to {generation}")
        if terms.table is not None and state.tables_by_generation.get(generation) != terms.table.weights:
            raise InvariantError(f"gateway {gateway} has a table that no gateway proposed")
        state.newest_generations[gateway] = generation


def settling_error(state: State) -> str:
    """Delivers all messages from now on, with random delays, until all gateways should have one table.

    Returns an error message, or an empty text if they have.
    """
    state.messages = []
    for gateway, terms in enumerate(state.terms):
        terms.rng = random.Random(gateway)
    for _ in range(SETTLE_TICKS):
        apply_action(state, "tick")
        for gateway in range(len(state.terms)):
            apply_action(state, f"look {gateway}")
            while state.messages:
                apply_action(state, "deliver 0")
            if state.terms[gateway].is_leader(state.now):
                table = state.terms[gateway].propose(state.now, ((state.terms[gateway].process, 0),), (0,))
                state.tables_by_generation.setdefault(table.generation, table.weights)
                for recipient in range(len(state.terms)):
                    if recipient != gateway:
                        state.terms[recipient].receive(state.now, gateway, table)
                _check(state)
    generations = {
        terms.current_table(state.now) and terms.current_table(state.now).generation for terms in state.terms
    }
    return (
        ""
        if len(generations) == 1 and None not in generations
        else f"the gateways end with tables {generations}"
    )


def _candidacy_key(candidacy: Candidacy | None, now: int) -> tuple | None:
    if candidacy is None:
        return None
    age_ns = max(-SETTINGS.term_ns, candidacy.requested_ns - now)
    return candidacy.term, age_ns, sorted(candidacy.votes), candidacy.proposed_tables


def _state_key(state: State) -> bytes:
    now, terms_keys = state.now, []
    for gateway, terms in enumerate(state.terms):
        granted, candidacy, renewal = terms.granted_vote, terms.candidacy, terms.renewal
        terms_keys.append(
            (
                state.clocks[gateway] - now,
                terms.process,
                terms.latest_term,
                max(0, terms.no_vote_before_ns - now),
                granted
                and (
                    granted.term,
                    granted.candidate,
                    granted.process,
                    max(-1, granted.binding_until_ns - now),
                ),
                _candidacy_key(candidacy, now),
                _candidacy_key(renewal, now),
                terms.table and terms.table.generation,
                max(-SETTINGS.table_lifetime_ns, terms.table_renewed_ns - now),
                max(0, terms.next_request_ns - now),
            )
        )
    return pickle.dumps(
        (
            terms_keys,
            sorted(map(repr, state.messages)),
            sorted(state.tables_by_generation.items()),
            state.crashes,
        )
    )


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


def opening_state(case: str, opening: str) -> State:
    """Returns the state after an opening; the first elector requests the votes in it."""
    state = initial_state(CASES[case])
    first_elector = state.terms[0].electors[0]
    if OPENINGS[opening] is not None:
        for action in OPENINGS[opening]:
            if action.startswith("look 0"):
                action = f"look {first_elector}"
            if action.split()[0] in ("deliver", "lose") and not state.messages:
                continue
            apply_action(state, action)
        return state
    apply_action(state, f"look {first_elector}")
    while state.messages and not state.terms[first_elector].is_leader(state.now):
        apply_action(state, "deliver 0")
    state.messages = []
    if opening != "a term is held":
        apply_action(state, f"propose {first_elector}")
    if opening == "the holder is stopped":
        apply_action(state, f"sleep {first_elector}")
    elif opening == "the holder crashes":
        apply_action(state, f"crash {first_elector}")
    return state


def search(case: str, depth: int, opening: str, states_to_settle: int = 200) -> SearchResult:
    """Searches all paths of `depth` steps after an opening, and stops at the first violation.

    For about `states_to_settle` of the last states it also checks that the gateways agree on one table.
    """
    result = SearchResult(f"{case}: {opening}", depth)
    try:
        state = opening_state(case, opening)
    except InvariantError as error:
        result.violation = str(error)
        return result
    frontier, known_keys = [pickle.dumps(state)], {_state_key(state): None}
    generations: dict[Generation, None] = {}
    for _ in range(depth):
        next_frontier = []
        for packed in frontier:
            for action in possible_actions(pickle.loads(packed)):
                state = pickle.loads(packed)
                result.steps += 1
                try:
                    apply_action(state, action)
                except InvariantError as error:
                    result.violation = f"{error}: {'; '.join(state.path)}"
                    return result
                generations.update(dict.fromkeys(state.tables_by_generation))
                key = _state_key(state)
                if key not in known_keys:
                    known_keys[key] = None
                    next_frontier.append(pickle.dumps(state))
        frontier = next_frontier
    for packed in frontier[:: max(1, len(frontier) // states_to_settle)] if states_to_settle else ():
        state = pickle.loads(packed)
        try:
            reason = settling_error(state)
        except InvariantError as error:
            reason = str(error)
        if reason:
            result.violation = f"{reason}: {'; '.join(state.path[:depth + 12])}"
            return result
    result.states, result.tables = len(known_keys), len(generations)
    return result


def _search(job: tuple[str, int, str]) -> SearchResult:
    return search(*job)


def search_all(depth: int, jobs: int) -> Iterator[SearchResult]:
    searches = [(case, depth, opening) for case in CASES for opening in OPENINGS]
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(searches))) as pool:
        yield from pool.imap_unordered(_search, searches)
