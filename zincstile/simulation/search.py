"""Every order of a small case: three gateways that lend each other units of two customers' quotas, with
words delivered in any order, lost and doubled, processes that crash and processes that are stopped in
the middle of a turn, up to a depth. No clock, no chance: all that can happen next is tried, and equal
states once.

After each step every customer's quota is looked at in two ways: what has been sent, against the store
that the quota is; and what may still be sent, stores and loans together, against what that store still
holds. The second names a unit that two gateways have before anybody has sent it.
"""

from __future__ import annotations

import multiprocessing
import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..decisions.quota_bounds import Quota
from ..leases.lease_manager import LeaseManager
from ..leases.lease_messages import LeaseGrant, LeaseMessage, LeaseRelease, LeaseRequest
from ..leases.lease_records import PeerState
from ..leases.overshoot_bound import initial_fill_ratio, overshoot_bounds
from ..leases.quota_account import QuotaAccount
from ..leases.settings import MILLISECOND_NS, LeaseSettings

GATEWAYS, CUSTOMERS = 3, 2
FLIGHT = 3  # words on their way at once at most; what would be more is lost
DIGITS = 1e-6
SETTINGS = LeaseSettings(
    lease_ns=400 * MILLISECOND_NS,
    answer_timeout_ns=100 * MILLISECOND_NS,
    max_tick_gap_ns=200 * MILLISECOND_NS,
    tick_interval_ns=100 * MILLISECOND_NS,
    backoff_ns=100 * MILLISECOND_NS,
    max_initial_fill_ratio=1.0,
)
STEP_NS = 150 * MILLISECOND_NS  # a tick: three of them end a loan, two are a sleep
QUOTAS = (Quota("a", 20.0, 6.0, GATEWAYS, 2.0), Quota("b", 2.0, 3.0, 2, 1.0))  # quick to fill, and slow
ROWS = ((0, 1, 2), (1, 2))


class ConstantRandom:
    """In place of chance: the same each time."""

    def __init__(self, number: int) -> None:
        self.number = number

    def random(self) -> float:
        return 0.5

    def getrandbits(self, bits: int) -> int:
        return self.number % 2**bits


@dataclass(slots=True)
class Sent:
    """A word on its way: from whom, by which process."""

    sender: int
    process: int
    word: LeaseMessage


@dataclass(slots=True)
class State:
    """One moment."""

    now: int = 0
    seats: list[LeaseManager] = field(default_factory=list)
    clocks: list[int] = field(default_factory=list)  # what each takes for now: a stopped one's stands
    messages: list[Sent] = field(default_factory=list)
    levels: list[float] = field(default_factory=list)  # of the store that each quota is
    allowed: list[float] = field(default_factory=list)  # below nothing, by crashes and stops
    crashes: int = 0
    processes: int = 0
    path: tuple[str, ...] = ()


class InvariantError(Exception):
    """What may not be: a quota was passed, or could be; two hold one term, or tables differ."""


@dataclass(slots=True)
class SearchResult:
    """What came of a search."""

    depth: int
    opening: str = "nothing"
    states: int = 0
    steps: int = 0
    violation: str = ""
    max_overshoot: float = 0.0  # units beyond a quota, at most
    bound_ratio: float = 0.0


def initial_state() -> State:
    state = State(levels=[q.burst for q in QUOTAS], allowed=[0.0] * CUSTOMERS)
    for me in range(GATEWAYS):
        state.clocks.append(0)
        state.seats.append(_seat(state, me))
    return state


def _seat(state: State, me: int) -> LeaseManager:
    state.processes += 1
    made = LeaseManager(SETTINGS, me, state.processes, state.now, ConstantRandom(1000 * state.processes))  # type: ignore
    for c in range(CUSTOMERS):
        if me in ROWS[c]:
            _account(made, state.now, c)
    return made


def _account(leases: LeaseManager, now: int, c: int) -> QuotaAccount:
    return leases.account(now, c + 1, c, QUOTAS[c], ROWS[c])


def possible_actions(state: State) -> list[str]:
    """All that can happen next."""
    found = [f"try {g} {c}" for c in range(CUSTOMERS) for g in ROWS[c]]
    seen: list[str] = []
    for k, one in enumerate(state.messages):
        key = repr((one.sender, one.process, one.word))
        if key in seen:
            continue
        seen.append(key)
        found += [f"deliver {k}", f"lose {k}"]
        if len(state.messages) < FLIGHT:
            found.append(f"double {k}")
    found += ["tick", "pass"]
    found += [f"crash {g}" for g in range(GATEWAYS) if state.crashes < 1]
    asleep = [g for g in range(GATEWAYS) if state.clocks[g] < state.now]
    found += [f"sleep {g}" for g in asleep or range(GATEWAYS)]
    return found


