"""Many seeds over many processes. The outcome doesn't depend on how they were shared out."""

from __future__ import annotations

import gc
import hashlib
import multiprocessing
from collections.abc import Iterator
from functools import partial
from typing import Final

from ..checkers.rules import RULE_NAMES
from . import plan
from .run import Result, Run

COLLECT_EVERY: Final = 16  # scenarios between two collections: memory stays small, and they cost little


def play(seed: int, rules: tuple[str, ...] = RULE_NAMES) -> Result:
    """Plays the scenario of one seed."""
    return Run(plan.draw(seed), rules=rules).play()


def _begin_worker() -> None:
    """Begins a worker: the garbage collector runs between scenarios only.

    In the middle of one it examined everything that is alive again and again, for a sixth of the time.
    """
    gc.collect()
    gc.freeze()
    gc.disable()


def _play(rules: tuple[str, ...], seed: int) -> Result:
    if seed % COLLECT_EVERY == 0:
        gc.collect()
    return play(seed, rules)


def play_all(seeds: range, jobs: int, rules: tuple[str, ...] = RULE_NAMES) -> Iterator[Result]:
    """Plays the scenarios of all seeds, over that many processes; results come in the order of the seeds."""
    if jobs == 1 or len(seeds) == 1:
        yield from (play(seed, rules) for seed in seeds)
        return
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds)), _begin_worker) as pool:
        yield from pool.imap(
            partial(_play, rules), seeds, chunksize=max(1, min(16, len(seeds) // (4 * jobs)))
        )


def digest_of(results: list[Result]) -> str:
    """One digest of all results in order; the rule and step of a broken scenario are in it too."""
    found = hashlib.blake2b(digest_size=8)
    for result in results:
        found.update(f"{result.seed} {result.digest} {result.line()}\n".encode())
    return found.hexdigest()
