"""Exhaustive search over a small model of leases: three gateways and the quotas of two customers.

Tries every possible sequence of actions up to a depth: messages are delivered in any order, lost and
duplicated, processes crash, and processes are suspended between a decision and its sending. There is neither
a clock nor randomness. Equal states are expanded once.

After each step two invariants are checked for every customer. The units sent must not exceed an ideal token
bucket of the quota. The units that gateways may still send, from their token buckets and leases, must not
exceed the level of that bucket. The second invariant reveals a unit with two owners before it is sent.
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
MAX_MESSAGES = 3  # messages in flight; further ones are lost
TOLERANCE_UNITS = 1e-6
SETTINGS = LeaseSettings(
    lease_ns=400 * MILLISECOND_NS,
    answer_timeout_ns=100 * MILLISECOND_NS,
    max_tick_gap_ns=200 * MILLISECOND_NS,
    tick_interval_ns=100 * MILLISECOND_NS,
    backoff_ns=100 * MILLISECOND_NS,
    max_initial_fill_ratio=1.0,
)
STEP_NS = 150 * MILLISECOND_NS  # length of a tick: three ticks end a lease, two count as a suspension
# One quota that fills fast, and one that fills slowly.
QUOTAS = (Quota("a", 20.0, 6.0, GATEWAYS, 2.0), Quota("b", 2.0, 3.0, 2, 1.0))
CUSTOMER_GATEWAYS = ((0, 1, 2), (1, 2))


class ConstantRandom:
    """Replaces a random generator by one that returns constants."""

    def __init__(self, number: int) -> None:
        self.number = number

    def random(self) -> float:
        return 0.5

    def getrandbits(self, bits: int) -> int:
        return self.number % 2**bits


@dataclass(slots=True)
class MessageInFlight:
    """A message in flight, with its sender and the sender's process."""

    sender: int
    process: int
    message: LeaseMessage


@dataclass(slots=True)
class State:
    """A state of the model."""

    now: int = 0
    managers: list[LeaseManager] = field(default_factory=list)
    clocks: list[int] = field(default_factory=list)  # by gateway; stops while the gateway is suspended
    messages: list[MessageInFlight] = field(default_factory=list)
    levels: list[float] = field(default_factory=list)  # of each customer's ideal token bucket
    # How far below 0 crashes and suspensions may bring each level.
    allowed_overshoot: list[float] = field(default_factory=list)
    crashes: int = 0
    processes: int = 0
    path: tuple[str, ...] = ()


class InvariantError(Exception):
    """An invariant does not hold in a state of the model."""


@dataclass(slots=True)
class SearchResult:
    """Result of a search."""

    depth: int
    opening: str = "nothing"
    states: int = 0
    steps: int = 0
    violation: str = ""
    max_overshoot: float = 0.0  # units beyond a quota
    bound_ratio: float = 0.0


def initial_state() -> State:
    state = State(levels=[q.burst for q in QUOTAS], allowed_overshoot=[0.0] * CUSTOMERS)
    for gateway in range(GATEWAYS):
        state.clocks.append(0)
        state.managers.append(_new_manager(state, gateway))
    return state


def _new_manager(state: State, gateway: int) -> LeaseManager:
    state.processes += 1
    manager = LeaseManager(
        SETTINGS,
        gateway,
        state.processes,
        state.now,
        ConstantRandom(1000 * state.processes),  # type: ignore
    )
    for customer in range(CUSTOMERS):
        if gateway in CUSTOMER_GATEWAYS[customer]:
            _account(manager, state.now, customer)
    return manager


def _account(leases: LeaseManager, now: int, customer: int) -> QuotaAccount:
    return leases.account(now, customer + 1, customer, QUOTAS[customer], CUSTOMER_GATEWAYS[customer])


def possible_actions(state: State) -> list[str]:
    """Returns all actions that are possible in a state."""
    actions = [
        f"try {gateway} {customer}"
        for customer in range(CUSTOMERS)
        for gateway in CUSTOMER_GATEWAYS[customer]
    ]
    seen: list[str] = []
    for k, in_flight in enumerate(state.messages):
        key = repr((in_flight.sender, in_flight.process, in_flight.message))
        if key in seen:
            continue
        seen.append(key)
        actions += [f"deliver {k}", f"lose {k}"]
        if len(state.messages) < MAX_MESSAGES:
            actions.append(f"double {k}")
    actions += ["tick", "pass"]
    actions += [f"crash {gateway}" for gateway in range(GATEWAYS) if state.crashes < 1]
    suspended = [gateway for gateway in range(GATEWAYS) if state.clocks[gateway] < state.now]
    actions += [f"sleep {gateway}" for gateway in suspended or range(GATEWAYS)]
    return actions


