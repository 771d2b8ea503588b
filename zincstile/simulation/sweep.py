"""Plays many seeds in many processes. The results don't depend on how seeds are assigned to processes."""

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

COLLECT_EVERY: Final = 16  # scenarios between two collections: bounds memory at a low cost


def play(seed: int, rules: tuple[str, ...] = RULE_NAMES) -> Result:
    """Plays the scenario of one seed."""
    return Run(plan.draw(seed), rules=rules).play()


def _begin_worker() -> None:
    """Initializes a worker process: the garbage collector runs between scenarios only.

    Collections during a scenario repeatedly traversed all live objects and took a sixth of the time.
    """
    gc.collect()
    gc.freeze()
    gc.disable()


def _play(rules: tuple[str, ...], seed: int) -> Result:
    if seed % COLLECT_EVERY == 0:
        gc.collect()
    return play(seed, rules)


def play_all(seeds: range, jobs: int, rules: tuple[str, ...] = RULE_NAMES) -> Iterator[Result]:
    """Plays the scenarios of all seeds in `jobs` processes; yields results in the order of the seeds."""
    if jobs == 1 or len(seeds) == 1:
        yield from (play(seed, rules) for seed in seeds)
        return
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds)), _begin_worker) as pool:
        yield from pool.imap(
            partial(_play, rules), seeds, chunksize=max(1, min(16, len(seeds) // (4 * jobs)))
        )


def digest_of(results: list[Result]) -> str:
    """Returns one digest of all results in order, including the rule and step of a broken scenario."""
    digest = hashlib.blake2b(digest_size=8)
    for result in results:
        digest.update(f"{result.seed} {result.digest} {result.line()}\n".encode())
    return digest.hexdigest()
