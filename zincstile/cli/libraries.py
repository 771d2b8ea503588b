"""Reports a missing optional library; imports only the standard library."""

from __future__ import annotations

import sys


def report_missing_library(err: ModuleNotFoundError) -> int:
    """Prints which library to install; returns the exit code.

    Raises `err` again if the missing module belongs to this package: that is a defect in the program.
    """
    if (err.name or "").startswith("zincstile"):
        raise err
    print(
        f"zincstile: this command requires the library {err.name}: pip install 'zincstile[all]'",
        file=sys.stderr,
    )
    return 2