def apply_action(state: State, action: str) -> None:
    """Carries it out. Broken where a quota was passed by it."""
    what, *args = action.split()
    numbers = [int(a) for a in args]
    state.path = (*state.path, action)
    if what == "try":
        _try(state, *numbers)
    elif what == "deliver":
        _deliver(state, state.messages.pop(numbers[0]))
    elif what == "lose":
        state.messages.pop(numbers[0])
    elif what == "double":
        state.messages.append(state.messages[numbers[0]])
    elif what == "crash":
        _crash(state, numbers[0])
    else:
        _tick(state, numbers[0] if numbers else -1, look=what != "pass")
    _check(state)


def _flush(state: State, g: int) -> None:
    for word in state.seats[g].drain_messages():
        if len(state.messages) < FLIGHT:
            state.messages.append(Sent(g, state.seats[g].state.process, word))


def _try(state: State, g: int, c: int) -> None:
    leases, now = state.seats[g], state.clocks[g]
    units, account = QUOTAS[c].max_request_units, _account(leases, now, c)
    borrowed = account.leased_units()
    if leases.reserve(now, account, units):
        state.levels[c] -= units
        if now < state.now:  # stopped between decision and sending: what it borrowed may be lent anew by now
            state.allowed[c] += max(0.0, borrowed - account.leased_units())
    else:
        leases.lessee.request_missing(now, account, units)
    _flush(state, g)


def _deliver(state: State, one: Sent) -> None:
    word = one.word
    leases, now = state.seats[word.recipient], state.clocks[word.recipient]
    if isinstance(word, LeaseRequest):
        account = _account(leases, now, word.customer - 1)
        leases.lessor.on_request(now, one.sender, one.process, word, account)
    elif isinstance(word, LeaseGrant):
        leases.lessee.on_grant(now, one.sender, one.process, word)
    elif isinstance(word, LeaseRelease):
        leases.lessor.on_release(now, one.sender, one.process, word)
    _flush(state, word.recipient)


def _tick(state: State, asleep: int, look: bool) -> None:
    """Time passes; a process that sleeps takes its old time for now until it wakes. Without a look: its
    timers come after whatever comes next."""
    state.now += STEP_NS
    for c, quota in enumerate(QUOTAS):
        state.levels[c] = min(quota.burst, state.levels[c] + quota.rate * STEP_NS / 1e9)
    for g, leases in enumerate(state.seats):
        if g == asleep:
            if state.clocks[g] == state.now - STEP_NS:  # its sleep begins
                for c in range(CUSTOMERS):
                    if g in ROWS[c]:
                        state.allowed[c] += QUOTAS[c].rate / len(ROWS[c]) * SETTINGS.max_tick_gap_ns / 1e9
            continue
        state.clocks[g] = state.now
        if look:
            leases.tick(state.now)
            _flush(state, g)


def _crash(state: State, g: int) -> None:
    state.crashes += 1
    state.clocks[g] = state.now
    state.seats[g] = _seat(state, g)
    for c, quota in enumerate(QUOTAS):
        if g in ROWS[c]:
            state.allowed[c] += initial_fill_ratio(quota, SETTINGS) * quota.burst / len(ROWS[c])


def _check(state: State) -> None:
    awake = all(c == state.now for c in state.clocks)
    for c in range(CUSTOMERS):
        if state.levels[c] < -state.allowed[c] - DIGITS:
            raise InvariantError(
                f"customer {c}: {-state.levels[c]:.3f} units beyond the quota, "
                f"{state.allowed[c]:.3f} allowed"
            )
        held = 0.0
        for g, leases in enumerate(state.seats):
            account = leases.accounts.get(c + 1)
            if account is not None:
                held += leases.available_units(state.clocks[g], account)
        if awake and held > state.levels[c] + state.allowed[c] + DIGITS:
            raise InvariantError(
                f"customer {c}: stores and loans hold {held:.3f}, the quota {state.levels[c]:.3f}, "
                f"{state.allowed[c]:.3f} allowed"
            )


