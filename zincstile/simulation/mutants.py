"""Deliberate faults of the gateway (mutants): the right rule must detect each within a number of seeds.

A mutant that no seed detects is a gap in the scenarios or in the checkers. `find_violation` plays seed after
seed with one fault injected into the code of this process; `try_all` does so for many, each in a separate
worker process.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from . import mutants_decisions as decisions
from . import mutants_network as network
from . import plan
from .mutation import Inject, Undo, undo_all
from .run import Run


@dataclass(slots=True)
class MutantResult:
    """The result for one mutant: the rule that detected it, and the number of seeds; None: not detected."""

    name: str
    rule: str
    seeds: int | None
    seed: int | None = None


@dataclass(slots=True)
class Mutant:
    """A fault, and the rules that may detect it."""

    rules: tuple[str, ...]
    inject: Inject


def without_invariant_checks(inject: Inject) -> Inject:
    """Returns the same fault with the gateway's own invariant checks disabled."""

    def inject_without_checks() -> Undo:
        return undo_all(inject(), network.invariant_guard_off())

    return inject_without_checks


MUTANTS: Final[dict[str, Mutant]] = {
    "withdrawal-left-out": Mutant(
        ("drain",), without_invariant_checks(network.queued_attempts_not_withdrawn)
    ),
    "drain-unseen": Mutant(("drain",), network.draining_taken_for_ready),
    "watch-trusted": Mutant(("drain",), network.silent_watch_kept),
    "two-answers": Mutant(("answer",), network.two_answers),
    "answers-out-of-order": Mutant(("answer", "value"), network.answers_out_of_order),
    "key-to-any-rack": Mutant(("repeat",), without_invariant_checks(decisions.keyed_retry_in_any_group)),
    "repeats-all": Mutant(("repeat",), without_invariant_checks(decisions.everything_retried)),
    "key-forgets-its-rack": Mutant(
        ("repeat",), without_invariant_checks(decisions.deduplication_window_forgotten)
    ),
    "reset-never-ran": Mutant(("repeat",), without_invariant_checks(network.reset_taken_for_not_run)),
    "copies-all": Mutant(("repeat",), without_invariant_checks(decisions.everything_hedged)),
    "cold-unlimited": Mutant(("cold",), decisions.cold_endpoints_unlimited),
    "cold-unseen": Mutant(("cold",), decisions.cold_taken_for_warm),
    "ceiling-ignored": Mutant(("ceiling",), decisions.ceiling_not_divided),
    "give-up-late": Mutant(("answer", "deadline"), network.client_timeout_too_long),
    "give-up-one-off": Mutant(("answer", "deadline"), network.client_timeout_of_previous_request),
    "deadlines-off": Mutant(("answer",), network.deadlines_ignored),
    "never-rests": Mutant(("progress",), network.dispatcher_never_idle),
    "deadline-lost": Mutant(("answer", "resources"), network.simultaneous_deadline_lost),
    "connection-reused-dirty": Mutant(("value", "resources"), network.connection_reused_with_unread_bytes),
    "kept-after-timeout": Mutant(("value", "resources"), network.connection_reused_after_timeout),
    "stop-at-once": Mutant(("answer",), without_invariant_checks(network.shutdown_at_once)),
    "stop-forgets": Mutant(("answer",), network.shutdown_closes_with_answers_owed),
    "read-before-end-dropped": Mutant(("answer",), network.input_before_end_dropped),
    "read-after-end-sent-on": Mutant(("answer",), network.input_after_end_forwarded),
    "ids-leak": Mutant(("resources",), network.request_ids_leak),
    "connections-leak": Mutant(("resources",), network.backend_connections_leak),
    "attempts-leak": Mutant(("resources",), network.cancelled_attempts_leak),
    "key-lost": Mutant(("foreign",), network.idempotency_key_lost),
    "any-answer-served": Mutant(("value",), network.malformed_answer_served),
    "sent-on-for-nobody": Mutant(("left",), without_invariant_checks(network.forwarded_after_client_left)),
    "time-not-counted": Mutant(("deadline",), network.elapsed_time_not_subtracted),
    "checked-withdrawal": Mutant(("invariant",), network.queued_attempts_not_withdrawn),
    "checked-send": Mutant(("invariant",), network.forwarded_after_client_left),
    "checked-repeat": Mutant(("invariant",), decisions.everything_hedged),
    "checked-close": Mutant(("invariant",), network.shutdown_closes_without_guard),
    "checked-end": Mutant(("invariant",), network.shutdown_at_once),
    "checked-start": Mutant(("invariant",), network.ready_without_endpoints),
    "outcome-not-borne": Mutant(("resources",), decisions.late_outcome_fails),
}


def find_violation(name: str, max_seeds: int, first_seed: int = 1) -> MutantResult:
    """Plays seeds from `first_seed` on until one breaks a rule of the mutant."""
    mutant = MUTANTS[name]
    undo = mutant.inject()
    try:
        for count, seed in enumerate(range(first_seed, first_seed + max_seeds), 1):
            breach = Run(plan.draw(seed)).play().breach
            if breach is not None and breach.rule in mutant.rules:
                return MutantResult(name, breach.rule, count, seed)
    finally:
        undo()
    return MutantResult(name, "", None)


def _find_violation(job: tuple[str, int]) -> MutantResult:
    return find_violation(*job)


def try_all(names: tuple[str, ...], max_seeds: int, jobs: int) -> Iterator[MutantResult]:
    """Tries each of the named mutants; yields results in the order of the names."""
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(names))) as pool:
        yield from pool.imap(_find_violation, [(name, max_seeds) for name in names])
