"""Options shared by several commands, and the parsing of their values."""

from __future__ import annotations

import os

import click

from .errors import BadInputError

JOBS = click.option("--jobs", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
SEEDS = click.option(
    "--seeds", "seed_text", required=True, metavar="A:B", help="Seeds from A (included) to B (excluded)."
)


def seed_range(text: str) -> range:
    """Parses `A:B`, A included and B excluded. Raises BadInputError for anything else."""
    first, colon, last = text.partition(":")
    if not colon or not first.isdecimal() or not last.isdecimal() or int(first) >= int(last):
        raise BadInputError(f"--seeds {text}: not a range of seeds A:B with A less than B")
    return range(int(first), int(last))