def _account_key(account: QuotaAccount, at: int, now: int) -> tuple[object, ...]:
    return (
        account.customer,
        round(account.own_units, 6),
        round(account.leased_out_units, 6),
        [(x.lessor, x.process, x.request_id, round(x.units, 6), x.end_ns - now) for x in account.leases],
        [
            (k, x.request.recipient, x.request.units, x.requested_ns - now, x.sends, x.overdue)
            for k, x in account.pending.items()
        ],
        [
            (holder, round(x.units, 6), round(x.gain_per_s, 6), max(-(10**9), x.observed_ns - now))
            for holder, x in account.availability.items()
        ],
        [(k, round(x.units, 6), x.granted_ns - now, x.active) for k, x in account.granted_leases.items()],
        round(account.batch_leased_units, 6) if account.batch_ns == at else 0,
    )


def _peer_key(number: int, peer: PeerState, now: int) -> tuple[object, ...]:
    return (
        number,
        peer.process,
        peer.last_answer,
        max(-1, peer.backoff_until_ns - now),
        peer.backoff_ns,
        peer.overdue_requests,
        peer.answers_sent,
        [(grant.answer_number, grant.sent_ns - now) for grant in peer.unconfirmed],
    )


def _state_key(state: State) -> bytes:
    """Equal for states from which the same can happen."""
    now = state.now
    seats = []
    for g, leases in enumerate(state.seats):
        at = state.clocks[g]
        accounts = [_account_key(account, at, now) for account in leases.accounts.values()]
        peers = [_peer_key(number, peer, now) for number, peer in leases.state.peers.items()]
        seats.append(
            (
                leases.state.process,
                at - now,
                accounts,
                peers,
                leases.lessee.last_request_id,
                [(x.recipient, x.request_id, x.unused_units) for x in leases.state.outbox.releases],
            )
        )
    words = sorted(repr((w.sender, w.process, w.word)) for w in state.messages)
    return pickle.dumps(
        (
            seats,
            words,
            [round(x, 6) for x in state.levels],
            [round(x, 6) for x in state.allowed],
            state.crashes,
        )
    )


ASKED = ("try 0 0", "try 0 0")  # the own part is spent, and a loan asked for
OPENINGS = {
    "nothing": (),
    "an ask on its way": (*ASKED,),
    "a grant on its way": (*ASKED, "deliver 0"),
    "a grant that came twice": (*ASKED, "deliver 0", "double 0", "deliver 0"),
    "a loan in hand": (*ASKED, "deliver 0", "deliver 0"),
    "a borrower that starts anew": (*ASKED, "deliver 0", "crash 0"),
    "a loan in hand, its lender stopped": (*ASKED, "deliver 0", "deliver 0", "sleep 1"),
    "a gateway long stopped": ("sleep 1", "sleep 1", "sleep 1"),
    "a loan at its end, and no timer yet": (*ASKED, "deliver 0", "deliver 0", "pass", "pass", "pass"),
    "a loan about to end": (*ASKED, "deliver 0", "deliver 0", "tick", "tick"),
    "a grant that came late": (*ASKED, "deliver 0", "tick", "tick", "deliver 0"),
    "a loan given back, on its way": (*ASKED, "deliver 0", "deliver 0", "tick", "tick", "tick"),
}


def search(depth: int, opening: str = "nothing", first: str = "") -> SearchResult:
    """All paths of so many steps after an opening, beginning with `first` where that is named. It ends at the
    first that breaks."""
    found, state = SearchResult(depth, opening), initial_state()
    try:
        for action in (*OPENINGS[opening], *([first] if first else [])):
            apply_action(state, action)
    except InvariantError as broken:
        found.violation = f"{broken}: {'; '.join(state.path)}"
        return found
    level, known = [pickle.dumps(state)], {_state_key(state): None}
    worst = [max(b.units for b in overshoot_bounds(q, SETTINGS)) for q in QUOTAS]
    for _ in range(depth - bool(first)):
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
                for c, lowest in enumerate(state.levels):
                    found.max_overshoot = max(found.max_overshoot, -lowest)
                    found.bound_ratio = max(found.bound_ratio, -lowest / worst[c])
                key = _state_key(state)
                if key not in known:
                    known[key] = None
                    following.append(pickle.dumps(state))
        level = following
    found.states = len(known)
    return found


def _search(job: tuple[int, str, str]) -> SearchResult:
    return search(*job)


def firsts(opening: str) -> list[str]:
    """What can happen right after an opening."""
    state = initial_state()
    for action in OPENINGS[opening]:
        apply_action(state, action)
    return possible_actions(state)


def search_all(depth: int, jobs: int) -> Iterator[SearchResult]:
    """Every opening, one search for each first step after it, over many processes. States that are reached by
    several first steps are counted for each."""
    chosen = [(depth, name, first) for name in OPENINGS for first in firsts(name)]
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(chosen))) as pool:
        yield from pool.imap_unordered(_search, chosen)
