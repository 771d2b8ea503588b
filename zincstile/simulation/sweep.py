"""Many seeds over many processes. The outcome doesn't depend on how they were shared out."""

from __future__ import annotations

import gc
import hashlib
import multiprocessing
from collections.abc import Iterator
from functools import partial

from ..checkers.rules import RULE_NAMES
from . import plan
from .run import Result, Run

EVERY = 16  # worlds between two collections


def play(seed: int, rules: tuple[str, ...] = RULE_NAMES) -> Result:
    """The world of one seed."""
    return Run(plan.draw(seed), rules=rules).play()


def _begin() -> None:
    """A worker's start: what stands by now stays, and the collector runs between worlds only. In the middle
    of them it looked at all that lives again and again, a sixth of the time."""
    gc.collect()
    gc.freeze()
    gc.disable()


def _play(rules: tuple[str, ...], seed: int) -> Result:
    if seed % EVERY == 0:
        gc.collect()
    return play(seed, rules)


def play_all(seeds: range, jobs: int, rules: tuple[str, ...] = RULE_NAMES) -> Iterator[Result]:
    """In the order of the seeds."""
    if jobs == 1 or len(seeds) == 1:
        yield from (play(seed, rules) for seed in seeds)
        return
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds)), _begin) as pool:
        yield from pool.imap(
            partial(_play, rules), seeds, chunksize=max(1, min(16, len(seeds) // (4 * jobs)))
        )


def digest_of(results: list[Result]) -> str:
    """Of all digests in order; a broken world's rule and step are in it too."""
    found = hashlib.blake2b(digest_size=8)
    for result in results:
        found.update(f"{result.seed} {result.digest} {result.line()}\n".encode())
    return found.hexdigest()
