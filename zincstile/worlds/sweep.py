"""Many seeds over many processes. The outcome doesn't depend on how they were shared out."""

from __future__ import annotations

import hashlib
import multiprocessing
from collections.abc import Iterator

from . import plan
from .world import Result, Run


def play(seed: int) -> Result:
    """The world of one seed."""
    return Run(plan.draw(seed)).play()


def play_all(seeds: range, jobs: int) -> Iterator[Result]:
    """In the order of the seeds."""
    if jobs == 1 or len(seeds) == 1:
        yield from map(play, seeds)
        return
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds))) as pool:
        yield from pool.imap(play, seeds, chunksize=max(1, min(16, len(seeds) // (4 * jobs))))


def digest_of(results: list[Result]) -> str:
    """Of all digests in order; a broken world's rule and step are in it too."""
    found = hashlib.blake2b(digest_size=8)
    for result in results:
        found.update(f"{result.seed} {result.digest} {result.line()}\n".encode())
    return found.hexdigest()
