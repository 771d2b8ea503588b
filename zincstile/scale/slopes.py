"""`scale slopes`: many points over dimensions, sizes, repeats, kinds and programs, in a shuffled order.

Every point has its processes for itself. The programs that are compared are measured one after the other at
each size and repeat, in an order drawn anew, so that what else the machine does falls on all of them alike.
"""

from __future__ import annotations

import multiprocessing
import multiprocessing.connection
import os
import platform
import random
import signal
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Final

from ..serialization.errors import FileError
from ..testbed.programs import ROOT
from .point import Point, measure
from .records import Dimension, Kind, Machine, Sample, SlopeResult
from .subjects import SubjectError
from .topology import Topology

# Five sizes each over two decades, up to the expected fleet or past it.
SIZES: Final = {
    Dimension.BACKENDS: (320, 1000, 3200, 10_000, 32_000),
    Dimension.GATEWAYS: (21, 66, 210, 664, 2100),
    Dimension.TENANTS: (64, 200, 640, 2000, 6400),
    Dimension.REQUESTS_PER_S: (5, 16, 50, 158, 500),
    Dimension.TABLE_CHANGES_PER_S: (0.5, 1.6, 5, 16, 50),
    Dimension.CONFIG_CHANGES_PER_S: (0.2, 0.63, 2, 6.3, 20),
}
HELD: Final = {
    Dimension.BACKENDS: 1000.0,
    Dimension.GATEWAYS: 210.0,
    Dimension.TENANTS: 123.0,
    Dimension.REQUESTS_PER_S: 20.0,
    Dimension.TABLE_CHANGES_PER_S: 5.0,
    Dimension.CONFIG_CHANGES_PER_S: 1.0,
}
WITHOUT_CLIENTS: Final = (Dimension.REQUESTS_PER_S,)  # what hollow gateways can't play
HOLLOW_BACKENDS: Final = (
    40_000  # entries in all tables of one hollow process: a core has to carry its changes
)
HOLLOW_MOST: Final = 4
POINTS_OF_WORKER: Final = 8  # then another process takes over, with a heap of its own


@dataclass(frozen=True)
class Program:
    """A measured tree."""

    label: str
    tree: Path


@dataclass(frozen=True)
class Feature:
    """A file that switches a feature on, relative to the measured tree; for one program or for all."""

    name: str
    path: str
    program: str | None = None


@dataclass
class Settings:
    """What `scale slopes` was asked for."""

    fleet: Topology
    dimensions: list[Dimension]
    sizes: dict[Dimension, list[float]]
    programs: list[Program]
    kinds: list[Kind] = field(default_factory=lambda: list(Kind))
    held: dict[Dimension, float] = field(default_factory=lambda: dict(HELD))
    features: list[Feature] = field(default_factory=list)
    repeats: int = 3
    seed: int = 1
    jobs: int = 3
    window_s: float = 3.0
    mass_failure: bool = False  # also, over backends: a zone lost at once


def program(text: str) -> Program:
    """`LABEL=DIR`. FileError where the folder has no sources of the program."""
    label, equals, folder = text.partition("=")
    tree = Path(folder).resolve()
    if not equals or not label.replace("-", "").replace("_", "").isalnum():
        raise FileError(f"--program {text}: not LABEL=DIR")
    if not (tree / "zincstile" / "__main__.py").is_file():
        raise FileError(f"--program {text}: {folder}: no sources of the program (zincstile/__main__.py)")
    return Program(label, tree)


def feature(text: str, programs: list[Program]) -> Feature:
    """`[LABEL:]NAME=FILE`. FileError where a tree that it is for has no such file."""
    label_and_name, equals, path = text.partition("=")
    label, colon, name = label_and_name.rpartition(":")
    if not equals or not name or not path:
        raise FileError(f"--feature {text}: not [LABEL:]NAME=FILE")
    chosen = [p for p in programs if not colon or p.label == label]
    if not chosen:
        raise FileError(f"--feature {text}: no program is called {label}")
    for one in chosen:
        if not (one.tree / path).is_file():
            raise FileError(f"--feature {text}: {path}: no such file in {one.label}")
    return Feature(name, path, label if colon else None)