def apply_action(state: State, action: str) -> None:
    """Applies an action to the state. InvariantError if the result exceeds a quota, or may exceed it."""
    kind, *arguments_text = action.split()
    arguments = [int(a) for a in arguments_text]
    state.path = (*state.path, action)
    if kind == "try":
        _try(state, *arguments)
    elif kind == "deliver":
        _deliver(state, state.messages.pop(arguments[0]))
    elif kind == "lose":
        state.messages.pop(arguments[0])
    elif kind == "double":
        state.messages.append(state.messages[arguments[0]])
    elif kind == "crash":
        _crash(state, arguments[0])
    else:
        _tick(state, arguments[0] if arguments else -1, run_timers=kind != "pass")
    _check(state)


def _flush(state: State, gateway: int) -> None:
    for message in state.managers[gateway].drain_messages():
        if len(state.messages) < MAX_MESSAGES:
            state.messages.append(MessageInFlight(gateway, state.managers[gateway].state.process, message))


def _try(state: State, gateway: int, customer: int) -> None:
    leases, now = state.managers[gateway], state.clocks[gateway]
    units, account = QUOTAS[customer].max_request_units, _account(leases, now, customer)
    leased_units = account.leased_units()
    if leases.reserve(now, account, units):
        state.levels[customer] -= units
        # Suspended between decision and sending: the lessor may have leased the units again by now.
        if now < state.now:
            state.allowed_overshoot[customer] += max(0.0, leased_units - account.leased_units())
    else:
        leases.lessee.request_missing(now, account, units)
    _flush(state, gateway)


def _deliver(state: State, in_flight: MessageInFlight) -> None:
    message = in_flight.message
    leases, now = state.managers[message.recipient], state.clocks[message.recipient]
    if isinstance(message, LeaseRequest):
        account = _account(leases, now, message.customer - 1)
        leases.lessor.on_request(now, in_flight.sender, in_flight.process, message, account)
    elif isinstance(message, LeaseGrant):
        leases.lessee.on_grant(now, in_flight.sender, in_flight.process, message)
    elif isinstance(message, LeaseRelease):
        leases.lessor.on_release(now, in_flight.sender, in_flight.process, message)
    _flush(state, message.recipient)


def _tick(state: State, suspended: int, run_timers: bool) -> None:
    """Advances the time by one tick, except for a suspended process, which keeps its old time.

    If `run_timers` is false, the timers of this tick are delayed until after the next action.
    """
    state.now += STEP_NS
    for customer, quota in enumerate(QUOTAS):
        state.levels[customer] = min(quota.burst, state.levels[customer] + quota.rate * STEP_NS / 1e9)
    for gateway, leases in enumerate(state.managers):
        if gateway == suspended:
            if state.clocks[gateway] == state.now - STEP_NS:  # the suspension begins
                for customer in range(CUSTOMERS):
                    if gateway in CUSTOMER_GATEWAYS[customer]:
                        state.allowed_overshoot[customer] += (
                            QUOTAS[customer].rate
                            / len(CUSTOMER_GATEWAYS[customer])
                            * SETTINGS.max_tick_gap_ns
                            / 1e9
                        )
            continue
        state.clocks[gateway] = state.now
        if run_timers:
            leases.tick(state.now)
            _flush(state, gateway)


def _crash(state: State, gateway: int) -> None:
    state.crashes += 1
    state.clocks[gateway] = state.now
    state.managers[gateway] = _new_manager(state, gateway)
    for customer, quota in enumerate(QUOTAS):
        if gateway in CUSTOMER_GATEWAYS[customer]:
            state.allowed_overshoot[customer] += (
                initial_fill_ratio(quota, SETTINGS) * quota.burst / len(CUSTOMER_GATEWAYS[customer])
            )


def _check(state: State) -> None:
    none_suspended = all(clock == state.now for clock in state.clocks)
    for customer in range(CUSTOMERS):
        if state.levels[customer] < -state.allowed_overshoot[customer] - TOLERANCE_UNITS:
            raise InvariantError(
                f"customer {customer}: {-state.levels[customer]:.3f} units beyond the quota, "
                f"{state.allowed_overshoot[customer]:.3f} allowed"
            )
        available_units = 0.0
        for gateway, leases in enumerate(state.managers):
            account = leases.accounts.get(customer + 1)
            if account is not None:
                available_units += leases.available_units(state.clocks[gateway], account)
        if (
            none_suspended
            and available_units > state.levels[customer] + state.allowed_overshoot[customer] + TOLERANCE_UNITS
        ):
            raise InvariantError(
                f"customer {customer}: buckets and leases hold {available_units:.3f}, "
                f"the quota {state.levels[customer]:.3f}, "
                f"{state.allowed_overshoot[customer]:.3f} allowed"
            )


