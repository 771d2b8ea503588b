"""The command line: one file a command, loaded when it is named.

`python -m zincstile` without words never comes here: it is the platform's gateway, on the standard library
alone. The commands stand on click; each loads what it needs besides (`pip install '.[all]'`). Bad input of
any kind is told in one line, with exit code 2.
"""

from __future__ import annotations

from .libraries import missing


def main(words: list[str]) -> int:
    """Runs the command that the words name; returns its exit code."""
    try:
        from .commands import run
    except ModuleNotFoundError as err:
        return missing(err)
    return run(words)