def points(settings: Settings) -> list[Point]:
    """All points in the order in which they are begun."""
    rng = random.Random(f"slopes {settings.seed}")
    groups = [
        (dimension, size, kind, repeat)
        for dimension in settings.dimensions
        for size in settings.sizes[dimension]
        for kind in settings.kinds
        for repeat in range(settings.repeats)
        if kind is Kind.REAL or dimension not in WITHOUT_CLIENTS
    ]
    rng.shuffle(groups)
    found: list[Point] = []
    for dimension, size, kind, repeat in groups:
        programs = list(settings.programs)
        rng.shuffle(programs)
        for one in programs:
            sizes = settings.held | {dimension: size}
            hollow = max(1, min(HOLLOW_MOST, int(HOLLOW_BACKENDS / sizes[Dimension.BACKENDS])))
            found.append(
                Point(
                    dimension,
                    size,
                    kind,
                    repeat,
                    one.label,
                    len(found),
                    one.tree,
                    settings.fleet,
                    sizes,
                    {f.name: f.path for f in settings.features if f.program in (None, one.label)},
                    min(hollow, int(sizes[Dimension.GATEWAYS]) - 1),  # one is left to be their peer
                    settings.window_s,
                    settings.seed,
                    settings.mass_failure,
                )
            )
    return found


def describe(settings: Settings) -> SlopeResult:
    """The result before anything is measured."""
    return SlopeResult(
        commits={p.label: commit(p.tree) for p in settings.programs},
        machine=machine(),
        started_unix_s=time.time(),
        seed=settings.seed,
        held={
            d.value: {other.value: size for other, size in settings.held.items() if other is not d}
            for d in settings.dimensions
        },
        samples=[],
        complete=False,
        features={(f.program + ":" if f.program else "") + f.name: f.path for f in settings.features},
    )


def run(settings: Settings, result: SlopeResult, progress: Callable[[int, int], None]) -> None:
    """Measures all points into the result; `progress` is called with how many of how many are done.

    KeyboardInterrupt passes through once all that was started has ended; the result keeps what was measured
    until then."""
    chosen = points(settings)
    with tempfile.TemporaryDirectory(prefix="zincstile-scale-", ignore_cleanup_errors=True) as folder:
        for point, found in _measured(chosen, min(settings.jobs, len(chosen)), Path(folder)):
            if isinstance(found, Sample):
                result.samples.append(found)
                result.samples.sort(key=lambda s: s.order)
            else:
                name = f"{point.dimension.value}={point.size:g} {point.kind.value} {point.program}"
                result.failures.append(f"{name} repeat {point.repeat}: {found}")
            progress(len(result.samples) + len(result.failures), len(chosen))
    result.complete = not result.failures


def _measured(chosen: list[Point], jobs: int, folder: Path) -> Iterator[tuple[Point, Sample | str]]:
    """Each point and its sample, or why there is none, as they end."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(jobs, _as_worker, maxtasksperchild=POINTS_OF_WORKER) as pool:
        yield from pool.imap_unordered(partial(_one, folder), chosen)


def _as_worker() -> None:
    """Run in each worker: it ends with the process that drives, however that ends, and its gateways with it.
    A terminal's SIGINT, which goes to the whole group, is left to the one that drives."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    threading.Thread(target=_end_with_parent, daemon=True).start()


def _end_with_parent() -> None:
    """Not by the system's signal at a parent's death: that comes when the *thread* ends that started this
    process, which the pool's own threads do before the workers, one of which holds the pool's lock."""
    multiprocessing.connection.wait([multiprocessing.parent_process().sentinel])
    os.kill(os.getpid(), signal.SIGKILL)


def _one(folder: Path, point: Point) -> tuple[Point, Sample | str]:
    try:
        return point, measure(point, folder / str(point.order))
    except SubjectError as err:
        return point, str(err)


def machine() -> Machine:
    """This machine."""
    pages, size = os.sysconf("SC_PHYS_PAGES"), os.sysconf("SC_PAGE_SIZE")
    return Machine(os.cpu_count() or 1, pages * size, platform.python_version(), platform.release())


def commit(tree: Path) -> str:
    """The commit of a tree, with `+` where it has changes; `unknown` where git does not know it."""
    try:
        head = _git(tree, "rev-parse", "--short", "HEAD")
        changed = _git(tree, "status", "--porcelain", "--untracked-files=no", "--", "zincstile", "deploy")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return head + ("+" if changed else "")


def _git(tree: Path, *arguments: str) -> str:
    done = subprocess.run(["git", "-C", str(tree), *arguments], check=True, capture_output=True, text=True)
    return done.stdout.strip()


def this_tree() -> Program:
    """The sources that this command runs by."""
    return Program("this", ROOT)
