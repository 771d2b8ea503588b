"""The command line: one file a command, loaded when it is named.

`python -m zincstile` without words never comes here: it is the platform's gateway, on the standard library
alone. The commands stand on click; each loads what it needs besides (`pip install '.[all]'`). Bad input of
any kind is told in one line, with exit code 2.
"""

from __future__ import annotations

import sys


def main(words: list[str]) -> int:
    """Runs the command that the words name; its exit code."""
    try:
        from .commands import run
    except ModuleNotFoundError as err:
        return missing(err)
    return run(words)


def missing(err: ModuleNotFoundError) -> int:
    """Tells which library a command needs."""
    if (err.name or "").startswith("zincstile"):
        raise err
    print(f"zincstile: this command needs {err.name}: pip install 'zincstile[all]'", file=sys.stderr)
    return 2