def _account_key(account: QuotaAccount, clock: int, now: int) -> tuple[object, ...]:
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
        round(account.batch_leased_units, 6) if account.batch_ns == clock else 0,
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
    """Returns a key that is equal for states with the same future."""
    now = state.now
    manager_keys = []
    for gateway, leases in enumerate(state.managers):
        clock = state.clocks[gateway]
        accounts = [_account_key(account, clock, now) for account in leases.accounts.values()]
        peers = [_peer_key(number, peer, now) for number, peer in leases.state.peers.items()]
        manager_keys.append(
            (
                leases.state.process,
                clock - now,
                accounts,
                peers,
                leases.lessee.last_request_id,
                [(x.recipient, x.request_id, x.unused_units) for x in leases.state.outbox.releases],
            )
        )
    message_keys = sorted(repr((w.sender, w.process, w.message)) for w in state.messages)
    return pickle.dumps(
        (
            manager_keys,
            message_keys,
            [round(x, 6) for x in state.levels],
            [round(x, 6) for x in state.allowed_overshoot],
            state.crashes,
        )
    )


LEASE_REQUESTED = ("try 0 0", "try 0 0")  # spends the gateway's own part, then requests a lease
OPENINGS = {
    "nothing": (),
    "an ask on its way": (*LEASE_REQUESTED,),
    "a grant on its way": (*LEASE_REQUESTED, "deliver 0"),
    "a grant that came twice": (*LEASE_REQUESTED, "deliver 0", "double 0", "deliver 0"),
    "a loan in hand": (*LEASE_REQUESTED, "deliver 0", "deliver 0"),
    "a borrower that starts anew": (*LEASE_REQUESTED, "deliver 0", "crash 0"),
    "a loan in hand, its lender stopped": (*LEASE_REQUESTED, "deliver 0", "deliver 0", "sleep 1"),
    "a gateway long stopped": ("sleep 1", "sleep 1", "sleep 1"),
    "a loan at its end, and no timer yet": (
        *LEASE_REQUESTED,
        "deliver 0",
        "deliver 0",
        "pass",
        "pass",
        "pass",
    ),
    "a loan about to end": (*LEASE_REQUESTED, "deliver 0", "deliver 0", "tick", "tick"),
    "a grant that came late": (*LEASE_REQUESTED, "deliver 0", "tick", "tick", "deliver 0"),
    "a loan given back, on its way": (*LEASE_REQUESTED, "deliver 0", "deliver 0", "tick", "tick", "tick"),
}


def search(depth: int, opening: str = "nothing", first_action: str = "") -> SearchResult:
    """Searches all paths of `depth` steps after an opening, and stops at the first violation.

    If `first_action` is given, only paths that begin with it are searched.
    """
    result, state = SearchResult(depth, opening), initial_state()
    try:
        for action in (*OPENINGS[opening], *([first_action] if first_action else [])):
            apply_action(state, action)
    except InvariantError as error:
        result.violation = f"{error}: {'; '.join(state.path)}"
        return result
    frontier, known_keys = [pickle.dumps(state)], {_state_key(state): None}
    bounds = [max(b.units for b in overshoot_bounds(q, SETTINGS)) for q in QUOTAS]
    for _ in range(depth - bool(first_action)):
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
                for customer, level in enumerate(state.levels):
                    result.max_overshoot = max(result.max_overshoot, -level)
                    result.bound_ratio = max(result.bound_ratio, -level / bounds[customer])
                key = _state_key(state)
                if key not in known_keys:
                    known_keys[key] = None
                    next_frontier.append(pickle.dumps(state))
        frontier = next_frontier
    result.states = len(known_keys)
    return result


def _search(job: tuple[int, str, str]) -> SearchResult:
    return search(*job)


def first_actions(opening: str) -> list[str]:
    """Returns the actions that are possible right after an opening."""
    state = initial_state()
    for action in OPENINGS[opening]:
        apply_action(state, action)
    return possible_actions(state)


def search_all(depth: int, jobs: int) -> Iterator[SearchResult]:
    """Searches from every opening in parallel, with one search for each first action after it.

    A state that is reached by several first actions is counted for each of them.
    """
    searches = [(depth, name, first_action) for name in OPENINGS for first_action in first_actions(name)]
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(searches))) as pool:
        yield from pool.imap_unordered(_search, searches)
