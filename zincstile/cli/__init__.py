"""The command line: one module per command, imported when the command is called.

`python -m zincstile` without arguments doesn't import this package: it runs the gateway, which uses the
standard library only. The commands use click and further libraries (`pip install '.[all]'`). Invalid input
is reported in one line, with exit code 2.
"""

from __future__ import annotations

from .libraries import report_missing_library


def main(arguments: list[str]) -> int:
    """Runs the command that the arguments name; returns its exit code."""
    try:
        from .commands import run
    except ModuleNotFoundError as err:
        return report_missing_library(err)
    return run(arguments)
