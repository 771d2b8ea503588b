"""Tells which library a command needs; loads nothing but the standard library itself."""

from __future__ import annotations

import sys


def missing(err: ModuleNotFoundError) -> int:
    """Prints which library a command needs; returns the exit code.

    Raises `err` again where what is missing is a module of this package: that is a fault, not a library.
    """
    if (err.name or "").startswith("zincstile"):
        raise err
    print(f"zincstile: this command needs {err.name}: pip install 'zincstile[all]'", file=sys.stderr)
    return 2
